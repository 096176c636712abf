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
	// sequencerTimeout is how long a host waits for the next message of a sequencer;
	// it exceeds the time in which the loss of a peer is detected.
	sequencerTimeout = 600 * sd.Millisecond
	// keepaliveInterval is how often a sequencer sends a pending response to a waiting
	// host: three times within sequencerTimeout. The first one comes after keepaliveDelay,
	// several times the store's usual latency.
	keepaliveInterval = 200 * sd.Millisecond
	keepaliveDelay    = 50 * sd.Millisecond
	// suspectTTL is how long a sequencer that did not respond is skipped.
	suspectTTL = sd.Second
	// minRelativePower is the minimum power of a sequencer, relative to the most
	// powerful host.
	minRelativePower = 0.7
)

// ReserveRequest asks the sequencer of a program's part to reserve tokens for a turn.
type ReserveRequest struct {
	Program, Hold Key
	// Limit is the most that the turn may be charged, Budget what the account may reserve with it.
	Limit, Budget sd.Tokens
	// Abandoned lists reservations for the same turn that lost sequencers may have made.
	Abandoned []Key `json:"GivenUp"`
	// LastSeen is the stored account as the sender last saw it.
	LastSeen Snapshot `json:"Seen"`

	turn Key
}

// ReserveResponse is the response to a ReserveRequest.
type ReserveResponse struct {
	// Exhausted says why the budget does not allow the reservation; it is empty if the
	// reservation was made.
	Exhausted string
	// Pending is set in keepalives: the store does not have the reservation yet. Doubtful is set
	// in those of a reservation that the budget does not hold beside what is open or waits.
	Pending, Doubtful bool
	Snapshot
}

// Snapshot is an account as the responding host last saw it in the store. The host
// that serves the program keeps it and passes it to the next sequencer.
type Snapshot struct {
	Known   bool
	Account Account
	Version uint64
}

// SettleResponse is the response to a Settle operation.
type SettleResponse struct {
	// Pending is set in keepalives: the store does not have the turn yet.
	Pending bool
	Snapshot
}

// suspects are the hosts that recently did not respond.
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
	s.until[at] = now.Add(suspectTTL)
}

func (s *suspects) has(now sd.Instant, at sd.Address) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return now < s.until[at]
}

// Sequencer returns the host that sequences a part's operations: the host with the
// highest rendezvous hash among those with enough power. It is not a leader election:
// if two hosts disagree on the sequencer, their transactions conflict and one is retried.
func Sequencer(part string, hosts []gossiper.Peer) gossiper.Peer {
	strongest := 0.0
	for _, h := range hosts {
		strongest = max(strongest, h.Cores)
	}
	var best gossiper.Peer
	most := uint64(0)
	for _, h := range hosts {
		if h.Cores < minRelativePower*strongest || h.Leaving {
			continue
		}
		if rank := xxhash.Sum64String(part + "|" + string(h.Host)); rank >= most {
			best, most = h, rank
		}
	}
	return best
}

// sequencer returns the address of the sequencer for a program's operations, or an
// empty address if it is this host.
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

// followSequencer sends a request to a sequencer and waits for the final response, as
// long as keepalives arrive in time. It reports whether the sequencer received the request.
func followSequencer[Q, F any](ctx context.Context, a *Archive, at sd.Address, name string, request Q, pending func(F) bool) (last F, received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(sequencerTimeout.Duration(), cancel)
	defer silence.Stop()
	ended := false
	err = messenger.Follow(ctx, a.peers.Client, at, name, request, func(frame F) error {
		silence.Reset(sequencerTimeout.Duration())
		last, received, ended = frame, true, !pending(frame)
		return nil
	})
	if err == nil && !ended {
		err = sd.Uncertain.New("sequencer %s ended the stream without a final response", at)
	}
	return last, received, err
}

// sendKeepalives sends pending responses periodically until work returns, and then
// sends its result or returns its error.
func sendKeepalives[F any](send func(F) error, pending func() F, work func() (F, error)) error {
	type result struct {
		frame F
		err   error
	}
	done := make(chan result, 1)
	go func() {
		frame, err := work()
		done <- result{frame, err}
	}()
	timer := time.NewTimer(keepaliveDelay.Duration())
	defer timer.Stop()
	for {
		select {
		case r := <-done:
			if r.err != nil {
				return r.err
			}
			return send(r.frame)
		case <-timer.C:
			timer.Reset(keepaliveInterval.Duration())
			if err := send(pending()); err != nil {
				// The requesting host is gone; work ends with the request's context.
				<-done
				return err
			}
		}
	}
}

