package keeper

import (
	"slices"
	"strconv"

	root "sapphiredrum.example/sapphiredrum"
)

// Call is a request of a program.
type Call struct {
	Program   root.ProgramID
	Workspace root.WorkspaceID
	ID        root.CallID
	// Head is the head that the call follows; nil queues the call behind those
	// that came before it.
	Head       *Head
	Route      root.RouteName
	Kind       root.RouteKind
	Idempotent bool
	// Messages are a model call's new messages.
	Messages []root.Message
	// Limit bounds the answer's tokens; for a service call it is its whole cost.
	Limit root.Tokens
	// Digest covers the whole request.
	Digest Digest
}

// Attempt identifies one run of a call. Results of another attempt are dropped.
type Attempt struct {
	Epoch  root.Epoch
	Number uint64
}

// Stream returns the name of the exchange with a target.
func (a Attempt) Stream(program root.ProgramID, call root.CallID) root.StreamID {
	return root.StreamID(string(program) + "/" + string(call) + "/" +
		strconv.FormatUint(uint64(a.Epoch), 10) + "." + strconv.FormatUint(a.Number, 10))
}

// Decision answers Begin: a Start, a Queued or a Replay.
type Decision interface{ decision() }

// Event tells the fate of a call that waited: a Start or a Refused.
type Event interface{ event() }

// Start lets a call run now.
type Start struct {
	Program root.ProgramID
	Call    root.CallID
	Attempt Attempt
	// Messages is the whole prompt; the caller must not change it.
	Messages []root.Message
	// Limit is the call's limit, lowered to what the budget bears.
	Limit root.Tokens
	// Attained is the service of the program's whole tree.
	Attained root.Tokens
	// Head is the head that the call follows.
	Head Head
}

// Queued tells that the call waits: for the call before it, or until that call's
// result or a raised allotment is safe. A later Event names it.
type Queued struct{}

// Replay gives the recorded result of a finished call. Like the first answer it
// is given to the caller once the tree's record Number is safe.
type Replay struct {
	Answer  string
	Outcome root.Outcome
	Head    Head
	Tree    root.ProgramID
	Epoch   root.Epoch
	Number  uint64
}

// Refused ends a call that waited.
type Refused struct {
	Program root.ProgramID
	Call    root.CallID
	Refusal *root.Refusal
}

func (Start) decision()  {}
func (Queued) decision() {}
func (Replay) decision() {}
func (Start) event()     {}
func (Refused) event()   {}

// attempt is the call that a program runs or is about to run.
type attempt struct {
	call    Call
	id      Attempt
	limit   root.Tokens
	reserve root.Tokens
	// started is set when the call was handed out to run.
	started bool
	// abandoned is set when the caller went away while the call ran.
	abandoned bool
}

// Begin asks to run a call. Errors are *Refusal, all of them not run except
// the repetition of a call whose answer is no longer kept.
func (s *Shelf) Begin(now root.Instant, call Call) (Decision, error) {
	h, p, err := s.lookup(call.Program, call.Workspace)
	if err != nil {
		return nil, err
	}
	if d, found := p.find(call.ID); found {
		return p.repeat(d, call)
	}
	if err := s.admit(h, p, &call); err != nil {
		return nil, err
	}
	p.touched = now
	if p.current != nil {
		p.queue = append(p.queue, call)
		return Queued{}, nil
	}
	if err := s.reserve(p, call); err != nil {
		return nil, err
	}
	if !p.startable() {
		return Queued{}, nil
	}
	return p.start(now), nil
}

// repeat answers for a call that has finished.
func (p *program) repeat(d Done, call Call) (Decision, error) {
	if d.Digest != call.Digest {
		return nil, root.NewRefusal(root.CallConflict, 0, "the call's identifier was used for another request")
	}
	answer, kept := p.answer(d)
	if !kept || d.Outcome != root.Ran {
		return nil, &root.Refusal{
			Reason: root.CallRepeated, Outcome: d.Outcome,
			Detail: "the call has finished; its answer is not kept",
		}
	}
	return Replay{
		Answer: answer, Outcome: d.Outcome, Head: d.Head,
		Tree: p.tree.id, Epoch: p.tree.epoch, Number: p.tree.number,
	}, nil
}

// admit checks everything about a call but the budget.
func (s *Shelf) admit(h *holding, p *program, call *Call) error {
	switch {
	case h.closing:
		return root.NewRefusal(root.KeeperMoving, s.rules.Retry, "the program's shard is being handed over")
	case p.State != Open:
		return root.NewRefusal(root.ProgramEnded, 0, "the program is "+string(p.State))
	case p.Head.Turn+uint64(len(p.queue)) >= s.rules.Turns:
		return root.NewRefusal(root.BudgetExhausted, 0, "the program has reached the limit of turns")
	case len(p.queue) >= s.rules.Queue:
		return root.NewRefusal(root.Overloaded, s.rules.Retry, "too many calls of the program wait")
	}
	if p.current != nil {
		if err := repeated(&p.current.call, call, s.rules.Retry); err != nil {
			return err
		}
	}
	for i := range p.queue {
		if err := repeated(&p.queue[i], call, s.rules.Retry); err != nil {
			return err
		}
	}
	if call.Head != nil && (*call.Head != p.Head || p.current != nil) {
		return root.NewRefusal(root.HeadStale, 0, "the call does not follow the program's head")
	}
	return nil
}

// repeated refuses a call that has the identifier of one that has not finished.
func repeated(earlier, call *Call, retry root.Millis) error {
	if earlier.ID != call.ID {
		return nil
	}
	if earlier.Digest != call.Digest {
		return root.NewRefusal(root.CallConflict, 0, "the call's identifier is in use for another request")
	}
	return &root.Refusal{
		Reason: root.CallRepeated, Outcome: root.Unknown, RetryAfter: retry,
		Detail: "the call has not finished",
	}
}

// reserve makes the call the program's current one and sets its worst case
// aside. The call can start once the allotment that covers it is safe.
func (s *Shelf) reserve(p *program, call Call) error {
	prompt, least := root.Tokens(0), call.Limit
	if call.Kind != root.ServiceRoute {
		prompt, least = p.bound(call.Messages), min(call.Limit, 1)
	}
	room := p.left()
	if prompt+least > room || room < 0 {
		return root.NewRefusal(root.BudgetExhausted, 0, "the budget does not bear the call's worst case")
	}
	limit := min(call.Limit, room-prompt)
	s.attempt++
	p.current = &attempt{
		call: call, limit: limit, reserve: prompt + limit,
		id: Attempt{Epoch: p.tree.epoch, Number: s.attempt},
	}
	if need := p.Spent + p.current.reserve; need > p.Allotted {
		s.allot(p.tree, p, min(need+s.rules.Chunk, p.Allotted+p.free()))
	}
	return nil
}

// startable reports whether the current call may start: the result of the call
// before it and the allotment that covers its worst case are safe.
func (p *program) startable() bool {
	return p.current != nil && !p.current.started &&
		p.tree.safe >= p.after && p.Spent+p.current.reserve <= p.usable
}

// start hands the current call out.
func (p *program) start(now root.Instant) Start {
	c := p.current
	c.started, p.touched = true, now
	var messages []root.Message
	if c.call.Kind != root.ServiceRoute {
		messages = slices.Concat(p.History, c.call.Messages)
	}
	return Start{
		Program: p.ID, Call: c.call.ID, Attempt: c.id, Messages: messages,
		Limit: c.limit, Attained: p.tree.attained(), Head: p.Head,
	}
}
