package scheduler_test

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

const (
	lag         = 1000 * sapphiredrum.Millisecond
	sendTimeout = 500 * sapphiredrum.Millisecond
	lease       = 10 * sapphiredrum.Second
	aging       = 20 * sapphiredrum.Second
	ramp        = 8 * sapphiredrum.Second
	slots       = 6
	cold        = 2
)

// simCall is the true state of a call, as opposed to the guard's view of it.
type simCall struct {
	name      sapphiredrum.StreamID
	keeper    sapphiredrum.HostID
	tier      sapphiredrum.Tier
	deadline  sapphiredrum.Instant
	asked     sapphiredrum.Instant
	order     int
	waiting   bool
	withdrawn bool
	permit    scheduler.PermitNumber
	epoch     sapphiredrum.Epoch
	target    *simTarget
	granted   sapphiredrum.Instant
	renewed   sapphiredrum.Instant
	// unsent is set while the keeper has not used the call's permit yet.
	unsent bool
	// running is the true state at the target. outstanding tells whether the guard, by
	// the messages delivered to it, must consider the permit outstanding.
	running     bool
	outstanding bool
	keeperDead  bool
}

// simTarget is the true state of a target, with an oracle of its warm-up.
type simTarget struct {
	id           sapphiredrum.TargetID
	process      sapphiredrum.Incarnation
	cold         bool
	closed       bool
	history      []snapshot
	heard        sapphiredrum.Incarnation
	reported     bool
	reportedCold bool
	warmUpTime   sapphiredrum.Millis
}

type snapshot struct {
	at   sapphiredrum.Instant
	load sapphiredrum.Load
}

// simulation drives a cell and simulates its keepers and targets.
type simulation struct {
	now     sapphiredrum.Instant
	epoch   sapphiredrum.Epoch
	cell    *scheduler.Cell
	targets []*simTarget
	calls   []*simCall
	passed  int
	// keepers are the current processes of the two keepers; heard is when the guard
	// last received a message from each process.
	keepers [2]sapphiredrum.HostID
	heard   map[sapphiredrum.HostID]sapphiredrum.Instant
	used    map[scheduler.PermitNumber]bool
	order   string
}

func newMachine(t *rapid.T) *simulation {
	m := &simulation{
		now: 1000000, keepers: [2]sapphiredrum.HostID{"h1", "h2"},
		heard: make(map[sapphiredrum.HostID]sapphiredrum.Instant), used: make(map[scheduler.PermitNumber]bool),
		order: rapid.SampledFrom([]string{"attained", "working", "share", "fcfs"}).Draw(t, "order"),
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "targets") {
		m.targets = append(m.targets, &simTarget{id: sapphiredrum.TargetID(fmt.Sprint("t", i)), process: 1})
	}
	m.takeOver()
	m.recordLoads()
	return m
}

// takeOver replaces the guard by a new one without state.
func (m *simulation) takeOver() {
	m.epoch++
	m.cell = scheduler.New(m.now, scheduler.Settings{
		Epoch: m.epoch, MaxReportAge: lag, SendTimeout: sendTimeout, Lease: lease, FirstReportTimeout: sapphiredrum.Hour,
		Policy: sapphiredrum.Policy{Order: m.order, AgingLimit: aging, MaxQueueTime: 20 * sapphiredrum.Minute},
	})
	for _, b := range m.targets {
		b.reported, b.reportedCold, b.warmUpTime = false, false, 0
	}
	m.passed = 0
	m.setTargets()
	for _, j := range m.calls {
		j.outstanding = false
		j.waiting = j.waiting && !j.keeperDead
		if j.waiting {
			j.asked = m.now
			j.waiting = m.ask(j).Refusal == nil
		}
	}
}

func (m *simulation) setTargets() {
	var members []scheduler.Member
	for i, b := range m.targets {
		members = append(members, scheduler.Member{
			Target:  sapphiredrum.Target{ID: b.id, Slots: slots, ColdSlots: cold, WarmUp: ramp},
			Leaving: b.closed && i%2 == 0, Drained: b.closed && i%2 == 1,
		})
	}
	m.cell.SetTargets(m.now, members)
}

func (m *simulation) ask(j *simCall) scheduler.SubmitResult {
	m.heard[j.keeper] = m.now
	return m.cell.Submit(m.now, scheduler.Request{
		Call: j.name, Keeper: j.keeper, Program: sapphiredrum.ProgramID(j.name[:2]),
		Workspace: sapphiredrum.WorkspaceID(fmt.Sprint("w", j.order%3)), Tier: j.tier,
		AttainedService: sapphiredrum.Tokens(j.order * 7919 % 1000), Prompt: 1000, MaxTokens: 100, Deadline: j.deadline,
	})
}

// countWork returns the number of calls that run on the target or that their keeper
// may still send.
func (m *simulation) countWork(b *simTarget) int {
	count := 0
	for _, j := range m.calls {
		if j.target == b && (j.running || j.unsent && !j.keeperDead) {
			count++
		}
	}
	return count
}

// hasOutstanding reports whether the guard must consider any permit of the target
// outstanding.
func (m *simulation) hasOutstanding(b *simTarget) bool {
	return slices.ContainsFunc(m.calls, func(j *simCall) bool { return j.target == b && j.outstanding })
}

// capacity is the oracle of the calls that the target may run, according to the
// reports delivered to the guard.
func (m *simulation) capacity(b *simTarget) int {
	if b.reportedCold {
		return cold
	}
	return min(slots, cold+int((slots-cold)*b.warmUpTime/ramp))
}

