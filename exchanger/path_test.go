package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
)

// watchedDialer counts connections and decides which of them may be used again.
type watchedDialer struct {
	sd.Dialer
	dials    atomic.Int64
	unusable atomic.Bool
}

func (d *watchedDialer) Dial(ctx context.Context, to sd.Address, timeout sd.Millis) (net.Conn, error) {
	d.dials.Add(1)
	return d.Dialer.Dial(ctx, to, timeout)
}

func (d *watchedDialer) Usable(net.Conn, sd.Address) bool { return !d.unusable.Load() }

// Guards against requests on connections from before a partition being lost until a new connection happens
// to be needed: the path to a target that does not begin its answer is checked.
func TestPathToASilentTargetIsChecked(t *testing.T) {
	const silence = 50 * sd.Millisecond
	at := target(t, func(conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		for {
			id, ok := next(r)
			if !ok {
				return
			}
			if id == "slow" {
				time.Sleep(4 * silence.Duration())
			}
			_, _ = io.WriteString(conn, reply(id, "x"))
		}
	})
	dialer := &watchedDialer{Dialer: exchanger.Direct()}
	x := exchanger.New(exchanger.Settings{Clock: sd.NewClock(), Dialer: dialer, Silence: silence})
	defer x.Close()
	for _, c := range []struct {
		id    string
		dials int64
	}{{"quick", 1}, {"slow", 2}} {
		if _, err := fetch(t, x, at, call(c.id)); err != nil {
			t.Fatal(err)
		}
		if n := dialer.dials.Load(); n != c.dials {
			t.Errorf("%s: %d connections opened so far, want %d", c.id, n, c.dials)
		}
	}
}

// Guards against idle connections that the dialer has given up being used, or kept open.
func TestUnusableConnectionsAreDropped(t *testing.T) {
	at := target(t, func(conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		for {
			id, ok := next(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, reply(id, "x"))
		}
	})
	dialer := &watchedDialer{Dialer: exchanger.Direct()}
	x := exchanger.New(exchanger.Settings{Clock: sd.NewClock(), Dialer: dialer})
	defer x.Close()
	for _, id := range []string{"1", "2"} {
		if _, err := fetch(t, x, at, call(id)); err != nil {
			t.Fatal(err)
		}
	}
	dialer.unusable.Store(true)
	if _, err := fetch(t, x, at, call("3")); err != nil {
		t.Fatal(err)
	}
	if n := dialer.dials.Load(); n != 2 {
		t.Errorf("%d connections opened, want 2: one until the first became unusable, one after", n)
	}
	if x.Idle() != 1 {
		t.Fatalf("%d idle connections", x.Idle())
	}
	if x.Sweep(); x.Idle() != 0 {
		t.Error("an unusable connection is kept")
	}
}

// Guards against idle connections that are past their time being kept open until the next request
// to their target: one that opens no more than a few is held up by them.
func TestSweepDropsConnectionsThatWereIdleForTooLong(t *testing.T) {
	closed := make(chan struct{})
	at := target(t, func(conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		if id, ok := next(r); ok {
			_, _ = io.WriteString(conn, reply(id, "x"))
			_, _ = r.ReadByte()
			close(closed)
		}
	})
	x := exchanger.New(exchanger.Settings{Clock: sd.NewClock(), Idle: 50 * sd.Millisecond})
	defer x.Close()
	if _, err := fetch(t, x, at, call("a")); err != nil {
		t.Fatal(err)
	}
	if x.Sweep(); x.Idle() != 1 {
		t.Fatalf("%d idle connections, want 1", x.Idle())
	}
	time.Sleep(100 * time.Millisecond)
	if x.Sweep(); x.Idle() != 0 {
		t.Errorf("%d idle connections, want none", x.Idle())
	}
	select {
	case <-closed:
	case <-time.After(patience):
		t.Error("the connection was not closed")
	}
}
