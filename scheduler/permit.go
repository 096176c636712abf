package scheduler

import (
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// holdSmoothing is the weight of the latest call in the mean hold time.
const holdSmoothing = 0.1

// permit allows one call to run on one target.
type permit struct {
	number  PermitNumber
	request Request
	target  *target
	account *account
	granted sapphiredrum.Instant
	renewed sapphiredrum.Instant
	// charged is the estimated service charged to the workspace at the grant.
	charged       sapphiredrum.Tokens
	contextTokens sapphiredrum.Tokens
	// mayHideOrphan is set on permits that were outstanding when the orphans were last
	// counted: if such a call had already ended, its place in the report was taken by
	// an orphan.
	mayHideOrphan bool
	// workLost is set when the target's reports no longer show the call.
	workLost bool
}

// grant removes an entry from the queue and gives it a permit for the target.
func (c *Cell) grant(e *entry, t *target) {
	c.dequeue(e)
	c.lastPermit++
	if t.permits == 0 {
		t.creditedUntil = c.now
		t.restartSuspectedAt = c.now
	}
	cached := min(t.prefixes.get(e.request.Program), e.request.Prompt)
	p := &permit{
		number: c.lastPermit, request: e.request, target: t, account: e.account,
		granted: c.now, renewed: c.now,
		charged:       serviceCost(e.request.Prompt, cached, e.request.MaxTokens/2),
		contextTokens: e.request.Prompt + e.request.MaxTokens,
	}
	t.permits++
	t.activeTokens += p.contextTokens
	p.account.running++
	c.accounts.charge(p.account, p.charged)
	c.permits = append(c.permits, p)
	c.permitsByNumber[p.number] = p
	c.permitsByCall[e.request.Call] = p
	c.announce(p)
}

// announce adds a grant of p to the decisions.
func (c *Cell) announce(p *permit) {
	c.pending = append(c.pending, Granted{
		Call: p.request.Call, Keeper: p.request.Keeper, Program: p.request.Program,
		Target: p.target.member.Target.ID, Permit: p.number, Fence: c.settings.Epoch,
	})
}

// Done ends a permit and reports whether it was still outstanding. It is
// idempotent.
func (c *Cell) Done(now sapphiredrum.Instant, number PermitNumber, usage Usage) bool {
	c.advance(now)
	p := c.permitsByNumber[number]
	if p == nil {
		return false
	}
	c.removePermit(p)
	if p.mayHideOrphan || usage.Uncertain {
		p.target.addOrphan(c.now, p.granted, &c.settings)
	}
	c.accounts.decay(c.now)
	c.accounts.charge(p.account, actualCost(usage)-p.charged)
	c.observeEnd(p, usage)
	return true
}

// observeEnd updates the target's failure count, warm-up and prefix hints and the
// mean hold time after a call has ended.
func (c *Cell) observeEnd(p *permit, usage Usage) {
	t := p.target
	switch {
	case usage.Unused:
	case usage.Failed:
		t.recordFailure(c.now)
	default:
		t.recordSuccess()
		if !p.workLost {
			t.creditCall(c.now, p.granted)
		}
		t.prefixes.put(c.now, p.request.Program, usage.Prompt+usage.Answer, t.member.Target.CacheCapacity)
		held := float64(c.now.Since(p.granted))
		if c.meanHold == 0 {
			c.meanHold = held
		}
		c.meanHold += holdSmoothing * (held - c.meanHold)
	}
}

// Renew handles a keeper's heartbeat: it extends the lease of the keeper's waiting
// calls and of the given permits. It returns the numbers that are not outstanding.
func (c *Cell) Renew(now sapphiredrum.Instant, keeper sapphiredrum.HostID, numbers []PermitNumber) []PermitNumber {
	c.advance(now)
	c.touchKeeper(keeper)
	var unknown []PermitNumber
	for _, number := range numbers {
		p := c.permitsByNumber[number]
		if p == nil {
			unknown = append(unknown, number)
			continue
		}
		p.renewed = c.now
	}
	return unknown
}

// touchKeeper records that a keeper was heard from now.
func (c *Cell) touchKeeper(keeper sapphiredrum.HostID) {
	c.lastHeard[keeper] = c.now
}

// keeperSilent reports whether nothing was heard from a keeper for a whole lease.
func (c *Cell) keeperSilent(keeper sapphiredrum.HostID) bool {
	heard, known := c.lastHeard[keeper]
	return !known || c.now.Since(heard) >= c.settings.Lease
}

// expire ends the permits that were not renewed, refuses the waiting calls of
// keepers that were silent for a whole lease, and drops orphans that are too old.
func (c *Cell) expire() {
	fell := false
	for keeper := range c.lastHeard {
		if c.keeperSilent(keeper) {
			delete(c.lastHeard, keeper)
			fell = true
		}
	}
	if fell {
		c.refuseWhere(func(e *entry) bool { return c.keeperSilent(e.request.Keeper) },
			sapphiredrum.NewRefusal(sapphiredrum.KeeperUnavailable, minRetryAfter, "the keeper was silent while the call waited"))
	}
	for i := len(c.permits) - 1; i >= 0; i-- {
		if p := c.permits[i]; c.now.Since(p.renewed) >= c.settings.Lease {
			c.abandon(p)
		}
	}
	for _, t := range c.targets {
		if t.orphans > 0 && c.now.Since(t.orphansSeenAt) >= orphanTTL {
			t.orphans = 0
		}
	}
}

// abandon ends a permit whose call may still be running.
func (c *Cell) abandon(p *permit) {
	c.removePermit(p)
	p.target.addOrphan(c.now, p.granted, &c.settings)
}

// removePermit removes a permit from the indexes and its target's and account's
// counts.
func (c *Cell) removePermit(p *permit) {
	delete(c.permitsByNumber, p.number)
	delete(c.permitsByCall, p.request.Call)
	c.permits = slices.DeleteFunc(c.permits, func(x *permit) bool { return x == p })
	p.target.permits--
	p.target.activeTokens -= p.contextTokens
	p.account.running--
}

func actualCost(usage Usage) sapphiredrum.Tokens {
	if usage.Unused {
		return 0
	}
	return serviceCost(usage.Prompt, usage.Cached, usage.Answer)
}
