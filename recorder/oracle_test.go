package recorder_test

import (
	"slices"
	"strings"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/recorder"
)

// oracle is one sequential account of what was sent and what callers were told.
type oracle struct {
	t        *rapid.T
	programs []*program
	sends    int
	told     int
	takes    int
}

// program is the oracle's view of a program.
type program struct {
	id     root.ProgramID
	parent *program
	budget root.Tokens
	used   root.Tokens
	// acknowledged is set when the caller was told that the program exists,
	// closed when it was told that the program has ended.
	acknowledged bool
	closed       bool
	// stopping is set once its end or an ancestor's was asked for: it may be
	// closed and forgotten.
	stopping bool
	// turns are all answers that a keeper accepted, by the head after them.
	turns map[keeper.Head]turn
	// safe are the heads that no failure can take back.
	safe map[keeper.Head]bool
	// tip is the latest head that a caller was told.
	tip   keeper.Head
	calls []*call
}

// turn is a finished call and the head that it follows.
type turn struct {
	before keeper.Head
	call   *call
	answer string
}

// call is a request that its caller may submit several times.
type call struct {
	program    *program
	id         root.CallID
	service    bool
	idempotent bool
	messages   []root.Message
	limit      root.Tokens
	digest     keeper.Digest
	sent       int
	prompt     root.Tokens
	used       root.Tokens
	answered   bool
	head       keeper.Head
	answer     string
}

func newOracle(t *rapid.T) *oracle { return &oracle{t: t} }

func (c *call) kind() root.RouteKind {
	if c.service {
		return root.ServiceRoute
	}
	return root.ModelRoute
}

func (c *call) intent() recorder.Intent {
	shard, _ := c.program.id.Shard()
	return recorder.Intent{Shard: shard, Digest: c.digest, Key: recorder.Key{Workspace: "w", Program: c.program.id, Call: c.id}}
}

func (c *call) reply(start keeper.Start) string {
	return "re " + string(start.Attempt.Stream(c.program.id, c.id)) + strings.Repeat("x", int(c.used-c.prompt))
}

// size is the number of tokens that the targets count for a message.
func size(m root.Message) root.Tokens {
	return root.Tokens(len(m.Content)/2 + 3)
}

// history returns the messages up to a head.
func (p *program) history(head keeper.Head) []root.Message {
	if head == (keeper.Head{}) {
		return nil
	}
	t := p.turns[head]
	messages := p.history(t.before)
	if t.call.service {
		return messages
	}
	return append(slices.Concat(messages, t.call.messages), root.Message{Role: "assistant", Content: t.answer})
}

// secure notes that a head and those before it are safe.
func (p *program) secure(head keeper.Head) {
	for head.Turn > 0 && !p.safe[head] {
		p.safe[head] = true
		head = p.turns[head].before
	}
}

// secured notes the heads that a takeover has restored.
func (o *oracle) secured(shelf *keeper.Shelf, shard root.ShardID) {
	for _, p := range o.programs {
		if s, _ := p.id.Shard(); s == shard {
			if status, err := shelf.Status(p.id, "w"); err == nil {
				p.secure(status.Head)
			}
		}
	}
}

// follows reports whether the head a is b or comes after it.
func (p *program) follows(a, b keeper.Head) bool {
	for a.Turn > b.Turn {
		a = p.turns[a].before
	}
	return a == b
}

