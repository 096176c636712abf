package keeper

import (
	root "sapphiredrum.example/sapphiredrum"
)

// Result is what came of an attempt.
type Result struct {
	Attempt Attempt
	// Answer is a model's whole answer or an encoded service answer.
	Answer string
	// Prompt and Completion are the tokens used; a service's cost is Completion.
	Prompt     root.Tokens
	Completion root.Tokens
	// Outcome is Ran for a whole answer.
	Outcome root.Outcome
	// Failed is set where there is no whole answer.
	Failed bool
}

// Finished tells what a caller may be given and when.
type Finished struct {
	// Head is the program's head now.
	Head Head
	// Accepted is set when the answer became part of the program. It may be
	// given to the caller once the tree's record Number is safe.
	Accepted bool
	Tree     root.ProgramID
	Epoch    root.Epoch
	Number   uint64
	// Events are the fates of the calls that waited behind this one.
	Events []Event
}

// Finish ends an attempt. What it used counts in any case; only a whole answer
// of the attempt that is current moves the head. The answer of a model call that
// its caller abandoned is dropped.
func (s *Shelf) Finish(now root.Instant, id root.ProgramID, call root.CallID, result Result) Finished {
	h, t := s.tree(id)
	if t == nil || h.epoch != result.Attempt.Epoch {
		return Finished{}
	}
	p := t.programs[id]
	c := p.current
	if c == nil || !c.started || c.call.ID != call || c.id != result.Attempt {
		return Finished{Head: p.Head}
	}
	p.current, p.touched = nil, now
	accepted := s.settle(t, p, c, result)
	p.after = t.number
	finished := Finished{
		Head: p.Head, Accepted: accepted, Tree: t.id, Epoch: t.epoch, Number: t.number,
	}
	if p.State == Open {
		finished.Events = s.advance(now, p, accepted)
	}
	return finished
}

// settle records the result and reports whether it moved the head.
func (s *Shelf) settle(t *tree, p *program, c *attempt, result Result) bool {
	used := result.Prompt + result.Completion
	if p.State != Open {
		if rest := c.reserve - used; rest != 0 {
			_ = s.emit(t, Record{Program: p.ID, Kind: Refunded, Refund: rest})
		}
		return false
	}
	model := c.call.Kind != root.ServiceRoute
	whole := !result.Failed && result.Outcome == root.Ran
	if whole && !(c.abandoned && model) {
		return s.emit(t, p.turned(c, result, model)) == nil
	}
	r := Record{Program: p.ID, Kind: Noted, Spent: p.Spent + used}
	if !c.call.Idempotent && result.Outcome != root.NotRun {
		r.Call, r.Digest, r.Outcome = c.call.ID, c.call.Digest, result.Outcome
	}
	if used != 0 || r.Call != "" {
		_ = s.emit(t, r)
	}
	return false
}

// turned makes the record of a finished call.
func (p *program) turned(c *attempt, result Result, model bool) Record {
	r := Record{
		Program: p.ID, Kind: Turned, Call: c.call.ID, Route: c.call.Route, Model: model,
		Digest: c.call.Digest, Answer: result.Answer, Outcome: result.Outcome,
		Spent: p.Spent + result.Prompt + result.Completion,
	}
	if model {
		r.Messages = c.call.Messages
		if result.Prompt > 0 {
			r.Known = result.Prompt + result.Completion + messageTokens
		}
	}
	r.Head = p.Head.next(r.Call, r.Digest, r.Messages, r.Answer)
	return r
}

// advance starts the next queued call after a success. After a failure it
// refuses all that waited, since they were issued to follow the failed call.
func (s *Shelf) advance(now root.Instant, p *program, succeeded bool) []Event {
	if !succeeded {
		return s.refuseQueue(p, 0, root.HeadStale, "the call before this one did not succeed")
	}
	if len(p.queue) == 0 {
		return nil
	}
	call := p.queue[0]
	p.queue = p.queue[1:]
	if err := s.reserve(p, call); err != nil {
		refusal, _ := err.(*root.Refusal)
		events := []Event{Refused{Program: p.ID, Call: call.ID, Refusal: refusal}}
		return append(events, s.refuseQueue(p, 0, root.HeadStale, "the call before this one was refused")...)
	}
	if p.startable() {
		return []Event{p.start(now)}
	}
	return nil
}

// refuseQueue refuses the queued calls from the given index on.
func (s *Shelf) refuseQueue(p *program, from int, reason root.Reason, detail string) []Event {
	events := make([]Event, 0, len(p.queue)-from)
	for _, call := range p.queue[from:] {
		events = append(events, Refused{Program: p.ID, Call: call.ID, Refusal: root.NewRefusal(reason, s.comeBack(reason), detail)})
	}
	p.queue = p.queue[:from]
	return events
}

// refuseWaiting refuses all calls of the program that were not handed out.
func (s *Shelf) refuseWaiting(p *program, reason root.Reason, detail string) []Event {
	var events []Event
	if c := p.current; c != nil && !c.started {
		refusal := root.NewRefusal(reason, s.comeBack(reason), detail)
		events = append(events, Refused{Program: p.ID, Call: c.call.ID, Refusal: refusal})
		p.current = nil
	}
	return append(events, s.refuseQueue(p, 0, reason, detail)...)
}

// comeBack is the time to come back after a refusal of a call that waited.
func (s *Shelf) comeBack(reason root.Reason) root.Millis {
	if reason == root.KeeperMoving {
		return s.rules.Retry
	}
	return 0
}

// Abandoned tells what an abandoned call leaves to do.
type Abandoned struct {
	// Running is set when the attempt was handed out: the host cancels it and
	// reports its end with Finish. Until then the program runs nothing else.
	Running bool
	Attempt Attempt
	Events  []Event
}

// Abandon tells that a call's caller has gone. Attempt is that of the call's
// Start, or zero while it waits. A call that waits is dropped with those behind
// it.
func (s *Shelf) Abandon(id root.ProgramID, call root.CallID, attempt Attempt) Abandoned {
	_, t := s.tree(id)
	if t == nil {
		return Abandoned{}
	}
	p := t.programs[id]
	if c := p.current; c != nil && c.call.ID == call {
		if c.started != (attempt != Attempt{}) || (c.started && c.id != attempt) {
			return Abandoned{}
		}
		if c.started {
			c.abandoned = true
			return Abandoned{Running: true, Attempt: c.id}
		}
		p.current = nil
		return Abandoned{Events: s.refuseQueue(p, 0, root.HeadStale, "the call before this one was withdrawn")}
	}
	for i := range p.queue {
		if p.queue[i].ID == call {
			events := s.refuseQueue(p, i, root.HeadStale, "the call before this one was withdrawn")
			return Abandoned{Events: events[1:]}
		}
	}
	return Abandoned{}
}
