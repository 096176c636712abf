package performer

import (
	"context"
	"encoding/json"
	"errors"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/granter"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// Send passes a frame of an answer towards the caller.
type Send func(frame sd.Frame) error

// Call runs a program's call from admission to the end of its answer.
func (p *Performer) Call(ctx context.Context, request sd.CallRequest, send Send) error {
	call, err := p.callOf(request)
	if err != nil {
		return err
	}
	err = p.attempt(ctx, request, call, send)
	if call.Kind == sd.ServiceRoute && !call.Idempotent {
		return p.recall(call, err)
	}
	return err
}

// recall corrects a refusal that says "not run" of a call that an earlier
// submission may have run.
func (p *Performer) recall(call keeper.Call, err error) error {
	var refusal *sd.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != sd.NotRun {
		return err
	}
	intended, found, conflict := p.parts.Journal.Recall(intentOf(call))
	if conflict != nil {
		return conflict
	}
	if !found || intended.Outcome == sd.NotRun {
		return err
	}
	corrected := *refusal
	corrected.Outcome = intended.Outcome
	return &corrected
}

// attempt runs a call once its request was understood.
func (p *Performer) attempt(ctx context.Context, request sd.CallRequest, call keeper.Call, send Send) error {
	if !p.parts.Journal.Ready() {
		return unsafe()
	}
	if refusal := p.parts.Admission.Admit(ctx, request.Caller.Workspace); refusal != nil {
		return refusal
	}
	decision, safe, err := p.begin(ctx, call)
	if err != nil {
		return err
	}
	switch d := decision.(type) {
	case keeper.Replay:
		return p.replay(ctx, request, d, safe, send)
	case keeper.Start:
		return p.run(ctx, request, call, d, send)
	}
	return sd.NewRefusal(sd.KeeperMoving, movePause, "the call was not started")
}

// callOf builds the shelf's form of a call.
func (p *Performer) callOf(request sd.CallRequest) (keeper.Call, error) {
	head, err := parseHead(request.Head)
	if err != nil {
		return keeper.Call{}, err
	}
	call := keeper.Call{
		Program: request.Program, Workspace: request.Caller.Workspace, ID: request.Call, Head: head,
		Route: request.Route.Name, Kind: request.Route.Kind, Idempotent: request.Route.Idempotent,
		Messages: request.Messages, Limit: request.Limit, Digest: digestOf(request),
	}
	if call.Kind == sd.ServiceRoute {
		call.Limit = request.Route.Cost
	}
	return call, nil
}

// digestOf covers everything that makes two requests the same one.
func digestOf(request sd.CallRequest) keeper.Digest {
	parts := []string{string(request.Route.Name), request.Service.Method, request.Service.Path, string(request.Service.Body)}
	for _, m := range request.Messages {
		parts = append(parts, m.Role, m.Content)
	}
	return keeper.DigestOf(parts...)
}

// begin gives a call to its program and waits for its turn. The channel belongs
// to a Replay.
func (p *Performer) begin(ctx context.Context, call keeper.Call) (keeper.Decision, <-chan bool, error) {
	p.mu.Lock()
	decision, err := p.shelf.Begin(p.parts.Clock.Now(), call)
	if err != nil {
		p.mu.Unlock()
		return nil, nil, err
	}
	switch d := decision.(type) {
	case keeper.Replay:
		safe := p.awaitSafe(d.Tree, d.Epoch, d.Number)
		p.mu.Unlock()
		return d, safe, nil
	case keeper.Start:
		p.flush()
		p.mu.Unlock()
		return d, nil, nil
	}
	waiter := make(chan keeper.Event, 1)
	p.waiters[callKey{program: call.Program, call: call.ID}] = waiter
	p.flush()
	p.mu.Unlock()
	return p.queue(ctx, call, waiter)
}

// queue waits for the fate of a queued call.
func (p *Performer) queue(ctx context.Context, call keeper.Call, waiter chan keeper.Event) (keeper.Decision, <-chan bool, error) {
	select {
	case event := <-waiter:
		return decided(event)
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, callKey{program: call.Program, call: call.ID})
	p.abandon(call, waiter)
	p.flush()
	return nil, nil, sd.NewRefusal(sd.TimedOut, sd.Second, "the call was given up while it waited for its turn")
}

// abandon gives a queued call up; it may have been started a moment ago. mu is held.
func (p *Performer) abandon(call keeper.Call, waiter chan keeper.Event) {
	var started keeper.Attempt
	select {
	case event := <-waiter:
		start, isStart := event.(keeper.Start)
		if !isStart {
			return
		}
		started = start.Attempt
	default:
	}
	abandoned := p.shelf.Abandon(call.Program, call.ID, started)
	p.deliver(abandoned.Events)
	if abandoned.Running {
		finished := p.shelf.Finish(p.parts.Clock.Now(), call.Program, call.ID, keeper.Result{
			Attempt: abandoned.Attempt, Outcome: sd.NotRun, Failed: true,
		})
		p.deliver(finished.Events)
	}
}

// decided turns an event into the decision that it stands for.
func decided(event keeper.Event) (keeper.Decision, <-chan bool, error) {
	switch e := event.(type) {
	case keeper.Start:
		return e, nil, nil
	case keeper.Refused:
		return nil, nil, e.Refusal
	}
	return nil, nil, sd.NewRefusal(sd.KeeperMoving, movePause, "the call was not started")
}

// replay gives the recorded answer of a call again.
func (p *Performer) replay(ctx context.Context, request sd.CallRequest, replay keeper.Replay, safe <-chan bool, send Send) error {
	if err := wait(ctx, safe); err != nil {
		return err
	}
	frame := sd.Frame{Chunk: &sd.Chunk{Text: replay.Answer}}
	if request.Route.Kind == sd.ServiceRoute {
		var answer sd.ServiceResponse
		if err := json.Unmarshal([]byte(replay.Answer), &answer); err != nil {
			return &sd.Refusal{Reason: sd.CallRepeated, Outcome: replay.Outcome, Detail: "the recorded answer does not parse"}
		}
		frame = sd.Frame{Response: &answer}
	}
	if err := send(frame); err != nil {
		return err
	}
	return send(sd.Frame{End: &sd.CallEnd{Head: HeadText(replay.Head)}})
}

// run runs a call whose turn has come and ends it in the shelf.
func (p *Performer) run(ctx context.Context, request sd.CallRequest, call keeper.Call, start keeper.Start, send Send) error {
	key := callKey{program: call.Program, call: call.ID}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.mu.Lock()
	p.running[key] = cancel
	p.mu.Unlock()
	var done ended
	if call.Kind == sd.ServiceRoute {
		done = p.runService(ctx, request, call, start)
	} else {
		done = p.runModel(ctx, request, start, send)
	}
	finished, safe := p.finish(key, start, done)
	if done.refusal != nil {
		return p.cause(ctx, done.refusal)
	}
	if !finished.Accepted {
		return &sd.Refusal{Reason: sd.KeeperMoving, Outcome: sd.Ran, RetryAfter: movePause, Detail: "the call ran, but its program has moved or ended"}
	}
	if err := wait(ctx, safe); err != nil {
		return err
	}
	if done.answer != nil {
		if err := send(sd.Frame{Response: done.answer}); err != nil {
			return err
		}
	}
	return send(sd.Frame{End: &sd.CallEnd{
		Head: HeadText(finished.Head), Prompt: done.prompt, Cached: done.cached, Used: done.used,
	}})
}

// finish reports an attempt's end to the shelf.
func (p *Performer) finish(key callKey, start keeper.Start, done ended) (keeper.Finished, <-chan bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, key)
	finished := p.shelf.Finish(p.parts.Clock.Now(), key.program, key.call, done.result(start.Attempt))
	p.deliver(finished.Events)
	p.flush()
	if !finished.Accepted {
		return finished, nil
	}
	return finished, p.awaitSafe(finished.Tree, finished.Epoch, finished.Number)
}

// cause prefers the reason for which a call was stopped over what its target
// then said, and keeps what is known of the call's execution.
func (p *Performer) cause(ctx context.Context, refusal *sd.Refusal) *sd.Refusal {
	stopped, found := context.Cause(ctx).(*sd.Refusal)
	if !found {
		return refusal
	}
	return &sd.Refusal{Reason: stopped.Reason, Outcome: refusal.Outcome, RetryAfter: stopped.RetryAfter, Detail: stopped.Detail}
}

// ended is what came of a call's run.
type ended struct {
	text    string
	answer  *sd.ServiceResponse
	prompt  sd.Tokens
	cached  sd.Tokens
	used    sd.Tokens
	refusal *sd.Refusal
	// permit is the last one that a model call used.
	permit granter.Permit
}

// result converts what came of a run for the shelf.
func (e ended) result(attempt keeper.Attempt) keeper.Result {
	result := keeper.Result{Attempt: attempt, Answer: e.text, Prompt: e.prompt, Completion: e.used, Outcome: sd.Ran}
	if e.refusal != nil {
		result.Failed, result.Outcome = true, e.refusal.Outcome
	}
	return result
}
