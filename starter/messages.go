package starter

import (
	"io"
	"net/http"
	"time"

	"sapphiredrum.example/sapphiredrum/reserver"
)

// limitMessages returns a handler of other hosts' messages whose bodies draw on the budget and
// must come in headTimeout.
func limitMessages(budget *reserver.Budget, inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			inner.ServeHTTP(w, r)
			return
		}
		holder, _ := budget.Open(reserver.Group{Kind: reserver.Peers})
		defer holder.Close()
		controller := http.NewResponseController(w)
		body := &messageBody{
			ReadCloser: r.Body, holder: holder, left: r.ContentLength, controller: controller,
			reader: holder.Reader(r.Body, reserver.FreeMessageBytes, reserver.MessageFactor),
		}
		// A connection whose deadlines cannot be set is one that was closed.
		if controller.SetReadDeadline(time.Now().Add(headTimeout.Duration())) != nil {
			return
		}
		holder.SetEvict(func() { _ = controller.SetReadDeadline(longPast) })
		r.Body = body
		inner.ServeHTTP(w, r)
		// A message of which nothing more is read must not be waited for.
		holder.SetEvict(nil)
		if !body.whole {
			w.Header().Set("Connection", "close")
			_ = controller.SetReadDeadline(longPast)
		}
	})
}

// messageBody is the body of a message, which may give way until it is whole.
type messageBody struct {
	io.ReadCloser
	reader     io.Reader
	holder     *reserver.Holder
	controller *http.ResponseController
	left       int64
	whole      bool
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.holder.Progress(n)
	b.left -= int64(n)
	if !b.whole && (b.left == 0 || err == io.EOF) && b.holder.SetEvict(nil) {
		b.whole = true
		if failure := b.controller.SetReadDeadline(time.Time{}); failure != nil && err == nil {
			err = failure
		}
	}
	return n, err
}
