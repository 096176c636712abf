package tunneler

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// Log events of this package, listed in docs/EVENTS.md.
const (
	eventDetached = 663
	eventTunnel   = 664
)

const (
	// hedgeDelay is how long a direct connection may take before a tunnel is opened as
	// well: some fifty times the usual handshake.
	hedgeDelay = 100 * sd.Millisecond
	// missedTTL is how long a missed target is dialled both ways at once.
	missedTTL = 5 * sd.Second
	// surveySize is the number of targets that tell whether this host reaches any, enough
	// that a host which misses half of the targets seldom counts as detached.
	surveySize = 3
	// surveyInterval is the shortest time between two surveys.
	surveyInterval = 500 * sd.Millisecond
	// probeInterval is how often a detached host tries a target, and probeTimeout how long
	// a probe waits for the connection.
	probeInterval = 250 * sd.Millisecond
	probeTimeout  = 200 * sd.Millisecond
	// evidenceTTL is how long a direct connection is evidence that this host reaches targets.
	evidenceTTL = sd.Second
	// maxRoutes is the number of hosts tried for one connection.
	maxRoutes = 4
	// routeDelay is how long a host may take to open a tunnel before the next one is asked.
	routeDelay = 40 * sd.Millisecond
	// carriersTTL is how long the list of the other hosts is used; they are heard about as often.
	carriersTTL = 100 * sd.Millisecond
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
	// missed holds when each target was last reached through a tunnel only, reachedAt when
	// a direct connection last succeeded.
	missed    map[sd.Address]sd.Instant
	reachedAt sd.Instant
	detached  bool
	// surveying is set during a survey, surveyedAt is when the last one began.
	surveying  bool
	surveyedAt sd.Instant
	// carriers are the hosts that may carry tunnels, as of carriersAt.
	carriers   map[sd.Address]sd.Incarnation
	carriersAt sd.Instant

	server server
	// running counts what outlives a Dial. Once closed, nothing is added to it.
	running sync.WaitGroup
	closed  bool
	closing context.Context
	cancel  context.CancelFunc
}

// New returns a Tunneler. A detached host is attached again only while Run is running.
func New(config Config) *Tunneler {
	t := &Tunneler{Config: config, missed: map[sd.Address]sd.Instant{}}
	t.closing, t.cancel = context.WithCancel(context.Background())
	return t
}

// Detached reports whether the host reaches no targets directly.
func (t *Tunneler) Detached() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.detached
}

// begin adds to running, unless the Tunneler is closed.
func (t *Tunneler) begin() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.closed {
		return false
	}
	t.running.Add(1)
	return true
}

// attempt is the result of one way to a target.
type attempt struct {
	conn   net.Conn
	err    error
	tunnel bool
}

// Dial implements sd.Dialer. The error is syscall.ECONNREFUSED only if a host that reaches
// other targets was refused, or if there is no other host to ask.
func (t *Tunneler) Dial(ctx context.Context, target sd.Address, timeout sd.Millis) (net.Conn, error) {
	routes := t.routes()
	if len(routes) == 0 || !t.begin() {
		return t.Direct.Dial(ctx, target, timeout)
	}
	r := &race{Tunneler: t, target: target, timeout: timeout, routes: routes, results: make(chan attempt, 2)}
	// The slower way goes on after the caller has left, as its result tells of the path.
	r.ctx, r.stop = context.WithTimeout(context.WithoutCancel(ctx), timeout.Duration())
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
			go r.finish(attempt{})
			return nil, ctx.Err()
		case <-hedge.C:
			r.startTunnel()
		case a := <-r.results:
			r.open--
			if a.err == nil {
				go r.finish(a)
				return a.conn, nil
			}
			if failure == nil || a.tunnel {
				// This host may not reach the target, so another one tells better whether its
				// process is down.
				failure = a.err
			}
			if r.down = a.tunnel && errors.Is(a.err, syscall.ECONNREFUSED); r.down {
				go r.finish(attempt{})
				return nil, failure
			}
			r.startTunnel()
			r.startDirect()
		}
	}
	go r.finish(attempt{})
	return nil, failure
}

// race opens a connection directly and through a tunnel.
type race struct {
	*Tunneler
	target            sd.Address
	timeout           sd.Millis
	routes            []gossiper.Peer
	ctx               context.Context
	stop              context.CancelFunc
	results           chan attempt
	open              int
	direct, tunnelled bool
	// down is set if another host says that the target's process is down.
	down bool
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
	defer r.running.Done()
	defer r.stop()
	reached, tunnelled := winner.conn != nil && !winner.tunnel, winner.conn != nil && winner.tunnel
	if reached {
		r.stop()
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
	case tunnelled:
		r.miss(r.target)
		r.survey()
	case !r.down:
		r.survey()
	}
}

// Usable implements sd.Dialer. A tunnel is used only while the target is not reached
// directly and the host that carries it is the same process, is heard and reaches targets.
func (t *Tunneler) Usable(conn net.Conn, target sd.Address) bool {
	missed, detached := t.state(target)
	if c, ok := conn.(*tunnel); ok {
		incarnation, carries := t.carrier(c.through)
		return (missed || detached) && carries && incarnation == c.incarnation
	}
	return !missed && !detached
}

