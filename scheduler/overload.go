package scheduler

import (
	"cmp"
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

const (
	shortestRetry = 1 * sapphiredrum.Second
	longestRetry  = 60 * sapphiredrum.Second
)

// hopeless refuses a call that cannot be served here however long it waits.
func (c *Cell) hopeless(request Request) *sapphiredrum.Refusal {
	if request.Deadline > 0 && c.now >= request.Deadline {
		return sapphiredrum.NewRefusal(sapphiredrum.TimedOut, 0, "the deadline has passed")
	}
	if !c.anyOpen() {
		return sapphiredrum.NewRefusal(sapphiredrum.NoTarget, shortestRetry, "no target of the cell takes new work")
	}
	return nil
}

// relieve refuses a call when the new entry is expected to wait too long. It
// returns the refusal when the new entry itself is refused, and announces it at
// the next Tick when another one is displaced.
func (c *Cell) relieve(e *entry) *sapphiredrum.Refusal {
	wait := c.expected(e)
	bound := c.settings.Policy.MaxQueueTime
	if e.request.Deadline > 0 {
		bound = min(bound, e.request.Deadline.Since(c.now))
	}
	if wait <= bound {
		return nil
	}
	c.accounts.settle(c.now)
	worst := c.greediest(e)
	if worst == nil {
		return nil
	}
	refusal := sapphiredrum.NewRefusal(sapphiredrum.Overloaded,
		min(max(wait-bound, shortestRetry), longestRetry), "the workspace exceeds its share of an overloaded target")
	victim := c.victim(worst)
	if victim == e {
		return refusal
	}
	c.leave(victim)
	c.pending = append(c.pending, Refused{Call: victim.request.Call, Keeper: victim.request.Keeper, Refusal: refusal})
	return nil
}

// expected returns how long the entry is expected to wait.
func (c *Cell) expected(e *entry) sapphiredrum.Millis {
	ahead := 0
	for _, x := range c.waiting {
		if x != e && x.request.Tier <= e.request.Tier {
			ahead++
		}
	}
	var capacity sapphiredrum.Slots
	for _, t := range c.targets {
		if t.usable(c.now) {
			capacity += t.bears()
		}
	}
	if capacity == 0 {
		return 0
	}
	return sapphiredrum.Millis(float64(ahead) * c.hold / float64(capacity))
}

// greediest returns the account with calls in the queue that exceeds its share
// the most, the new entry's own among equals. It returns nil when the new entry
// is within its share and only accounts without waiting calls are beyond theirs.
func (c *Cell) greediest(e *entry) *account {
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

// victim returns the account's waiting call of the lowest priority, among these
// the one whose program has had the least service, then the latest.
func (c *Cell) victim(worst *account) *entry {
	var found *entry
	for _, x := range c.waiting {
		if x.account == worst && (found == nil || dispensable(x, found) <= 0) {
			found = x
		}
	}
	return found
}

func dispensable(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(b.request.Tier, a.request.Tier),
		cmp.Compare(a.request.Attained, b.request.Attained),
	)
}

// overdue refuses the calls whose deadline has passed.
func (c *Cell) overdue() {
	c.refuseWhere(func(e *entry) bool { return e.request.Deadline > 0 && c.now >= e.request.Deadline },
		sapphiredrum.NewRefusal(sapphiredrum.TimedOut, 0, "the deadline passed while the call waited"))
}

// refuseAll refuses every waiting call, so that it is served elsewhere.
func (c *Cell) refuseAll() {
	c.refuseWhere(func(*entry) bool { return true },
		sapphiredrum.NewRefusal(sapphiredrum.NoTarget, shortestRetry, "no target of the cell takes new work"))
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

// refuse takes an entry out of the queue and announces its refusal.
func (c *Cell) refuse(e *entry, refusal *sapphiredrum.Refusal) {
	c.leave(e)
	c.pending = append(c.pending, Refused{Call: e.request.Call, Keeper: e.request.Keeper, Refusal: refusal})
}
