package performer

import (
	"context"
	"sync"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/dispatcher"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/granter"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/recorder"
	"sapphiredrum.example/sapphiredrum/scheduler"
	"sapphiredrum.example/sapphiredrum/worker"
)

// Numbers of the events that this package logs.
const (
	eventTakenOver  = 400
	eventBadRecords = 401
	eventExpired    = 402
)

// Admission admits requests within a workspace's rate and burst.
type Admission interface {
	Admit(ctx context.Context, workspace sd.WorkspaceID) *sd.Refusal
}

// Journal keeps what has to last.
type Journal interface {
	// Append makes records safe and then tells Performer.Safe. It returns at once.
	Append(records []keeper.Record)
	// Ready reports whether records can become safe now: the platform answers or a
	// peer takes copies.
	Ready() bool
	// Intend records that a call is about to run. Only a fresh answer permits it.
	Intend(ctx context.Context, intent recorder.Intent) (recorder.Intended, error)
	// Recall tells what is recorded of an earlier submission of a call.
	Recall(intent recorder.Intent) (intended recorder.Intended, found bool, err error)
	// Settle records what came of a call that Intend permitted.
	Settle(intent recorder.Intent, ticket recorder.Ticket, outcome sd.Outcome, answer string)
}

// Placer chooses the cells that a call may run in.
type Placer interface {
	// Place returns cells in order of preference, none where no target serves.
	Place(route sd.Route, program sd.ProgramID, prompt sd.Tokens) []Place
	// Note tells that a target now holds a program's prefix.
	Note(program sd.ProgramID, cell scheduler.CellID, target sd.TargetID, held sd.Tokens)
	// Forget drops what is known of a program that ended.
	Forget(program sd.ProgramID)
}

// Place is a cell with the target of it that is believed to hold a prefix.
type Place struct {
	Cell   scheduler.CellID
	Target sd.TargetID
	Held   sd.Tokens
}

// Parts are what a Performer works with.
type Parts struct {
	Host       sd.HostID
	Zone       sd.ZoneName
	Config     func() *follower.Config
	Admission  Admission
	Journal    Journal
	Seeker     *granter.PermitClient
	Dispatcher *dispatcher.Dispatcher
	Targets    sd.TargetClients
	Placer     Placer
	Meter      sd.Meter
	Clock      sd.Clock
	Log        *zap.Logger
}

// Performer runs the calls of the programs that this host keeps. New makes one.
type Performer struct {
	parts Parts
	group *worker.Group

	// mu guards everything below.
	mu      sync.Mutex
	shelf   *keeper.Shelf
	waiters map[callKey]chan keeper.Event
	running map[callKey]context.CancelCauseFunc
	safes   map[treeKey][]safeWaiter
	born    map[sd.ProgramID]sd.Instant
}

// callKey names a call of a program.
type callKey struct {
	program sd.ProgramID
	call    sd.CallID
}

// treeKey names a tree under one owner.
type treeKey struct {
	tree  sd.ProgramID
	epoch sd.Epoch
}

// safeWaiter waits until a tree's record is safe.
type safeWaiter struct {
	number uint64
	done   chan bool
}

// New returns a performer that keeps no shard.
func New(parts Parts, rules keeper.Rules) *Performer {
	return &Performer{
		parts: parts, group: worker.NewGroup(context.Background()),
		shelf:   keeper.NewShelf(rules),
		waiters: make(map[callKey]chan keeper.Event),
		running: make(map[callKey]context.CancelCauseFunc),
		safes:   make(map[treeKey][]safeWaiter),
		born:    make(map[sd.ProgramID]sd.Instant),
	}
}

// Close stops what still runs in the background and waits for it.
func (p *Performer) Close() {
	p.group.Close()
}

// Gain takes a shard over with the records found.
func (p *Performer) Gain(shard sd.ShardID, epoch sd.Epoch, records []keeper.Record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.shelf.Gain(p.parts.Clock.Now(), shard, epoch, records); err != nil {
		p.parts.Log.Error("records do not parse", zap.Int("event", eventBadRecords), zap.Stringer("shard", shard), zap.Error(err))
		return err
	}
	p.parts.Log.Info("shard taken over", zap.Int("event", eventTakenOver),
		zap.Stringer("shard", shard), zap.Uint64("epoch", uint64(epoch)), zap.Int("records", len(records)))
	return nil
}

