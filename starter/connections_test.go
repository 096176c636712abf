package starter

import (
	"net"
	"net/http"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// Guards against a crowd of idle or half-open connections keeping new ones out, and against a
// request that runs losing its connection to a newcomer.
func TestConnectionsGiveWay(t *testing.T) {
	now := sd.Instant(1)
	clock := sd.Clock{Source: func() sd.Instant { return now }}
	budget := reserver.New(reserver.Settings{Capacity: 1 << 20}, clock)
	c := newConnections(4, budget, clock)
	c.forRequests = true
	open := func() *connection {
		now = now.Add(1)
		// Closing a connection that was never opened does nothing.
		conn := c.admit(&net.TCPConn{})
		if conn != nil {
			c.changed(conn, http.StateNew)
		}
		return conn
	}
	running, idle, older, half := open(), open(), open(), open()
	for _, conn := range []*connection{running, idle, older} {
		c.changed(conn, http.StateActive)
		c.handle(conn, true)
	}
	c.handle(idle, false)
	c.changed(idle, http.StateIdle)
	if open() == nil || c.has(idle) || !c.has(half) {
		t.Error("an idle connection did not give way before one that has only just begun")
	}
	now = now.Add(youngTime)
	if open() == nil || c.has(half) {
		t.Error("a connection with half a head did not give way")
	}
	c.handle(older, false)
	now = now.Add(youngTime)
	if open() == nil || !c.has(running) {
		t.Error("a request that runs lost its connection")
	}
	for conn := range c.open {
		c.changed(conn, http.StateActive)
		c.handle(conn, true)
	}
	if open() != nil {
		t.Error("a connection was admitted beyond the limit")
	}
	stalled, _ := budget.Open(reserver.Group{})
	gone := false
	stalled.SetEvict(func() { gone = true })
	now = now.Add(sd.Second)
	if open() == nil || !gone {
		t.Error("a request whose caller stalls did not give way")
	}
}

// Guards against a request that is cut as the server closes idle connections to shut down (LOST):
// the connection had been idle as the server looked.
func TestConnectionWithARequestIsNotClosed(t *testing.T) {
	clock := sd.NewClock()
	for _, ending := range []bool{false, true} {
		c := newConnections(4, reserver.New(reserver.Settings{Capacity: 1 << 20}, clock), clock)
		conn := c.admit(&net.TCPConn{})
		c.changed(conn, http.StateNew)
		c.changed(conn, http.StateActive)
		if !c.handle(conn, true) {
			t.Fatal("a handler does not run")
		}
		if ending {
			c.end()
		}
		// Closing a connection that was never opened only returns an error.
		_ = conn.Close()
		if c.has(conn) == ending {
			t.Errorf("at the end %v, the connection is kept: %v", ending, c.has(conn))
		}
		c.handle(conn, false)
		_ = conn.Close()
		if c.has(conn) {
			t.Error("a connection without a request is kept")
		}
	}
}

func (c *connections) has(conn *connection) bool {
	_, found := c.open[conn]
	return found
}

// Guards against limits that callers inside the plan's limits meet, or that leave nothing for
// targets, other hosts and the store.
func TestDescriptorsAreDivided(t *testing.T) {
	for _, s := range []platform.Settings{
		{Descriptors: 4100, Memory: 112 << 20}, {Descriptors: 8200, Memory: 536 << 20}, {Descriptors: 300, Memory: 112 << 20}, {Descriptors: 64, Memory: 1 << 20},
	} {
		l := divide(s)
		// Each caller that is served takes a connection to a target as well.
		if used := 2*l.callers + l.idle + l.peers; used > s.Descriptors-s.Descriptors/20 {
			t.Errorf("%d descriptors: %+v take %d", s.Descriptors, l, used)
		}
		if s.Descriptors >= 4100 && (l.callers < 500 || l.idle < 300 || l.peers < 500) {
			t.Errorf("%d descriptors and %d MB: %+v", s.Descriptors, s.Memory>>20, l)
		}
	}
}
