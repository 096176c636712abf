package archiver

import (
	"context"
	"math"
	"slices"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// Peers are the other hosts, as an Archive sees them. The zero Peers are none,
// and the store is never away.
type Peers struct {
	Self gossiper.Peer
	// Alive returns the hosts that were heard lately.
	Alive func() []gossiper.Peer
	// Hosts returns the number of hosts known, this one included.
	Hosts func() int
	// Away reports whether no host in reach reaches the store in good time.
	Away func() bool
	// Settled returns how long this host has reached the store without a break.
	Settled func() sd.Millis
	Client  *messenger.Client
}

const (
	// askTimeout bounds a message to a peer: a hundred round trips.
	askTimeout = 250 * sd.Millisecond
	// claimTimeout bounds the question for a claim, whose answers hold accounts.
	claimTimeout = 300 * sd.Millisecond
	// claimsSettle is how long the store must have been reached before claims end: by then what ran without it has been written.
	claimsSettle = 1500 * sd.Millisecond
	// claimsEvery is how often claims are looked over.
	claimsEvery = 500 * sd.Millisecond
)

// claim is the right of this host to decide about the programs of a part while the
// store is away. A majority of all hosts has agreed to leave them to this host.
type claim struct {
	// ready is closed once the hosts were asked; held tells what they said.
	ready chan struct{}
	held  bool
	// holder is the host that has the claim instead, if one has.
	holder sd.Address
	// known are the accounts at the newest version that any host has seen, and those
	// of programs that began since.
	known map[Key]Snapshot
	// foreign are operations that other hosts have yet to write.
	foreign map[Key][]Operation
	// open are turns that run without a reservation in the store.
	open map[Key][]Reservation
}

// holderAt returns the address of the claim's holder, this host's if that holds it.
func (c *claim) holderAt(self sd.Address) sd.Address {
	if c.held {
		return self
	}
	return ""
}

// fence is a promise to leave a part to another host.
type fence struct {
	holder gossiper.Peer
}

// Messages between hosts.
const (
	messageClaim   = "claim"
	messageRelease = "release"
	messageReserve = "reserve"
	messageSettle  = "settle"
	messageRecall  = "recall"
	messageCache   = "cache"
)

// Claim asks a host to leave a part to the sender.
type Claim struct {
	From gossiper.Peer
	Part string
	// Look only asks who has the part.
	Look bool
}

// Claimed is the answer to a Claim.
type Claimed struct {
	// Denied tells that the answering host does not agree, as it has agreed with
	// Holder or holds the claim itself.
	Denied bool
	Holder sd.Address
	// Accounts are those that the answering host knows.
	Accounts map[Key]Snapshot
	// Operations are those that the answering host has yet to write.
	Operations []Operation
}

// Done is the answer to messages that need none.
type Done struct{}

// Answer registers what this host answers to others.
func (a *Archive) Answer(router messenger.Router) {
	messenger.Handle(router, messageClaim, a.answerClaim)
	messenger.Handle(router, messageRelease, a.answerRelease)
	messenger.Handle(router, messageReserve, a.answerReserve)
	messenger.Handle(router, messageSettle, a.answerSettle)
	messenger.Handle(router, messageRecall, a.answerRecall)
	messenger.Handle(router, messageCache, a.answerCache)
}

func (a *Archive) away() bool {
	away := a.peers.Away != nil && a.peers.Away()
	if away {
		a.awayAt.Store(int64(a.clock.Now()))
	}
	return away
}

// heldElsewhere reports whether another host holds the claim on a program's part as
// the store has just come back. What ran without it may have yet to be written, so
// the holder decides for a while, also for hosts that were not asked for the claim.
func (a *Archive) heldElsewhere(ctx context.Context, program Key) bool {
	awayAt, now := sd.Instant(a.awayAt.Load()), a.clock.Now()
	if awayAt == 0 || now.Since(awayAt) > claimsSettle {
		return false
	}
	w := a.worker(program)
	w.look.Lock()
	defer w.look.Unlock()
	if w.lookedAt > awayAt {
		return a.claimed(program)
	}
	w.lookedAt = now
	_, holder := a.collect(context.WithoutCancel(ctx), Claim{From: a.peers.Self, Part: w.lane.Part, Look: true}, nil)
	return a.learnHolder(w, holder)
}

// learnHolder leaves a part to the host at an address. It reports whether one was
// found.
func (a *Archive) learnHolder(w *worker, holder sd.Address) bool {
	for _, p := range a.alive() {
		if p.Address == holder {
			w.lock.Lock()
			defer w.lock.Unlock()
			if w.fence == nil {
				w.fence = &fence{holder: p}
			}
			return true
		}
	}
	return false
}

func (a *Archive) alive() []gossiper.Peer {
	if a.peers.Alive == nil {
		return nil
	}
	return a.peers.Alive()
}

// same reports whether two peers are the same start of a host.
func same(a, b gossiper.Peer) bool { return a.Host == b.Host && a.Incarnation == b.Incarnation }

// lives reports whether a peer was heard lately.
func (a *Archive) lives(p gossiper.Peer) bool {
	return slices.ContainsFunc(a.alive(), func(other gossiper.Peer) bool { return same(p, other) })
}

// answerClaim leaves a part to another host, unless this host or a third one has
// claimed it.
func (a *Archive) answerClaim(_ context.Context, request Claim) (Claimed, error) {
	w := a.lane(request.Part)
	if w == nil {
		return Claimed{}, Malformed.New("there is no part %q", request.Part)
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if c := w.claim; c != nil {
		// Where two hosts ask at the same time, the one that more hosts agree with goes
		// on.
		return Claimed{Denied: true, Holder: c.holderAt(a.peers.Self.Address)}, nil
	}
	if w.fence != nil && !same(w.fence.holder, request.From) && a.lives(w.fence.holder) {
		return Claimed{Denied: true, Holder: w.fence.holder.Address}, nil
	}
	if request.Look {
		return Claimed{Denied: true}, nil
	}
	w.fence = &fence{holder: request.From}
	answer := Claimed{Operations: w.lane.Operations(), Accounts: map[Key]Snapshot{}}
	for program, row := range w.lane.rows {
		if row.version > 0 {
			answer.Accounts[program] = Snapshot{Known: true, Stored: true, Account: row.account, Version: row.version}
		}
	}
	for program, learned := range w.learned {
		if learned.newer(answer.Accounts[program]) {
			answer.Accounts[program] = learned
		}
	}
	return answer, nil
}

// claim makes sure that this host has the claim on a part. It returns the address
// of the host that has it instead, if one has. Errors are Unavailable.
func (a *Archive) claim(ctx context.Context, w *worker) (*claim, sd.Address, error) {
	w.lock.Lock()
	if w.fence != nil && a.lives(w.fence.holder) {
		holder := w.fence.holder.Address
		w.lock.Unlock()
		return nil, holder, nil
	}
	if c := w.claim; c != nil {
		w.lock.Unlock()
		select {
		case <-c.ready:
		case <-ctx.Done():
			return nil, "", sd.Unavailable.Wrap(ctx.Err(), "claim not decided in time")
		}
		if c.holder != "" {
			return nil, c.holder, nil
		}
		if !c.held {
			return nil, "", sd.Unavailable.New("claim on part %s was not agreed to", w.lane.Part)
		}
		return c, "", nil
	}
	if !a.majority() {
		w.lock.Unlock()
		return nil, "", sd.Unavailable.New("fewer than half of %d hosts are in reach", a.peers.Hosts())
	}
	c := &claim{ready: make(chan struct{}), known: map[Key]Snapshot{}, foreign: map[Key][]Operation{}, open: map[Key][]Reservation{}}
	w.claim = c
	w.lock.Unlock()

	// Others wait for the outcome too, so it does not end with this request.
	agreed, holder := a.collect(context.WithoutCancel(ctx), Claim{From: a.peers.Self, Part: w.lane.Part}, c)
	w.lock.Lock()
	defer w.lock.Unlock()
	defer close(c.ready)
	// Each host agrees with one claim at a time, so that two never have a majority.
	c.held = 2*(agreed+1) > a.peers.Hosts()
	if !c.held {
		c.holder = holder
	}
	a.log.Info("part claimed", zap.Int("event", eventClaim), zap.String("part", w.lane.Part), zap.Bool("held", c.held),
		zap.Int("agreed", agreed), zap.Int("hosts", a.peers.Hosts()), zap.String("holder", string(c.holder)), zap.Int("accounts", len(c.known)))
	if c.held {
		return c, "", nil
	}
	w.claim = nil
	a.release(w.lane.Part)
	if c.holder != "" {
		return nil, c.holder, nil
	}
	return nil, "", sd.Unavailable.New("%d of %d hosts agreed to the claim", agreed+1, a.peers.Hosts())
}

// release tells all hosts in reach that a claim was not had, so that none keeps
// the part for this host.
func (a *Archive) release(part string) {
	for _, p := range a.alive() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout.Duration())
			defer cancel()
			if _, err := messenger.Ask[Claim, Done](ctx, a.peers.Client, p.Address, messageRelease, Claim{From: a.peers.Self, Part: part}); err != nil {
				a.log.Info("release of a part was not heard", zap.Int("event", eventClaim), zap.String("part", part),
					zap.String("peer", string(p.Host)), zap.Error(err))
			}
		}()
	}
}