// recordLoads records the load that each target would report now.
func (m *simulation) recordLoads() {
	for _, b := range m.targets {
		running := 0
		for _, j := range m.calls {
			if j.target == b && j.running {
				running++
			}
		}
		b.history = append(b.history, snapshot{at: m.now, load: sapphiredrum.Load{
			Target: b.id, Incarnation: b.process, Cold: b.cold, Running: sapphiredrum.Slots(running),
		}})
	}
}

// advance moves time forward in small steps. Keepers send their granted calls in
// time, and the guard ticks unless its process is frozen.
func (m *simulation) advance(t *rapid.T, span sapphiredrum.Millis, frozen bool) {
	const grain = 100 * sapphiredrum.Millisecond
	for ; span > 0; span -= grain {
		for _, b := range m.targets {
			if m.hasOutstanding(b) {
				b.warmUpTime += grain
			}
		}
		m.now = m.now.Add(grain)
		for _, j := range m.calls {
			if j.unsent && m.now.Since(j.granted) >= sendTimeout {
				j.unsent, j.running = false, !j.keeperDead
			}
			if j.outstanding && m.now.Since(j.renewed) >= lease {
				j.outstanding = false
			}
		}
		m.recordLoads()
		if !frozen {
			m.tick(t)
		}
	}
}

// tick checks each decision of the guard.
func (m *simulation) tick(t *rapid.T) {
	for _, decision := range m.cell.Tick(m.now) {
		switch d := decision.(type) {
		case scheduler.Granted:
			m.checkGrant(t, d)
		case scheduler.Refused:
			m.checkRefusal(t, d)
		}
	}
	for _, j := range m.calls {
		if j.waiting && !j.keeperDead && j.deadline > 0 && m.now >= j.deadline {
			t.Fatalf("%s still waits after its deadline", j.name)
		}
		if j.waiting && m.now.Since(m.heard[j.keeper]) >= lease {
			t.Fatalf("%s still waits for a silent keeper", j.name)
		}
	}
}

func (m *simulation) checkGrant(t *rapid.T, d scheduler.Granted) {
	j, b := m.find(d.Call), m.box(d.Target)
	if j == nil || j.withdrawn || !j.waiting || m.used[d.Permit] {
		t.Fatalf("grant of %+v that does not wait: %+v", d, j)
	}
	if d.Fence != m.epoch || b.closed {
		t.Fatalf("grant with fence %d in epoch %d, closed %v", d.Fence, m.epoch, b.closed)
	}
	m.checkPassing(t, j)
	m.used[d.Permit] = true
	j.waiting, j.unsent, j.outstanding = false, true, true
	j.permit, j.epoch, j.target, j.granted, j.renewed = d.Permit, m.epoch, b, m.now, m.now
	// A grant to a dead keeper is never sent, but the guard cannot know.
	if work, capacity := m.countWork(b), m.capacity(b); work > capacity {
		t.Fatalf("%s: %d calls on a target with capacity %d", b.id, work, capacity)
	}
}

// checkPassing is the oracle of the bound on passing over aged calls.
func (m *simulation) checkPassing(t *rapid.T, granted *simCall) {
	var oldest *simCall
	for _, j := range m.calls {
		if !j.waiting || m.now.Since(j.asked) < aging {
			continue
		}
		if j.tier == granted.tier && j.order < granted.order {
			t.Fatalf("%s passed over aged %s of its tier", granted.name, j.name)
		}
		if oldest == nil || j.order < oldest.order {
			oldest = j
		}
	}
	if oldest == nil || oldest == granted {
		m.passed = 0
		return
	}
	m.passed++
	if m.passed >= scheduler.AgedGrantWindow {
		t.Fatalf("%s passed over by %d grants", oldest.name, m.passed)
	}
}

func (m *simulation) checkRefusal(t *rapid.T, d scheduler.Refused) {
	j := m.find(d.Call)
	if j == nil || !j.waiting || d.Refusal.Outcome != sapphiredrum.NotRun {
		t.Fatalf("refusal %+v of a call that does not wait: %+v", d, j)
	}
	// A displaced call may meet its deadline before the Tick that announces it.
	allowed := d.Refusal.Reason == sapphiredrum.Overloaded
	switch d.Refusal.Reason {
	case sapphiredrum.TimedOut:
		allowed = j.deadline > 0 && m.now >= j.deadline
	case sapphiredrum.KeeperUnavailable:
		allowed = m.now.Since(m.heard[j.keeper]) >= lease
	case sapphiredrum.NoTarget:
		allowed = m.closed()
	}
	if !allowed {
		t.Fatalf("%s refused as %s at %d, deadline %d", j.name, d.Refusal.Reason, m.now, j.deadline)
	}
	j.waiting = false
}

// closed reports whether no target accepts new work.
func (m *simulation) closed() bool {
	return !slices.ContainsFunc(m.targets, func(b *simTarget) bool { return !b.closed })
}

func (m *simulation) find(name sapphiredrum.StreamID) *simCall {
	for _, j := range m.calls {
		if j.name == name {
			return j
		}
	}
	return nil
}

func (m *simulation) box(id sapphiredrum.TargetID) *simTarget {
	return m.targets[slices.IndexFunc(m.targets, func(b *simTarget) bool { return b.id == id })]
}

// drawCall draws a call that satisfies the condition, or skips the action.
func (m *simulation) drawCall(t *rapid.T, condition func(*simCall) bool) *simCall {
	var found []*simCall
	for _, j := range m.calls {
		if condition(j) {
			found = append(found, j)
		}
	}
	if len(found) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(found).Draw(t, "job")
}
