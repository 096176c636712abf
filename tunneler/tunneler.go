package tunneler

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// eventDetached is a log event of this package, listed in docs/EVENTS.md.
const eventDetached = 663

const (
	// hedgeDelay is how long a direct connection may take before a tunnel is opened as
	// well: some fifty times the usual handshake.
	hedgeDelay = 100 * sd.Millisecond
	// missedTTL is how long a missed target is dialled both ways at once.
	missedTTL = 5 * sd.Second
	// detachedAfter is the number of targets missed in a row from which on a host counts as
	// detached. A single target may drop connections of some hosts only.
	detachedAfter = 2
	// probeInterval is how often a detached host tries a target directly, and probeTimeout
	// how long it waits for the connection.
	probeInterval = 250 * sd.Millisecond
	probeTimeout  = 200 * sd.Millisecond
	// checkTimeout limits a check of the path to a target.
	checkTimeout = 400 * sd.Millisecond
	// maxRoutes is the number of hosts tried for one connection, and maxRefusals the number
	// of them whose word is taken that the target's process is down: two, as those of
	// a partitioned zone may not know yet that they are.
	maxRoutes   = 4
	maxRefusals = 2
	// routeDelay is how long a host may take to open a tunnel before the next one is asked.
	routeDelay = 60 * sd.Millisecond
)

// Config holds the dependencies of a Tunneler.
type Config struct {
	// Direct connects to targets over the network.
	Direct sd.Dialer
	// Zone is the host's availability zone; traffic between zones is expensive.
	Zone sd.ZoneName
	// Peers returns the hosts that were heard from recently.
	Peers func() []gossiper.Peer
	// Targets returns the addresses of the registered targets.
	Targets func() []sd.Address
	// Changed, if set, is called when the host becomes detached or no longer is.
	Changed func()
	Clock   sd.Clock
	Log     *zap.Logger
}

// Tunneler implements sd.Dialer. It is safe for concurrent use.
type Tunneler struct {
	Config
	// Opened, if set, is called for each tunnel that was opened.
	Opened func()

	lock sync.Mutex
	// missed holds when each target was last missed, reachedAt when a direct connection
	// last succeeded.
	missed    map[sd.Address]sd.Instant
	reachedAt sd.Instant
	detached  bool
	// checking is set while the path to a target is checked.
	checking bool

	server server
	// running counts the goroutines that outlive a Dial; closing ends the checks.
	running sync.WaitGroup
	closing context.Context
	close   context.CancelFunc
}

// New returns a Tunneler. A detached host is attached again only while Run is running.
func New(config Config) *Tunneler {
	t := &Tunneler{Config: config, missed: map[sd.Address]sd.Instant{}}
	t.closing, t.close = context.WithCancel(context.Background())
	return t
}

// Detached reports whether the host reaches no targets directly.
func (t *Tunneler) Detached() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.detached
}

// attempt is the result of one way to a target.
type attempt struct {
	conn   net.Conn
	err    error
	tunnel bool
}

// Dial implements sd.Dialer. The error is syscall.ECONNREFUSED only if a host that reaches
// targets says so, or if there is no other host to ask.
func (t *Tunneler) Dial(ctx context.Context, target sd.Address, timeout sd.Millis) (net.Conn, error) {
	routes := t.routes()
	if len(routes) == 0 {
		return t.Direct.Dial(ctx, target, timeout)
	}
	r := &race{Tunneler: t, target: target, timeout: timeout, routes: routes, results: make(chan attempt, 2)}
	// The slower way goes on after the caller has left, as its result tells of the path.
	r.ctx, r.cancel = context.WithTimeout(context.WithoutCancel(ctx), timeout.Duration())
	missed, detached := t.state(target)
	if !detached {
		r.startDirect()
	}
	if missed || detached {
		r.startTunnel()
	}
	hedge := time.NewTimer(hedgeDelay.Duration())
	defer hedge.Stop()
	var failure error
	for r.open > 0 {
		select {
		case <-ctx.Done():
			t.running.Go(func() { r.finish(attempt{}) })
			return nil, ctx.Err()
		case <-hedge.C:
			r.startTunnel()
		case a := <-r.results:
			r.open--
			if a.err == nil {
				t.running.Go(func() { r.finish(a) })
				return a.conn, nil
			}
			if failure == nil || a.tunnel {
				// This host may not reach the target, so another one tells better whether its
				// process is down.
				failure = a.err
			}
			r.startTunnel()
			r.startDirect()
		}
	}
	r.cancel()
	return nil, failure
}

