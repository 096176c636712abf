package exchanger

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// exitTime is how long the listener of a process that died may outlast its connections. The
// kernel releases the descriptors of a process one after the other, the oldest last, and
// thousands of them in less.
const exitTime = 50 * sd.Millisecond

// refusalTimeout is many times what a target in another zone takes to refuse a
// connection, and leaves time to ask some other hosts whether it does.
const refusalTimeout = 150 * sd.Millisecond

// Aftermath is what a target does right after an answer without a frame has ended in order.
// The kernel closes the connections of a process that dies in the same way.
type Aftermath int

const (
	// NotProbed means that the answer had a frame, has not ended, or was broken off.
	NotProbed Aftermath = iota
	// Accepts means that the target accepts connections, and did so longer than the kernel takes
	// to end a process: its process is up.
	Accepts
	// Refuses means that the target refuses connections: its process is down.
	Refuses
	// Unreached means that no connection was opened or refused in time.
	Unreached
	// Replaced means that another process accepts connections in place of the target's.
	Replaced
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
	case Replaced:
		return "replaced"
	}
	return ""
}

// result returns what the outcome of a connection attempt tells of a target. One that resets a
// connection has accepted it.
func result(err error) Aftermath {
	switch {
	case err == nil, errors.Is(err, syscall.ECONNRESET):
		return Accepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refuses
	}
	return Unreached
}

// confirm reports what a target does that has just ended a connection. One that it accepts is
// kept for the next request.
func (x *Exchanger) confirm(ctx context.Context, address sd.Address) Aftermath {
	conn, err := x.dial(ctx, address, x.settings.Connect)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		return result(err)
	}
	return x.watch(ctx, address, conn)
}

// watch reports whether a target is up that has just accepted a connection, which is nil if it
// was reset at once.
func (x *Exchanger) watch(ctx context.Context, address sd.Address, conn *connection) Aftermath {
	settled := time.After(exitTime.Duration())
	if conn != nil {
		if conn.staysOpen(ctx, exitTime) {
			x.keep(conn, "")
			return Accepts
		}
		_ = conn.Close()
	}
	// The target died, or it has too many connections or keeps no idle ones.
	select {
	case <-settled:
	case <-ctx.Done():
	}
	conn, err := x.dial(ctx, address, x.settings.Connect)
	if err == nil {
		x.keep(conn, "")
	}
	return result(err)
}

// staysOpen reports whether a new connection neither ends nor yields anything for a time. The
// connection is of no use if not.
func (c *connection) staysOpen(ctx context.Context, quiet sd.Millis) bool {
	if err := c.SetReadDeadline(time.Now().Add(quiet.Duration())); err != nil {
		return false
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Now()) })
	_, err := c.Conn.Read(make([]byte, 1))
	return stop() && errors.Is(err, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}

// Refuses reports whether the target refuses connections, as it does while its process
// is down. A connection that it accepts is kept. The listener of a process that is dying may
// accept it: later is called if the target turns out to be down a little later.
func (x *Exchanger) Refuses(ctx context.Context, address sd.Address, later func()) bool {
	conn, err := x.dial(ctx, address, refusalTimeout)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		return result(err) == Refuses
	}
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.ended {
		if conn != nil {
			_ = conn.Close()
		}
		return false
	}
	x.checks.Go(func() {
		if x.watch(x.closing, address, conn) == Refuses {
			later()
		}
	})
	return false
}

// check opens a connection to a target that has been silent, and keeps it. A connection
// that was opened before a partition shows nothing of it, but a new one does.
func (x *Exchanger) check(address sd.Address) {
	now := x.settings.Clock.Now()
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.ended || x.checking || now.Since(x.checkedAt) < x.settings.Silence {
		return
	}
	x.checking, x.checkedAt = true, now
	x.checks.Go(func() {
		conn, err := x.dial(x.closing, address, x.settings.Connect)
		if err == nil {
			x.keep(conn, "")
		}
		x.lock.Lock()
		x.checking = false
		x.lock.Unlock()
	})
}
