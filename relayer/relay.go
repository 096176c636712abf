package relayer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// Events of this package; docs/EVENTS.md lists them.
const (
	eventStoreLost = 630
	eventStoreBack = 631
)

const (
	// hedgeAfter is how long a call waits before a peer is asked as well: several
	// times the store's usual answer.
	hedgeAfter = 120 * sd.Millisecond
	// hedgeAgain is how often it is looked again whether a peer should be asked.
	hedgeAgain = 60 * sd.Millisecond
	// quickAnswer tells a store that is well from a slow one: it answers in some 10 ms, a
	// slow one takes 170 ms at least.
	quickAnswer = 60 * sd.Millisecond
	// giveUpAfter is how long a call waits while calls sent after it are answered quickly:
	// 40 times the store's usual answer. A part has a second's transactions waiting at most,
	// and hardly ever 0.4 s of them, but as hundreds of hosts start together.
	giveUpAfter = 400 * sd.Millisecond
	// callTimeout bounds a call to a store that is well: a part has a second's transactions
	// waiting at most.
	callTimeout = 1500 * sd.Millisecond
	// slowTimeout bounds a call to a slow store: a transaction takes some 600 ms there once
	// those before it have ended.
	slowTimeout = 3 * sd.Second
	// slowTimes is how many times a slow store's last answer the next one may take.
	slowTimes = 3
	// slowest is how long an answer to a probe is waited for: three times as long as a slow
	// store takes.
	slowest = 900 * sd.Millisecond
	// lostAfter is the number of failures in a row after which the store counts as
	// lost to this host; one alone may be a lost answer.
	lostAfter = 2
	// refusedCalls and refusedFor tell a store that turns this host away from one
	// that has too much to do: the latter answers some calls in between.
	refusedCalls = 6
	refusedFor   = 200 * sd.Millisecond
	// probeAgain is the pause between the probes of a store that refuses: as many as tell
	// that it turns this host away fit into refusedFor.
	probeAgain = 45 * sd.Millisecond
	// probeEvery is how often a lost store is tried again.
	probeEvery = 300 * sd.Millisecond
	// idleAfter is how long after the last call a lost store is not tried any more: longer
	// than the pauses of those who follow its tables.
	idleAfter = sd.Second
)

// probeTable is the table that a probe reads; its rows do not matter.
const probeTable = "status"

// partsKept bounds the parts among which probes choose: an installation has some five.
const partsKept = 8

// Relay is a store that is reached directly or through peers. It implements
// sd.Store and is safe for concurrent use.
type Relay struct {
	direct sd.Store
	peers  func(reaching bool) []gossiper.Peer
	zone   sd.ZoneName
	clock  sd.Clock
	log    *zap.Logger
	client *messenger.Client
	// Relayed is told of each call that a peer made.
	Relayed func()
	// Changed is told when this host has lost the store or reaches it again.
	Changed func()

	lock sync.Mutex
	// open counts the calls under way; lastCall is when one was last begun or ended.
	open     int
	lastCall sd.Instant
	failures int
	// usual is how long the store's last answer took that was no transaction's wait.
	usual sd.Millis
	// refused counts calls refused for overload with no other answer between them.
	refused   int
	refusedAt sd.Instant
	lost      bool
	lostAt    sd.Instant
	backAt    sd.Instant
	// quickAt is when the last of the calls was sent that the store answered quickly.
	quickAt sd.Instant
	probed  sd.Instant
	probing bool
	// parts are those that calls were made to; well is the one that last answered a probe.
	parts []string
	well  int
	// found is closed when the store is found again.
	found chan struct{}
}

// New returns a Relay of direct; peers returns the hosts that are alive.
func New(direct sd.Store, peers func(reaching bool) []gossiper.Peer, zone sd.ZoneName, client *messenger.Client, clock sd.Clock, log *zap.Logger) *Relay {
	return &Relay{direct: direct, peers: peers, zone: zone, client: client, clock: clock, log: log, found: make(chan struct{}), parts: []string{""}}
}

// Know names parts of the store that probes may read. Those that calls are made to are
// known as well.
func (r *Relay) Know(parts ...string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, part := range parts {
		if len(r.parts) < partsKept && !slices.Contains(r.parts, part) {
			r.parts = append(r.parts, part)
		}
	}
}

// Reaches reports whether this host reaches the store itself.
func (r *Relay) Reaches() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return !r.lost
}

// Commit implements sd.Store.
func (r *Relay) Commit(ctx context.Context, update sd.Update) (sd.Page, error) {
	return r.do(ctx, Order{Update: &update}, true)
}

// List implements sd.Store.
func (r *Relay) List(ctx context.Context, table, part, from, to string) (sd.Page, error) {
	return r.do(ctx, Order{List: &listOrder{table, part, from, to}}, true)
}

// Watch implements sd.Store.
func (r *Relay) Watch(ctx context.Context, table string, after uint64, wait sd.Millis) (sd.Page, error) {
	return r.do(ctx, Order{Watch: &watch{table, after, wait}}, true)
}

type outcome struct {
	page   sd.Page
	err    error
	direct bool
}

