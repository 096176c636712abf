package archiver

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
)

const (
	// sequencerSilence is how long a sequencer may say nothing to a host that waits for it:
	// longer than it takes to notice the loss of a peer.
	sequencerSilence = 600 * sd.Millisecond
	// tellEvery is how often a sequencer tells a host that waits that it is still there: three
	// times within that silence.
	tellEvery = 200 * sd.Millisecond
	// suspectFor is how long a sequencer that did not answer is passed over.
	suspectFor = sd.Second
	// strong is the part of the strongest host's power that a sequencer must have.
	strong = 0.7
)

// Placement asks the sequencer of a program's part to reserve a turn.
type Placement struct {
	Program, Hold Key
	Limit, Budget sd.Tokens
	// GivenUp are reservations for the same turn that lost sequencers may have made.
	GivenUp []Key
	// Seen is the stored account as the sender last saw it.
	Seen Snapshot
}

// Placed is the answer to a Placement: why there is no reservation, if there is none.
type Placed struct {
	Exhausted string
	// Pending tells that the store has yet to take the reservation; another answer follows.
	Pending bool
	Snapshot
}

// Snapshot is an account as the answering host saw it in the store. The host that
// serves a program keeps it, so that the next sequencer can begin with it.
type Snapshot struct {
	Known   bool
	Account Account
	Version uint64
}

// Settled is the answer to an Operation that ends a turn.
type Settled struct {
	// Pending tells that the store has yet to take the turn; another answer follows.
	Pending bool
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
// or nothing if that is this one.
func (a *Archive) sequencer(program Key) sd.Address {
	if a.peers.Alive == nil {
		return ""
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

// attend sends a message to a sequencer and waits for its last answer, as long as it says
// something now and then. It reports whether the sequencer has the message.
func attend[Q, F any](ctx context.Context, a *Archive, at sd.Address, name string, request Q, pending func(F) bool) (last F, received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(sequencerSilence.Duration(), cancel)
	defer silence.Stop()
	ended := false
	err = messenger.Follow(ctx, a.peers.Client, at, name, request, func(frame F) error {
		silence.Reset(sequencerSilence.Duration())
		last, received, ended = frame, true, !pending(frame)
		return nil
	})
	if err == nil && !ended {
		err = sd.Uncertain.New("sequencer %s gave no last answer", at)
	}
	return last, received, err
}

// tell sends pending answers until work has ended, and returns what it returned.
func tell[F any](send func(F) error, pending F, work func() (F, error)) error {
	type result struct {
		frame F
		err   error
	}
	done := make(chan result, 1)
	go func() {
		frame, err := work()
		done <- result{frame, err}
	}()
	ticker := time.NewTicker(tellEvery.Duration())
	defer ticker.Stop()
	for {
		select {
		case r := <-done:
			if r.err != nil {
				return r.err
			}
			return send(r.frame)
		case <-ticker.C:
			if err := send(pending); err != nil {
				// The host has gone; what it asked for ends with its context.
				<-done
				return err
			}
		}
	}
}

// place has the sequencer reserve a turn. It reports whether the sequencer has
// decided; if not, the caller may try again, under another key.
func (a *Archive) place(ctx context.Context, at sd.Address, order Placement) (bool, error) {
	order.Seen = a.snapshot(order.Program)
	placed, _, err := attend(ctx, a, at, messageReserve, order, func(p Placed) bool { return p.Pending })
	switch {
	case err != nil:
		if ctx.Err() == nil {
			a.suspects.add(a.clock.Now(), at)
		} else {
			a.cancel(ctx, at, order)
		}
		return false, sd.Unavailable.Wrap(err, "sequencer %s did not reserve", at)
	case placed.Exhausted != "":
		a.worker(order.Program).learn(a.clock.Now(), order.Program, placed.Snapshot)
		return true, Exhausted.New("%s", placed.Exhausted)
	}
	w := a.worker(order.Program)
	w.lock.Lock()
	w.placed[order.Hold] = at
	w.lock.Unlock()
	w.learn(a.clock.Now(), order.Program, placed.Snapshot)
	return true, nil
}

// cancel tells a sequencer that nobody waits for a reservation any more. Its grant may be on
// the way, which the sequencer cannot know.
func (a *Archive) cancel(ctx context.Context, at sd.Address, order Placement) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout.Duration())
	defer cancel()
	o := Operation{Kind: Cancel, Program: order.Program, Hold: order.Hold}
	if _, err := messenger.Ask[Operation, Done](ctx, a.peers.Client, at, messageCancel, o); err != nil {
		a.log.Info("sequencer does not answer, the reservation is cancelled here", zap.Int("event", eventSequencer),
			zap.Stringer("program", order.Program), zap.String("sequencer", string(at)), zap.Error(err))
		a.worker(order.Program).add(&o)
	}
}

// answerCancel gives back a reservation that was made for another host, or is about to be.
func (a *Archive) answerCancel(_ context.Context, o Operation) (Done, error) {
	w := a.worker(o.Program)
	w.lock.Lock()
	defer w.lock.Unlock()
	for waiting := range w.waiters {
		if waiting.Kind == Reserve && waiting.Hold == o.Hold {
			delete(w.waiters, waiting)
			waiting.Until = a.clock.Now()
		}
	}
	if row := w.lane.rows[o.Program]; row != nil && row.account.Holds(o.Hold) {
		w.lane.AddFirst(&o)
	}
	w.signal()
	return Done{}, nil
}

// answerReserve reserves a turn for another host.
func (a *Archive) answerReserve(ctx context.Context, order Placement, send func(Placed) error) error {
	a.worker(order.Program).learn(a.clock.Now(), order.Program, order.Seen)
	return tell(send, Placed{Pending: true}, func() (Placed, error) {
		err := a.reserve(ctx, order)
		if errorx.IsOfType(err, Exhausted) {
			return Placed{Exhausted: err.Error(), Snapshot: a.snapshot(order.Program)}, nil
		}
		return Placed{Snapshot: a.snapshot(order.Program)}, err
	})
}

// answerSettle settles a turn for another host.
func (a *Archive) answerSettle(ctx context.Context, o Operation, send func(Settled) error) error {
	if o.Kept != nil {
		a.remember(o.Kept)
	}
	return tell(send, Settled{Pending: true}, func() (Settled, error) {
		err := a.settle(ctx, o)
		return Settled{Snapshot: a.snapshot(o.Program)}, err
	})
}

// snapshot returns an account as this host last saw it in the store.
func (a *Archive) snapshot(program Key) Snapshot {
	w := a.worker(program)
	w.lock.Lock()
	defer w.lock.Unlock()
	if row := w.lane.rows[program]; row != nil && row.version > 0 {
		return Snapshot{Known: true, Account: row.account, Version: row.version}
	}
	return Snapshot{}
}

// learn takes an account as another host saw it in the store.
func (w *worker) learn(now sd.Instant, program Key, s Snapshot) {
	if s.Known {
		w.lock.Lock()
		w.lane.See(now, program, s.Account, s.Version)
		w.lock.Unlock()
	}
}
