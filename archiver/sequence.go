package archiver

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
)

const (
	// placeTimeout bounds a reservation at the sequencer, which may have to claim the
	// part first.
	placeTimeout = 600 * sd.Millisecond
	// settleTimeout bounds a settlement there, which also waits for copies while the
	// store is away.
	settleTimeout = 900 * sd.Millisecond
	// suspectFor is how long a sequencer that did not answer is passed over.
	suspectFor = sd.Second
	// strong is the part of the strongest host's power that a sequencer must have.
	strong = 0.7
)

// Placement asks the sequencer of a program's part to reserve a turn.
type Placement struct {
	Program, Hold Key
	Limit, Budget sd.Tokens
	// Fresh tells that the program may be new.
	Fresh bool
	// Final orders are not passed on to a third host.
	Final bool
	// Seen is the stored account as the sender last saw it.
	Seen Snapshot
}

// Placed is the answer to a Placement: the key of the reservation, or why there is
// none.
type Placed struct {
	Hold               Key
	Exhausted, Refused string
	// Elsewhere tells that the answering host does not have the claim.
	Elsewhere bool
	Snapshot
}

// Snapshot is an account as the answering host knows it. The host that serves a
// program keeps it, so that the program can go on when its sequencer is gone and
// the store is away.
type Snapshot struct {
	Known bool
	// Stored tells that the account is the store's row at Version; otherwise it
	// includes what has yet to be written.
	Stored  bool
	Account Account
	Version uint64
}

// Settled is the answer to an Operation that ends a turn.
type Settled struct {
	Medium Medium
	Snapshot
}

// suspects are hosts that did not answer lately.
type suspects struct {
	lock  sync.Mutex
	until map[sd.Address]sd.Instant
}

func (s *suspects) add(now sd.Instant, at sd.Address) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.until == nil {
		s.until = map[sd.Address]sd.Instant{}
	}
	s.until[at] = now.Add(suspectFor)
}

func (s *suspects) has(now sd.Instant, at sd.Address) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return now < s.until[at]
}

// Sequencer returns the host that sequences a part's operations: the strong hosts
// are ranked anew for each part. It decides nothing by being chosen; where two
// hosts disagree on who it is, their transactions conflict and one tries again.
func Sequencer(part string, hosts []gossiper.Peer) gossiper.Peer {
	strongest := 0.0
	for _, h := range hosts {
		strongest = max(strongest, h.Power)
	}
	var best gossiper.Peer
	most := uint64(0)
	for _, h := range hosts {
		if h.Power < strong*strongest || h.Leaving {
			continue
		}
		if rank := xxhash.Sum64String(part + "|" + string(h.Host)); rank >= most {
			best, most = h, rank
		}
	}
	return best
}

// sequencer returns the address of the host to which a program's operations go,
// or nothing if that is this one: the holder of a claim on the part, or the host
// that sequences it.
func (a *Archive) sequencer(program Key) sd.Address {
	if a.peers.Alive == nil {
		return ""
	}
	w := a.worker(program)
	w.lock.Lock()
	f, held := w.fence, w.claim != nil && w.claim.held
	w.lock.Unlock()
	if held {
		return ""
	}
	if f != nil && a.lives(f.holder) {
		return f.holder.Address
	}
	now := a.clock.Now()
	hosts := []gossiper.Peer{a.peers.Self}
	for _, p := range a.peers.Alive() {
		if !a.suspects.has(now, p.Address) {
			hosts = append(hosts, p)
		}
	}
	if at := Sequencer(Part(program), hosts); at.Host != "" && at.Host != a.peers.Self.Host {
		return at.Address
	}
	return ""
}

// place has the sequencer reserve a turn and returns the key of the reservation.
// It reports whether the sequencer has decided; if not, the caller may try
// elsewhere.
func (a *Archive) place(ctx context.Context, at sd.Address, order Placement) (Key, bool, error) {
	asked, cancel := context.WithTimeout(ctx, placeTimeout.Duration())
	defer cancel()
	w := a.worker(order.Program)
	w.lock.Lock()
	if row := w.lane.rows[order.Program]; row != nil {
		order.Seen = Snapshot{Known: true, Stored: true, Account: row.account, Version: row.version}
	}
	w.lock.Unlock()
	placed, err := messenger.Ask[Placement, Placed](asked, a.peers.Client, at, messageReserve, order)
	switch {
	case err != nil:
		a.suspects.add(a.clock.Now(), at)
		return order.Hold, false, sd.Unavailable.Wrap(err, "sequencer %s did not answer", at)
	case placed.Exhausted != "":
		return order.Hold, true, Exhausted.New("%s", placed.Exhausted)
	case placed.Elsewhere:
		return order.Hold, true, elsewhere.New("%s", placed.Refused)
	case placed.Refused != "":
		return order.Hold, true, sd.Unavailable.New("%s", placed.Refused)
	}
	w.lock.Lock()
	w.placed[placed.Hold] = at
	w.learn(a.clock.Now(), order.Program, placed.Snapshot)
	w.lock.Unlock()
	return placed.Hold, true, nil
}

// answerReserve reserves a turn for another host.
func (a *Archive) answerReserve(ctx context.Context, order Placement) (Placed, error) {
	order.Final = true
	w := a.worker(order.Program)
	w.lock.Lock()
	w.learn(a.clock.Now(), order.Program, order.Seen)
	w.lock.Unlock()
	hold, err := a.reserve(ctx, order)
	switch {
	case err == nil:
		return Placed{Hold: hold, Snapshot: a.snapshot(order.Program)}, nil
	case errorx.IsOfType(err, Exhausted):
		return Placed{Exhausted: err.Error()}, nil
	}
	return Placed{Refused: err.Error(), Elsewhere: errorx.IsOfType(err, elsewhere)}, nil
}

// answerSettle settles a turn for another host.
func (a *Archive) answerSettle(ctx context.Context, o Operation) (Settled, error) {
	if o.Kept != nil {
		a.remember(o.Kept)
	}
	medium, err := a.settle(ctx, o)
	return Settled{Medium: medium, Snapshot: a.snapshot(o.Program)}, err
}

// snapshot returns what this host knows of an account.
func (a *Archive) snapshot(program Key) Snapshot {
	w := a.worker(program)
	w.lock.Lock()
	defer w.lock.Unlock()
	if c := w.claim; c != nil && c.held {
		s, _ := w.project(program, c)
		return s
	}
	if row := w.lane.rows[program]; row != nil {
		return Snapshot{Known: true, Stored: true, Account: row.account, Version: row.version}
	}
	return Snapshot{}
}

// learn takes what another host knows of an account.
func (w *worker) learn(now sd.Instant, program Key, s Snapshot) {
	switch {
	case !s.Known:
	case s.Stored:
		w.lane.See(now, program, s.Account, s.Version)
	default:
		if w.learned == nil {
			w.learned = map[Key]Snapshot{}
		}
		w.learned[program] = s
	}
}

// newer reports whether a snapshot is later than another: at a newer version of the
// row, or at the same one with more spent.
func (s Snapshot) newer(than Snapshot) bool {
	switch {
	case !s.Known || !than.Known:
		return s.Known && !than.Known
	case s.Version != than.Version:
		return s.Version > than.Version
	}
	return s.Account.Spent > than.Account.Spent
}
