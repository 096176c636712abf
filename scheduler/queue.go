package scheduler

import (
	"cmp"
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// entry is a waiting call.
type entry struct {
	request  Request
	queuedAt sapphiredrum.Instant
	number   uint64
	account  *account
	// cachedTokens is the cached part of the prompt on each target, in the order of
	// Cell.targets; bestHolder is the index of the target with the most, or -1.
	cachedTokens []sapphiredrum.Tokens
	bestHolder   int
}

// Submit adds a call to the queue or refuses it at once. Submitting a waiting call
// again has no effect; for a call that already has a permit, the next Tick returns
// that grant again.
func (c *Cell) Submit(now sapphiredrum.Instant, request Request) SubmitResult {
	c.advance(now)
	c.touchKeeper(request.Keeper)
	if p := c.permitsByCall[request.Call]; p != nil {
		c.announce(p)
		return SubmitResult{}
	}
	if c.waitingByCall[request.Call] != nil {
		return SubmitResult{}
	}
	if refusal := c.retractDecisions(request.Call); refusal != nil {
		return SubmitResult{Refusal: refusal}
	}
	if refusal := c.immediateRefusal(request); refusal != nil {
		return SubmitResult{Refusal: refusal}
	}
	e := &entry{request: request, queuedAt: c.now, account: c.accounts.get(c.now, request.Workspace)}
	if request.Weight > 0 {
		e.account.weight = request.Weight
	}
	c.enqueue(e)
	if refusal := c.shedLoad(e); refusal != nil {
		c.dequeue(e)
		return SubmitResult{Refusal: refusal}
	}
	return SubmitResult{}
}

// Withdraw cancels a call's request: the call leaves the queue, or its permit ends
// unused. Its keeper must ignore a grant that arrives later. Withdraw reports
// whether the call was known.
func (c *Cell) Withdraw(now sapphiredrum.Instant, call sapphiredrum.StreamID) bool {
	c.advance(now)
	refusal := c.retractDecisions(call)
	if e := c.waitingByCall[call]; e != nil {
		c.dequeue(e)
		return true
	}
	p := c.permitsByCall[call]
	if p == nil {
		return refusal != nil
	}
	return c.Done(now, p.number, Usage{Unused: true})
}

// retractDecisions removes the call's decisions that no Tick has returned yet, and
// returns the refusal among them, if any.
func (c *Cell) retractDecisions(call sapphiredrum.StreamID) *sapphiredrum.Refusal {
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

// Waiting returns the length of the queue.
func (c *Cell) Waiting() int {
	return len(c.waiting)
}

func (c *Cell) enqueue(e *entry) {
	if len(c.waiting) > 0 {
		e.number = c.waiting[len(c.waiting)-1].number + 1
	}
	c.waiting = append(c.waiting, e)
	c.waitingByCall[e.request.Call] = e
	e.account.waiting++
}

// dequeue removes an entry from the queue, if it is there.
func (c *Cell) dequeue(e *entry) {
	place, found := slices.BinarySearchFunc(c.waiting, e.number, func(x *entry, n uint64) int {
		return cmp.Compare(x.number, n)
	})
	if !found || c.waiting[place] != e {
		return
	}
	c.waiting = slices.Delete(c.waiting, place, place+1)
	delete(c.waitingByCall, e.request.Call)
	e.account.waiting--
}

// grantAll grants permits until no target has a free one for an eligible call.
func (c *Cell) grantAll() {
	if len(c.waiting) == 0 || len(c.targetsByFreeSlots()) == 0 {
		return
	}
	c.accounts.decay(c.now)
	c.accounts.prune()
	c.locatePrefixes()
	for granted := true; granted; {
		granted = false
		for _, t := range c.targetsByFreeSlots() {
			if e := c.selectCall(t); e != nil {
				c.countPassedOver(e)
				c.grant(e, t)
				granted = true
			}
		}
	}
}

// targetsByFreeSlots returns the targets with free permits, most free first.
func (c *Cell) targetsByFreeSlots() []*target {
	var found []*target
	for _, t := range c.targets {
		if t.freeSlots(c.now, &c.settings) > 0 {
			found = append(found, t)
		}
	}
	slices.SortStableFunc(found, func(a, b *target) int {
		return cmp.Compare(b.freeSlots(c.now, &c.settings), a.freeSlots(c.now, &c.settings))
	})
	return found
}

// locatePrefixes updates the cached tokens and the best holder of each waiting call.
func (c *Cell) locatePrefixes() {
	for _, e := range c.waiting {
		e.cachedTokens = e.cachedTokens[:0]
		e.bestHolder = -1
		for i, t := range c.targets {
			tokens := t.prefixes.get(e.request.Program)
			if tokens == 0 && t.member.Target.ID == e.request.Preferred {
				tokens = e.request.CachedTokens
			}
			e.cachedTokens = append(e.cachedTokens, min(tokens, e.request.Prompt))
			if tokens > 0 && t.usable(c.now) && (e.bestHolder < 0 || e.cachedTokens[i] > e.cachedTokens[e.bestHolder]) {
				e.bestHolder = i
			}
		}
	}
}

// selectCall returns the call to grant next on the target, or nil.
func (c *Cell) selectCall(t *target) *entry {
	if len(c.waiting) == 0 {
		return nil
	}
	if c.passedOver >= AgedGrantWindow-1 && c.aged(c.waiting[0]) {
		return c.waiting[0]
	}
	place := slices.Index(c.targets, t)
	var best []*entry
	for _, e := range c.waiting {
		if c.eligible(e, t, place) {
			best = c.keepBest(best, e, place)
		}
	}
	if len(best) == 0 {
		return nil
	}
	first := best[0]
	for _, e := range best[1:] {
		if c.settings.Orderer.Before(c.now, c.queuedCall(e, place), c.queuedCall(first, place)) {
			first = e
		}
	}
	return first
}

// keepBest replaces the best entry of the tier of e in best by e if e ranks ahead.
// Entries are passed in order of arrival, so an aged call stays ahead of all later
// calls of its tier.
func (c *Cell) keepBest(best []*entry, e *entry, place int) []*entry {
	for i, b := range best {
		if b.request.Tier != e.request.Tier {
			continue
		}
		if !c.aged(b) && c.settings.Orderer.Before(c.now, c.queuedCall(e, place), c.queuedCall(b, place)) {
			best[i] = e
		}
		return best
	}
	return append(best, e)
}

// eligible reports whether the call may use the target now. A call waits for some
// time for a target with more of its prefix in the cache, and its context must fit
// the cache beside those of the running calls. An aged call may use any target.
func (c *Cell) eligible(e *entry, t *target, place int) bool {
	if c.aged(e) {
		return true
	}
	memory := t.member.Target.CacheCapacity
	if memory > 0 && t.permits > 0 && t.activeTokens+e.request.Prompt+e.request.MaxTokens > memory {
		return false
	}
	if e.bestHolder < 0 || e.bestHolder == place || c.settings.AffinityWait < 0 {
		return true
	}
	gain := e.cachedTokens[e.bestHolder] - e.cachedTokens[place]
	patience := c.settings.AffinityWait * sapphiredrum.Millis(gain) / 1000
	return c.now.Since(e.queuedAt) >= patience
}

// countPassedOver counts the consecutive grants that pass over the longest waiting
// call.
func (c *Cell) countPassedOver(e *entry) {
	if e == c.waiting[0] || !c.aged(c.waiting[0]) {
		c.passedOver = 0
		return
	}
	c.passedOver++
}

// aged reports whether the call has waited for the policy's AgingLimit.
func (c *Cell) aged(e *entry) bool {
	return c.now.Since(e.queuedAt) >= c.settings.Policy.AgingLimit
}

// queuedCall describes the entry to the QueueOrder.
func (c *Cell) queuedCall(e *entry, place int) sapphiredrum.QueuedCall {
	return sapphiredrum.QueuedCall{
		Call: e.request.Call, Program: e.request.Program, Workspace: e.request.Workspace,
		Tier: e.request.Tier, QueuedAt: e.queuedAt, AttainedService: e.request.AttainedService,
		Prompt: e.request.Prompt, Cached: e.cachedTokens[place], ExcessService: c.accounts.excess(e.account),
	}
}
