package archiver

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// Settings of an Archive.
type Settings struct {
	// CacheCapacity limits the memory of cached turns.
	CacheCapacity sd.Bytes
	// Retention is how long cached turns and accounts stay in memory.
	Retention sd.Millis
	// Budget, if set, bounds the memory of the pages of the store that are read for earlier turns.
	Budget *reserver.Budget
}

const (
	// minBackoff and maxBackoff limit the delay after a failed transaction: a few
	// times the store's usual latency, and short compared to a program's timeout.
	minBackoff = 20 * sd.Millisecond
	maxBackoff = 250 * sd.Millisecond
	// evictionInterval is the interval at which idle accounts are evicted from memory.
	evictionInterval = 5 * sd.Second
)

// Archive reads and writes the rows of programs. It is safe for concurrent use.
type Archive struct {
	settings Settings
	store    sd.Store
	peers    Peers
	clock    sd.Clock
	log      *zap.Logger
	started  sd.Instant
	// OnCommit is called with the duration and the error of each transaction.
	OnCommit func(took sd.Millis, err error)

	workers   [Parts]*worker
	cacheLock sync.Mutex
	cache     Cache
	// large holds programs whose rows take more than a page.
	large map[Key]bool
	// storing counts the calls of Settle that are storing a turn.
	storing map[Key]int

	suspects suspects
	// pageQueue holds the reader that is the next to get room for a page of the store.
	pageQueue chan struct{}
	// lastReservedAt is when a reservation last got a decision from the store, in
	// milliseconds; zero means never.
	lastReservedAt atomic.Int64
}

// worker runs the Batcher of one part.
type worker struct {
	lock    sync.Mutex
	lane    Batcher
	waiters map[*Operation]chan error
	wake    chan struct{}
	// sequencers maps reservations that another host made for this one to its address.
	sequencers map[Key]sd.Address
	// reserving holds the reservations in flight by turn. lastReserved is set if the
	// last one that finished got a decision from the store.
	reserving map[Key]pendingReservation
	// closed holds what the accounts of closed programs may reserve.
	closed       map[Key]sd.Tokens
	lastReserved bool
}

// pendingReservation is a reservation in flight.
type pendingReservation struct {
	program Key
	limit   sd.Tokens
	at      sd.Instant
	// outlook is what whoever decides on the reservation has told. order is what was last asked
	// for, and local is set if this host decides on it.
	outlook Outlook
	order   ReserveRequest
	local   bool
}

// New returns an Archive. Its operations complete only while Run is running.
func New(settings Settings, store sd.Store, peers Peers, clock sd.Clock, log *zap.Logger) *Archive {
	a := &Archive{
		settings: settings, store: store, peers: peers, clock: clock, log: log, started: clock.Now(),
		cache: Cache{Capacity: int(settings.CacheCapacity), Retention: settings.Retention},
		large: map[Key]bool{}, storing: map[Key]int{}, pageQueue: make(chan struct{}, 1),
	}
	for i, part := range AllParts() {
		a.workers[i] = &worker{
			lane: Batcher{Part: part}, waiters: map[*Operation]chan error{}, wake: make(chan struct{}, 1),
			sequencers: map[Key]sd.Address{}, reserving: map[Key]pendingReservation{}, closed: map[Key]sd.Tokens{}, lastReserved: true,
		}
	}
	return a
}

// Run sends transactions until ctx is done, and waits for those in flight.
func (a *Archive) Run(ctx context.Context) error {
	ends := make(chan struct{}, Parts)
	for _, w := range a.workers {
		go func() {
			a.work(ctx, w)
			ends <- struct{}{}
		}()
	}
	for range Parts {
		<-ends
	}
	return ctx.Err()
}

// Flush waits until no operation is pending or ctx is done. It reports whether all
// operations have completed.
func (a *Archive) Flush(ctx context.Context) bool {
	for {
		if a.Waiting() == 0 {
			return true
		}
		if !sleep(ctx, minBackoff) {
			return false
		}
	}
}

// Waiting returns the number of operations that have not completed.
func (a *Archive) Waiting() int {
	n := 0
	for _, w := range a.workers {
		w.lock.Lock()
		n += w.lane.Waiting()
		w.lock.Unlock()
	}
	return n
}

