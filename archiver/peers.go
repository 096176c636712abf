package archiver

import (
	"context"
	"slices"

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
	// claimsSettle is how long the store must have been reached before claims on
	// programs end: by then what ran without it has been written.
	claimsSettle = 1500 * sd.Millisecond
	// copiesSettle is how long a peer's copies are left to that peer to write.
	copiesSettle = 3 * sd.Second
	// copiesKept is the number of peers that take a copy of a turn; one in another
	// zone if there is any.
	copiesKept = 1
	// claimsEvery is how often claims and copies are looked over.
	claimsEvery = 500 * sd.Millisecond
)

// claim is the right of this host to decide about a program while the store is
// away. A majority of all hosts has agreed to leave the program to this host.
type claim struct {
	// ready is closed once the peers were asked; held tells what they said.
	ready chan struct{}
	held  bool
	// holder is the host that has the claim instead, if one has.
	holder sd.Address
	// known tells whether any host has seen the account.
	known bool
	// base is the account at the newest version that a peer had seen.
	base    Account
	version uint64
	// foreign are operations that peers have yet to write.
	foreign []Operation
	// open are turns that run without a reservation in the store.
	open []Reservation
}

// fence is a promise to leave a program to another host.
type fence struct {
	holder gossiper.Peer
}

// copied is another host's operation that this host writes too.
type copied struct {
	from      gossiper.Peer
	operation Operation
}

// Messages between hosts.
const (
	messageClaim   = "claim"
	messageReserve = "reserve"
	messageSettle  = "settle"
	messageCopy    = "copy"
	messageRecall  = "recall"
)

// Claim asks a host to leave a program to the sender.
type Claim struct {
	From    gossiper.Peer
	Program Key
}

// Claimed is the answer to a Claim.
type Claimed struct {
	// Holder is the host that has the claim already.
	Holder  sd.Address
	Known   bool
	Account Account
	Version uint64
	// Operations are those that the answering host has yet to write.
	Operations []Operation
}

// Copied gives a host operations to write if the sender cannot.
type Copied struct {
	From       gossiper.Peer
	Operations []Operation
}

// Recall asks a host for a turn and those before it, as far as it has them.
type Recall struct{ Turn Key }

// Recalled is the answer to Recall, the turn first.
type Recalled struct{ Turns []*Turn }

// Done is the answer to messages that need none.
type Done struct{}

// Answer registers what this host answers to others.
func (a *Archive) Answer(router messenger.Router) {
	messenger.Handle(router, messageClaim, a.answerClaim)
	messenger.Handle(router, messageReserve, a.answerReserve)
	messenger.Handle(router, messageSettle, a.answerSettle)
	messenger.Handle(router, messageCopy, a.answerCopy)
	messenger.Handle(router, messageRecall, a.answerRecall)
}

func (a *Archive) away() bool { return a.peers.Away != nil && a.peers.Away() }

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

// answerClaim leaves a program to another host, unless this host or a third one
// has claimed it.
func (a *Archive) answerClaim(_ context.Context, request Claim) (Claimed, error) {
	w := a.worker(request.Program)
	w.lock.Lock()
	defer w.lock.Unlock()
	if c := w.claims[request.Program]; c != nil {
		return Claimed{Holder: a.peers.Self.Address}, nil
	}
	if f, fenced := w.fences[request.Program]; fenced && !same(f.holder, request.From) && a.lives(f.holder) {
		return Claimed{Holder: f.holder.Address}, nil
	}
	if w.fences == nil {
		w.fences = map[Key]fence{}
	}
	w.fences[request.Program] = fence{holder: request.From}
	answer := Claimed{Operations: append(w.lane.Operations(request.Program), a.copiesOf(request.Program)...)}
	if row := w.lane.rows[request.Program]; row != nil {
		answer.Known, answer.Account, answer.Version = true, row.account, row.version
	}
	if s, learned := w.learned[request.Program]; learned && newer(s.Version, s.Account, answer.Version, answer.Account) {
		answer.Known, answer.Account, answer.Version = true, s.Account, s.Version
	}
	answer.Known = answer.Known || len(answer.Operations) > 0
	return answer, nil
}

// copiesOf returns the operations of a program that this host holds for others.
func (a *Archive) copiesOf(program Key) []Operation {
	a.copyLock.Lock()
	defer a.copyLock.Unlock()
	var list []Operation
	for _, c := range a.copies {
		if c.operation.Program == program {
			list = append(list, c.operation)
		}
	}
	return list
}

