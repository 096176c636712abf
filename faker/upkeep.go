package faker

import (
	"context"

	"sapphiredrum.example/sapphiredrum"
)

// wait applies the faults that strike before an operation takes effect.
func (e *Engine) wait(ctx context.Context) error {
	if err := pause(ctx, e.Faults().Slow); err != nil {
		return err
	}
	return hang(ctx, func() bool { return e.Faults().Hang })
}

// admit refuses an order during an outage or for its old fencing number.
func (e *Engine) admit(fence sapphiredrum.Epoch) error {
	if e.faults.Away {
		return sapphiredrum.Unavailable.New("the engine is away")
	}
	if fence >= e.fence {
		e.fence = fence
		return nil
	}
	if e.settings.Fenced {
		e.counters.Refused++
		return sapphiredrum.Fenced.New("fencing number %d is below %d", fence, e.fence)
	}
	e.counters.Stale++
	return nil
}

// loseAnswer reports whether the answer of an operation is lost.
func (e *Engine) loseAnswer() bool {
	return take(&e.faults.LoseAnswers)
}

// takeCut returns the offset at which an answer that begins at an offset is to
// break, zero for none.
func (e *Engine) takeCut(offset sapphiredrum.Tokens) sapphiredrum.Tokens {
	if take(&e.faults.Cuts) {
		return offset + max(e.faults.CutAfter, 1)
	}
	return 0
}

// reset makes the engine cold and empty.
func (e *Engine) reset() {
	e.incarnation = sapphiredrum.NewIncarnation()
	e.batch = batch{at: float64(e.clock.Now())}
	e.streams = make(map[sapphiredrum.StreamID]*stream)
	e.ended = nil
	e.memory = memory{limit: e.settings.Memory}
	e.fence = 0
	e.report = sapphiredrum.Load{}
	e.events, e.number = nil, 0
}

// forget drops ended streams that are too old to be resumed.
func (e *Engine) forget() {
	until := e.clock.Now().Add(-e.settings.Keep)
	for len(e.ended) > 0 && e.ended[0].ended < until {
		s := e.ended[0]
		e.ended = e.ended[1:]
		if e.streams[s.call.Stream] == s {
			delete(e.streams, s.call.Stream)
		}
	}
}

// hold stores a program's history in the prefix memory.
func (e *Engine) hold(program sapphiredrum.ProgramID, messages []sapphiredrum.Message) {
	e.evicted(e.memory.store(program, messages))
	e.publish(program, e.memory.prefix[program].size(), false)
}

// evicted tells of programs dropped for want of memory.
func (e *Engine) evicted(programs []sapphiredrum.ProgramID) {
	for _, program := range programs {
		e.counters.Evicted++
		e.publish(program, 0, true)
	}
}

// publish adds a cache event unless it falls into a gap.
func (e *Engine) publish(program sapphiredrum.ProgramID, tokens sapphiredrum.Tokens, dropped bool) {
	e.number++
	if e.settings.Gap > 0 && e.number%e.settings.Gap == 0 {
		return
	}
	cache := sapphiredrum.CacheEvent{Number: e.number, Program: program, Tokens: tokens, Evicted: dropped}
	e.events = append(e.events, event{at: e.clock.Now(), CacheEvent: cache})
	if len(e.events) > maxEvents {
		e.events = append([]event(nil), e.events[maxEvents/2:]...)
	}
}

// load returns a report of the engine's present load.
func (e *Engine) load() sapphiredrum.Load {
	return sapphiredrum.Load{
		Target:      e.settings.Target,
		Incarnation: e.incarnation,
		Running:     sapphiredrum.Slots(len(e.batch.running)),
		Waiting:     sapphiredrum.Slots(len(e.batch.waiting)),
		CacheUsed:   e.memory.held,
		Cold:        !e.warm(),
		Programs:    e.memory.programs(),
	}
}
