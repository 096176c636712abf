package starter

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/receiver"
	"sapphiredrum.example/sapphiredrum/reserver"
)

const (
	// fileDescriptors are kept for files, as the platform asks.
	fileDescriptors = 200
	// callerShare, idleShare and peerShare are the parts of the other descriptors that callers,
	// idle connections to targets and other hosts may take. As many as for callers are left to
	// the targets that serve them; the rest, a twentieth and more, is for the store and for
	// connections that are closing.
	callerShare, idleShare, peerShare = 0.35, 0.1, 0.15
	// connectionShare is the part of memory that the connections of callers may take, and
	// connectionBytes what one takes with a request under way: the stacks of its goroutines and
	// the buffers on both sides. The rest of a request draws on the budget.
	connectionShare = 0.12
	connectionBytes = 24 << 10
	// minConnections is the least number of connections of callers.
	minConnections = 16
	// readyConnections bounds those to the ports for the platform, which asks once a second.
	readyConnections = 24
	// youngTime is how long a connection that has sent no whole head is left alone: longer than
	// a round trip and than the pauses of a sender on a busy link.
	youngTime = 300 * sd.Millisecond
	// planOverlap is how long callers may go by a plan after this host has another one: the time
	// in which hosts and callers learn of a plan, and some.
	planOverlap = 10 * sd.Second
	// flushTime is how long the response of a handler that has returned may take to be written:
	// far more than a write that does not wait for its reader.
	flushTime = 50 * sd.Millisecond
	// peerHeadBytes bounds heads of requests of other hosts and of the platform, which have a few
	// hundred bytes.
	peerHeadBytes = 8 << 10
	// readAhead is what the server reads at once, which may go beyond the end of a head.
	readAhead = 4 << 10
)

// limits are the numbers of connections of a host.
type limits struct{ callers, idle, peers int }

// divide divides a host's descriptors and memory among connections.
func divide(settings platform.Settings) limits {
	free := float64(max(settings.Descriptors-fileDescriptors, settings.Descriptors/2))
	byMemory := float64(settings.Memory) * connectionShare / connectionBytes
	return limits{
		callers: max(int(min(free*callerShare, byMemory)), minConnections),
		idle:    int(free * idleShare), peers: int(free * peerShare),
	}
}

// headTooLong marks heads that are longer than the plan allows, or for which there is no memory.
var headTooLong = sd.Errors.NewSubNamespace("starter").NewType("head_too_long")

// connections are those of one port. At their limit, a connection that serves no request gives
// way to a new one, and after these one whose caller has stopped sending or reading. A request
// that is whole and runs keeps its connection.
type connections struct {
	clock  sd.Clock
	limit  int
	budget *reserver.Budget
	// forRequests tells that the connections carry the requests that hold bytes of the budget,
	// so that one of them may give way to a new connection.
	forRequests bool
	// headLimit is the plan's limit of a head in bytes; zero before there is a plan.
	headLimit atomic.Int64

	lock   sync.Mutex
	open   map[*connection]struct{}
	counts connectionCounts
	// ending is set once connections are closed whatever runs on them.
	ending bool
	// idleLimit is the plan's idle timeout, or zero before there is a plan, and earlier are those
	// that it replaced, oldest first.
	idleLimit sd.Millis
	earlier   []earlierLimit
}

// earlierLimit is an idle timeout that was in force until another one replaced it.
type earlierLimit struct {
	limit sd.Millis
	until sd.Instant
}

// connectionCounts count connections closed by this host: those without a request that gave way,
// new ones that were refused, and those with a head that is too long.
type connectionCounts struct{ gaveWay, refused, heads uint64 }

// connection is a connection to a port of this host.
type connection struct {
	*net.TCPConn
	owner *connections
	// state, since when it is so, whether a handler runs, and whether this host closes the
	// connection. The owner's lock guards them.
	state            http.ConnState
	since            sd.Instant
	handling, closed bool
	// heading is set while a head is awaited or read, which head measures and holder accounts for.
	heading atomic.Bool
	head    reserver.Head
	holder  *reserver.Holder
}