// carrier returns the incarnation of the host with an address, if it may carry tunnels.
func (t *Tunneler) carrier(at sd.Address) (sd.Incarnation, bool) {
	now := t.Clock.Now()
	t.lock.Lock()
	stale := t.carriers == nil || now.Since(t.carriersAt) >= carriersTTL
	t.lock.Unlock()
	if stale {
		carriers := map[sd.Address]sd.Incarnation{}
		for _, p := range t.Peers() {
			if !p.Leaving && !p.Detached {
				carriers[p.Address] = p.Incarnation
			}
		}
		t.lock.Lock()
		t.carriers, t.carriersAt = carriers, now
		t.lock.Unlock()
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	incarnation, known := t.carriers[at]
	return incarnation, known
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
		t.change(false)
	}
}

// miss records that a target was reached only through a tunnel.
func (t *Tunneler) miss(target sd.Address) {
	now := t.Clock.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	t.missed[target] = now
	for other, at := range t.missed {
		if now.Since(at) >= missedTTL {
			delete(t.missed, other)
		}
	}
}

func (t *Tunneler) change(detached bool) {
	t.Log.Warn("host reaches no targets, or does again", zap.Int("event", eventDetached), zap.Bool("detached", detached))
	if t.Changed != nil {
		t.Changed()
	}
}

// survey tries some targets directly that were not missed, in the background. If none is
// reached, the host is detached. Requests on idle connections to them would otherwise
// be lost before that is known.
func (t *Tunneler) survey() {
	var others []sd.Address
	for _, target := range t.Targets() {
		if missed, _ := t.state(target); !missed {
			others = append(others, target)
		}
	}
	now := t.Clock.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.closed || t.detached || t.surveying || len(others) == 0 || (t.surveyedAt != 0 && now.Since(t.surveyedAt) < surveyInterval) {
		return
	}
	t.surveying, t.surveyedAt = true, now
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), surveySize)]
	t.running.Go(func() {
		results := make(chan bool, len(others))
		for _, target := range others {
			go func() { results <- t.probe(t.closing, target) }()
		}
		reached := false
		for range others {
			reached = <-results || reached
		}
		t.lock.Lock()
		t.surveying = false
		becomes := !reached && t.reachedAt <= now && !t.detached && t.closing.Err() == nil
		t.detached = t.detached || becomes
		t.lock.Unlock()
		if becomes {
			t.change(true)
		}
	})
}

// probe reports whether a direct connection to a target can be opened.
func (t *Tunneler) probe(ctx context.Context, target sd.Address) bool {
	conn, err := t.Direct.Dial(ctx, target, probeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	t.reach(target)
	return true
}

// judge tells what a refused connection says of the target: errorRefused if this host
// certainly reaches other targets, errorAlone if there is no other target to tell by, or
// empty, as this host may be partitioned.
func (t *Tunneler) judge(ctx context.Context, refused sd.Address) string {
	now := t.Clock.Now()
	t.lock.Lock()
	evident := !t.detached && t.reachedAt != 0 && now.Since(t.reachedAt) < evidenceTTL
	t.lock.Unlock()
	if evident {
		return errorRefused
	}
	others := slices.DeleteFunc(t.Targets(), func(target sd.Address) bool { return target == refused })
	if len(others) == 0 {
		return errorAlone
	}
	if t.probe(ctx, others[rand.IntN(len(others))]) {
		return errorRefused
	}
	return ""
}

// routes returns the hosts through which a tunnel may be opened, in the order in which
// they are asked: by turns one of the own zone and one of another, as the whole zone
// may be partitioned.
func (t *Tunneler) routes() []gossiper.Peer {
	var near, far []gossiper.Peer
	for _, p := range t.Peers() {
		switch {
		case p.Leaving || p.Detached:
		case p.Zone == t.Zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	var routes []gossiper.Peer
	for i := range max(len(near), len(far)) {
		routes = append(routes, near[min(i, len(near)):min(i+1, len(near))]...)
		routes = append(routes, far[min(i, len(far)):min(i+1, len(far))]...)
	}
	return routes[:min(len(routes), maxRoutes)]
}

// openTunnel opens a tunnel through the first host that connects to the target. The error
// is syscall.ECONNREFUSED if a host that reaches other targets says that this one refuses
// connections, or if it is the only target and refuses those of all hosts asked.
func (t *Tunneler) openTunnel(ctx context.Context, routes []gossiper.Peer, target sd.Address) (net.Conn, error) {
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
	// The caller counts in running until all ways have ended.
	finish := func() {
		defer t.running.Done()
		cancel()
		for range open {
			if a := <-results; a.err == nil {
				_ = a.conn.Close()
			}
		}
	}
	start()
	timer := time.NewTimer(routeDelay.Duration())
	defer timer.Stop()
	alone := 0
	var failure error
	for open > 0 {
		select {
		case <-timer.C:
		case a := <-results:
			open--
			if errors.Is(a.err, errRefusedAlone) {
				alone++
			}
			if a.err == nil || errors.Is(a.err, syscall.ECONNREFUSED) {
				t.running.Add(1)
				go finish()
				if a.err == nil && t.Opened != nil {
					t.Opened()
				}
				return a.conn, a.err
			}
			failure = a.err
		}
		if next < len(routes) && ctx.Err() == nil {
			start()
			timer.Reset(routeDelay.Duration())
		}
	}
	cancel()
	if alone == next {
		return nil, syscall.ECONNREFUSED
	}
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
		if targets := t.Targets(); t.Detached() && len(targets) > 0 {
			t.probe(ctx, targets[rand.IntN(len(targets))])
		}
	}
}

// Close ends all tunnels that this host carries and what goes on in the background, and
// waits for both. Dial connects directly from then on.
func (t *Tunneler) Close() {
	t.lock.Lock()
	t.closed = true
	t.lock.Unlock()
	t.cancel()
	t.server.end()
	t.running.Wait()
}