// started checks a call's place and its prompt against the history before the call's head.
func (o *oracle) started(f *flow, start keeper.Start) {
	c, p := f.call, f.call.program
	if f.head != nil && *f.head != start.Head {
		o.t.Fatalf("call %s names the head %v and runs on %v", c.id, *f.head, start.Head)
	}
	if start.Head.Turn > 0 && !p.safe[start.Head] {
		o.t.Fatalf("call %s starts on turn %d, which may still be lost", c.id, start.Head.Turn)
	}
	if f.behind != nil && p.turns[start.Head].call != f.behind {
		o.t.Fatalf("call %s was issued after %s and does not follow it", c.id, f.behind.id)
	}
	if c.service {
		return
	}
	want := append(c.program.history(start.Head), c.messages...)
	if diff := cmp.Diff(want, start.Messages); diff != "" {
		o.t.Fatalf("call %s gets another history: %s", c.id, diff)
	}
	if start.Limit > c.limit {
		o.t.Fatalf("call %s: limit %d raised to %d", c.id, c.limit, start.Limit)
	}
}

// sent counts a dispatch and what it really uses.
func (o *oracle) sent(c *call, start keeper.Start, draw func(n int) int) {
	o.sends++
	if c.sent++; !c.idempotent && c.sent > 1 {
		o.t.Fatalf("call %s is sent a second time", c.id)
	}
	c.prompt, c.used = 0, start.Limit
	if !c.service {
		for _, m := range start.Messages {
			c.prompt += size(m)
		}
		c.used = c.prompt + root.Tokens(draw(int(start.Limit)+1))
	}
	c.program.used += c.used
	for p := c.program; p != nil; p = p.parent {
		if total := o.total(p); total > p.budget {
			o.t.Fatalf("program %s has used %d of %d", p.id, total, p.budget)
		}
	}
}

// total is what a program and all below it really used.
func (o *oracle) total(p *program) root.Tokens {
	sum := p.used
	for _, q := range o.programs {
		if q.parent == p {
			sum += o.total(q)
		}
	}
	return sum
}

// finished notes an accepted answer.
func (o *oracle) finished(c *call, before, after keeper.Head, answer string) {
	p := c.program
	if earlier, found := p.turns[after]; found && (earlier.call != c || earlier.answer != answer) {
		o.t.Fatalf("program %s: two histories share the head %v", p.id, after)
	}
	if after.Turn != before.Turn+1 {
		o.t.Fatalf("program %s: turn %d follows %d", p.id, after.Turn, before.Turn)
	}
	p.turns[after] = turn{before: before, call: c, answer: answer}
}

// answered checks an answer that a caller receives.
func (o *oracle) answered(c *call, head keeper.Head, answer string) {
	o.told++
	p := c.program
	o.t.Logf("call %s of %s is answered with turn %d", c.id, p.id, head.Turn)
	if c.answered && (c.head != head || c.answer != answer) {
		o.t.Fatalf("call %s is answered with %v %q, before with %v %q", c.id, head, answer, c.head, c.answer)
	}
	c.answered, c.head, c.answer = true, head, answer
	if t := p.turns[head]; t.call != c || t.answer != answer {
		o.t.Fatalf("call %s is answered with another call's answer", c.id)
	}
	if !p.follows(head, p.tip) && !p.follows(p.tip, head) {
		o.t.Fatalf("program %s has forked: %v and %v were both told", p.id, p.tip, head)
	}
	if head.Turn > p.tip.Turn {
		p.tip = head
	}
}

// restored checks a shard after a takeover against all that callers were told.
func (o *oracle) restored(shelf *keeper.Shelf, shard root.ShardID) {
	o.takes++
	for _, p := range o.programs {
		if s, _ := p.id.Shard(); s != shard || !p.acknowledged {
			continue
		}
		status, err := shelf.Status(p.id, "w")
		if p.closed {
			if err == nil && status.State == keeper.Open {
				o.t.Fatalf("program %s is open after its caller was told its end", p.id)
			}
			continue
		}
		if p.stopping && (err != nil || status.State != keeper.Open) {
			continue
		}
		if err != nil {
			o.t.Fatalf("program %s is lost: %v", p.id, err)
		}
		if !p.follows(status.Head, p.tip) {
			o.t.Fatalf("program %s: the head %v that a caller was told is lost, now %v", p.id, p.tip, status.Head)
		}
	}
}
