package exchanger

import (
	"context"
	"errors"
	"syscall"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/worker"
)

// exitTime is how long the listener of a process that died may outlast its connections. The
// kernel releases the descriptors of a process one after the other, the oldest last, and
// hundreds of them in less, also while the process is busy.
const exitTime = 100 * sd.Millisecond

// refusalTimeout is many times what a target in another zone takes to refuse a
// connection, and leaves time to ask some other hosts whether it does.
const refusalTimeout = 150 * sd.Millisecond

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

// confirm reports whether a target is up that has ended a connection. It asks twice: at once, as a
// target that is down may be up again soon, and after exitTime. The second connection is kept for
// the next request. The first tells nothing more, even if it stays open, as the kernel may forget
// it without a reset.
func (x *Exchanger) confirm(ctx context.Context, address sd.Address) Aftermath {
	conn, err := x.dial(ctx, address, x.settings.Connect)
	if err == nil {
		_ = conn.Close()
	}
	if found := aftermathOf(err); found != Accepts {
		return found
	}
	if !worker.Pause(ctx, exitTime) {
		return Unreached
	}
	return x.probe(ctx, address, x.settings.Connect)
}

// probe tries to connect to a target. A connection that it accepts is kept.
func (x *Exchanger) probe(ctx context.Context, address sd.Address, timeout sd.Millis) Aftermath {
	conn, err := x.dial(ctx, address, timeout)
	if err == nil {
		x.keep(conn, "")
	}
	return aftermathOf(err)
}

// aftermathOf returns what the outcome of a connection attempt tells of a target.
func aftermathOf(err error) Aftermath {
	switch {
	case err == nil, errors.Is(err, syscall.ECONNRESET):
		// A living target with too many connections accepts more of them and resets them.
		return Accepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refuses
	}
	return Unreached
}

// Refuses reports whether the target refuses connections, as it does while its process
// is down. A connection that it accepts is kept. The listener of a process that is dying may
// accept it: later is called if the target turns out to be down a little later.
func (x *Exchanger) Refuses(ctx context.Context, address sd.Address, later func()) bool {
	found := x.probe(ctx, address, refusalTimeout)
	if found != Accepts {
		return found == Refuses
	}
	x.lock.Lock()
	defer x.lock.Unlock()
	if !x.ended {
		x.checks.Go(func() {
			if worker.Pause(x.closing, exitTime) && x.probe(x.closing, address, x.settings.Connect) == Refuses {
				later()
			}
		})
	}
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
