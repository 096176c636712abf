package measurer

import (
	"fmt"
	"slices"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/picker"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

// begin starts a program or sub-agent.
func (w *world) begin(p *program) {
	p.history = 0
	w.submit(p, false)
}

// submit sends the program's next model call, or the service call after it,
// through the limiter.
func (w *world) submit(p *program, plain bool) {
	limits := w.limits[p.tenant.ID]
	wait, within := limits.fleet.take(w.now)
	admitted := within
	if w.variant.Split {
		wait, admitted = limits.parts[w.random.IntN(len(limits.parts))].take(w.now)
	}
	if within {
		w.result.Within++
	} else {
		w.result.Beyond++
	}
	if admitted {
		p.tried = true
		w.streams++
		stream := sapphiredrum.StreamID(fmt.Sprintf("%s.%d", p.id, w.streams))
		w.place(&call{stream: stream, program: p, plain: plain})
		return
	}
	if within {
		w.result.Wrong++
	}
	if !within && p.parent == nil && !p.tried && p.tenant.ID == w.result.Flooder {
		p.lost = true
		w.open--
		return
	}
	w.retry(p, plain, wait)
}

// retry sends a refused request again after the given time.
func (w *world) retry(p *program, plain bool, wait sapphiredrum.Millis) {
	jitter := sapphiredrum.Millis(w.random.Int64N(500))
	w.at(w.now.Add(wait+jitter), func() { w.submit(p, plain) })
}

// place picks a cell for the call and asks its guard.
func (w *world) place(x *call) {
	var candidates []sapphiredrum.Candidate
	out := make(map[sapphiredrum.ZoneName]bool)
	for _, c := range w.cells {
		out[c.zone] = c.out
		if c.plain == x.plain && !c.shunned {
			candidates = append(candidates, w.candidate(x, c))
		}
	}
	candidates = picker.WithoutZones(candidates, out)
	prompt := x.program.history + x.program.input(x.plain)
	chosen := w.variant.Chooser(x.program.home).Choose(prompt, candidates, w.random.IntN)
	if chosen < 0 {
		w.refused(x, sapphiredrum.NewRefusal(sapphiredrum.NoTarget, sapphiredrum.Second, "no candidate"))
		return
	}
	place := slices.IndexFunc(w.cells, func(c *cell) bool { return c.name == candidates[chosen].Target })
	w.ask(x, w.cells[place])
}

// candidate describes a cell as keepers see it.
func (w *world) candidate(x *call, c *cell) sapphiredrum.Candidate {
	found := sapphiredrum.Candidate{
		Target: c.name, Zone: c.zone, Queued: c.view.Waiting, Running: c.view.Running, Limit: c.view.Capacity,
	}
	if w.home[x.program.last] == c && !x.plain {
		found.Cached = x.program.history
		found.CachedAge = w.now.Since(x.program.since)
	}
	return found
}

// input returns the tokens that the next call adds to the history.
func (p *program) input(plain bool) sapphiredrum.Tokens {
	if plain || p.next >= len(p.steps) {
		return 0
	}
	return p.steps[p.next].input
}

// ask asks the cell's guard; a dead guard's calls wait for the next one.
func (w *world) ask(x *call, c *cell) {
	x.cell = c
	c.asked[x.stream] = x
	if c.dead {
		return
	}
	p := x.program
	request := scheduler.Request{
		Call: x.stream, Keeper: "h", Program: p.id, Workspace: p.tenant.ID, Tier: p.tier,
		AttainedService: p.root.attained, Weight: p.tenant.Part,
	}
	if !x.plain {
		request.Prompt, request.MaxTokens = p.history+p.input(false), answerLimit/2
		request.Preferred, request.CachedTokens = p.last, p.history
	}
	if verdict := c.guard.Submit(w.now, request); verdict.Refusal != nil {
		w.refused(x, verdict.Refusal)
	}
}

// refused handles a guard's refusal: no target here means trying elsewhere.
func (w *world) refused(x *call, refusal *sapphiredrum.Refusal) {
	if x.cell != nil {
		delete(x.cell.asked, x.stream)
	}
	if refusal.Reason == sapphiredrum.NoTarget && x.cell != nil && x.cell.out {
		x.cell = nil
		w.place(x)
		return
	}
	w.result.Wrong++
	w.retry(x.program, x.plain, refusal.RetryAfter)
}

// tick lets the guard decide and carries its decisions out.
func (w *world) tick(c *cell) {
	if c.dead {
		return
	}
	for _, decision := range c.guard.Tick(w.now) {
		switch d := decision.(type) {
		case scheduler.Granted:
			w.dispatch(c.asked[d.Call], d)
		case scheduler.Refused:
			w.refused(c.asked[d.Call], d.Refusal)
		}
	}
}

// dispatch sends a granted call to its engine.
func (w *world) dispatch(x *call, granted scheduler.Granted) {
	x.number, x.running = granted.Permit, true
	p := x.program
	e := w.engines[granted.Target]
	job := &work{program: p, done: func(job *work) { w.done(x, e, job) }}
	if x.plain {
		job.prefill = float64(p.steps[p.next-1].pause)
	} else {
		job.prompt = p.history + p.input(false)
		job.answer = p.steps[p.next].answer
	}
	w.carry(p, e, job)
}

// carry queues a call at its engine, after the program's prefix has been moved
// there where that is worth it.
func (w *world) carry(p *program, e *engine, job *work) {
	source := w.engines[p.last]
	if !w.variant.Moves || source == nil || source == e || e.plain {
		e.queue = append(e.queue, job)
		return
	}
	tokens := source.holds(p.id)
	if !w.costs.ShouldTransfer(tokens) {
		e.queue = append(e.queue, job)
		return
	}
	w.result.Moved++
	w.at(w.now.Add(w.costs.Transfer(tokens)), func() {
		e.keep(w.now, p.id, tokens)
		e.queue = append(e.queue, job)
	})
}

// done handles the end of a call.
func (w *world) done(x *call, e *engine, job *work) {
	delete(x.cell.asked, x.stream)
	if !x.cell.dead {
		x.cell.guard.Done(w.now, x.number, scheduler.Usage{Prompt: job.prompt, Cached: job.cached, Answer: job.answer})
	}
	p := x.program
	if x.plain {
		w.submit(p, false)
		return
	}
	second := int(w.now / sapphiredrum.Instant(sapphiredrum.Second))
	for len(w.result.Served) <= second {
		w.result.Served = append(w.result.Served, 0)
	}
	w.result.Served[second]++
	p.history = job.prompt + job.answer
	p.last, p.since = e.target.ID, w.now
	p.root.attained += (job.prompt-job.cached)/20 + job.answer
	p.next++
	w.follow(p)
}

// follow runs what comes after a model call: sub-agents, a pause, the next call.
func (w *world) follow(p *program) {
	s := p.steps[p.next-1]
	p.pending = len(s.children)
	for _, child := range s.children {
		child.parent, child.root, child.home = p, p.root, p.home
		w.begin(child)
	}
	if p.pending == 0 {
		w.pause(p)
	}
}

// pause runs the tool after a model call, then goes on or ends the program.
func (w *world) pause(p *program) {
	if p.next >= len(p.steps) {
		w.end(p)
		return
	}
	s := p.steps[p.next-1]
	if s.desk {
		w.submit(p, true)
		return
	}
	w.at(w.now.Add(s.pause), func() { w.submit(p, false) })
	if keep := w.variant.Keep; keep > 0 && s.pause > keep {
		w.at(w.now.Add(keep), func() { w.engines[p.last].drop(p.id) })
	}
}

// end ends a program and frees its memory.
func (w *world) end(p *program) {
	for _, c := range w.cells {
		for _, e := range c.engines {
			e.drop(p.id)
		}
	}
	if p.parent != nil {
		p.parent.pending--
		if p.parent.pending == 0 {
			w.pause(p.parent)
		}
		return
	}
	w.open--
	w.ends[p] = w.now
}

// report delivers an engine's load and cache events after their lags.
func (w *world) report(c *cell, e *engine) {
	load := e.load()
	w.at(w.now.Add(reportLag), func() { c.guard.Report(w.now, load) })
	events := e.events
	e.events = nil
	if len(events) > 0 {
		w.at(w.now.Add(eventLag), func() { c.guard.CacheEvents(w.now, e.target.ID, events) })
	}
}

// renew keeps the permits of running calls alive.
func (w *world) renew(c *cell) {
	var numbers []scheduler.PermitNumber
	for _, x := range c.asked {
		if x.running {
			numbers = append(numbers, x.number)
		}
	}
	slices.Sort(numbers)
	c.guard.Renew(w.now, "h", numbers)
}
