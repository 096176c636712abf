package scheduler

import (
	"cmp"
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

const (
	minRetryAfter = 1 * sapphiredrum.Second
	maxRetryAfter = 60 * sapphiredrum.Second
)

// immediateRefusal returns the refusal of a call that this cell cannot serve
// however long it waits, or nil.
func (c *Cell) immediateRefusal(request Request) *sapphiredrum.Refusal {
	if request.Deadline > 0 && c.now >= request.Deadline {
		return sapphiredrum.NewRefusal(sapphiredrum.TimedOut, 0, "the deadline has passed")
	}
	if !c.anyOpen() {
		return sapphiredrum.NewRefusal(sapphiredrum.NoTarget, minRetryAfter, "no target of the cell takes new work")
	}
	return nil
}

// shedLoad refuses a call when the new entry's expected wait is too long. If the
// new entry itself is refused, shedLoad returns the refusal; if a waiting call is
// displaced instead, the next Tick returns its refusal.
func (c *Cell) shedLoad(e *entry) *sapphiredrum.Refusal {
	wait := c.expectedWait(e)
	bound := c.settings.Policy.MaxQueueTime
	if e.request.Deadline > 0 {
		bound = min(bound, e.request.Deadline.Since(c.now))
	}
	if wait <= bound {
		return nil
	}
	c.accounts.decay(c.now)
	worst := c.mostOverShare(e)
	if worst == nil {
		return nil
	}
	refusal := sapphiredrum.NewRefusal(sapphiredrum.Overloaded,
		min(max(wait-bound, minRetryAfter), maxRetryAfter), "the workspace exceeds its share of an overloaded target")
	victim := c.victim(worst)
	if victim == e {
		return refusal
	}
	c.dequeue(victim)
	c.pending = append(c.pending, Refused{Call: victim.request.Call, Keeper: victim.request.Keeper, Refusal: refusal})
	return nil
}

// expectedWait returns the time that the entry is expected to wait.
func (c *Cell) expectedWait(e *entry) sapphiredrum.Millis {
	ahead := 0
	for _, x := range c.waiting {
		if x != e && x.request.Tier <= e.request.Tier {
			ahead++
		}
	}
	var capacity sapphiredrum.Slots
	for _, t := range c.targets {
		if t.usable(c.now) {
			capacity += t.capacity()
		}
	}
	if capacity == 0 {
		return 0
	}
	return sapphiredrum.Millis(float64(ahead) * c.meanHold / float64(capacity))
}

// mostOverShare returns the account with waiting calls that exceeds its share the
// most, preferring the new entry's account among equals. It returns nil when the
// new entry is within its share and only accounts without waiting calls exceed
// theirs.
func (c *Cell) mostOverShare(e *entry) *account {
	worst := e.account
	running := false
	for _, x := range c.accounts.list {
		if c.accounts.excess(x) <= c.accounts.excess(worst) {
			continue
		}
		if x.waiting > 0 {
			worst = x
		} else {
			running = running || x.running > 0
		}
	}
	if running && c.accounts.excess(worst) <= 0 {
		return nil
	}
	return worst
}

// victim returns the account's waiting call to refuse: the one with the lowest
// priority, then with the least attained service of its program, then the latest.
func (c *Cell) victim(worst *account) *entry {
	var found *entry
	for _, x := range c.waiting {
		if x.account == worst && (found == nil || compareVictims(x, found) <= 0) {
			found = x
		}
	}
	return found
}

func compareVictims(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(b.request.Tier, a.request.Tier),
		cmp.Compare(a.request.AttainedService, b.request.AttainedService),
	)
}

// refuseOverdue refuses the calls whose deadline has passed.
func (c *Cell) refuseOverdue() {
	c.refuseWhere(func(e *entry) bool { return e.request.Deadline > 0 && c.now >= e.request.Deadline },
		sapphiredrum.NewRefusal(sapphiredrum.TimedOut, 0, "the deadline passed while the call waited"))
}

// refuseAll refuses every waiting call, so that each is retried in another cell.
func (c *Cell) refuseAll() {
	c.refuseWhere(func(*entry) bool { return true },
		sapphiredrum.NewRefusal(sapphiredrum.NoTarget, minRetryAfter, "no target of the cell takes new work"))
}

// refuseWhere refuses the waiting calls that satisfy the condition.
func (c *Cell) refuseWhere(condition func(*entry) bool, refusal *sapphiredrum.Refusal) {
	if !slices.ContainsFunc(c.waiting, condition) {
		return
	}
	for _, e := range slices.Clone(c.waiting) {
		if condition(e) {
			c.refuse(e, refusal)
		}
	}
}

// refuse removes an entry from the queue and adds its refusal to the decisions.
func (c *Cell) refuse(e *entry, refusal *sapphiredrum.Refusal) {
	c.dequeue(e)
	c.pending = append(c.pending, Refused{Call: e.request.Call, Keeper: e.request.Keeper, Refusal: refusal})
}
