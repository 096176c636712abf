package performer

import (
	"context"

	sd "sapphiredrum.example/sapphiredrum"
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
	program := sd.ProgramID(singlePrefix + sd.RandomText())
	if request.Route.Kind == sd.ServiceRoute {
		seek := p.seekRequest(request, program, 0, 0, request.Route.Cost)
		seek.Call = sd.StreamID(program)
		done := p.serve(ctx, request, seek)
		if done.refusal != nil {
			return p.cause(ctx, done.refusal)
		}
		if err := send(sd.Frame{Answer: done.answer}); err != nil {
			return err
		}
		return send(sd.Frame{End: &sd.CallEnd{Used: done.used}})
	}
	start := keeper.Start{Program: program, Call: "single", Messages: request.Messages, Limit: request.Limit}
	done := p.runModel(ctx, request, start, send)
	p.parts.Placer.Forget(program)
	if done.refusal != nil {
		return p.cause(ctx, done.refusal)
	}
	return send(sd.Frame{End: &sd.CallEnd{Prompt: done.prompt, Cached: done.cached, Used: done.used}})
}

// singlePrefix begins the identifiers of calls outside any program. It names no
// shard, so that nothing takes such a call for a program.
const singlePrefix = "single-"
