package measurer

import (
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

const (
	// prefillRate is the prompt tokens that an engine computes in a second.
	prefillRate = 8000
	// gapBase and gapEach make the time between two tokens of a call, in
	// milliseconds: gapBase plus gapEach for every running call.
	gapBase = 15.0
	gapEach = 1.5
	// prefillDrag is the factor by which decoding slows while a prompt is computed.
	prefillDrag = 1.6
	// collapse is the factor of speed left when a cold engine is overloaded.
	collapse = 0.1
	// engineMemory is the prefix memory in tokens.
	engineMemory = sapphiredrum.Tokens(64000)
)

// work is one call in an engine or service.
type work struct {
	program *program
	answer  sapphiredrum.Tokens
	prompt  sapphiredrum.Tokens
	cached  sapphiredrum.Tokens
	prefill float64
	decode  float64
	done    func(*work)
}

// kept is a program's prefix in an engine's memory.
type kept struct {
	program sapphiredrum.ProgramID
	tokens  sapphiredrum.Tokens
	used    sapphiredrum.Instant
}

// engine is a fake of a batching model engine, or of a plain service when
// plain is set: then a call takes its prefill as time.
type engine struct {
	target      sapphiredrum.Target
	plain       bool
	incarnation sapphiredrum.Incarnation
	warmed      sapphiredrum.Millis
	running     []*work
	queue       []*work
	memory      []kept
	events      []sapphiredrum.CacheEvent
	number      uint64
	// computed, wasted count prefill tokens, computed again counts as wasted.
	computed, wasted, reusable sapphiredrum.Tokens
	collapsed                  sapphiredrum.Millis
}

// bears is the number of calls that the engine truly bears.
func (e *engine) bears() int {
	t := e.target
	if e.warmed >= t.WarmUp {
		return int(t.Slots)
	}
	return int(t.ColdSlots) + int(t.Slots-t.ColdSlots)*int(e.warmed)/int(t.WarmUp)
}

// restart loses all memory and warmth; running work is lost too.
func (e *engine) restart() {
	e.incarnation++
	e.warmed = 0
	e.memory = nil
}

// step lets the engine work for the given time.
func (e *engine) step(now sapphiredrum.Instant, span sapphiredrum.Millis) {
	for len(e.queue) > 0 && len(e.running) < int(e.target.Slots) {
		e.start(now, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return
	}
	speed := 1.0
	if len(e.running) > e.bears() {
		speed = collapse
		e.collapsed += span
	} else {
		e.warmed += span
	}
	e.work(float64(span) * speed)
	ended := slices.Clone(e.running)
	e.running = slices.DeleteFunc(e.running, func(w *work) bool { return w.decode <= 0 })
	for _, w := range ended {
		if w.decode <= 0 {
			e.keep(now, w.program.id, w.prompt+w.answer)
			w.done(w)
		}
	}
}

// work spends a span of engine time on prefill and decoding.
func (e *engine) work(span float64) {
	budget := span * prefillRate / 1000
	drag := 1.0
	if e.plain {
		budget = span * float64(len(e.running))
	}
	for _, w := range e.running {
		if w.prefill > 0 && budget > 0 {
			spent := min(w.prefill, budget)
			if e.plain {
				spent = min(w.prefill, span)
			}
			w.prefill -= spent
			budget -= spent
			drag = prefillDrag
		}
	}
	gap := (gapBase + gapEach*float64(len(e.running))) * drag
	for _, w := range e.running {
		if w.prefill <= 0 {
			w.decode -= span / gap
		}
	}
}

// start admits a call and finds what memory holds of its prompt.
func (e *engine) start(now sapphiredrum.Instant, w *work) {
	e.running = append(e.running, w)
	if e.plain {
		w.decode = 0.001
		return
	}
	w.cached = min(e.holds(w.program.id), w.prompt)
	w.prefill = float64(max(w.prompt-w.cached, 1))
	w.decode = float64(w.answer)
	e.computed += w.prompt - w.cached
	e.reusable += w.program.history
	e.wasted += max(0, w.program.history-w.cached)
	e.keep(now, w.program.id, w.prompt+w.answer)
}

// holds returns the tokens of the program's prefix.
func (e *engine) holds(id sapphiredrum.ProgramID) sapphiredrum.Tokens {
	for _, k := range e.memory {
		if k.program == id {
			return k.tokens
		}
	}
	return 0
}

// keep stores a prefix and evicts others, least recently used first.
func (e *engine) keep(now sapphiredrum.Instant, id sapphiredrum.ProgramID, tokens sapphiredrum.Tokens) {
	if e.plain {
		return
	}
	e.memory = slices.DeleteFunc(e.memory, func(k kept) bool { return k.program == id })
	e.memory = append(e.memory, kept{program: id, tokens: tokens, used: now})
	e.publish(id, tokens)
	total := sapphiredrum.Tokens(0)
	for _, k := range e.memory {
		total += k.tokens
	}
	for i := 0; total > e.target.CacheCapacity && i < len(e.memory); {
		k := e.memory[i]
		if e.runs(k.program) {
			i++
			continue
		}
		total -= k.tokens
		e.memory = slices.Delete(e.memory, i, i+1)
		e.publish(k.program, 0)
	}
}

// drop frees a program's prefix.
func (e *engine) drop(id sapphiredrum.ProgramID) {
	e.memory = slices.DeleteFunc(e.memory, func(k kept) bool { return k.program == id && !e.runs(id) })
}

// publish adds a cache event; one in ten is lost.
func (e *engine) publish(id sapphiredrum.ProgramID, tokens sapphiredrum.Tokens) {
	e.number++
	if e.number%10 != 0 {
		e.events = append(e.events, sapphiredrum.CacheEvent{Number: e.number, Program: id, Tokens: tokens, Evicted: tokens == 0})
	}
}

func (e *engine) runs(id sapphiredrum.ProgramID) bool {
	return slices.ContainsFunc(e.running, func(w *work) bool { return w.program.id == id })
}

// load returns the engine's report of this moment.
func (e *engine) load() sapphiredrum.Load {
	l := sapphiredrum.Load{
		Target: e.target.ID, Incarnation: e.incarnation, Cold: e.warmed < e.target.WarmUp,
		Running: sapphiredrum.Slots(len(e.running)), Waiting: sapphiredrum.Slots(len(e.queue)),
	}
	for _, k := range e.memory {
		l.CacheUsed += k.tokens
		l.Programs = append(l.Programs, k.program)
	}
	return l
}
