package relayer

import (
	"context"
	"math/rand/v2"
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
	// and hardly ever 0.4 s of them, as each host has one under way.
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

// Reaches reports whether this host reaches the store itself.
func (r *Relay) Reaches() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return !r.lost
}

// Settled returns how long this host has reached the store without a break.
func (r *Relay) Settled() sd.Millis {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.lost {
		return 0
	}
	return r.clock.Now().Since(r.backAt)
}

// Order is a call in the form in which peers pass it on.
type Order struct {
	Update *sd.Update `json:"update,omitempty"`
	List   *listOrder `json:"list,omitempty"`
	Watch  *watch     `json:"watch,omitempty"`
}

type listOrder struct {
	Table, Part, From, To string
}

type watch struct {
	Table string
	After uint64
	Wait  sd.Millis
}

// part returns the part that a call concerns; tables that are watched lie in the unnamed one.
func (o Order) part() string {
	switch {
	case o.List != nil:
		return o.List.Part
	case o.Update == nil:
		return ""
	}
	for _, list := range [][]sd.Record{o.Update.Expect, o.Update.Put} {
		if len(list) > 0 {
			return list[0].Part
		}
	}
	if len(o.Update.Remove) > 0 {
		return o.Update.Remove[0].Part
	}
	return ""
}

// Result is what a peer returns. A conflict comes with its page, so errors are
// told by their kind.
type Result struct {
	Page    sd.Page
	Kind    string
	Message string
}

// The kinds of errors on the wire between hosts.
const (
	kindUnavailable = "unavailable"
	kindCrowded     = "crowded"
	kindUncertain   = "uncertain"
	kindConflict    = "conflict"
	kindAbsent      = "absent"
)

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

// perform makes a call at a store.
func perform(ctx context.Context, store sd.Store, o Order) (sd.Page, error) {
	switch {
	case o.Update != nil:
		return store.Commit(ctx, *o.Update)
	case o.List != nil:
		return store.List(ctx, o.List.Table, o.List.Part, o.List.From, o.List.To)
	case o.Watch != nil:
		return store.Watch(ctx, o.Watch.Table, o.Watch.After, o.Watch.Wait)
	}
	return sd.Page{}, sd.Unavailable.New("empty order")
}

type outcome struct {
	page   sd.Page
	err    error
	direct bool
}

// definite reports whether an error is the store's own word.
func definite(err error) bool {
	return err == nil || errorx.IsOfType(err, sd.Conflict) || errorx.IsOfType(err, sd.Absent)
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
			if !relay || (errorx.IsOfType(end.err, sd.Crowded) && r.Reaches()) {
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
	r.lock.Lock()
	defer r.lock.Unlock()
	r.open++
	r.lastCall = now
	if len(r.parts) < partsKept && !slices.Contains(r.parts, part) {
		r.parts = append(r.parts, part)
	}
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

// doubt has a probe look whether the store answers in good time.
func (r *Relay) doubt() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.look(r.clock.Now())
}

func (r *Relay) look(now sd.Instant) {
	if r.probing || now.Since(r.probed) < probeEvery {
		return
	}
	r.probing, r.probed = true, now
	go r.probe(0)
}

// Suspect looks at once whether this host reaches the store: a peer has just lost
// it, or the store has refused a call.
func (r *Relay) Suspect() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.lost {
		r.look(r.clock.Now())
	}
}

// probe reads no row from the store itself until it is told an answer or has lost the
// store, and then until the store is found again. Its word alone decides. It begins
// after a pause.
func (r *Relay) probe(pause sd.Millis) {
	for again := true; again; pause, again = r.next() {
		time.Sleep(pause.Duration())
		for range refusedCalls {
			err := r.ping()
			if !errorx.IsOfType(err, sd.Crowded) || !r.Reaches() {
				break
			}
			time.Sleep(probeAgain.Duration())
		}
	}
}

// ping reads no row from the store itself, and from a second part if the first does not
// answer quickly: one part alone may be away. Reads that are overdue count as failed; if one
// is answered all the same, the store is slow and not lost.
func (r *Relay) ping() error {
	start := r.clock.Now()
	parts := r.pingParts()
	ends := make(chan error, len(parts))
	open := 0
	read := func() {
		if open == len(parts) {
			return
		}
		part := parts[open]
		open++
		go func() { ends <- r.pingPart(part) }()
	}
	read()
	hedge, overdue := time.NewTimer(quickAnswer.Duration()), time.NewTimer(r.patience().Duration())
	defer hedge.Stop()
	defer overdue.Stop()
	for ended := 0; ; {
		select {
		case err := <-ends:
			ended++
			if definite(err) {
				return nil
			}
			if !errorx.IsOfType(err, sd.Crowded) {
				read()
			}
			if ended == open {
				r.note(err, start, lostAfter)
				return err
			}
		case <-hedge.C:
			read()
		case <-overdue.C:
			err := sd.Uncertain.New("store did not answer a probe")
			r.note(err, start, lostAfter)
			return err
		}
	}
}

// pingParts returns the parts that the next probe reads. Those of a lost store take turns;
// one part alone is asked, as all that answer will do.
func (r *Relay) pingParts() []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.lost {
		r.well = (r.well + 1) % len(r.parts)
		return []string{r.parts[r.well]}
	}
	parts := []string{r.parts[r.well]}
	if len(r.parts) > 1 {
		parts = append(parts, r.parts[(r.well+1)%len(r.parts)])
	}
	return parts
}

