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
	"sapphiredrum.example/sapphiredrum/reserver"
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
	// evidenceTTL is how long a direct connection is evidence that this host reaches targets. A
	// partition may have begun since.
	evidenceTTL = 100 * sd.Millisecond
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
	// MaxIdle is how long an idle tunnel may be used: less than targets that leave serve on.
	// The host that carries it does not see their announcements.
	MaxIdle sd.Millis
	// Budget, if set, bounds the memory of the tunnels carried for other hosts.
	Budget *reserver.Budget
	Clock  sd.Clock
	Log    *zap.Logger
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

// Usable implements sd.Dialer. A tunnel is used only while the target is not reached
// directly and the host that carries it is the same process, is heard and reaches targets, and
// not after it was idle for MaxIdle.
func (t *Tunneler) Usable(conn net.Conn, target sd.Address) bool {
	missed, detached := t.state(target)
	if c, ok := conn.(*tunnel); ok {
		incarnation, carries := t.carrier(c.through)
		return (missed || detached) && carries && incarnation == c.incarnation && c.idle() < t.MaxIdle
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
