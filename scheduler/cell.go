package scheduler

import (
	"slices"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// Turn is the number of consecutive grants of which at least one goes to the
// call that has waited longest, once that call is aged.
const Turn = 8

// Cell is the guard's state. Make it with New.
type Cell struct {
	settings Settings
	now      sapphiredrum.Instant
	// targets are ordered by id.
	targets []*target
	// waiting is ordered by arrival.
	waiting  []*entry
	calls    map[sapphiredrum.StreamID]*entry
	granted  map[sapphiredrum.StreamID]*permit
	numbers  map[PermitNumber]*permit
	permits  []*permit
	last     PermitNumber
	accounts accounts
	// pending are decisions made between two Ticks.
	pending []Decision
	// heard is when each keeper last asked or renewed.
	heard map[sapphiredrum.HostID]sapphiredrum.Instant
	// passed counts the grants that passed over the longest waiting aged call.
	passed int
	// hold is the mean time that a permit is held.
	hold float64
}

// New returns the state of a guard that starts now and knows nothing of what
// an earlier guard granted.
func New(now sapphiredrum.Instant, settings Settings) *Cell {
	return &Cell{
		settings: settings.withDefaults(),
		now:      now,
		last:     PermitNumber(settings.Epoch) << epochShift,
		calls:    make(map[sapphiredrum.StreamID]*entry),
		granted:  make(map[sapphiredrum.StreamID]*permit),
		numbers:  make(map[PermitNumber]*permit),
		heard:    make(map[sapphiredrum.HostID]sapphiredrum.Instant),
	}
}

// SetTargets takes the cell's targets from the configuration and the live list.
// A target that is new, or that returns after leaving or being out, starts cold.
func (c *Cell) SetTargets(now sapphiredrum.Instant, members []Member) {
	c.advance(now)
	was := make(map[*target]bool, len(c.targets))
	for _, t := range c.targets {
		was[t] = t.open()
		t.gone = true
	}
	for _, member := range members {
		t := c.target(member.Target.ID)
		if t == nil {
			t = &target{joined: c.now, gone: true}
			c.targets = append(c.targets, t)
		}
		c.admit(t, member, was[t])
	}
	c.targets = slices.DeleteFunc(c.targets, func(t *target) bool { return t.gone && t.permits == 0 })
	slices.SortFunc(c.targets, func(a, b *target) int {
		return strings.Compare(string(a.member.Target.ID), string(b.member.Target.ID))
	})
}

// admit applies a member's plan to its target, which took work before or not.
func (c *Cell) admit(t *target, member Member, open bool) {
	if t.member.Target.Address != member.Target.Address {
		t.known = false
		t.joined = c.now
		t.restart(c.now)
	}
	t.member = member
	t.gone = false
	if !open && t.open() {
		t.restart(c.now)
	}
}

// Tick expires permits and deadlines, grants what the targets bear and returns
// all decisions made since the last Tick, in order.
func (c *Cell) Tick(now sapphiredrum.Instant) []Decision {
	c.advance(now)
	c.expire()
	c.overdue()
	if !c.anyOpen() {
		c.refuseAll()
	}
	c.grantAll()
	decisions := c.pending
	c.pending = nil
	return decisions
}

// Report takes a target's load report, not older than Settings.Lag.
func (c *Cell) Report(now sapphiredrum.Instant, load sapphiredrum.Load) {
	c.advance(now)
	t := c.target(load.Target)
	if t == nil {
		return
	}
	if t.incarnation != load.Incarnation {
		t.incarnation = load.Incarnation
		t.restart(c.now)
		t.prefixes.clear()
	}
	if load.Cold && !t.cold {
		t.restart(c.now)
	}
	t.cold = load.Cold
	if !load.Cold && c.now.Since(t.suspected) > c.settings.Lag {
		t.suspected = 0
	}
	t.queued = load.Waiting
	t.strayed = c.now
	c.reconcile(t, load.Running+load.Waiting)
	if load.Running > 0 {
		t.prove(c.now)
	}
	t.credited = c.now
	if len(load.Programs) > 0 || load.CacheUsed == 0 {
		if !load.ProgramsOmitted {
			t.prefixes.confirm(c.now, load.Programs, c.settings.settling())
		}
	}
}

// reconcile compares the reported work with the permits outstanding.
func (c *Cell) reconcile(t *target, reported sapphiredrum.Slots) {
	sure, recent := c.sure(t)
	c.suspect(t, reported, sure, recent)
	settled := c.now >= t.joined.Add(c.settings.settling())
	if !settled || c.now < t.quiet {
		return
	}
	strays := max(0, reported-sure)
	if t.known && strays >= t.strays {
		return
	}
	t.known, t.strays = true, strays
	for _, p := range c.permits {
		p.shadow = p.shadow || p.target == t
	}
}

// suspect starts the ramp again when reports fail to show any of the work
// granted earlier: the target has lost it.
func (c *Cell) suspect(t *target, reported, sure, recent sapphiredrum.Slots) {
	if sure < lostWork || reported > recent {
		t.doubt = 0
		return
	}
	if t.doubt == 0 {
		t.doubt = c.now
		return
	}
	if c.now.Since(t.doubt) < c.settings.Start {
		return
	}
	t.doubt = 0
	t.restart(c.now)
	for _, p := range c.permits {
		p.lost = p.lost || p.target == t
	}
}

// sure counts the permits that any report must show unless their calls ended,
// and those that a report may not show yet.
func (c *Cell) sure(t *target) (sure, recent sapphiredrum.Slots) {
	for _, p := range c.permits {
		if p.target != t || p.lost {
			continue
		}
		if c.now.Since(p.granted) >= c.settings.settling() {
			sure++
		} else {
			recent++
		}
	}
	return sure, recent
}

// CacheEvents takes a target's cache events; late ones and gaps are harmless.
func (c *Cell) CacheEvents(now sapphiredrum.Instant, id sapphiredrum.TargetID, events []sapphiredrum.CacheEvent) {
	c.advance(now)
	t := c.target(id)
	if t == nil {
		return
	}
	for _, event := range events {
		if event.Number <= t.prefixes.number {
			continue
		}
		t.prefixes.number = event.Number
		tokens := event.Tokens
		if event.Evicted {
			tokens = 0
		}
		t.prefixes.put(c.now, event.Program, tokens, t.member.Target.CacheCapacity)
	}
}

// Forget tells that a keeper's process is gone: its waiting calls are withdrawn
// and its permits end, but their work counts until reports no longer show it.
func (c *Cell) Forget(now sapphiredrum.Instant, keeper sapphiredrum.HostID) {
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
			c.leave(e)
		}
	}
	for _, p := range slices.Clone(c.permits) {
		if p.request.Keeper == keeper {
			c.abandon(p)
		}
	}
}

// Summary returns the cell's load.
func (c *Cell) Summary(now sapphiredrum.Instant) Summary {
	c.advance(now)
	s := Summary{Waiting: sapphiredrum.Slots(len(c.waiting)), Hold: sapphiredrum.Millis(c.hold)}
	for _, t := range c.targets {
		s.Running += t.permits + t.strays
		if t.usable(c.now) {
			s.Limit += t.bears()
		}
	}
	return s
}

// target returns the target with the given id, or nil.
func (c *Cell) target(id sapphiredrum.TargetID) *target {
	for _, t := range c.targets {
		if t.member.Target.ID == id {
			return t
		}
	}
	return nil
}

// anyOpen reports whether any target takes new work by plan.
func (c *Cell) anyOpen() bool {
	return slices.ContainsFunc(c.targets, (*target).open)
}

// advance moves the cell's clock, which never goes back.
func (c *Cell) advance(now sapphiredrum.Instant) {
	c.now = max(c.now, now)
}