// pingPart reads no row from a part, and notes an answer.
func (r *Relay) pingPart(part string) error {
	ctx, cancel := context.WithTimeout(context.Background(), slowest.Duration())
	defer cancel()
	start := r.clock.Now()
	_, err := r.direct.List(ctx, probeTable, part, "~", "~~")
	if definite(err) {
		r.note(err, start, lostAfter)
		r.lock.Lock()
		r.well = max(0, slices.Index(r.parts, part))
		r.lock.Unlock()
	}
	return err
}

// next returns the pause before the next probe, or false if none is due: the store is
// reached, or nobody calls it.
func (r *Relay) next() (sd.Millis, bool) {
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.lost || (r.open == 0 && now.Since(r.lastCall) > idleAfter) {
		r.probing = false
		return 0, false
	}
	due := max(r.probed.Add(probeEvery), now)
	r.probed = due
	return due.Since(now), true
}

// Away reports whether neither this host nor a peer that it hears reaches the
// store in good time.
func (r *Relay) Away() bool {
	return !r.Reaches() && len(r.peers(true)) == 0
}

func (r *Relay) changed() {
	if r.Changed != nil {
		r.Changed()
	}
}

// note takes the outcome of a direct call, when that was sent, and as how many failures
// one counts.
func (r *Relay) note(err error, sent sd.Instant, weight int) {
	now := r.clock.Now()
	took := now.Since(sent)
	r.lock.Lock()
	defer r.lock.Unlock()
	if definite(err) {
		if took < quickAnswer {
			r.quickAt = max(r.quickAt, sent)
		}
		if sent >= r.quickAt {
			r.usual = took
		}
		r.failures, r.refused = 0, 0
		if r.lost {
			r.lost, r.backAt = false, now
			close(r.found)
			r.found = make(chan struct{})
			r.changed()
			r.log.Info("store is reached again", zap.Int("event", eventStoreBack), zap.Int64("lost_ms", int64(now.Since(r.lostAt))))
		}
		return
	}
	if sent < r.quickAt {
		// Only this call failed, or only its part of the store.
		return
	}
	if errorx.IsOfType(err, sd.Crowded) {
		// The store refuses some calls of all hosts when there are too many, and all
		// calls of some hosts when it turns those away.
		if r.refused == 0 {
			r.refusedAt = now
		}
		r.refused++
		if !r.lost {
			r.look(now)
		}
		if r.refused < refusedCalls || now.Since(r.refusedAt) < refusedFor {
			return
		}
	}
	r.failures += weight
	if !r.lost && r.failures >= lostAfter {
		r.lost, r.lostAt, r.probed = true, now, now
		if !r.probing {
			r.probing = true
			go r.probe(probeEvery)
		}
		r.changed()
		r.log.Warn("store is not reached", zap.Int("event", eventStoreLost), zap.Int("failures", r.failures),
			zap.Int64("took_ms", int64(took)), zap.Error(err))
	}
}

// ask has a peer make the call, one of the own zone if there is one.
func (r *Relay) ask(ctx context.Context, o Order) (sd.Page, error) {
	peers := r.peers(true)
	if len(peers) == 0 {
		return sd.Page{}, sd.Unavailable.New("no peer reaches the store")
	}
	var near []gossiper.Peer
	for _, p := range peers {
		if p.Zone == r.zone {
			near = append(near, p)
		}
	}
	if len(near) > 0 {
		peers = near
	}
	peer := peers[rand.IntN(len(peers))]
	if r.Relayed != nil {
		r.Relayed()
	}
	got, err := messenger.Ask[Order, Result](ctx, r.client, peer.Address, Message, o)
	if err != nil {
		return sd.Page{}, sd.Uncertain.Wrap(err, "peer %s did not answer", peer.Host)
	}
	switch got.Kind {
	case "":
		return got.Page, nil
	case kindConflict:
		return got.Page, sd.Conflict.New("%s", got.Message)
	case kindAbsent:
		return got.Page, sd.Absent.New("%s", got.Message)
	case kindCrowded:
		return got.Page, sd.Crowded.New("%s", got.Message)
	case kindUnavailable:
		return got.Page, sd.Unavailable.New("%s", got.Message)
	}
	return got.Page, sd.Uncertain.New("%s", got.Message)
}

// Message is the name under which hosts send orders to one another.
const Message = "store"

// Answer makes another host's call, directly only.
func (r *Relay) Answer(ctx context.Context, o Order) (Result, error) {
	page, err := r.do(ctx, o, false)
	got := Result{Page: page}
	if err != nil {
		got.Message, got.Kind = err.Error(), kindUncertain
		switch {
		case errorx.IsOfType(err, sd.Conflict):
			got.Kind = kindConflict
		case errorx.IsOfType(err, sd.Absent):
			got.Kind = kindAbsent
		case errorx.IsOfType(err, sd.Crowded):
			got.Kind = kindCrowded
		case errorx.IsOfType(err, sd.Unavailable):
			got.Kind = kindUnavailable
		}
	}
	return got, nil
}
