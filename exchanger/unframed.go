package exchanger

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/worker"
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

// Aftermath is what a target does soon after an answer without a frame has ended in order.
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

// readAhead is how much of an answer without a frame is read before it is asked for: more than
// the usual stream has left when its target ends it.
const readAhead = 16 << 10

// closingTime is how long the kernel may take to close the sockets of a process that died. Its
// listener, which accepts connections until then, may be closed after the others.
const closingTime = 25 * sd.Millisecond

// unframedBody is the body of an answer that ends with its connection.
//
// The end has to be looked into when it comes: a target that died may be back by the time at
// which a slow reader would notice it. So the body is read ahead.
type unframedBody struct {
	source  io.Reader
	conn    *connection
	sending *sending
	// probe reports what the target does after the end. cancel ends it.
	probe  func() Aftermath
	cancel context.CancelFunc
	// ended is closed when nothing is read ahead any more.
	ended chan struct{}

	lock sync.Mutex
	// changed is signalled when the fields below change.
	changed *sync.Cond
	ahead   bytes.Buffer
	// err is how the body ends, behind what was read ahead.
	err       error
	closed    bool
	aftermath Aftermath
}

// readUnframed begins to read the body of an answer, which must be closed.
func (x *Exchanger) readUnframed(ctx context.Context, source io.Reader, conn *connection, sending *sending) *unframedBody {
	ctx, cancel := context.WithCancel(ctx)
	b := &unframedBody{
		source: source, conn: conn, sending: sending, cancel: cancel, ended: make(chan struct{}),
		probe: func() Aftermath {
			if !worker.Pause(ctx, closingTime) {
				return Unreached
			}
			return x.probe(ctx, conn.address, x.settings.Connect)
		},
	}
	b.changed = sync.NewCond(&b.lock)
	go b.run()
	return b
}

// run reads the body until its end, or until it is closed.
func (b *unframedBody) run() {
	defer close(b.ended)
	buffer := make([]byte, bufferSize)
	for {
		space := b.awaitSpace()
		if space == 0 {
			return
		}
		n, err := b.source.Read(buffer[:min(space, len(buffer))])
		b.add(buffer[:n], nil)
		if err == io.EOF {
			err = b.confirm()
		}
		if err != nil {
			b.add(nil, err)
			return
		}
	}
}

// awaitSpace waits until more may be read ahead, and returns how much: nothing if the body is
// closed.
func (b *unframedBody) awaitSpace() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	for b.ahead.Len() >= readAhead && !b.closed {
		b.changed.Wait()
	}
	if b.closed {
		return 0
	}
	return readAhead - b.ahead.Len()
}

// add appends what was read, or the end.
func (b *unframedBody) add(text []byte, err error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if left := b.ahead.Len(); left > 0 {
		// Growing by doubling would take more than is read ahead.
		b.ahead.Grow(readAhead - left)
	}
	b.ahead.Write(text)
	b.err = err
	b.changed.Broadcast()
}

// confirm returns how an answer ends whose connection was closed in order: io.EOF if it is whole,
// or BrokenResponse.
//
// A connection reports once that it broke, to whichever of its reader and writer asks first;
// after that, the reader sees an end in order.
func (b *unframedBody) confirm() error {
	// The answer has ended, so what is left of the request is not sent.
	if err := b.conn.SetWriteDeadline(time.Now()); err != nil {
		return sd.BrokenResponse.Wrap(err, "connection closed")
	}
	<-b.sending.ended
	if b.sending.broken() {
		return sd.BrokenResponse.Wrap(b.sending.err, "connection broke while the request was sent")
	}
	found := b.probe()
	b.lock.Lock()
	b.aftermath = found
	b.lock.Unlock()
	if found != Accepts {
		return sd.BrokenResponse.New("target %s connections after it closed one without a frame", found)
	}
	return io.EOF
}

// Read implements io.Reader. The error is BrokenResponse if the connection broke, or if the
// target does not accept another one after it.
func (b *unframedBody) Read(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for b.ahead.Len() == 0 && b.err == nil && !b.closed {
		b.changed.Wait()
	}
	switch {
	case b.ahead.Len() > 0:
		b.changed.Broadcast()
		return b.ahead.Read(p)
	case b.err != nil:
		return 0, b.err
	}
	return 0, net.ErrClosed
}

// close ends the reading after the connection was closed, and waits for that.
func (b *unframedBody) close() {
	b.lock.Lock()
	b.closed = true
	b.changed.Broadcast()
	b.lock.Unlock()
	b.cancel()
	<-b.ended
}

// found returns what the target did after the end.
func (b *unframedBody) found() Aftermath {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.aftermath
}
