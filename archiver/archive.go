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
)

// Settings of an Archive.
type Settings struct {
	// Memory bounds the cached turns.
	Memory sd.Bytes
	// Retention is how long cached turns and accounts are kept in memory.
	Retention sd.Millis
}

const (
	// pauseMin and pauseMax bound the pause after a failed transaction: a few times
	// the store's usual answer, and short against a program's patience.
	pauseMin = 20 * sd.Millisecond
	pauseMax = 250 * sd.Millisecond
	// sweepEvery is how often idle accounts are dropped from memory.
	sweepEvery = 5 * sd.Second
)

// Archive reads and writes the rows of programs. It is safe for concurrent use.
type Archive struct {
	settings Settings
	store    sd.Store
	peers    Peers
	clock    sd.Clock
	log      *zap.Logger
	started  sd.Instant
	// Committed is told how long each transaction took, and its error.
	Committed func(took sd.Millis, err error)

	lanes     [Parts]*worker
	cacheLock sync.Mutex
	cache     Cache

	suspects suspects
	// tookAt is when the store last took a reservation, in milliseconds; zero is never.
	tookAt atomic.Int64
}

// worker runs one Lane.
type worker struct {
	lock    sync.Mutex
	lane    Lane
	waiters map[*Operation]chan error
	wake    chan struct{}
	// placed are reservations that another host has made for this one.
	placed map[Key]sd.Address
	// asked is when the reservations under way were asked for, by turn; took tells that the
	// last one to end was made.
	asked map[Key]asked
	took  bool
}

// asked is a reservation under way.
type asked struct {
	program Key
	limit   sd.Tokens
	at      sd.Instant
}

// New returns an Archive; Run must be running for its operations to end.
func New(settings Settings, store sd.Store, peers Peers, clock sd.Clock, log *zap.Logger) *Archive {
	a := &Archive{
		settings: settings, store: store, peers: peers, clock: clock, log: log, started: clock.Now(),
		cache: Cache{Bytes: int(settings.Memory), Retention: settings.Retention},
	}
	for i, part := range AllParts() {
		a.lanes[i] = &worker{
			lane: Lane{Part: part}, waiters: map[*Operation]chan error{}, wake: make(chan struct{}, 1),
			placed: map[Key]sd.Address{}, asked: map[Key]asked{}, took: true,
		}
	}
	return a
}

