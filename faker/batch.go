package faker

import "sapphiredrum.example/sapphiredrum"

// batch holds an engine's calls and the work it did since it was cold. Its times
// are milliseconds of the engine's clock with fractions.
type batch struct {
	running []*stream
	waiting []*stream
	// at is the time up to which the batch was run, worked the time under work.
	at     float64
	worked float64
}

// stream is a call in an engine.
type stream struct {
	call   sapphiredrum.EngineCall
	state  streamState
	digest string
	prompt sapphiredrum.Tokens
	cached sapphiredrum.Tokens
	// length is the number of tokens to generate, done that of those generated,
	// due the time of the next one.
	length sapphiredrum.Tokens
	done   sapphiredrum.Tokens
	due    float64
	ended  sapphiredrum.Instant
}

// streamState is the state of a stream.
type streamState int

const (
	streamWaiting streamState = iota
	streamRunning
	streamFinished
	streamBroken
)

// advance brings the engine up to the clock's time, token by token.
func (e *Engine) advance() {
	now := float64(e.clock.Now())
	for {
		next := e.batch.next()
		if next == nil || next.due > now {
			break
		}
		e.batch.pass(next.due)
		e.generate(next)
	}
	e.batch.pass(now)
}

// next returns the running stream whose token is due first.
func (b *batch) next() *stream {
	var first *stream
	for _, s := range b.running {
		if first == nil || s.due < first.due {
			first = s
		}
	}
	return first
}

// pass lets time pass up to the given moment.
func (b *batch) pass(until float64) {
	if until <= b.at {
		return
	}
	if len(b.running) > 0 {
		b.worked += until - b.at
	}
	b.at = until
}

// remove takes a stream out of the batch.
func (b *batch) remove(s *stream) {
	b.running = without(b.running, s)
	b.waiting = without(b.waiting, s)
}

// generate adds a token to a running stream.
func (e *Engine) generate(s *stream) {
	s.done++
	e.counters.Answered++
	s.due += float64(e.settings.Token) * e.crowding()
	if s.done < s.length {
		return
	}
	s.state = streamFinished
	e.counters.Finished++
	history := append([]sapphiredrum.Message(nil), s.call.Messages...)
	history = append(history, sapphiredrum.Message{Role: Role, Content: span(s.digest, 0, s.length)})
	e.hold(s.call.Program, history)
	e.leave(s)
	e.fill()
}

// enqueue takes a call in, breaking all when the cold engine cannot bear it.
func (e *Engine) enqueue(call sapphiredrum.EngineCall) *stream {
	e.forget()
	e.counters.Starts++
	if earlier, found := e.streams[call.Stream]; found {
		e.counters.Repeats++
		e.stop(earlier)
	}
	s := &stream{call: call, digest: Digest(call.Messages), length: e.settings.Words}
	if call.Limit > 0 {
		s.length = min(s.length, call.Limit)
	}
	e.streams[call.Stream] = s
	e.batch.waiting = append(e.batch.waiting, s)
	if e.bears() < sapphiredrum.Slots(len(e.batch.running)+len(e.batch.waiting)) && !e.warm() {
		e.counters.Overloads++
		if e.settings.Collapse {
			e.counters.Collapses++
			e.breakAll()
			e.batch.worked = 0
			return s
		}
	}
	e.fill()
	return s
}

// fill moves waiting streams into the batch.
func (e *Engine) fill() {
	b := &e.batch
	for len(b.waiting) > 0 && len(b.running) < int(e.settings.Slots) {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		s.state = streamRunning
		s.prompt = CountAll(s.call.Messages)
		s.cached = e.memory.match(s.call.Program, s.call.Messages)
		e.counters.Prompt += s.prompt
		e.counters.Cached += s.cached
		b.running = append(b.running, s)
		e.hold(s.call.Program, s.call.Messages)
		e.memory.pin(s.call.Program)
		crowding := e.crowding()
		s.due = b.at + crowding*(float64(e.settings.Prefill)*float64(s.prompt-s.cached)+float64(e.settings.Token))
	}
	e.counters.Peak = max(e.counters.Peak, sapphiredrum.Slots(len(b.running)))
}

// leave takes a stream that ended out of the batch.
func (e *Engine) leave(s *stream) {
	e.batch.remove(s)
	e.evicted(e.memory.unpin(s.call.Program))
	s.ended = e.clock.Now()
	e.ended = append(e.ended, s)
}

// stop ends a stream early and forgets it.
func (e *Engine) stop(s *stream) {
	if s.state == streamWaiting || s.state == streamRunning {
		e.abort(s)
	}
	if e.streams[s.call.Stream] == s {
		delete(e.streams, s.call.Stream)
	}
	e.fill()
}

// abort breaks a stream that waits or runs.
func (e *Engine) abort(s *stream) {
	if s.state == streamRunning {
		e.leave(s)
	} else {
		e.batch.remove(s)
	}
	s.state = streamBroken
	e.counters.Broken++
}

// breakAll breaks all streams.
func (e *Engine) breakAll() {
	streams := append(append([]*stream(nil), e.batch.running...), e.batch.waiting...)
	for _, s := range streams {
		e.abort(s)
	}
}

// crowding is the factor by which the batch slows each of its calls down.
func (e *Engine) crowding() float64 {
	others := max(len(e.batch.running)-1, 0)
	return 1 + e.settings.Slowdown*float64(others)
}

// bears returns the calls that the engine bears now.
func (e *Engine) bears() sapphiredrum.Slots {
	if e.warm() {
		return e.settings.Slots
	}
	warmth := e.batch.worked / float64(e.settings.Ramp)
	return e.settings.Cold + sapphiredrum.Slots(warmth*float64(e.settings.Slots-e.settings.Cold))
}

// warm reports whether the engine has worked for the whole ramp.
func (e *Engine) warm() bool {
	return e.settings.Cold >= e.settings.Slots || e.batch.worked >= float64(e.settings.Ramp)
}

// without returns streams without one of them.
func without(streams []*stream, s *stream) []*stream {
	for i := range streams {
		if streams[i] == s {
			return append(streams[:i:i], streams[i+1:]...)
		}
	}
	return streams
}