// Lose drops a shard: its calls are cut and answered.
func (p *Performer) Lose(shard sd.ShardID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shelf.Lose(shard)
	refusal := sd.NewRefusal(sd.KeeperMoving, movePause, "the program's shard has moved to another host")
	for key, waiter := range p.waiters {
		if kept, err := key.program.Shard(); err == nil && kept == shard {
			delete(p.waiters, key)
			waiter <- keeper.Refused{Program: key.program, Call: key.call, Refusal: refusal}
		}
	}
	for key, cancel := range p.running {
		if kept, err := key.program.Shard(); err == nil && kept == shard {
			cancel(&sd.Refusal{Reason: sd.KeeperMoving, Outcome: sd.Unknown, RetryAfter: movePause, Detail: refusal.Detail})
		}
	}
	for key, waiters := range p.safes {
		if kept, err := key.tree.Shard(); err == nil && kept == shard {
			delete(p.safes, key)
			for _, w := range waiters {
				w.done <- false
			}
		}
	}
}

// Yield prepares a shard's hand-over and reports whether no call of it runs and
// all its records are safe; call it again until so.
func (p *Performer) Yield(shard sd.ShardID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.shelf.Yield(shard)
	p.flush()
	return idle && p.shelf.AllSafe(shard)
}

// Reopen ends a hand-over that did not take place.
func (p *Performer) Reopen(shard sd.ShardID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shelf.Reopen(shard)
}

// Safe tells that a tree's records up to number are safe.
func (p *Performer) Safe(tree sd.ProgramID, epoch sd.Epoch, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.shelf.Safe(p.parts.Clock.Now(), tree, epoch, number))
	key := treeKey{tree: tree, epoch: epoch}
	kept := p.safes[key][:0]
	for _, w := range p.safes[key] {
		if w.number <= number {
			w.done <- true
			continue
		}
		kept = append(kept, w)
	}
	p.safes[key] = kept
	if len(kept) == 0 {
		delete(p.safes, key)
	}
}

// Keeps reports whether a shard's programs are restored here.
func (p *Performer) Keeps(shard sd.ShardID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shelf.Keeps(shard)
}

// Living tells whether a program still lives, for the release of engine memory.
func (p *Performer) Living(program sd.ProgramID) keeper.Life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shelf.Living(program)
}

// Image returns the epoch and the state of a kept shard, and epoch 0 for another.
func (p *Performer) Image(shard sd.ShardID) (sd.Epoch, []keeper.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shelf.Image(shard)
}

// Expire ends the programs whose time to live has passed.
func (p *Performer) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	stopped := p.shelf.Expire(p.parts.Clock.Now())
	if len(stopped.Closed) > 0 {
		p.parts.Log.Info("programs expired", zap.Int("event", eventExpired), zap.Int("programs", len(stopped.Closed)))
	}
	p.stop(stopped)
	p.flush()
}

// flush hands the shelf's new records to the journal. mu is held.
func (p *Performer) flush() {
	if records := p.shelf.Drain(); len(records) > 0 {
		p.parts.Journal.Append(records)
	}
}

// deliver passes events to the calls that wait for them. mu is held.
func (p *Performer) deliver(events []keeper.Event) {
	for _, event := range events {
		key := keyOf(event)
		if waiter := p.waiters[key]; waiter != nil {
			delete(p.waiters, key)
			waiter <- event
		}
	}
}

// stop ends the attempts and answers the waiting calls of programs that ended.
// mu is held.
func (p *Performer) stop(stopped keeper.Stopped) {
	for _, r := range stopped.Running {
		if cancel := p.running[callKey{program: r.Program, call: r.Call}]; cancel != nil {
			cancel(&sd.Refusal{Reason: sd.CallCancelled, Outcome: sd.Unknown, Detail: "the program was ended"})
		}
	}
	p.deliver(stopped.Events)
	for _, program := range stopped.Closed {
		p.parts.Placer.Forget(program)
	}
}

// awaitSafe returns a channel that tells whether the record became safe under
// this owner. mu is held.
func (p *Performer) awaitSafe(tree sd.ProgramID, epoch sd.Epoch, number uint64) <-chan bool {
	done := make(chan bool, 1)
	if p.shelf.IsSafe(tree, epoch, number) {
		done <- true
		return done
	}
	key := treeKey{tree: tree, epoch: epoch}
	p.safes[key] = append(p.safes[key], safeWaiter{number: number, done: done})
	return done
}

// keyOf returns the call that an event is about.
func keyOf(event keeper.Event) callKey {
	switch e := event.(type) {
	case keeper.Start:
		return callKey{program: e.Program, call: e.Call}
	case keeper.Refused:
		return callKey{program: e.Program, call: e.Call}
	}
	return callKey{}
}

// movePause is the time to come back that callers are told while a shard moves.
const movePause = 200 * sd.Millisecond