// Run sends transactions until ctx ends, and waits for those under way.
func (a *Archive) Run(ctx context.Context) error {
	ends := make(chan struct{}, Parts)
	for _, w := range a.lanes {
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

// Flush waits until no operation is waiting, or ctx ends. It reports whether all
// ended.
func (a *Archive) Flush(ctx context.Context) bool {
	for {
		if a.Waiting() == 0 {
			return true
		}
		if !sleep(ctx, pauseMin) {
			return false
		}
	}
}

// Waiting returns the number of operations under way.
func (a *Archive) Waiting() int {
	n := 0
	for _, w := range a.lanes {
		w.lock.Lock()
		n += w.lane.Waiting()
		w.lock.Unlock()
	}
	return n
}

func (a *Archive) worker(program Key) *worker { return a.lanes[program[0]%Parts] }

// Reserve takes a turn's most from its program's budget. It returns the key of the
// reservation once the store has it: one that only hosts know of would be spent again after a
// power loss of all. Errors are Exhausted and Unavailable; after the latter a
// reservation that may have been made is given back.
//
// The host that sequences the program's part does it, or the next one if that does
// not answer.
func (a *Archive) Reserve(ctx context.Context, program, turn Key, limit, budget sd.Tokens) (Key, error) {
	w := a.worker(program)
	w.lock.Lock()
	w.asked[turn] = asked{program, limit, a.clock.Now()}
	w.lock.Unlock()
	hold, err := a.reserveAnywhere(ctx, Placement{Program: program, Limit: limit, Budget: budget}, turn)
	w.lock.Lock()
	defer w.lock.Unlock()
	delete(w.asked, turn)
	if w.took = err == nil || errorx.IsOfType(err, Exhausted); w.took {
		a.tookAt.Store(int64(a.clock.Now()))
	}
	return hold, err
}

func (a *Archive) reserveAnywhere(ctx context.Context, order Placement, turn Key) (Key, error) {
	for try := 0; ; try++ {
		order.Hold = holdKey(turn, strconv.Itoa(try))
		at := a.sequencer(order.Program)
		if at == "" {
			return order.Hold, a.reserve(ctx, order)
		}
		decided, err := a.place(ctx, at, order)
		if err == nil || decided {
			return order.Hold, err
		}
		if ctx.Err() != nil {
			a.giveBack(order)
			return order.Hold, sd.Unavailable.Wrap(err, "account not reached in time")
		}
		order.GivenUp = append(order.GivenUp, order.Hold)
	}
}

// expectWithin is how long reservations of a part may take for the next one to be expected:
// some thirty usual answers of the store. expectFor is how long one that was made tells of
// the store at all: a host of a large fleet has a turn every few seconds.
const (
	expectWithin = 300 * sd.Millisecond
	expectFor    = 10 * sd.Second
)

// Expects reports whether a turn will hardly be refused a reservation: the store takes those
// of its part in good time, and the account as last seen holds the turn. Begins tells that
// the turn begins a program, which needs no account yet.
func (a *Archive) Expects(program Key, limit, budget sd.Tokens, begins bool) bool {
	now, took := a.clock.Now(), sd.Instant(a.tookAt.Load())
	if a.away() || took == 0 || now.Since(took) > expectFor {
		return false
	}
	w := a.worker(program)
	w.lock.Lock()
	defer w.lock.Unlock()
	if !w.took {
		return false
	}
	taken := limit
	for _, other := range w.asked {
		if now.Since(other.at) > expectWithin {
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

// giveBack cancels reservations that a sequencer may have made before it was lost.
func (a *Archive) giveBack(order Placement) {
	w := a.worker(order.Program)
	for _, hold := range order.GivenUp {
		w.add(&Operation{Kind: Cancel, Program: order.Program, Hold: hold})
	}
}

// reserve takes a turn's most by this host's own lane.
func (a *Archive) reserve(ctx context.Context, order Placement) error {
	a.giveBack(order)
	operation := &Operation{Kind: Reserve, Program: order.Program, Hold: order.Hold, Tokens: order.Limit, Budget: order.Budget}
	w := a.worker(order.Program)
	done := w.add(operation)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if ended, err := a.leave(w, operation, done); ended && err != nil {
		return err
	} else if ended {
		w.add(&Operation{Kind: Cancel, Program: order.Program, Hold: order.Hold})
	}
	return sd.Unavailable.Wrap(ctx.Err(), "account not reached in time")
}

// leave stops waiting for a reservation. It reports whether the reservation had
// ended, and how; otherwise it will be given back.
func (a *Archive) leave(w *worker, operation *Operation, done <-chan error) (bool, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	select {
	case err := <-done:
		return true, err
	default:
		delete(w.waiters, operation)
		operation.Until = a.clock.Now()
		return false, nil
	}
}

// Settle ends a turn: used is what was handed to the caller, kept the turn to
// store or nil. It returns once the store has it: a copy in the memory of hosts would not
// outlive a power loss of all. Otherwise the error is Unavailable when ctx ends; the
// work goes on all the same.
func (a *Archive) Settle(ctx context.Context, program, hold Key, used sd.Tokens, kept *Turn) error {
	if kept != nil {
		a.remember(kept)
		if a.peers.Client != nil {
			// Nobody waits for that.
			go a.shareTurn(context.WithoutCancel(ctx), kept)
		}
	}
	o := Operation{Kind: Settle, Program: program, Hold: hold, Tokens: used, Kept: kept}
	w := a.worker(program)
	w.lock.Lock()
	at, placed := w.placed[hold]
	delete(w.placed, hold)
	w.lock.Unlock()
	if placed && !a.suspects.has(a.clock.Now(), at) {
		settled, received, err := attend(ctx, a, at, messageSettle, o, func(s Settled) bool { return s.Pending })
		if err == nil {
			w.learn(a.clock.Now(), program, settled.Snapshot)
			return nil
		}
		if received && ctx.Err() != nil {
			return sd.Unavailable.Wrap(err, "turn is not written in time")
		}
		if ctx.Err() == nil {
			a.suspects.add(a.clock.Now(), at)
		}
		a.log.Warn("sequencer did not settle a turn", zap.Int("event", eventSequencer), zap.Stringer("program", program),
			zap.String("sequencer", string(at)), zap.Error(err))
	}
	return a.settle(ctx, o)
}

// settle ends a turn by this host's own lane.
func (a *Archive) settle(ctx context.Context, o Operation) error {
	operation := o
	done := a.worker(o.Program).add(&operation)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return sd.Unavailable.Wrap(ctx.Err(), "turn is not written in time")
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

// work sends one lane's transactions, one after another.
func (a *Archive) work(ctx context.Context, w *worker) {
	pause := sd.Millis(0)
	sweep := time.NewTicker(sweepEvery.Duration())
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
				w.lane.Forget(a.clock.Now().Add(-a.settings.Retention))
				w.lock.Unlock()
			}
			continue
		}
		start := a.clock.Now()
		page, err := a.store.Commit(ctx, update)
		if a.Committed != nil {
			a.Committed(a.clock.Now().Since(start), err)
		}
		w.lock.Lock()
		w.deliver(w.lane.Done(a.clock.Now(), page, err))
		w.lock.Unlock()
		if err == nil || errorx.IsOfType(err, sd.Conflict) {
			pause = 0
			continue
		}
		pause = min(max(2*pause, pauseMin), pauseMax)
		// Lanes that failed together must not come back together.
		if !sleep(ctx, pause/2+sd.Millis(rand.Int64N(int64(pause)))) {
			return
		}
	}
}

// deliver tells the waiters. A reservation whose waiter has left is given back.
func (w *worker) deliver(ended []Ended) {
	for _, end := range ended {
		done, waiting := w.waiters[end.Operation]
		if waiting {
			delete(w.waiters, end.Operation)
			done <- end.Err
			continue
		}
		if end.Operation.Kind == Reserve && end.Err == nil {
			// Whoever waits behind it must not be refused for it.
			w.lane.AddFirst(&Operation{Kind: Cancel, Program: end.Operation.Program, Hold: end.Operation.Hold})
		}
	}
}

func (a *Archive) remember(t *Turn) {
	a.cacheLock.Lock()
	defer a.cacheLock.Unlock()
	a.cache.Add(a.clock.Now(), t)
}

// Cached returns the number of turns in memory and their size.
func (a *Archive) Cached() (turns, bytes int) {
	a.cacheLock.Lock()
	defer a.cacheLock.Unlock()
	return a.cache.Len()
}

func (a *Archive) cached(key Key) *Turn {
	a.cacheLock.Lock()
	defer a.cacheLock.Unlock()
	return a.cache.Get(key)
}

// sleep waits, and reports false if ctx ended first.
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