func newConnections(limit int, budget *reserver.Budget, clock sd.Clock) *connections {
	return &connections{clock: clock, limit: limit, budget: budget, open: map[*connection]struct{}{}}
}

// setIdleLimit sets the plan's idle timeout; zero stands for defaultIdle. Callers may reuse
// connections for as long as an earlier plan allows until they know of this one.
func (c *connections) setIdleLimit(limit sd.Millis) {
	if limit <= 0 {
		limit = defaultIdle
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	now := c.clock.Now()
	c.earlier = slices.DeleteFunc(c.earlier, func(e earlierLimit) bool { return now.Since(e.until) > e.limit+planOverlap })
	if c.idleLimit > 0 && limit != c.idleLimit {
		c.earlier = append(c.earlier, earlierLimit{c.idleLimit, now})
	}
	c.idleLimit = limit
}

// idleLimitSince returns how long a connection is kept that has been idle since then: as long as
// the longest limit that its caller may have known at that time or later. The lock must be held.
func (c *connections) idleLimitSince(since sd.Instant) sd.Millis {
	limit := c.idleLimit
	if limit == 0 {
		limit = defaultIdle
	}
	for _, e := range c.earlier {
		if since <= e.until.Add(planOverlap) {
			limit = max(limit, e.limit)
		}
	}
	return limit
}

// setHeadLimit sets the plan's limit of a head.
func (c *connections) setHeadLimit(n int) { c.headLimit.Store(int64(n)) }

// Read implements net.Conn. The error is headTooLong while a head goes beyond its limits.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 || !c.heading.Load() {
		return n, err
	}
	if c.head.Bytes() == 0 && !c.owner.begin(c) {
		return 0, net.ErrClosed
	}
	cost := c.head.Add(p[:n])
	limit := c.owner.headLimit.Load()
	tooLong := limit > 0 && int64(c.head.Bytes()) > limit+readAhead
	if tooLong || (cost > 0 && !c.holder.Reserve(cost)) {
		c.owner.lock.Lock()
		c.owner.counts.heads++
		c.owner.lock.Unlock()
		return 0, headTooLong.New("head of a request: %d bytes", c.head.Bytes())
	}
	c.holder.Progress(n)
	return n, err
}

// Close implements net.Conn. A request that has been read and does not run yet will not run. A
// connection whose handler runs stays open, for the server to close it after the response: a
// server that shuts down may have taken it for idle just before.
func (c *connection) Close() error {
	c.owner.lock.Lock()
	if c.handling && c.state == http.StateActive && !c.owner.ending {
		c.owner.lock.Unlock()
		return nil
	}
	c.owner.forget(c)
	c.owner.lock.Unlock()
	return c.TCPConn.Close()
}

// forget counts a connection as closed, so that nothing begins to run on it. The lock must be
// held, and the caller must close the TCP connection.
func (c *connections) forget(conn *connection) {
	conn.closed = true
	delete(c.open, conn)
}

// awaitHead prepares for the next head. It is called between two heads only.
func (c *connection) awaitHead() {
	c.holder.Close()
	c.head = reserver.Head{}
	c.holder, _ = c.owner.budget.Open(reserver.Group{Kind: reserver.Heads})
	c.holder.SetEvict(func() { _ = c.SetReadDeadline(longPast) })
	c.heading.Store(true)
}

// listener admits connections within their limit.
type listener struct {
	net.Listener
	conns *connections
}

func (c *connections) listen(inner net.Listener) net.Listener { return &listener{inner, c} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		if conn := l.conns.admit(tcp); conn != nil {
			return conn, nil
		}
		_ = raw.Close()
	}
}

// admit adds a connection, in place of another one if the limit is reached. It returns nil if
// none gives way.
func (c *connections) admit(tcp *net.TCPConn) *connection {
	conn := &connection{TCPConn: tcp, owner: c, state: http.StateNew, since: c.clock.Now()}
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.open) >= c.limit {
		victim := c.victim(conn.since)
		switch {
		case victim != nil:
			c.forget(victim)
			_ = victim.TCPConn.Close()
			c.counts.gaveWay++
		case !c.forRequests || len(c.open) >= 2*c.limit || !c.budget.EvictStalled():
			c.counts.refused++
			return nil
		}
	}
	c.open[conn] = struct{}{}
	return conn
}