// race opens a connection directly and through a tunnel.
type race struct {
	*Tunneler
	target            sd.Address
	timeout           sd.Millis
	routes            []sd.Address
	ctx               context.Context
	cancel            context.CancelFunc
	results           chan attempt
	open              int
	direct, tunnelled bool
}

// startDirect begins a direct connection, unless that was done.
func (r *race) startDirect() {
	if r.direct || r.ctx.Err() != nil {
		return
	}
	r.direct = true
	r.open++
	go func() {
		conn, err := r.Direct.Dial(r.ctx, r.target, r.timeout)
		r.results <- attempt{conn: conn, err: err}
	}()
}

// startTunnel begins a tunnel, unless that was done.
func (r *race) startTunnel() {
	if r.tunnelled || r.ctx.Err() != nil {
		return
	}
	r.tunnelled = true
	r.open++
	go func() {
		conn, err := r.openTunnel(r.ctx, r.routes, r.target)
		r.results <- attempt{conn: conn, err: err, tunnel: true}
	}()
}

// finish waits for the slower way, closes its connection, and records what both ways tell
// of the path to the target. winner is zero if neither way had succeeded.
func (r *race) finish(winner attempt) {
	defer r.cancel()
	reached, tunnelled := winner.conn != nil && !winner.tunnel, winner.conn != nil && winner.tunnel
	if reached {
		r.cancel()
	}
	for ; r.open > 0; r.open-- {
		a := <-r.results
		if a.err != nil {
			continue
		}
		_ = a.conn.Close()
		reached, tunnelled = reached || !a.tunnel, tunnelled || a.tunnel
	}
	switch {
	case reached:
		r.reach(r.target)
	case tunnelled && (r.direct || r.Detached()):
		r.miss(r.target)
	}
}

// Usable implements sd.Dialer. A tunnel is used only while the target is not reached
// directly, and its host is heard and reaches targets.
func (t *Tunneler) Usable(conn net.Conn, target sd.Address) bool {
	missed, detached := t.state(target)
	if c, ok := conn.(*tunnel); ok {
		if !missed && !detached {
			return false
		}
		for _, p := range t.Peers() {
			if p.Address == c.through {
				return !p.Leaving && !p.Detached
			}
		}
		return false
	}
	return !missed && !detached
}

// state reports whether a target was missed lately, and whether the host is detached.
func (t *Tunneler) state(target sd.Address) (missed, detached bool) {
	now := t.Clock.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	at, known := t.missed[target]
	return known && now.Since(at) < missedTTL, t.detached
}

// reach records that a direct connection to a target was opened.
func (t *Tunneler) reach(target sd.Address) {
	now := t.Clock.Now()
	t.lock.Lock()
	delete(t.missed, target)
	t.reachedAt = now
	was := t.detached
	t.detached = false
	t.lock.Unlock()
	if was {
		t.change(false, 0)
	}
}

// miss records that a target was reached only through a tunnel.
func (t *Tunneler) miss(target sd.Address) {
	now := t.Clock.Now()
	t.lock.Lock()
	t.missed[target] = now
	count := 0
	for other, at := range t.missed {
		switch {
		case now.Since(at) >= missedTTL:
			delete(t.missed, other)
		case at > t.reachedAt:
			count++
		}
	}
	was := t.detached
	t.detached = was || count >= detachedAfter
	becomes := t.detached && !was
	t.lock.Unlock()
	switch {
	case becomes:
		t.change(true, count)
	case !was:
		t.checkAnother()
	}
}