// claim makes sure that this host has the claim on a program. It returns the
// address of the host that has it instead, if one has. Errors are Unavailable.
func (a *Archive) claim(ctx context.Context, program Key) (*claim, sd.Address, error) {
	w := a.worker(program)
	w.lock.Lock()
	if f, fenced := w.fences[program]; fenced && a.lives(f.holder) {
		w.lock.Unlock()
		return nil, f.holder.Address, nil
	}
	if c := w.claims[program]; c != nil {
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
			return nil, "", sd.Unavailable.New("claim on program %s was not agreed to", program)
		}
		return c, "", nil
	}
	c := &claim{ready: make(chan struct{})}
	if w.claims == nil {
		w.claims = map[Key]*claim{}
	}
	w.claims[program] = c
	w.lock.Unlock()

	agreed := a.collect(ctx, program, c)
	w.lock.Lock()
	defer w.lock.Unlock()
	defer close(c.ready)
	c.held = c.holder == "" && 2*(agreed+1) > a.peers.Hosts()
	a.log.Info("program claimed", zap.Int("event", eventClaim), zap.Stringer("program", program), zap.Bool("held", c.held),
		zap.Int("agreed", agreed), zap.Int("hosts", a.peers.Hosts()), zap.String("holder", string(c.holder)), zap.Uint64("version", c.version))
	if c.held {
		return c, "", nil
	}
	delete(w.claims, program)
	if c.holder != "" {
		return nil, c.holder, nil
	}
	return nil, "", sd.Unavailable.New("%d of %d hosts agreed to the claim", agreed+1, a.peers.Hosts())
}

// collect asks all hosts in reach and returns how many agreed.
func (a *Archive) collect(ctx context.Context, program Key, c *claim) int {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	type reply struct {
		Claimed
		err error
	}
	peers := a.alive()
	replies := make(chan reply, len(peers))
	for _, p := range peers {
		go func() {
			answer, err := messenger.Ask[Claim, Claimed](ctx, a.peers.Client, p.Address, messageClaim, Claim{a.peers.Self, program})
			replies <- reply{answer, err}
		}()
	}
	agreed := 0
	for range peers {
		r := <-replies
		switch {
		case r.err != nil:
			continue
		case r.Holder != "":
			c.holder = r.Holder
			continue
		}
		agreed++
		c.known = c.known || r.Known
		if newer(r.Version, r.Account, c.version, c.base) {
			c.base, c.version = r.Account, r.Version
		}
		c.foreign = append(c.foreign, r.Operations...)
	}
	return agreed
}

// project returns the account of a claimed program with all that is known.
func (w *worker) project(program Key, c *claim) (Account, bool) {
	account, version, known := Account{}, uint64(0), c.known
	if row := w.lane.rows[program]; row != nil {
		account, version, known = row.account, row.version, true
	}
	if s, learned := w.learned[program]; learned && newer(s.Version, s.Account, version, account) {
		account, version, known = s.Account, s.Version, true
	}
	if newer(c.version, c.base, version, account) {
		account = c.base
	}
	for _, o := range append(w.lane.Operations(program), c.foreign...) {
		// An account that another host projected may hold the operation already.
		if !account.ended(o.Hold) {
			_, _ = apply(&account, &o)
		}
	}
	account.Open = append(slices.Clone(account.Open), c.open...)
	return account, known
}

// reserveAway reserves a turn while the store is away. Errors are Exhausted and
// Unavailable. Where another host has the claim, that one is asked.
func (a *Archive) reserveAway(ctx context.Context, request Placement) error {
	c, holder, err := a.claim(ctx, request.Program)
	if err != nil {
		return err
	}
	if c == nil {
		if request.Final {
			return sd.Unavailable.New("program %s is with another host", request.Program)
		}
		_, _, err := a.place(ctx, holder, request)
		return err
	}
	w := a.worker(request.Program)
	w.lock.Lock()
	defer w.lock.Unlock()
	account, known := w.project(request.Program, c)
	if !known && !request.Fresh {
		return sd.Unavailable.New("account of program %s is not known", request.Program)
	}
	if !account.Reserve(request.Hold, request.Limit, request.Budget) {
		return Exhausted.New("spent %d, open %d, most %d, budget %d", account.Spent, account.Reserved(), request.Limit, request.Budget)
	}
	// A program that begins here is known from now on.
	c.known = true
	if !slices.ContainsFunc(c.open, func(r Reservation) bool { return r.Hold == request.Hold }) {
		c.open = append(c.open, Reservation{request.Hold, request.Limit})
	}
	return nil
}

// close ends a turn that ran without a reservation in the store.
func (w *worker) close(program, hold Key) {
	if c := w.claims[program]; c != nil {
		c.open = slices.DeleteFunc(c.open, func(r Reservation) bool { return r.Hold == hold })
	}
}

