package scheduler

import (
	"cmp"
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// entry is a call that waits.
type entry struct {
	request Request
	since   sapphiredrum.Instant
	number  uint64
	account *account
	// held are the tokens that each target holds of the prompt, by the targets'
	// order; home is the one that holds most, or -1.
	held []sapphiredrum.Tokens
	home int
}

// Ask enters a call into the queue or refuses it at once. Asking again for a
// call that waits changes nothing; for a call that has its permit, the next
// Tick announces that permit again.
func (c *Cell) Ask(now sapphiredrum.Instant, request Request) Verdict {
	c.advance(now)
	c.hear(request.Keeper)
	if p := c.granted[request.Call]; p != nil {
		c.announce(p)
		return Verdict{}
	}
	if c.calls[request.Call] != nil {
		return Verdict{}
	}
	if refusal := c.retract(request.Call); refusal != nil {
		return Verdict{Refusal: refusal}
	}
	if refusal := c.hopeless(request); refusal != nil {
		return Verdict{Refusal: refusal}
	}
	e := &entry{request: request, since: c.now, account: c.accounts.get(c.now, request.Workspace)}
	if request.Weight > 0 {
		e.account.weight = request.Weight
	}
	c.enter(e)
	if refusal := c.relieve(e); refusal != nil {
		c.leave(e)
		return Verdict{Refusal: refusal}
	}
	return Verdict{}
}

// Withdraw takes back a call that no longer wants its permit: it leaves the
// queue, or its permit ends unused. Its keeper ignores a grant that it meets
// later. It reports whether the call was known.
func (c *Cell) Withdraw(now sapphiredrum.Instant, call sapphiredrum.StreamID) bool {
	c.advance(now)
	refusal := c.retract(call)
	if e := c.calls[call]; e != nil {
		c.leave(e)
		return true
	}
	p := c.granted[call]
	if p == nil {
		return refusal != nil
	}
	return c.Done(now, p.number, Usage{Unused: true})
}

// retract removes the decisions about the call that no Tick has returned yet.
// It returns the refusal among them.
func (c *Cell) retract(call sapphiredrum.StreamID) *sapphiredrum.Refusal {
	var refusal *sapphiredrum.Refusal
	c.pending = slices.DeleteFunc(c.pending, func(decision Decision) bool {
		switch d := decision.(type) {
		case Granted:
			return d.Call == call
		case Refused:
			if d.Call == call {
				refusal = d.Refusal
			}
			return d.Call == call
		}
		return false
	})
	return refusal
}

// Waiting returns the number of calls in the queue.
func (c *Cell) Waiting() int {
	return len(c.waiting)
}

// enter appends an entry to the queue.
func (c *Cell) enter(e *entry) {
	if len(c.waiting) > 0 {
		e.number = c.waiting[len(c.waiting)-1].number + 1
	}
	c.waiting = append(c.waiting, e)
	c.calls[e.request.Call] = e
	e.account.waiting++
}

// leave removes an entry from the queue.
func (c *Cell) leave(e *entry) {
	place, found := slices.BinarySearchFunc(c.waiting, e.number, func(x *entry, n uint64) int {
		return cmp.Compare(x.number, n)
	})
	if !found || c.waiting[place] != e {
		return
	}
	c.waiting = slices.Delete(c.waiting, place, place+1)
	delete(c.calls, e.request.Call)
	e.account.waiting--
}

// grantAll grants until no target has a free permit for a call that may use it.
func (c *Cell) grantAll() {
	if len(c.waiting) == 0 || len(c.byFree()) == 0 {
		return
	}
	c.accounts.settle(c.now)
	c.accounts.trim()
	c.locate()
	for granted := true; granted; {
		granted = false
		for _, t := range c.byFree() {
			if e := c.next(t); e != nil {
				c.count(e)
				c.grant(e, t)
				granted = true
			}
		}
	}
}

// byFree returns the targets with free permits, those with most first.
func (c *Cell) byFree() []*target {
	var found []*target
	for _, t := range c.targets {
		if t.free(c.now, &c.settings) > 0 {
			found = append(found, t)
		}
	}
	slices.SortStableFunc(found, func(a, b *target) int {
		return cmp.Compare(b.free(c.now, &c.settings), a.free(c.now, &c.settings))
	})
	return found
}

// locate refreshes where the waiting calls' prefixes are held.
func (c *Cell) locate() {
	for _, e := range c.waiting {
		e.held = e.held[:0]
		e.home = -1
		for i, t := range c.targets {
			tokens := t.prefixes.get(e.request.Program)
			if tokens == 0 && t.member.Target.ID == e.request.Preferred {
				tokens = e.request.Held
			}
			e.held = append(e.held, min(tokens, e.request.Prompt))
			if tokens > 0 && t.usable(c.now) && (e.home < 0 || e.held[i] > e.held[e.home]) {
				e.home = i
			}
		}
	}
}

// next returns the call that the target serves next, or nil.
func (c *Cell) next(t *target) *entry {
	if len(c.waiting) == 0 {
		return nil
	}
	if c.passed >= Turn-1 && c.aged(c.waiting[0]) {
		return c.waiting[0]
	}
	place := slices.Index(c.targets, t)
	var best []*entry
	for _, e := range c.waiting {
		if c.suits(e, t, place) {
			best = c.better(best, e, place)
		}
	}
	if len(best) == 0 {
		return nil
	}
	first := best[0]
	for _, e := range best[1:] {
		if c.settings.Orderer.Before(c.now, c.view(e, place), c.view(first, place)) {
			first = e
		}
	}
	return first
}

// better keeps the best call of each tier. Entries come in order of arrival, so
// an aged call stays ahead of all that follow in its tier.
func (c *Cell) better(best []*entry, e *entry, place int) []*entry {
	for i, b := range best {
		if b.request.Tier != e.request.Tier {
			continue
		}
		if !c.aged(b) && c.settings.Orderer.Before(c.now, c.view(e, place), c.view(b, place)) {
			best[i] = e
		}
		return best
	}
	return append(best, e)
}

// suits reports whether the call may use the target now: it waits a while for a
// target that holds more of its prefix, and contexts must fit the memory. An
// aged call takes any target.
func (c *Cell) suits(e *entry, t *target, place int) bool {
	if c.aged(e) {
		return true
	}
	memory := t.member.Target.CacheCapacity
	if memory > 0 && t.permits > 0 && t.active+e.request.Prompt+e.request.Limit > memory {
		return false
	}
	if e.home < 0 || e.home == place || c.settings.Patience < 0 {
		return true
	}
	gain := e.held[e.home] - e.held[place]
	patience := c.settings.Patience * sapphiredrum.Millis(gain) / 1000
	return c.now.Since(e.since) >= patience
}

// count keeps track of grants that pass over the longest waiting call.
func (c *Cell) count(e *entry) {
	if e == c.waiting[0] || !c.aged(c.waiting[0]) {
		c.passed = 0
		return
	}
	c.passed++
}

// aged reports whether the call has waited as long as it may be passed over.
func (c *Cell) aged(e *entry) bool {
	return c.now.Since(e.since) >= c.settings.Policy.AgingLimit
}

// view describes the entry to an Orderer.
func (c *Cell) view(e *entry, place int) sapphiredrum.QueuedCall {
	return sapphiredrum.QueuedCall{
		Call: e.request.Call, Program: e.request.Program, Workspace: e.request.Workspace,
		Tier: e.request.Tier, QueuedAt: e.since, AttainedService: e.request.Attained,
		Prompt: e.request.Prompt, Cached: e.held[place], ExcessService: c.accounts.excess(e.account),
	}
}