// reserveAtSequencer has the sequencer make a reservation. It reports whether the
// sequencer decided; if not, the caller may retry under another reservation key.
func (a *Archive) reserveAtSequencer(ctx context.Context, at sd.Address, order ReserveRequest) (bool, error) {
	order.LastSeen = a.snapshot(order.Program)
	w := a.worker(order.Program)
	placed, _, err := followSequencer(ctx, a, at, messageReserve, order, func(p ReserveResponse) bool {
		switch {
		case p.Pending && p.Doubtful:
			w.setOutlook(order.turn, Doubtful)
		case p.Pending:
			w.setOutlook(order.turn, Likely)
		}
		return p.Pending
	})
	switch {
	case err != nil:
		if ctx.Err() == nil {
			a.suspects.add(a.clock.Now(), at)
		} else {
			a.cancelAtSequencer(ctx, at, order)
		}
		return false, sd.Unavailable.Wrap(err, "sequencer %s did not decide on the reservation", at)
	case placed.Exhausted != "":
		w.observe(a.clock.Now(), order.Program, placed.Snapshot)
		return true, BudgetExhausted.New("%s", placed.Exhausted)
	}
	w.lock.Lock()
	w.sequencers[order.Hold] = at
	w.lock.Unlock()
	w.observe(a.clock.Now(), order.Program, placed.Snapshot)
	return true, nil
}

// cancelAtSequencer tells a sequencer that a reservation is no longer wanted. The
// sequencer cannot know this if its response is already in transit.
func (a *Archive) cancelAtSequencer(ctx context.Context, at sd.Address, order ReserveRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout.Duration())
	defer cancel()
	o := Operation{Kind: Cancel, Program: order.Program, Hold: order.Hold}
	if _, err := messenger.Ask[Operation, EmptyResponse](ctx, a.peers.Client, at, messageCancel, o); err != nil {
		a.log.Info("sequencer does not respond; cancelling the reservation on this host", zap.Int("event", eventSequencer),
			zap.Stringer("program", order.Program), zap.String("sequencer", string(at)), zap.Error(err))
		a.worker(order.Program).add(&o)
	}
}

// handleCancel cancels a reservation that was made for another host, or is in flight.
func (a *Archive) handleCancel(_ context.Context, o Operation) (EmptyResponse, error) {
	w := a.worker(o.Program)
	w.lock.Lock()
	defer w.lock.Unlock()
	for waiting := range w.waiters {
		if waiting.Kind == Reserve && waiting.Hold == o.Hold {
			delete(w.waiters, waiting)
			waiting.Deadline = a.clock.Now()
		}
	}
	if row := w.lane.rows[o.Program]; row != nil && row.account.HasOpen(o.Hold) {
		w.lane.AddFirst(&o)
	}
	w.signal()
	return EmptyResponse{}, nil
}

// handleReserve makes a reservation for another host.
func (a *Archive) handleReserve(ctx context.Context, order ReserveRequest, send func(ReserveResponse) error) error {
	a.worker(order.Program).observe(a.clock.Now(), order.Program, order.LastSeen)
	pending := func() ReserveResponse {
		w := a.worker(order.Program)
		w.lock.Lock()
		defer w.lock.Unlock()
		return ReserveResponse{Pending: true, Doubtful: w.isDoubtful(a.clock.Now(), order)}
	}
	return sendKeepalives(send, pending, func() (ReserveResponse, error) {
		err := a.reserveLocally(ctx, order)
		if errorx.IsOfType(err, BudgetExhausted) {
			return ReserveResponse{Exhausted: err.Error(), Snapshot: a.snapshot(order.Program)}, nil
		}
		return ReserveResponse{Snapshot: a.snapshot(order.Program)}, err
	})
}

// handleSettle settles a turn for another host.
func (a *Archive) handleSettle(ctx context.Context, o Operation, send func(SettleResponse) error) error {
	pending := func() SettleResponse { return SettleResponse{Pending: true} }
	return sendKeepalives(send, pending, func() (SettleResponse, error) {
		err := a.settleLocally(ctx, o)
		if err == nil && o.Turn != nil {
			a.cacheTurn(o.Turn)
		}
		return SettleResponse{Snapshot: a.snapshot(o.Program)}, err
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

// observe records an account as another host last saw it in the store.
func (w *worker) observe(now sd.Instant, program Key, s Snapshot) {
	if s.Known {
		w.lock.Lock()
		w.lane.Observe(now, program, s.Account, s.Version)
		w.lock.Unlock()
	}
}
