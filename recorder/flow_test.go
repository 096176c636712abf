package recorder_test

import (
	"slices"

	"pgregory.net/rapid"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/recorder"
)

// stage is how far one submission of a call has come.
type stage int

const (
	queued stage = iota
	started
	intending
	permitted
	sent
	waiting
)

// flow is one submission of a call, or of a program's creation or end, at a host.
type flow struct {
	call  *call
	host  *host
	stage stage
	// head is the one that the call names, behind the call that it was queued
	// behind.
	head   *keeper.Head
	behind *call
	start  keeper.Start
	ticket recorder.Ticket
	sent   bool
	// gone is set when the caller has hung up.
	gone bool
	// after is the head after the call.
	after  keeper.Head
	tree   root.ProgramID
	epoch  root.Epoch
	number uint64
	// told is what the caller learns when the record is safe.
	told        func(o *oracle)
	acknowledge func(o *oracle)
}

func (w *world) end(h *host, f *flow) {
	h.flows = slices.DeleteFunc(h.flows, func(g *flow) bool { return g == f })
}

// await makes the flow wait for a record; the caller learns of it then.
func (w *world) await(h *host, f *flow, tree root.ProgramID, epoch root.Epoch, number uint64, told func(o *oracle)) {
	f.stage, f.tree, f.epoch, f.number = waiting, tree, epoch, number
	f.acknowledge = func(o *oracle) {
		if f.after != (keeper.Head{}) {
			f.call.program.secure(f.after)
		}
		if !f.gone {
			told(o)
		}
	}
	if !slices.Contains(h.flows, f) {
		h.flows = append(h.flows, f)
	}
}

// begin submits a call at a host.
func (w *world) begin(h *host, c *call, head *keeper.Head) {
	f := &flow{call: c, host: h, head: head, behind: h.last(c.program.id)}
	if !c.idempotent {
		if in, found, err := h.state.Recall(c.intent()); found || err != nil {
			if found && in.Outcome == root.NotRun {
				w.t.Fatalf("call %s: a recorded intent is recalled as not run", c.id)
			}
			return
		}
	}
	decision, err := h.shelf.Begin(w.now, keeper.Call{
		Program: c.program.id, Workspace: "w", ID: c.id, Head: head, Kind: c.kind(), Idempotent: c.idempotent,
		Messages: c.messages, Limit: c.limit, Digest: c.digest,
	})
	if err != nil {
		w.refused(h, f, err)
		return
	}
	w.drain(h)
	switch d := decision.(type) {
	case keeper.Start:
		h.flows = append(h.flows, f)
		w.happened(h, []keeper.Event{d})
	case keeper.Queued:
		h.flows = append(h.flows, f)
	case keeper.Replay:
		w.await(h, f, d.Tree, d.Epoch, d.Number, func(o *oracle) { o.answered(c, d.Head, d.Answer) })
	}
}

// refused checks what a refusal says about the run.
func (w *world) refused(h *host, f *flow, err error) {
	refusal, ok := err.(*root.Refusal)
	if !ok {
		w.t.Fatalf("not a refusal: %v", err)
	}
	shard, _ := f.call.program.id.Shard()
	current := w.owners[shard] == h
	if refusal.Outcome != root.NotRun {
		return
	}
	if f.sent {
		w.t.Fatalf("call %s was sent and is refused as not run: %v", f.call.id, refusal)
	}
	if epoch, _ := h.shelf.Image(shard); current && epoch == w.epochs[shard] && refusal.Reason != root.KeeperMoving &&
		!f.call.idempotent && f.call.sent > 0 {
		w.t.Fatalf("call %s was sent before and its owner refuses it as not run: %v", f.call.id, refusal)
	}
}

// happened handles the fates of calls that waited.
func (w *world) happened(h *host, events []keeper.Event) {
	for _, event := range events {
		switch e := event.(type) {
		case keeper.Start:
			f := h.flow(e.Program, e.Call, queued)
			f.stage, f.start = started, e
			w.oracle.started(f, e)
		case keeper.Refused:
			f := h.flow(e.Program, e.Call, queued)
			w.end(h, f)
			w.refused(h, f, e.Refusal)
		}
	}
}

func (h *host) flow(program root.ProgramID, id root.CallID, at stage) *flow {
	for _, f := range h.flows {
		if f.call != nil && f.call.program.id == program && f.call.id == id && f.stage == at {
			return f
		}
	}
	return nil
}

// last returns the call that a new one of the program would queue behind.
func (h *host) last(program root.ProgramID) *call {
	shard, _ := program.Shard()
	epoch, _ := h.shelf.Image(shard)
	for _, f := range slices.Backward(h.flows) {
		if f.call == nil || f.call.program.id != program || f.stage == waiting {
			continue
		}
		if f.stage == queued || f.start.Attempt.Epoch == epoch {
			return f.call
		}
	}
	return nil
}