// isStoring reports whether this host has yet to store a turn. A turn that it has stored is
// cached before that changes.
func (a *Archive) isStoring(turn Key) bool {
	a.cacheLock.Lock()
	settling := a.storing[turn] > 0
	a.cacheLock.Unlock()
	if settling {
		return true
	}
	for _, w := range a.workers {
		w.lock.Lock()
		storing := w.lane.IsStoring(turn)
		w.lock.Unlock()
		if storing {
			return true
		}
	}
	return false
}

func (a *Archive) worker(program Key) *worker { return a.workers[program[0]%Parts] }

// Reserve reserves the most that a turn may be charged from its program's budget. It returns the
// key of the reservation once the store has it: a reservation held only in the
// memory of hosts could be spent again after all of them lost power. Errors are
// BudgetExhausted and Unavailable; after Unavailable, a reservation that may have
// been made is cancelled.
//
// The sequencer of the program's part makes the reservation, or the next host in
// rank if the sequencer does not respond.
func (a *Archive) Reserve(ctx context.Context, program, turn Key, demand Demand, budget sd.Tokens) (Key, error) {
	w := a.worker(program)
	w.lock.Lock()
	w.reserving[turn] = pendingReservation{program: program, limit: demand.MaxCharge, at: a.clock.Now()}
	w.lock.Unlock()
	hold, err := a.reserveInBudget(ctx, program, turn, demand, budget)
	w.lock.Lock()
	defer w.lock.Unlock()
	delete(w.reserving, turn)
	if w.lastReserved = err == nil || errorx.IsOfType(err, BudgetExhausted); w.lastReserved {
		a.lastReservedAt.Store(int64(a.clock.Now()))
	}
	return hold, err
}

// reserveWithFailover asks one sequencer after the other for a reservation. The keys of
// its attempts begin with the prefix.
func (a *Archive) reserveWithFailover(ctx context.Context, order ReserveRequest, prefix string) (Key, error) {
	for try := 0; ; try++ {
		order.Hold = holdKey(order.turn, prefix+strconv.Itoa(try))
		at := a.sequencer(order.Program)
		a.worker(order.Program).asked(order, at == "")
		if at == "" {
			return order.Hold, a.reserveLocally(ctx, order)
		}
		decided, err := a.reserveAtSequencer(ctx, at, order)
		if err == nil || decided {
			return order.Hold, err
		}
		if ctx.Err() != nil {
			a.cancelAbandoned(order)
			return order.Hold, sd.Unavailable.Wrap(err, "reservation not made in time")
		}
		order.Abandoned = append(order.Abandoned, order.Hold)
	}
}

// maxReservationLatency is how old a pending reservation of a part may be for the next
// one to be considered likely: about 30 times the store's usual latency. storeSuccessTTL
// is how long a decided reservation counts as evidence that the store works; in a large
// fleet, a host has a turn only every few seconds.
const (
	maxReservationLatency = 300 * sd.Millisecond
	storeSuccessTTL       = 10 * sd.Second
)

// ReservationLikely reports whether a reservation for a turn is very likely to be
// granted: recent reservations of its part were decided in time, and the account as
// last seen has enough budget left. begins is set for the first turn of a program,
// which needs no account yet.
func (a *Archive) ReservationLikely(program Key, demand Demand, budget sd.Tokens, begins bool) bool {
	now, took := a.clock.Now(), sd.Instant(a.lastReservedAt.Load())
	budget = a.reservable(program, budget, demand)
	if a.StoreUnreachable() || took == 0 || now.Since(took) > storeSuccessTTL {
		return false
	}
	w := a.worker(program)
	w.lock.Lock()
	defer w.lock.Unlock()
	if !w.lastReserved {
		return false
	}
	taken := demand.MaxCharge
	for _, other := range w.reserving {
		if now.Since(other.at) > maxReservationLatency {
			return false
		}
		if other.program == program {
			taken += other.limit
		}
	}
	if row := w.lane.rows[program]; row != nil && row.version > 0 {
		return row.account.Spent+row.account.Reserved()+taken <= budget
	}
	return begins && taken <= budget
}