// answerRelease ends the promise to leave a part to another host.
func (a *Archive) answerRelease(_ context.Context, request Claim) (Done, error) {
	w := a.lane(request.Part)
	if w == nil {
		return Done{}, Malformed.New("there is no part %q", request.Part)
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.fence != nil && same(w.fence.holder, request.From) {
		w.fence = nil
	}
	return Done{}, nil
}

// collect asks all hosts in reach, and adds what those that agree know to c. It returns
// how many agreed, and a host that others have agreed with instead.
func (a *Archive) collect(ctx context.Context, request Claim, c *claim) (agreed int, holder sd.Address) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	type reply struct {
		Claimed
		err error
	}
	peers := a.alive()
	replies := make(chan reply, len(peers))
	for _, p := range peers {
		go func() {
			answer, err := messenger.Ask[Claim, Claimed](ctx, a.peers.Client, p.Address, messageClaim, request)
			replies <- reply{answer, err}
		}()
	}
	for range peers {
		r := <-replies
		switch {
		case r.err != nil:
			continue
		case r.Denied:
			if r.Holder != "" {
				holder = r.Holder
			}
			continue
		}
		agreed++
		for program, s := range r.Accounts {
			if s.newer(c.known[program]) {
				c.known[program] = s
			}
		}
		for _, o := range r.Operations {
			c.foreign[o.Program] = append(c.foreign[o.Program], o)
		}
	}
	return agreed, holder
}