// advance moves a running submission on by one step.
func (w *world) advance(h *host, f *flow, draw func(n int) int) {
	switch f.stage {
	case started:
		w.permit(h, f)
	case permitted:
		if draw(6) == 0 {
			// No target takes it: nothing was sent.
			if !f.call.idempotent {
				h.state.Withdraw(f.call.intent(), f.ticket)
			}
			w.finish(h, f, keeper.Result{Failed: true, Outcome: root.NotRun})
			return
		}
		f.stage, f.sent = sent, true
		w.oracle.sent(f.call, f.start, draw)
	case sent:
		w.reply(h, f, draw)
	}
}

// permit asks the recorder for a non-idempotent call.
func (w *world) permit(h *host, f *flow) {
	f.stage = permitted
	if f.call.idempotent {
		return
	}
	intent := f.call.intent()
	intent.Epoch = f.start.Attempt.Epoch
	in, wait, err := h.state.Intend(w.now, intent)
	switch {
	case err != nil:
		w.end(h, f)
		w.refused(h, f, err)
		w.finish(h, f, keeper.Result{Failed: true, Outcome: root.NotRun})
	case wait:
		f.stage, f.ticket = intending, in.Ticket
	case in.Fresh:
		f.stage, f.ticket = permitted, in.Ticket
	default:
		// Recorded before: its outcome counts and nothing is sent.
		whole := in.Outcome == root.Ran && in.Kept
		w.finish(h, f, keeper.Result{Failed: !whole, Outcome: in.Outcome, Answer: in.Answer, Completion: f.call.limit})
	}
}

func (w *world) decided(h *host, d recorder.Decided) {
	for _, f := range slices.Clone(h.flows) {
		if f.stage != intending || f.ticket != d.Ticket {
			continue
		}
		if d.Refusal == nil {
			f.stage = permitted
			continue
		}
		w.refused(h, f, d.Refusal)
		w.finish(h, f, keeper.Result{Failed: true, Outcome: root.NotRun})
	}
}

// reply ends an exchange with a target.
func (w *world) reply(h *host, f *flow, draw func(n int) int) {
	c := f.call
	result := keeper.Result{Outcome: root.Ran, Answer: c.reply(f.start), Completion: c.used}
	if !c.service {
		result.Prompt, result.Completion = c.prompt, c.used-c.prompt
	}
	if draw(4) == 0 {
		result.Failed, result.Outcome = true, root.Unknown
	}
	if !c.idempotent && draw(3) > 0 {
		h.state.Settle(c.intent(), f.ticket, result.Outcome, result.Answer)
	}
	w.finish(h, f, result)
}

// finish reports an attempt's end to the keeper; its answer waits for safety.
func (w *world) finish(h *host, f *flow, result keeper.Result) {
	w.end(h, f)
	result.Attempt = f.start.Attempt
	finished := h.shelf.Finish(w.now, f.call.program.id, f.call.id, result)
	w.drain(h)
	if finished.Accepted {
		if f.gone && !f.call.service {
			w.t.Fatalf("call %s: the answer of an abandoned attempt was accepted", f.call.id)
		}
		f.after = finished.Head
		w.oracle.finished(f.call, f.start.Head, finished.Head, result.Answer)
		w.await(h, f, finished.Tree, finished.Epoch, finished.Number, func(o *oracle) {
			o.answered(f.call, finished.Head, result.Answer)
		})
	}
	w.happened(h, finished.Events)
	w.drain(h)
}

// hangUp tells the host that a submission's caller has gone.
func (w *world) hangUp(h *host, f *flow) {
	f.gone = true
	if f.call == nil || f.stage == waiting {
		return
	}
	abandoned := h.shelf.Abandon(f.call.program.id, f.call.id, f.start.Attempt)
	if !abandoned.Running {
		w.end(h, f)
	} else if f.stage == intending {
		h.state.Withdraw(f.call.intent(), f.ticket)
		w.finish(h, f, keeper.Result{Failed: true, Outcome: root.NotRun})
	}
	w.happened(h, abandoned.Events)
	w.drain(h)
}

// stop ends or cancels a program.
func (w *world) stop(t *rapid.T, h *host, p *program) {
	stop := h.shelf.End
	if rapid.Bool().Draw(t, "cancel") {
		stop = h.shelf.Cancel
	}
	stopped, err := stop(p.id, "w")
	if err != nil {
		return
	}
	for _, q := range w.oracle.programs {
		for a := q; a != nil; a = a.parent {
			q.stopping = q.stopping || a == p
		}
	}
	w.log("%s stops %s", h, p.id)
	w.happened(h, stopped.Events)
	w.drain(h)
	w.await(h, &flow{host: h}, stopped.Tree, stopped.Epoch, stopped.Number, func(*oracle) { p.closed = true })
}
