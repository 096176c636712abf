package performer

import (
	"context"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/granter"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// Single runs a call outside any program, at the host that its caller reached.
// It keeps no history; the engine's memory of it is released at its end.
func (p *Performer) Single(ctx context.Context, request sd.CallRequest, send Send) error {
	if request.Caller.Workspace != "" {
		if refusal := p.parts.Admission.Admit(ctx, request.Caller.Workspace); refusal != nil {
			return refusal
		}
	}
	program := sd.ProgramID(singlePrefix + sd.RandomID())
	if request.Route.Kind == sd.ServiceRoute {
		seek := p.seekRequest(request, program, 0, 0, request.Route.Cost)
		seek.Call = sd.StreamID(program)
		done := p.serve(ctx, request, seek)
		if done.refusal != nil {
			return p.cause(ctx, done.refusal)
		}
		if err := send(sd.Frame{Response: done.answer}); err != nil {
			return err
		}
		return send(sd.Frame{End: &sd.CallEnd{Used: done.used}})
	}
	start := keeper.Start{Program: program, Call: "single", Messages: request.Messages, Limit: request.Limit}
	done := p.runModel(ctx, request, start, send)
	p.parts.Placer.Forget(program)
	p.release(program, done.permit)
	if done.refusal != nil {
		return p.cause(ctx, done.refusal)
	}
	return send(sd.Frame{End: &sd.CallEnd{Prompt: done.prompt, Cached: done.cached, Used: done.used}})
}

// release frees what an engine holds for a call outside any program. It returns
// at once; an order that is lost leaves the memory to the engine's own eviction.
func (p *Performer) release(program sd.ProgramID, permit granter.Permit) {
	target, found := p.parts.Config().Target(permit.Target)
	if !found {
		return
	}
	p.group.Go("release", func(ctx context.Context) error {
		attempt, cancel := context.WithTimeout(ctx, releaseTimeout.Duration())
		defer cancel()
		_ = p.parts.Targets.Engine(target).Release(attempt, program, permit.Fence)
		return nil
	})
}

const releaseTimeout = 2 * sd.Second

// singlePrefix begins the identifiers of calls outside any program. It names no
// shard, so that nothing takes such a call for a program.
const singlePrefix = "single-"
