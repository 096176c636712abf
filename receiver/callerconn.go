package receiver

import (
	"context"
	"errors"
	"net"
	"net/http"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// connKey is the key of the caller's connection in a request's context.
type connKey struct{}

// ConnContext is the ConnContext of the http.Server of a Receiver, which needs the connections of
// callers that tell a response's end by that of the connection only.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// lingerer is implemented by TCP connections.
type lingerer interface{ SetLinger(seconds int) error }

// endsWithConn reports whether the caller takes the end of its connection for that of a stream.
// HTTP/1.0 has no chunks.
func (q *request) endsWithConn() bool { return !q.http.ProtoAtLeast(1, 1) }

// holdEnd has the caller's connection reset, rather than closed in order, when it is closed, until
// releaseEnd: so does the kernel if this process is killed.
func (q *request) holdEnd() { q.setLinger(0) }

// releaseEnd has the caller's connection closed in order.
func (q *request) releaseEnd() { q.setLinger(-1) }

// setLinger sets how the connection of a caller is closed that takes its end for that of a stream.
func (q *request) setLinger(seconds int) {
	if !q.endsWithConn() {
		return
	}
	err := error(sd.Unavailable.New("connection of the caller is not known"))
	if conn, ok := q.http.Context().Value(connKey{}).(lingerer); ok {
		err = conn.SetLinger(seconds)
	}
	if err != nil {
		q.Log.Warn("cannot set how the caller's connection ends", zap.Int("event", eventResetFailed), q.idField(), zap.Error(err))
	}
}

// reset takes the caller's connection from the server and resets it.
func (q *request) reset() error {
	conn, _, err := q.controller().Hijack()
	if err != nil {
		return err
	}
	if tcp, ok := conn.(lingerer); ok {
		err = tcp.SetLinger(0)
	}
	return errors.Join(err, conn.Close())
}

// abort closes the connection of a response whose header was sent, so that the caller
// does not take the response for complete.
func (q *request) abort(reason string) {
	q.recordOutcome(http.StatusOK, reason)
	if q.endsWithConn() {
		if err := q.reset(); err != nil {
			q.Log.Warn("cannot reset the caller's connection", zap.Int("event", eventResetFailed), q.idField(), zap.Error(err))
		}
	}
	panic(http.ErrAbortHandler)
}