// checkAnother checks the path to a target that was not missed, as requests on idle
// connections to it would be lost before they tell that the host is detached.
func (t *Tunneler) checkAnother() {
	targets := t.Targets()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, target := range targets {
		if missed, _ := t.state(target); !missed {
			t.check(target)
			return
		}
	}
}

// check opens a connection to a target for what that tells of the path. One check runs at
// a time.
func (t *Tunneler) check(target sd.Address) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.checking || t.closing.Err() != nil {
		return
	}
	t.checking = true
	t.running.Go(func() {
		conn, err := t.Dial(t.closing, target, checkTimeout)
		if err == nil {
			_ = conn.Close()
		}
		t.lock.Lock()
		t.checking = false
		t.lock.Unlock()
	})
}

func (t *Tunneler) change(detached bool, missed int) {
	t.Log.Warn("host reaches no targets, or does again", zap.Int("event", eventDetached), zap.Bool("detached", detached), zap.Int("missed", missed))
	if t.Changed != nil {
		t.Changed()
	}
}

// routes returns the hosts through which a tunnel may be opened, in the order in which
// they are asked: by turns one of the own zone and one of another, as the whole zone
// may be partitioned.
func (t *Tunneler) routes() []sd.Address {
	var near, far []sd.Address
	for _, p := range t.Peers() {
		switch {
		case p.Leaving || p.Detached:
		case p.Zone == t.Zone:
			near = append(near, p.Address)
		default:
			far = append(far, p.Address)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	var routes []sd.Address
	for i := range max(len(near), len(far)) {
		routes = append(routes, near[min(i, len(near)):min(i+1, len(near))]...)
		routes = append(routes, far[min(i, len(far)):min(i+1, len(far))]...)
	}
	return routes[:min(len(routes), maxRoutes)]
}

// openTunnel opens a tunnel through the first host that connects to the target. The error
// is syscall.ECONNREFUSED if a host says that the target refuses connections and none
// connects.
func (t *Tunneler) openTunnel(ctx context.Context, routes []sd.Address, target sd.Address) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan attempt, len(routes))
	next, open := 0, 0
	start := func() {
		through := routes[next]
		next++
		open++
		go func() {
			conn, err := openThrough(ctx, through, target)
			results <- attempt{conn: conn, err: err}
		}()
	}
	finish := func() {
		cancel()
		for range open {
			if r := <-results; r.err == nil {
				_ = r.conn.Close()
			}
		}
	}
	start()
	timer := time.NewTimer(routeDelay.Duration())
	defer timer.Stop()
	refusals := 0
	var failure error
	for open > 0 {
		select {
		case <-timer.C:
		case r := <-results:
			open--
			if r.err == nil {
				t.running.Go(finish)
				if t.Opened != nil {
					t.Opened()
				}
				return r.conn, nil
			}
			if errors.Is(r.err, syscall.ECONNREFUSED) {
				refusals++
				failure = r.err
			} else if failure == nil {
				failure = r.err
			}
		}
		if next < len(routes) && refusals < maxRefusals && ctx.Err() == nil {
			start()
			timer.Reset(routeDelay.Duration())
		}
	}
	cancel()
	return nil, failure
}

// Run probes the targets while the host is detached, until ctx ends.
func (t *Tunneler) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		targets := t.Targets()
		if !t.Detached() || len(targets) == 0 {
			continue
		}
		target := targets[rand.IntN(len(targets))]
		conn, err := t.Direct.Dial(ctx, target, probeTimeout)
		if err != nil {
			continue
		}
		_ = conn.Close()
		t.reach(target)
	}
}