// victim returns the connection that gives way: one without a whole head, or whose response has
// ended, then an idle one, each time that which has been so for the longest.
func (c *connections) victim(now sd.Instant) *connection {
	var worst *connection
	most := 0
	for conn := range c.open {
		rank := 0
		switch {
		case conn.handling:
			continue
		case conn.state != http.StateIdle && now.Since(conn.since) >= youngTime:
			rank = 3
		case conn.state == http.StateIdle:
			rank = 2
		case conn.state == http.StateActive && now.Since(conn.since) >= flushTime:
			rank = 1
		default:
			continue
		}
		if rank > most || (rank == most && conn.since < worst.since) {
			worst, most = conn, rank
		}
	}
	return worst
}

// changed is the ConnState of the port's server.
func (c *connections) changed(raw net.Conn, state http.ConnState) {
	conn, ok := raw.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		conn.awaitHead()
	case http.StateActive:
		conn.heading.Store(false)
		conn.holder.SetEvict(nil)
	default:
		conn.holder.Close()
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	conn.state, conn.since = state, c.clock.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
	}
}

// connKey is the key of a connection in a request's context.
type connKey struct{}

// connContext is the ConnContext of the servers.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(receiver.ConnContext(ctx, conn), connKey{}, conn)
}

// serving returns a handler that keeps a connection from being closed as idle, or from giving way,
// while it runs. It does not run for a connection that has been closed.
func (c *connections) serving(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*connection)
		if !ok {
			inner.ServeHTTP(w, r)
			return
		}
		if !c.handle(conn, true) {
			panic(http.ErrAbortHandler)
		}
		defer c.handle(conn, false)
		inner.ServeHTTP(w, r)
	})
}

// handle records that a handler is about to run or has ended. It returns false if the connection
// has been closed.
func (c *connections) handle(conn *connection, handling bool) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	conn.handling, conn.since = handling && !conn.closed, c.clock.Now()
	return !conn.closed
}

// begin records the first bytes of a head, with which a connection is no longer idle. It returns
// false if the connection has been closed.
func (c *connections) begin(conn *connection) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !conn.closed && conn.state == http.StateIdle {
		conn.state, conn.since = http.StateNew, c.clock.Now()
	}
	return !conn.closed
}

// awaitHandlers waits until no handler runs or ctx ends, and returns the error of ctx.
func (c *connections) awaitHandlers(ctx context.Context) error {
	for c.handlers() > 0 {
		if !pause(ctx, handlerPoll) {
			return ctx.Err()
		}
	}
	return nil
}

// handlers returns the number of connections whose handler runs.
func (c *connections) handlers() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	n := 0
	for conn := range c.open {
		if conn.handling {
			n++
		}
	}
	return n
}

// end has connections closed from now on whatever runs on them.
func (c *connections) end() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.ending = true
}

// figures returns the number of open connections and the counts.
func (c *connections) figures() (int, connectionCounts) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.open), c.counts
}

// run closes connections that were idle for too long, until ctx ends.
func (c *connections) run(ctx context.Context) error {
	for pause(ctx, idlePoll) {
		for _, conn := range c.expire() {
			_ = conn.TCPConn.Close()
		}
	}
	return ctx.Err()
}

// expire forgets the connections that were idle for too long, and returns them to be closed.
func (c *connections) expire() []*connection {
	c.lock.Lock()
	defer c.lock.Unlock()
	var old []*connection
	now := c.clock.Now()
	for conn := range c.open {
		waits := conn.state == http.StateIdle || conn.state == http.StateNew
		if waits && !conn.handling && now.Since(conn.since) > c.idleLimitSince(conn.since) {
			c.forget(conn)
			old = append(old, conn)
		}
	}
	return old
}
