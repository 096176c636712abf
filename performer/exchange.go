package performer

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/granter"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/recorder"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

// runModel runs a model call on a target, on another one while nothing of its
// answer was passed on.
func (p *Performer) runModel(ctx context.Context, request sd.CallRequest, start keeper.Start, send Send) ended {
	stream := start.Attempt.Stream(start.Program, start.Call)
	seek := p.seekRequest(request, start.Program, start.Attained, estimate(start.Messages), start.Limit)
	done := ended{}
	for attempt := 1; attempt <= maxTargets; attempt++ {
		seek.Call = sd.StreamID(string(stream) + "." + strconv.Itoa(attempt))
		permit, refusal := p.permit(ctx, request.Route, seek)
		if refusal != nil {
			done.refusal = worse(done.refusal, refusal)
			return done
		}
		again := p.exchange(ctx, request, seek, permit, start, send, &done)
		if !again {
			return done
		}
	}
	return done
}

// exchange runs a model call on the target of a permit. It reports whether
// another target may be tried.
func (p *Performer) exchange(ctx context.Context, request sd.CallRequest, seek scheduler.Request, permit granter.Permit, start keeper.Start, send Send, done *ended) bool {
	target, found := p.parts.Config().Target(permit.Target)
	if !found {
		p.parts.Seeker.Done(permit, scheduler.Usage{Unused: true})
		done.refusal = worse(done.refusal, sd.NewRefusal(sd.NoTarget, movePause, "the target has left"))
		return true
	}
	result := p.parts.Dispatcher.Model(ctx, p.parts.Targets.Engine(target), sd.EngineCall{
		Stream: seek.Call, Program: start.Program, Model: request.Route.Model, Fence: permit.Fence,
		Messages: start.Messages, Limit: start.Limit,
	}, func(piece sd.Chunk) error { return send(sd.Frame{Chunk: &piece}) })
	failed := result.Refusal != nil && ctx.Err() == nil && result.Refusal.Reason != sd.CallCancelled
	p.parts.Seeker.Done(permit, scheduler.Usage{
		Prompt: result.Prompt, Cached: result.Cached, Answer: result.Used, Failed: failed,
	})
	done.text, done.used, done.permit = result.Text, result.Used, permit
	done.prompt += result.Prompt
	done.cached = result.Cached
	if result.Refusal == nil {
		done.refusal = nil
		p.parts.Placer.Note(start.Program, permit.Cell, permit.Target, result.Prompt+result.Used)
		return false
	}
	done.refusal = worse(done.refusal, result.Refusal)
	return result.Elsewhere
}

// runService runs a call of a plain service. A call that must not be repeated is
// intended first, and runs to its end even if its caller leaves.
func (p *Performer) runService(ctx context.Context, request sd.CallRequest, call keeper.Call, start keeper.Start) ended {
	seek := p.seekRequest(request, start.Program, start.Attained, 0, request.Route.Cost)
	seek.Call = start.Attempt.Stream(start.Program, start.Call)
	if request.Route.Idempotent {
		return charge(p.serve(ctx, request, seek), request.Route)
	}
	intent := intentOf(call)
	intent.Epoch = start.Attempt.Epoch
	intended, err := p.parts.Journal.Intend(ctx, intent)
	if err != nil {
		return ended{refusal: refusalOf(err)}
	}
	if !intended.Fresh {
		return charge(earlier(intended), request.Route)
	}
	done := p.serve(ctx, request, seek)
	p.parts.Journal.Settle(intent, intended.Ticket, done.result(start.Attempt).Outcome, done.text)
	return charge(done, request.Route)
}

// intentOf names a call that must run at most once.
func intentOf(call keeper.Call) recorder.Intent {
	shard, _ := call.Program.Shard()
	return recorder.Intent{
		Key:   recorder.Key{Workspace: call.Workspace, Program: call.Program, Call: call.ID},
		Shard: shard, Digest: call.Digest,
	}
}

// charge adds the cost of a call that ran or may have run.
func charge(done ended, route sd.Route) ended {
	if done.refusal == nil || done.refusal.Outcome != sd.NotRun {
		done.used = route.Cost
	}
	return done
}

