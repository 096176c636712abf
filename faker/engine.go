package faker

import (
	"context"
	"sync"

	"sapphiredrum.example/sapphiredrum"
)

// Engine is a model engine in memory. It keeps no goroutine: whoever asks it
// something first brings it up to the clock's time. It is safe for concurrent
// use. Use NewEngine.
type Engine struct {
	clock    sapphiredrum.Clock
	settings EngineSettings

	mutex       sync.Mutex
	faults      EngineFaults
	counters    EngineCounters
	incarnation sapphiredrum.Incarnation
	batch       batch
	streams     map[sapphiredrum.StreamID]*stream
	ended       []*stream
	memory      memory
	fence       sapphiredrum.Epoch
	report      sapphiredrum.Load
	reported    sapphiredrum.Instant
	events      []event
	number      uint64
}

// event is a cache event and the instant from which it can be seen.
type event struct {
	at sapphiredrum.Instant
	sapphiredrum.CacheEvent
}

// Defaults and bounds of an engine.
const (
	defaultSlots sapphiredrum.Slots  = 8
	defaultWords sapphiredrum.Tokens = 16
	defaultKeep                      = sapphiredrum.Minute
	maxEvents                        = 65536
)

var _ sapphiredrum.Engine = (*Engine)(nil)

// NewEngine returns a cold engine that follows clock.
func NewEngine(clock sapphiredrum.Clock, settings EngineSettings) *Engine {
	if settings.Slots <= 0 {
		settings.Slots = defaultSlots
	}
	if settings.Cold <= 0 || settings.Cold > settings.Slots {
		settings.Cold = settings.Slots
	}
	if settings.Words <= 0 {
		settings.Words = defaultWords
	}
	if settings.Keep <= 0 {
		settings.Keep = defaultKeep
	}
	e := &Engine{clock: clock, settings: settings}
	e.reset()
	return e
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
}

// Faults returns the faults still in force.
func (e *Engine) Faults() EngineFaults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults
}

// Counters returns what the engine did so far.
func (e *Engine) Counters() EngineCounters {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	counters := e.counters
	counters.Running = sapphiredrum.Slots(len(e.batch.running))
	counters.Waiting = sapphiredrum.Slots(len(e.batch.waiting))
	counters.Held = e.memory.held
	counters.Programs = e.memory.programs()
	return counters
}

// Restart turns the engine cold and breaks its answers, as a crash does. It
// forgets its streams, its memory and the highest fencing number.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	e.breakAll()
	e.reset()
}

// Start runs a call or queues it behind a full batch.
func (e *Engine) Start(ctx context.Context, call sapphiredrum.EngineCall) (sapphiredrum.ResponseStream, error) {
	if err := e.wait(ctx); err != nil {
		return nil, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	if err := e.admit(call.Fence); err != nil {
		return nil, err
	}
	if e.settings.Model != "" && call.Model != e.settings.Model {
		return nil, sapphiredrum.NotFound.New("model %q is not loaded", call.Model)
	}
	s := e.enqueue(call)
	if e.loseAnswer() {
		return nil, sapphiredrum.Uncertain.New("the answer was lost")
	}
	return &answer{engine: e, stream: s, cut: e.takeCut(0)}, nil
}

// Resume continues a stream from the given offset.
func (e *Engine) Resume(ctx context.Context, id sapphiredrum.StreamID, offset sapphiredrum.Tokens) (sapphiredrum.ResponseStream, error) {
	if err := e.wait(ctx); err != nil {
		return nil, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	if e.faults.Away {
		return nil, sapphiredrum.Unavailable.New("the engine is away")
	}
	s, found := e.streams[id]
	if !found || offset < 0 || offset > s.length {
		return nil, sapphiredrum.NotFound.New("stream %q at offset %d does not exist", id, offset)
	}
	e.counters.Resumes++
	return &answer{engine: e, stream: s, offset: offset, cut: e.takeCut(offset)}, nil
}

// Cancel stops a stream and forgets it.
func (e *Engine) Cancel(ctx context.Context, id sapphiredrum.StreamID) error {
	if err := e.wait(ctx); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	if e.faults.Away {
		return sapphiredrum.Unavailable.New("the engine is away")
	}
	e.counters.Cancels++
	if s, found := e.streams[id]; found {
		e.stop(s)
	}
	if e.loseAnswer() {
		return sapphiredrum.Uncertain.New("the answer was lost")
	}
	return nil
}

// Release frees the memory that a program holds. A call of the program that
// still runs holds memory again when it ends.
func (e *Engine) Release(ctx context.Context, program sapphiredrum.ProgramID, fence sapphiredrum.Epoch) error {
	if err := e.wait(ctx); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	if err := e.admit(fence); err != nil {
		return err
	}
	e.counters.Releases++
	if e.memory.drop(program) {
		e.publish(program, 0, true)
	}
	if e.loseAnswer() {
		return sapphiredrum.Uncertain.New("the answer was lost")
	}
	return nil
}

// Load returns a report that is at most the settings' lag old.
func (e *Engine) Load(ctx context.Context, programs bool) (sapphiredrum.Load, error) {
	if err := e.wait(ctx); err != nil {
		return sapphiredrum.Load{}, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	if e.faults.Away {
		return sapphiredrum.Load{}, sapphiredrum.Unavailable.New("the engine is away")
	}
	now := e.clock.Now()
	if e.report.Incarnation == 0 || now.Since(e.reported) >= e.settings.Lag {
		e.report, e.reported = e.load(), now
	}
	load := e.report
	if !programs {
		load.Programs, load.ProgramsOmitted = nil, true
		return load, nil
	}
	load.Programs = append([]sapphiredrum.ProgramID(nil), load.Programs...)
	return load, nil
}

// Events returns the cache events after the given number that can be seen.
func (e *Engine) Events(ctx context.Context, after uint64) ([]sapphiredrum.CacheEvent, error) {
	if err := e.wait(ctx); err != nil {
		return nil, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	if e.faults.Away {
		return nil, sapphiredrum.Unavailable.New("the engine is away")
	}
	until := e.clock.Now().Add(-e.settings.Delay)
	var events []sapphiredrum.CacheEvent
	for _, v := range e.events {
		if v.Number > after && v.at <= until {
			events = append(events, v.CacheEvent)
		}
	}
	return events, nil
}
