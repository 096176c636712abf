package scheduler

import (
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// holdSmoothing is the part that the latest call has in the mean holding time.
const holdSmoothing = 0.1

// permit is the right of one call to use one target.
type permit struct {
	number  PermitNumber
	request Request
	target  *target
	account *account
	granted sapphiredrum.Instant
	renewed sapphiredrum.Instant
	// charged is the service charged to the workspace in advance.
	charged sapphiredrum.Tokens
	context sapphiredrum.Tokens
	// shadow permits may hide a stray: they were counted as reported work when
	// the strays were last counted.
	shadow bool
	// lost permits' work has vanished from the target's reports.
	lost bool
}

// grant gives an entry of the queue a permit for the target.
func (c *Cell) grant(e *entry, t *target) {
	c.leave(e)
	c.last++
	if t.permits == 0 {
		t.credited = c.now
		t.suspected = c.now
	}
	cached := min(t.prefixes.get(e.request.Program), e.request.Prompt)
	p := &permit{
		number: c.last, request: e.request, target: t, account: e.account,
		granted: c.now, renewed: c.now,
		charged: cost(e.request.Prompt, cached, e.request.Limit/2),
		context: e.request.Prompt + e.request.Limit,
	}
	t.permits++
	t.active += p.context
	p.account.running++
	c.accounts.charge(p.account, p.charged)
	c.permits = append(c.permits, p)
	c.numbers[p.number] = p
	c.granted[e.request.Call] = p
	c.announce(p)
}

// announce adds the grant of p to the decisions.
func (c *Cell) announce(p *permit) {
	c.pending = append(c.pending, Granted{
		Call: p.request.Call, Keeper: p.request.Keeper, Program: p.request.Program,
		Target: p.target.member.Target.ID, Permit: p.number, Fence: c.settings.Epoch,
	})
}

// Done ends a permit. It reports whether the permit was still outstanding;
// repeating it is harmless.
func (c *Cell) Done(now sapphiredrum.Instant, number PermitNumber, usage Usage) bool {
	c.advance(now)
	p := c.numbers[number]
	if p == nil {
		return false
	}
	c.end(p)
	if p.shadow || usage.Uncertain {
		p.target.stray(c.now, p.granted, &c.settings)
	}
	c.accounts.settle(c.now)
	c.accounts.charge(p.account, actual(usage)-p.charged)
	c.learn(p, usage)
	return true
}

// learn updates what the guard knows of the target from a call's end.
func (c *Cell) learn(p *permit, usage Usage) {
	t := p.target
	switch {
	case usage.Unused:
	case usage.Failed:
		t.failed(c.now)
	default:
		t.succeeded()
		if !p.lost {
			t.warm(c.now, p.granted)
		}
		t.prefixes.put(c.now, p.request.Program, usage.Prompt+usage.Answer, t.member.Target.CacheCapacity)
		held := float64(c.now.Since(p.granted))
		if c.hold == 0 {
			c.hold = held
		}
		c.hold += holdSmoothing * (held - c.hold)
	}
}

// Renew is a keeper's heartbeat: it keeps the keeper's waiting calls and the
// given permits alive. It returns the numbers that are not outstanding.
func (c *Cell) Renew(now sapphiredrum.Instant, keeper sapphiredrum.HostID, numbers []PermitNumber) []PermitNumber {
	c.advance(now)
	c.hear(keeper)
	var unknown []PermitNumber
	for _, number := range numbers {
		p := c.numbers[number]
		if p == nil {
			unknown = append(unknown, number)
			continue
		}
		p.renewed = c.now
	}
	return unknown
}

// hear notes that a keeper lives.
func (c *Cell) hear(keeper sapphiredrum.HostID) {
	c.heard[keeper] = c.now
}

// silent reports whether nothing was heard from a keeper for a whole lease.
func (c *Cell) silent(keeper sapphiredrum.HostID) bool {
	heard, known := c.heard[keeper]
	return !known || c.now.Since(heard) >= c.settings.Lease
}

// expire ends the permits that were not renewed and refuses the waiting calls
// of keepers that fell silent.
func (c *Cell) expire() {
	fell := false
	for keeper := range c.heard {
		if c.silent(keeper) {
			delete(c.heard, keeper)
			fell = true
		}
	}
	if fell {
		c.refuseWhere(func(e *entry) bool { return c.silent(e.request.Keeper) },
			sapphiredrum.NewRefusal(sapphiredrum.KeeperUnavailable, shortestRetry, "the keeper was silent while the call waited"))
	}
	for i := len(c.permits) - 1; i >= 0; i-- {
		if p := c.permits[i]; c.now.Since(p.renewed) >= c.settings.Lease {
			c.abandon(p)
		}
	}
	for _, t := range c.targets {
		if t.strays > 0 && c.now.Since(t.strayed) >= strayLife {
			t.strays = 0
		}
	}
}

// abandon ends a permit whose work may still run.
func (c *Cell) abandon(p *permit) {
	c.end(p)
	p.target.stray(c.now, p.granted, &c.settings)
}

// end removes a permit from the books.
func (c *Cell) end(p *permit) {
	delete(c.numbers, p.number)
	delete(c.granted, p.request.Call)
	c.permits = slices.DeleteFunc(c.permits, func(x *permit) bool { return x == p })
	p.target.permits--
	p.target.active -= p.context
	p.account.running--
}

func actual(usage Usage) sapphiredrum.Tokens {
	if usage.Unused {
		return 0
	}
	return cost(usage.Prompt, usage.Cached, usage.Answer)
}