// answerCopy keeps operations of a peer in case that it cannot write them.
func (a *Archive) answerCopy(_ context.Context, request Copied) (Done, error) {
	a.copyLock.Lock()
	defer a.copyLock.Unlock()
	for _, o := range request.Operations {
		if o.Kept != nil {
			a.remember(o.Kept)
		}
		a.copies = append(a.copies, copied{request.From, o})
	}
	return Done{}, nil
}

// answerRecall returns a turn and those before it, as far as this host has them.
func (a *Archive) answerRecall(_ context.Context, request Recall) (Recalled, error) {
	var answer Recalled
	for key := request.Turn; key != (Key{}) && len(answer.Turns) < chainLimit; {
		t := a.cached(key)
		if t == nil {
			break
		}
		answer.Turns = append(answer.Turns, t)
		key = t.Previous
	}
	return answer, nil
}

// recall asks all hosts in reach for a turn and adds what they have to read. It
// returns how many answered.
func (a *Archive) recall(ctx context.Context, turn Key, read map[Key]*Turn) int {
	peers := a.alive()
	type reply struct {
		turns []*Turn
		err   error
	}
	replies := make(chan reply, len(peers))
	for _, p := range peers {
		go func() {
			turns, err := a.askTurns(ctx, p.Address, turn)
			replies <- reply{turns, err}
		}()
	}
	answered := 0
	for range peers {
		r := <-replies
		if r.err == nil {
			answered++
		}
		a.take(r.turns, read)
		if read[turn] != nil {
			break
		}
	}
	return answered
}

// recallFrom asks one host for a turn and adds what it has to read.
func (a *Archive) recallFrom(ctx context.Context, at sd.Address, turn Key, read map[Key]*Turn) {
	turns, err := a.askTurns(ctx, at, turn)
	if err != nil {
		a.suspects.add(a.clock.Now(), at)
		return
	}
	a.take(turns, read)
}

func (a *Archive) askTurns(ctx context.Context, at sd.Address, turn Key) ([]*Turn, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	answer, err := messenger.Ask[Recall, Recalled](ctx, a.peers.Client, at, messageRecall, Recall{turn})
	return answer.Turns, err
}

func (a *Archive) take(turns []*Turn, read map[Key]*Turn) {
	for _, t := range turns {
		read[t.Key] = t
		a.remember(t)
	}
}

// majority reports whether this host hears most of the fleet. A smaller part may
// be cut off from hosts that reach the store, and must decide nothing.
func (a *Archive) majority() bool { return 2*(len(a.alive())+1) > a.peers.Hosts() }

// copyOut has a peer keep an operation; peers of other zones are asked first.
func (a *Archive) copyOut(ctx context.Context, o Operation) error {
	peers := a.alive()
	slices.SortStableFunc(peers, func(x, y gossiper.Peer) int {
		near := func(p gossiper.Peer) int {
			if p.Zone == a.peers.Self.Zone {
				return 1
			}
			return 0
		}
		return near(x) - near(y)
	})
	if len(peers) > 1 {
		// Hosts spread their copies; the first peer of a list would get all of them.
		far := 0
		for far < len(peers) && peers[far].Zone != a.peers.Self.Zone {
			far++
		}
		if far > 1 {
			at := int(o.Hold[0]) % far
			peers[0], peers[at] = peers[at], peers[0]
		}
	}
	kept := 0
	for _, p := range peers {
		asked, cancel := context.WithTimeout(ctx, askTimeout.Duration())
		_, err := messenger.Ask[Copied, Done](asked, a.peers.Client, p.Address, messageCopy, Copied{a.peers.Self, []Operation{o}})
		cancel()
		if err == nil && (p.Zone != a.peers.Self.Zone || a.majority()) {
			if kept++; kept >= copiesKept {
				return nil
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return sd.Unavailable.New("no peer took a copy of the turn")
}

// oversee ends claims and fences once the store is back for a while, and writes
// the copies of peers that have not done so.
func (a *Archive) oversee(ctx context.Context) {
	for sleep(ctx, claimsEvery) {
		if a.peers.Away == nil || a.away() || a.peers.Settled() < claimsSettle {
			continue
		}
		for _, w := range a.lanes {
			w.lock.Lock()
			w.fences, w.learned = nil, nil
			for program, c := range w.claims {
				if c.held && len(c.open) == 0 {
					delete(w.claims, program)
				}
			}
			w.lock.Unlock()
		}
		if a.peers.Settled() < copiesSettle {
			continue
		}
		a.copyLock.Lock()
		copies := a.copies
		a.copies = nil
		a.copyLock.Unlock()
		for i := range copies {
			o := copies[i].operation
			w := a.worker(o.Program)
			w.lock.Lock()
			w.lane.Add(&o)
			w.lock.Unlock()
			w.signal()
		}
		if len(copies) > 0 {
			a.log.Info("copies of peers written", zap.Int("event", eventCopies), zap.Int("operations", len(copies)))
		}
	}
}