// earlier answers for a call that an earlier attempt intended.
func earlier(intended recorder.Intended) ended {
	var answer sd.ServiceResponse
	if intended.Kept && json.Unmarshal([]byte(intended.Answer), &answer) == nil {
		return ended{text: intended.Answer, answer: &answer}
	}
	return ended{refusal: &sd.Refusal{
		Reason: sd.CallRepeated, Outcome: intended.Outcome, Detail: "an earlier attempt of the call was sent; its answer is not kept",
	}}
}

// refusalOf returns the refusal that an error of the journal stands for.
func refusalOf(err error) *sd.Refusal {
	var refusal *sd.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return sd.NewRefusal(sd.PlatformUnavailable, sd.Second, "the call could not be recorded")
}

// serve gets a permit for a service call and makes it.
func (p *Performer) serve(ctx context.Context, request sd.CallRequest, seek scheduler.Request) ended {
	permit, refusal := p.permit(ctx, request.Route, seek)
	if refusal != nil {
		return ended{refusal: refusal}
	}
	target, found := p.parts.Config().Target(permit.Target)
	if !found {
		p.parts.Seeker.Done(permit, scheduler.Usage{Unused: true})
		return ended{refusal: sd.NewRefusal(sd.NoTarget, movePause, "the target has left")}
	}
	service := request.Service
	service.Stream = seek.Call
	if !request.Route.Idempotent {
		detached, stop := context.WithTimeout(context.WithoutCancel(ctx), request.Route.Timeout.Duration())
		defer stop()
		ctx = detached
	}
	answer, refusal := p.parts.Dispatcher.Service(ctx, p.parts.Targets.Service(target), service, request.Route.Idempotent)
	p.parts.Seeker.Done(permit, usageOf(request.Route, refusal))
	if refusal != nil {
		return ended{refusal: refusal}
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return ended{refusal: &sd.Refusal{Reason: sd.TargetFailed, Outcome: sd.Ran, Detail: "the service's answer cannot be kept"}}
	}
	return ended{text: string(encoded), answer: &answer}
}

// usageOf tells a guard how a service call ended.
func usageOf(route sd.Route, refusal *sd.Refusal) scheduler.Usage {
	usage := scheduler.Usage{Answer: route.Cost, Failed: refusal != nil}
	if refusal != nil {
		usage.Uncertain = refusal.Outcome == sd.Unknown
	}
	return usage
}

// permit asks the cells that may run a call, in order of preference.
func (p *Performer) permit(ctx context.Context, route sd.Route, seek scheduler.Request) (granter.Permit, *sd.Refusal) {
	places := p.parts.Placer.Place(route, seek.Program, seek.Prompt)
	refusal := sd.NewRefusal(sd.NoTarget, sd.Second, "no target serves the route now")
	for _, place := range places {
		seek.Preferred, seek.CachedTokens = place.Target, place.Held
		permit, refused := p.parts.Seeker.Acquire(ctx, place.Cell, seek, route.Timeout)
		if refused == nil {
			return permit, nil
		}
		refusal = refused
		if ctx.Err() != nil {
			break
		}
	}
	return granter.Permit{}, refusal
}

// seekRequest describes a call to the guards.
func (p *Performer) seekRequest(request sd.CallRequest, program sd.ProgramID, attained, prompt, limit sd.Tokens) scheduler.Request {
	workspace, _ := p.parts.Config().Workspace(request.Caller.Workspace)
	return scheduler.Request{
		Keeper: p.parts.Host, Program: program, Workspace: workspace.ID, Tier: workspace.Tier,
		AttainedService: attained, Prompt: prompt, MaxTokens: limit, Weight: workspace.Weight,
	}
}

// worse returns the later refusal with the outcome that claims less.
func worse(earlier, later *sd.Refusal) *sd.Refusal {
	if earlier == nil || earlier.Outcome == sd.NotRun {
		return later
	}
	merged := *later
	merged.Outcome = earlier.Outcome
	return &merged
}

// estimate guesses the tokens of a prompt from its length.
func estimate(messages []sd.Message) sd.Tokens {
	size := 0
	for _, m := range messages {
		size += len(m.Content)
	}
	return sd.Tokens(size/bytesPerToken + len(messages))
}

const (
	maxTargets    = 3
	bytesPerToken = 4
)