// do makes a call directly, and, if it may be relayed, by way of a peer if that fails,
// takes long, or has failed lately.
func (r *Relay) do(parent context.Context, o Order, relay bool) (sd.Page, error) {
	hedge := hedgeAfter
	if o.Watch != nil {
		hedge += o.Watch.Wait
	}
	ctx, cancel := context.WithTimeout(parent, (hedge + slowTimeout).Duration())
	defer cancel()
	limit := time.NewTimer((hedge + callTimeout).Duration())
	defer limit.Stop()
	sent, found := r.begin(o.part())
	defer r.end()
	outcomes := make(chan outcome, 2)
	open, relayed := 0, !relay
	ask := func(direct bool) {
		open++
		relayed = relayed || !direct
		go func() {
			if direct {
				page, err := r.measure(ctx, o)
				outcomes <- outcome{page, err, true}
				return
			}
			page, err := r.ask(ctx, o)
			outcomes <- outcome{page, err, false}
		}()
	}
	ask(!relay || r.try())
	timer := time.NewTimer(hedge.Duration())
	defer timer.Stop()
	uncertain := false
	for {
		select {
		case end := <-outcomes:
			open--
			if definite(end.err) {
				return end.page, end.err
			}
			if !relay || (errorx.IsOfType(end.err, sd.Busy) && r.Reaches()) {
				// In a crowd a peer would only add to what the store has to do.
				if uncertain || open > 0 {
					return sd.Page{}, sd.Uncertain.Wrap(end.err, "call may have taken effect another way")
				}
				return sd.Page{}, end.err
			}
			uncertain = uncertain || errorx.IsOfType(end.err, sd.Uncertain)
			if !relayed && ctx.Err() == nil {
				ask(false)
				continue
			}
			if open > 0 {
				continue
			}
			if uncertain {
				return sd.Page{}, sd.Uncertain.Wrap(end.err, "call may have taken effect")
			}
			return sd.Page{}, sd.Unavailable.Wrap(end.err, "store not reached")
		case <-found:
			found = nil
			timer.Reset(hedgeAfter.Duration())
		case <-timer.C:
			now := r.clock.Now()
			if r.missed(o, sent, now) {
				return sd.Page{}, sd.Uncertain.New("not answered in %d ms, as later calls were", now.Since(sent))
			}
			// One part of the store may be slow for its load; a probe tells whether the
			// store is lost, and only then a peer that reaches it is asked too.
			if now.Since(sent) >= hedge-hedgeAfter+r.patience() {
				r.doubt()
			}
			if now.Since(sent) >= hedge && !relayed && !r.Reaches() && len(r.peers(true)) > 0 {
				ask(false)
			}
			timer.Reset(hedgeAgain.Duration())
		case <-limit.C:
			if !r.slow() {
				return sd.Page{}, sd.Uncertain.New("store did not answer in time")
			}
		case <-ctx.Done():
			return sd.Page{}, sd.Uncertain.Wrap(ctx.Err(), "store did not answer in time")
		}
	}
}

// patience is how long the store may take before it is doubted: several times its usual
// answer. A store that is slow for all is no quicker for peers.
func (r *Relay) patience() sd.Millis {
	r.lock.Lock()
	defer r.lock.Unlock()
	return min(max(hedgeAfter, slowTimes*r.usual), slowest)
}

// slow reports whether the store answers, and takes long.
func (r *Relay) slow() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return !r.lost && r.usual >= hedgeAfter
}

// begin notes a call to a part. It returns when it was sent, and what is closed when the store is
// found again.
func (r *Relay) begin(part string) (sd.Instant, <-chan struct{}) {
	now := r.clock.Now()
	r.Know(part)
	r.lock.Lock()
	defer r.lock.Unlock()
	r.open++
	r.lastCall = now
	return now, r.found
}

func (r *Relay) end() {
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	r.open--
	r.lastCall = now
}

// missed reports whether a call will hardly be answered: others that were sent later were
// answered quickly. That says nothing about a watch, unless the store was away meanwhile.
func (r *Relay) missed(o Order, sent, now sd.Instant) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if sent >= r.quickAt {
		return false
	}
	if !r.lost && sent < r.backAt && now.Since(r.backAt) >= hedgeAfter {
		return true
	}
	return o.Watch == nil && now.Since(sent) >= giveUpAfter
}

// measure makes a call at the store itself and notes how that went.
func (r *Relay) measure(ctx context.Context, o Order) (sd.Page, error) {
	start := r.clock.Now()
	page, err := perform(ctx, r.direct, o)
	if ctx.Err() != nil && !definite(err) {
		// The call was cancelled here.
		return page, err
	}
	took := r.clock.Now().Since(start)
	if o.Watch != nil && definite(err) {
		// A watch is meant to take long, its time tells nothing.
		return page, err
	}
	if !definite(err) || took < hedgeAfter {
		r.note(err, start, 1)
	}
	return page, err
}

// try reports whether a call should go to the store itself. While the store is
// lost and a peer reaches it, calls go there. A small read probes the way.
func (r *Relay) try() bool {
	reached := len(r.peers(true)) > 0
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.lost {
		return true
	}
	r.look(now)
	return !reached
}

// Away reports whether neither this host nor a peer that it hears reaches the
// store in good time.
func (r *Relay) Away() bool {
	return !r.Reaches() && len(r.peers(true)) == 0
}