// Remaining returns what is neither spent nor reserved of a program's budget, according to its account
// as this host last saw it.
func (a *Archive) Remaining(program Key, budget sd.Tokens) sd.Tokens {
	account := a.snapshot(program).Account
	return budget - account.Spent - account.Reserved()
}

// UnderWay reports whether the program has had output before, according to its account as this
// host last saw it. A finished Reserve leaves the account as the sequencer saw it.
func (a *Archive) UnderWay(program Key) bool { return a.snapshot(program).Account.Spent > 0 }

// cancelAbandoned cancels reservations that a lost sequencer may have made.
func (a *Archive) cancelAbandoned(order ReserveRequest) {
	w := a.worker(order.Program)
	for _, hold := range order.Abandoned {
		w.add(&Operation{Kind: Cancel, Program: order.Program, Hold: hold})
	}
}

// reserveLocally reserves a turn's limit through this host's own Batcher.
func (a *Archive) reserveLocally(ctx context.Context, order ReserveRequest) error {
	a.cancelAbandoned(order)
	operation := &Operation{Kind: Reserve, Program: order.Program, Hold: order.Hold, Tokens: order.Limit, Budget: order.Budget}
	w := a.worker(order.Program)
	done := w.add(operation)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if ended, err := a.abandon(w, operation, done); ended && err != nil {
		return err
	} else if ended {
		w.add(&Operation{Kind: Cancel, Program: order.Program, Hold: order.Hold})
	}
	return sd.Unavailable.Wrap(ctx.Err(), "reservation not made in time")
}

// abandon stops waiting for a reservation. It reports whether the reservation had
// already completed, and its error; if not, the reservation will be cancelled.
func (a *Archive) abandon(w *worker, operation *Operation, done <-chan error) (bool, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	select {
	case err := <-done:
		return true, err
	default:
		delete(w.waiters, operation)
		operation.Deadline = a.clock.Now()
		return false, nil
	}
}

// Settle ends a turn. used is the number of tokens delivered to the caller; kept is
// the turn to store, or nil. Settle returns once the store has the turn: a copy in
// the memory of hosts would be lost if all of them lost power. If ctx ends first, the
// error is Unavailable: the turn is charged in the background, and stored only if a
// transaction with it is in flight.
//
// Only then is the turn cached: a turn that continued from one that is never stored would
// end, and have a chain with a gap once its copies in memory are lost.
func (a *Archive) Settle(ctx context.Context, program, hold Key, used sd.Tokens, kept *Turn) error {
	if kept == nil {
		return a.settle(ctx, program, hold, used, nil)
	}
	a.cacheLock.Lock()
	a.storing[kept.Key]++
	a.cacheLock.Unlock()
	err := a.settle(ctx, program, hold, used, kept)
	a.cacheLock.Lock()
	if a.storing[kept.Key]--; a.storing[kept.Key] == 0 {
		delete(a.storing, kept.Key)
	}
	if err == nil {
		a.cache.Add(a.clock.Now(), kept)
	}
	a.cacheLock.Unlock()
	if err != nil {
		return err
	}
	if a.peers.Client != nil {
		// Best effort; nothing waits for it.
		go a.sendToCacher(context.WithoutCancel(ctx), kept)
	}
	return nil
}

// settle ends a turn at the sequencer that made its reservation, or on this host.
func (a *Archive) settle(ctx context.Context, program, hold Key, used sd.Tokens, kept *Turn) error {
	o := Operation{Kind: Settle, Program: program, Hold: hold, Tokens: used, Turn: kept}
	w := a.worker(program)
	w.lock.Lock()
	at, placed := w.sequencers[hold]
	delete(w.sequencers, hold)
	w.lock.Unlock()
	if placed && !a.suspects.has(a.clock.Now(), at) {
		settled, received, err := followSequencer(ctx, a, at, messageSettle, o, func(s SettleResponse) bool { return s.Pending })
		if err == nil {
			w.observe(a.clock.Now(), program, settled.Snapshot)
			return nil
		}
		if received && ctx.Err() != nil {
			return sd.Unavailable.Wrap(err, "turn not stored in time")
		}
		if ctx.Err() == nil {
			a.suspects.add(a.clock.Now(), at)
		}
		a.log.Warn("sequencer did not settle the turn; settling it on this host", zap.Int("event", eventSequencer), zap.Stringer("program", program),
			zap.String("sequencer", string(at)), zap.Error(err))
	}
	return a.settleLocally(ctx, o)
}

