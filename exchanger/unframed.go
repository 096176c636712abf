package exchanger

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// sending is the transfer of a request, which may go on while its answer is read.
type sending struct {
	ended chan struct{}
	// err is set before ended is closed.
	err error
}

// succeeded reports whether the whole request has been sent.
func (s *sending) succeeded() bool {
	select {
	case <-s.ended:
		return s.err == nil
	default:
		return false
	}
}

// broken reports, once ended is closed, whether the connection broke while the request was sent.
// A target that has closed its side in order may refuse the rest of the request (EPIPE).
func (s *sending) broken() bool {
	return s.err != nil && !errors.Is(s.err, os.ErrDeadlineExceeded) && !errors.Is(s.err, net.ErrClosed) && !errors.Is(s.err, syscall.EPIPE)
}

// Aftermath is what a target does right after an answer without a frame has ended in order.
// The kernel closes the connections of a process that dies in the same way.
type Aftermath int

const (
	// NotProbed means that the answer had a frame, has not ended, or was broken off.
	NotProbed Aftermath = iota
	// Accepts means that the target accepts connections: its process is up.
	Accepts
	// Refuses means that the target refuses connections: its process is down.
	Refuses
	// Unreached means that no connection was opened or refused in time.
	Unreached
)

// String returns the name in logs and metrics, empty for NotProbed.
func (a Aftermath) String() string {
	switch a {
	case Accepts:
		return "accepts"
	case Refuses:
		return "refuses"
	case Unreached:
		return "unreached"
	}
	return ""
}

// unframedBody is the body of an answer that ends with its connection.
//
// A connection reports once that it broke, to whichever of its reader and writer asks first;
// after that, the reader sees the end of the answer.
type unframedBody struct {
	io.Reader
	conn    *connection
	sending *sending
	// probe reports what the target does after the end.
	probe     func() Aftermath
	aftermath Aftermath
}

// Read implements io.Reader. The error is BrokenResponse if the connection broke.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	// The answer has ended, so what is left of the request is not sent.
	if err := b.conn.SetWriteDeadline(time.Now()); err != nil {
		return n, sd.BrokenResponse.Wrap(err, "connection closed")
	}
	<-b.sending.ended
	if b.sending.broken() {
		return n, sd.BrokenResponse.Wrap(b.sending.err, "connection broke while the request was sent")
	}
	if b.aftermath == NotProbed {
		b.aftermath = b.probe()
	}
	if b.aftermath != Accepts {
		return n, sd.BrokenResponse.New("target %s connections right after it closed one without a frame", b.aftermath)
	}
	return n, io.EOF
}
