package scheduler

import (
	"slices"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// AgedGrantWindow is the length of a run of grants of which at least one goes to
// the call that has waited longest, once that call has aged.
const AgedGrantWindow = 8

// Cell is the scheduling state of one cell: its queue, permits and targets. Use
// New to create one.
type Cell struct {
	settings Settings
	now      sapphiredrum.Instant
	// targets is sorted by ID.
	targets []*target
	// waiting is in order of arrival.
	waiting         []*entry
	waitingByCall   map[sapphiredrum.StreamID]*entry
	permitsByCall   map[sapphiredrum.StreamID]*permit
	permitsByNumber map[PermitNumber]*permit
	permits         []*permit
	lastPermit      PermitNumber
	accounts        accounts
	// pending holds the decisions that the next Tick returns.
	pending []Decision
	// lastHeard is the time of each keeper's latest request or renewal.
	lastHeard map[sapphiredrum.HostID]sapphiredrum.Instant
	// passedOver counts consecutive grants to other calls while the longest waiting
	// call has aged.
	passedOver int
	// meanHold is the moving average of the time that a permit is held, in
	// milliseconds.
	meanHold float64
}

// New returns a cell without targets or permits. It has no record of the permits
// that an earlier guard granted; their work is found through load reports.
func New(now sapphiredrum.Instant, settings Settings) *Cell {
	return &Cell{
		settings:        settings.withDefaults(),
		now:             now,
		lastPermit:      PermitNumber(settings.Epoch) << epochShift,
		waitingByCall:   make(map[sapphiredrum.StreamID]*entry),
		permitsByCall:   make(map[sapphiredrum.StreamID]*permit),
		permitsByNumber: make(map[PermitNumber]*permit),
		lastHeard:       make(map[sapphiredrum.HostID]sapphiredrum.Instant),
	}
}

// SetTargets replaces the cell's targets by those of the configuration and the
// live list. A target that is new, or that takes work again after leaving or
// being drained, starts cold.
func (c *Cell) SetTargets(now sapphiredrum.Instant, members []Member) {
	c.advance(now)
	was := make(map[*target]bool, len(c.targets))
	for _, t := range c.targets {
		was[t] = t.acceptsWork()
		t.removed = true
	}
	for _, member := range members {
		t := c.target(member.Target.ID)
		if t == nil {
			t = &target{joined: c.now, removed: true}
			c.targets = append(c.targets, t)
		}
		c.applyMember(t, member, was[t])
	}
	c.targets = slices.DeleteFunc(c.targets, func(t *target) bool { return t.removed && t.permits == 0 })
	slices.SortFunc(c.targets, func(a, b *target) int {
		return strings.Compare(string(a.member.Target.ID), string(b.member.Target.ID))
	})
}

// applyMember updates a target from its member entry. open tells whether the
// target took new work before the update.
func (c *Cell) applyMember(t *target, member Member, open bool) {
	if t.member.Target.Address != member.Target.Address {
		t.reported = false
		t.joined = c.now
		t.restartWarmUp(c.now)
	}
	t.member = member
	t.removed = false
	if !open && t.acceptsWork() {
		t.restartWarmUp(c.now)
	}
}

// Tick expires permits and deadlines, grants the free permits and returns all
// decisions made since the last Tick, in order.
func (c *Cell) Tick(now sapphiredrum.Instant) []Decision {
	c.advance(now)
	c.expire()
	c.refuseOverdue()
	if !c.anyOpen() {
		c.refuseAll()
	}
	c.grantAll()
	decisions := c.pending
	c.pending = nil
	return decisions
}

// Report processes a target's load report, which must be no older than
// Settings.MaxReportAge.
func (c *Cell) Report(now sapphiredrum.Instant, load sapphiredrum.Load) {
	c.advance(now)
	t := c.target(load.Target)
	if t == nil {
		return
	}
	if t.incarnation != load.Incarnation {
		t.incarnation = load.Incarnation
		t.restartWarmUp(c.now)
		t.prefixes.clear()
	}
	if load.Cold && !t.cold {
		t.restartWarmUp(c.now)
	}
	t.cold = load.Cold
	if !load.Cold && c.now.Since(t.restartSuspectedAt) > c.settings.MaxReportAge {
		t.restartSuspectedAt = 0
	}
	t.queued = load.Waiting
	t.orphansSeenAt = c.now
	c.reconcile(t, load.Running+load.Waiting)
	if load.Running > 0 {
		t.creditReport(c.now)
	}
	t.creditedUntil = c.now
	if len(load.Programs) > 0 || load.CacheUsed == 0 {
		if !load.ProgramsOmitted {
			t.prefixes.reconcile(c.now, load.Programs, c.settings.settleTime())
		}
	}
}

// reconcile updates the target's orphan count from the number of calls in a load
// report and the permits outstanding.
func (c *Cell) reconcile(t *target, reported sapphiredrum.Slots) {
	sure, recent := c.countPermits(t)
	c.detectLostWork(t, reported, sure, recent)
	settled := c.now >= t.joined.Add(c.settings.settleTime())
	if !settled || c.now < t.orphansVisibleAt {
		return
	}
	orphans := max(0, reported-sure)
	if t.reported && orphans >= t.orphans {
		return
	}
	t.reported, t.orphans = true, orphans
	for _, p := range c.permits {
		p.mayHideOrphan = p.mayHideOrphan || p.target == t
	}
}

// detectLostWork restarts the warm-up when reports show none of the calls granted
// earlier for as long as Settings.SendTimeout, because the target has then lost
// its work.
func (c *Cell) detectLostWork(t *target, reported, sure, recent sapphiredrum.Slots) {
	if sure < minMissingPermits || reported > recent {
		t.missingSince = 0
		return
	}
	if t.missingSince == 0 {
		t.missingSince = c.now
		return
	}
	if c.now.Since(t.missingSince) < c.settings.SendTimeout {
		return
	}
	t.missingSince = 0
	t.restartWarmUp(c.now)
	for _, p := range c.permits {
		p.workLost = p.workLost || p.target == t
	}
}

// countPermits returns the number of the target's permits that every report must
// show unless their calls have ended, and of those that a report may not show yet.
func (c *Cell) countPermits(t *target) (sure, recent sapphiredrum.Slots) {
	for _, p := range c.permits {
		if p.target != t || p.workLost {
			continue
		}
		if c.now.Since(p.granted) >= c.settings.settleTime() {
			sure++
		} else {
			recent++
		}
	}
	return sure, recent
}

// CacheEvents processes a target's cache events. Delayed events and gaps only
// make the prefix hints less accurate.
func (c *Cell) CacheEvents(now sapphiredrum.Instant, id sapphiredrum.TargetID, events []sapphiredrum.CacheEvent) {
	c.advance(now)
	t := c.target(id)
	if t == nil {
		return
	}
	for _, event := range events {
		if event.Number <= t.prefixes.lastEvent {
			continue
		}
		t.prefixes.lastEvent = event.Number
		tokens := event.Tokens
		if event.Evicted {
			tokens = 0
		}
		t.prefixes.put(c.now, event.Program, tokens, t.member.Target.CacheCapacity)
	}
}

// RemoveKeeper handles the end of a keeper's process: its waiting calls leave the
// queue and its permits end. Their work counts against the targets until reports
// no longer show it.
func (c *Cell) RemoveKeeper(now sapphiredrum.Instant, keeper sapphiredrum.HostID) {
	c.advance(now)
	c.pending = slices.DeleteFunc(c.pending, func(decision Decision) bool {
		switch d := decision.(type) {
		case Granted:
			return d.Keeper == keeper
		case Refused:
			return d.Keeper == keeper
		}
		return false
	})
	for _, e := range slices.Clone(c.waiting) {
		if e.request.Keeper == keeper {
			c.dequeue(e)
		}
	}
	for _, p := range slices.Clone(c.permits) {
		if p.request.Keeper == keeper {
			c.abandon(p)
		}
	}
}

// Summary returns the cell's current load.
func (c *Cell) Summary(now sapphiredrum.Instant) Summary {
	c.advance(now)
	s := Summary{Waiting: sapphiredrum.Slots(len(c.waiting)), MeanHoldTime: sapphiredrum.Millis(c.meanHold)}
	for _, t := range c.targets {
		s.Running += t.permits + t.orphans
		if t.usable(c.now) {
			s.Capacity += t.capacity()
		}
	}
	return s
}

// target returns the target with the given ID, or nil.
func (c *Cell) target(id sapphiredrum.TargetID) *target {
	for _, t := range c.targets {
		if t.member.Target.ID == id {
			return t
		}
	}
	return nil
}

// anyOpen reports whether any target accepts new work.
func (c *Cell) anyOpen() bool {
	return slices.ContainsFunc(c.targets, (*target).acceptsWork)
}

// advance moves the cell's clock forward; it never goes back.
func (c *Cell) advance(now sapphiredrum.Instant) {
	c.now = max(c.now, now)
}