// settleLocally ends a turn through this host's own Batcher. If ctx ends first, the turn's caller
// has been told that it failed, so that only its charge remains to be stored.
func (a *Archive) settleLocally(ctx context.Context, o Operation) error {
	operation := o
	w := a.worker(o.Program)
	done := w.add(&operation)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		w.lock.Lock()
		w.lane.DropTurn(&operation)
		w.lock.Unlock()
		return sd.Unavailable.Wrap(ctx.Err(), "turn not stored in time")
	}
}

func (w *worker) add(operation *Operation) <-chan error {
	done := make(chan error, 1)
	w.lock.Lock()
	w.lane.Add(operation)
	w.waiters[operation] = done
	w.lock.Unlock()
	w.signal()
	return done
}

func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// work sends the transactions of one part, one at a time.
func (a *Archive) work(ctx context.Context, w *worker) {
	pause := sd.Millis(0)
	sweep := time.NewTicker(evictionInterval.Duration())
	defer sweep.Stop()
	for {
		w.lock.Lock()
		now := a.clock.Now()
		w.deliver(w.lane.Expire(now))
		update, due := w.lane.Next(now)
		w.lock.Unlock()
		if !due {
			select {
			case <-ctx.Done():
				return
			case <-w.wake:
			case <-sweep.C:
				w.lock.Lock()
				w.lane.EvictIdle(a.clock.Now().Add(-a.settings.Retention))
				for program := range w.closed {
					if w.lane.rows[program] == nil {
						delete(w.closed, program)
					}
				}
				w.lock.Unlock()
			}
			continue
		}
		start := a.clock.Now()
		page, err := a.store.Commit(ctx, update)
		if a.OnCommit != nil {
			a.OnCommit(a.clock.Now().Since(start), err)
		}
		w.lock.Lock()
		ended := w.lane.Complete(a.clock.Now(), page, err)
		w.deliver(ended)
		w.lock.Unlock()
		a.logDuplicates(ended)
		if err == nil || errorx.IsOfType(err, sd.Conflict) {
			pause = 0
			continue
		}
		pause = min(max(2*pause, minBackoff), maxBackoff)
		// Jitter keeps parts that failed together from retrying together.
		if !sleep(ctx, pause/2+sd.Millis(rand.Int64N(int64(pause)))) {
			return
		}
	}
}

// logDuplicates logs the turns that the store had before they were settled.
func (a *Archive) logDuplicates(ended []Completion) {
	for _, end := range ended {
		if end.Duplicate {
			a.log.Info("turn was stored before", zap.Int("event", eventDuplicate), zap.Stringer("program", end.Operation.Program),
				zap.Stringer("turn", end.Operation.Turn.Key), zap.Stringer("hold", end.Operation.Hold))
		}
	}
}

// deliver sends the results to the waiters. A reservation that nothing waits for
// any more is cancelled.
func (w *worker) deliver(ended []Completion) {
	for _, end := range ended {
		done, waiting := w.waiters[end.Operation]
		if waiting {
			delete(w.waiters, end.Operation)
			done <- end.Err
			continue
		}
		if end.Operation.Kind == Reserve && end.Err == nil {
			// Cancel first, so that queued reservations are not refused because of it.
			w.lane.AddFirst(&Operation{Kind: Cancel, Program: end.Operation.Program, Hold: end.Operation.Hold})
		}
	}
}

func (a *Archive) cacheTurn(t *Turn) {
	a.cacheLock.Lock()
	defer a.cacheLock.Unlock()
	a.cache.Add(a.clock.Now(), t)
}

// CacheUsage returns the number of cached turns and their size in bytes.
func (a *Archive) CacheUsage() (turns, bytes int) {
	a.cacheLock.Lock()
	defer a.cacheLock.Unlock()
	return a.cache.Usage()
}

func (a *Archive) cachedTurn(key Key) *Turn {
	a.cacheLock.Lock()
	defer a.cacheLock.Unlock()
	return a.cache.Get(key)
}

// sleep waits for the pause. It returns false if ctx is done first.
func sleep(ctx context.Context, pause sd.Millis) bool {
	timer := time.NewTimer(pause.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