// project returns an account with all that is known of it, and whether anything
// is.
func (w *worker) project(program Key, c *claim) (Snapshot, bool) {
	var s Snapshot
	if row := w.lane.rows[program]; row != nil && row.version > 0 {
		s = Snapshot{Known: true, Account: row.account, Version: row.version}
	}
	for _, other := range []Snapshot{w.learned[program], c.known[program]} {
		if other.newer(s) {
			s = other
		}
	}
	for _, o := range append(w.lane.Operations(), c.foreign[program]...) {
		// An account that another host projected may hold the operation already.
		if o.Program == program && !s.Account.ended(o.Hold) {
			_, _ = apply(&s.Account, &o)
			s.Known = true
		}
	}
	s.Account.Open = append(slices.Clone(s.Account.Open), c.open[program]...)
	s.Stored = false
	return s, s.Known
}

// reserveAway reserves a turn while the store is away. Errors are Exhausted and
// Unavailable. Where another host has the claim, that one is asked.
func (a *Archive) reserveAway(ctx context.Context, request Placement) error {
	w := a.worker(request.Program)
	c, holder, err := a.claim(ctx, w)
	if err != nil {
		return err
	}
	if c == nil {
		if request.Final {
			return elsewhere.New("part of program %s is with another host", request.Program)
		}
		_, _, err := a.place(ctx, holder, request)
		if errorx.IsOfType(err, elsewhere) {
			w.lock.Lock()
			if w.fence != nil && w.fence.holder.Address == holder {
				w.fence = nil
			}
			w.lock.Unlock()
		}
		return err
	}
	if err := a.refresh(ctx, w, request.Program); err != nil {
		return err
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	s, known := w.project(request.Program, c)
	if !known && !request.Fresh {
		return sd.Unavailable.New("account of program %s is not known", request.Program)
	}
	if s.Account.Holds(request.Hold) {
		return nil
	}
	if !s.Account.Reserve(request.Hold, request.Limit, request.Budget) {
		return Exhausted.New("spent %d, open %d, most %d, budget %d", s.Account.Spent, s.Account.Reserved(), request.Limit, request.Budget)
	}
	c.open[request.Program] = append(c.open[request.Program], Reservation{request.Hold, request.Limit})
	if !known {
		// A program that begins here is known from now on.
		c.known[request.Program] = Snapshot{Known: true}
	}
	return nil
}

// refresh reads an account that this host has not seen, if the store is back.
func (a *Archive) refresh(ctx context.Context, w *worker, program Key) error {
	w.lock.Lock()
	row := w.lane.rows[program]
	w.lock.Unlock()
	if a.away() || (row != nil && row.version > 0) {
		return nil
	}
	return a.read(ctx, program, map[Key]*Turn{})
}

// close ends a turn that ran without a reservation in the store.
func (w *worker) close(program, hold Key) {
	if c := w.claim; c != nil {
		c.open[program] = slices.DeleteFunc(c.open[program], func(r Reservation) bool { return r.Hold == hold })
	}
}

// book has the turns that still run without a reservation in the store reserved there.
func (w *worker) book() {
	for program, open := range w.claim.open {
		for _, r := range open {
			o := &Operation{Kind: Reserve, Program: program, Hold: r.Hold, Tokens: r.Limit, Budget: math.MaxInt64}
			w.lane.Add(o)
			// A reservation that nobody waits for would be given back.
			w.waiters[o] = make(chan error, 1)
		}
	}
}

// oversee ends claims and fences once the store is back for a while.
func (a *Archive) oversee(ctx context.Context) {
	for sleep(ctx, claimsEvery) {
		if a.peers.Away == nil || a.away() || a.peers.Settled() < claimsSettle {
			continue
		}
		for _, w := range a.lanes {
			w.lock.Lock()
			w.fence, w.learned = nil, nil
			if w.claim != nil && w.claim.held {
				w.book()
				w.claim = nil
			}
			w.lock.Unlock()
			w.signal()
		}
	}
}
