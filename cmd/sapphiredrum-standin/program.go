package main

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
)

// program is one program's life: a chain of model calls with tool calls, pauses
// and sub-agents in between.
type program struct {
	plan   loadPlan
	caller *caller
	tally  *tally
	clock  sapphiredrum.Clock
	random *rand.Rand

	id      sapphiredrum.ProgramID
	head    string
	calls   int
	history []sapphiredrum.Message
}

// Bounds of a program.
const (
	maxTries   = 50
	firstRetry = 50 * sapphiredrum.Millisecond
	// depth bounds the sub-agents of sub-agents.
	depth = 2
)

// run creates a program, makes its calls and ends it.
func (p *program) run(ctx context.Context, parent sapphiredrum.ProgramID, level int) error {
	if err := p.create(ctx, parent); err != nil {
		return err
	}
	defer p.end(ctx)
	for turns := 1 + p.draw(float64(p.plan.turns-1)); turns > 0; turns-- {
		if err := p.turn(ctx, level); err != nil {
			return err
		}
	}
	return nil
}

// turn makes a model call and what follows it.
func (p *program) turn(ctx context.Context, level int) error {
	if err := p.ask(ctx); err != nil {
		return err
	}
	if p.plan.tool != "" {
		if err := p.act(ctx); err != nil {
			return err
		}
	}
	if level < depth && p.random.Float64() < p.plan.agents {
		child := &program{plan: p.plan, caller: p.caller, tally: p.tally, clock: p.clock, random: p.random}
		if err := child.run(ctx, p.id, level+1); err != nil {
			return err
		}
	}
	return wait(ctx, sapphiredrum.Millis(p.random.ExpFloat64()*float64(p.plan.pause)))
}

// create creates the program.
func (p *program) create(ctx context.Context, parent sapphiredrum.ProgramID) error {
	creation := programBody{Parent: parent}
	if parent != "" {
		creation.Budget = sapphiredrum.Tokens(p.plan.budget)
	}
	return p.insist(ctx, func() error {
		body, _, err := p.caller.whole(ctx, request{method: http.MethodPost, path: "/programs", body: creation})
		if err != nil {
			return err
		}
		var answer programBody
		if err := json.Unmarshal(body, &answer); err != nil {
			return sapphiredrum.BrokenResponse.Wrap(err, "the answer does not parse")
		}
		p.id, p.head = answer.Program, answer.Head
		return nil
	})
}

// end ends the program.
func (p *program) end(ctx context.Context) {
	_ = p.insist(ctx, func() error {
		_, _, err := p.caller.whole(ctx, request{method: http.MethodDelete, path: "/programs/" + string(p.id)})
		return err
	})
}

// ask makes a model call and compares its answer with the one to the program's
// own history.
func (p *program) ask(ctx context.Context) error {
	message := sapphiredrum.Message{Role: "user", Content: p.words(1 + p.draw(float64(p.plan.prompt)))}
	limit := sapphiredrum.Tokens(1 + p.draw(float64(p.plan.answer)))
	body := chatBody{Messages: []messageBody{{message.Role, message.Content}}, Limit: limit, Stream: true}
	r := p.next(p.plan.route, body)
	return p.insist(ctx, func() error {
		start := p.clock.Now()
		text, head, err := p.caller.stream(ctx, r, func() { p.tally.began(p.clock.Now().Since(start)) })
		if err != nil {
			return err
		}
		p.history = append(p.history, message)
		if text != faker.Text(p.history, faker.Count(text)) {
			p.tally.change(func(r *loadReport) { r.Mixed++ })
		}
		p.history = append(p.history, sapphiredrum.Message{Role: faker.Role, Content: text})
		p.head = head
		return nil
	})
}

// act makes a tool call and checks that it ran once.
func (p *program) act(ctx context.Context) error {
	r := p.next(p.plan.tool, p.words(p.plan.prompt))
	return p.insist(ctx, func() error {
		body, head, err := p.caller.whole(ctx, r)
		if err != nil {
			return err
		}
		var echo faker.ServiceEcho
		if json.Unmarshal(body, &echo) == nil && echo.Run > 1 {
			p.tally.change(func(r *loadReport) { r.Repeated++ })
		}
		if head != "" {
			p.head = head
		}
		return nil
	})
}

// next returns the program's next request.
func (p *program) next(path string, body any) request {
	p.calls++
	call := sapphiredrum.CallID("c" + strconv.Itoa(p.calls))
	return request{method: http.MethodPost, path: path, program: p.id, call: call, head: p.head, body: body}
}

// insist repeats a request as long as it is refused as not run with a time to
// come back. When the request turns out to be known already, an earlier refusal
// as not run was not true.
func (p *program) insist(ctx context.Context, try func() error) error {
	var earlier *sapphiredrum.Refusal
	for tries := 1; ; tries++ {
		p.tally.change(func(r *loadReport) { r.Calls++ })
		err := try()
		if err == nil || ctx.Err() != nil {
			return err
		}
		p.tally.failed(err)
		var refusal *sapphiredrum.Refusal
		if !errors.As(err, &refusal) {
			return err
		}
		if earlier != nil && refusal.Reason == sapphiredrum.CallRepeated {
			p.tally.change(func(r *loadReport) { r.Untrue = append(r.Untrue, earlier.Error()) })
		}
		if refusal.Outcome != sapphiredrum.NotRun || refusal.RetryAfter <= 0 || tries == maxTries {
			return err
		}
		earlier = refusal
		p.tally.change(func(r *loadReport) { r.Retries++ })
		if err := wait(ctx, max(refusal.RetryAfter, firstRetry)); err != nil {
			return err
		}
	}
}

// draw returns a random number with the given mean, geometrically spread.
func (p *program) draw(mean float64) int {
	return int(p.random.ExpFloat64() * mean)
}

// words returns random words.
func (p *program) words(count int) string {
	words := make([]string, 0, count)
	for range count {
		words = append(words, strconv.FormatUint(p.random.Uint64N(1<<20), 36))
	}
	return strings.Join(words, " ")
}

// wait waits for a length of time; it returns Uncertain when ctx ends first.
func wait(ctx context.Context, length sapphiredrum.Millis) error {
	timer := time.NewTimer(length.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return sapphiredrum.Uncertain.Wrap(ctx.Err(), "the load ended")
	}
}
