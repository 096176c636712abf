package scheduler_test

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

const (
	lag   = 1000 * sapphiredrum.Millisecond
	begin = 500 * sapphiredrum.Millisecond
	lease = 10 * sapphiredrum.Second
	aging = 20 * sapphiredrum.Second
	ramp  = 8 * sapphiredrum.Second
	slots = 6
	cold  = 2
)

// job is a call as the outside world knows it.
type job struct {
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
	target    *box
	granted   sapphiredrum.Instant
	renewed   sapphiredrum.Instant
	// unsent calls hold a permit that their keeper has not used yet.
	unsent bool
	// running is the truth at the target; booked is whether the guard, by the
	// messages that reached it, must think the permit outstanding.
	running bool
	booked  bool
	dead    bool
}

// box is a target in the outside world, with the oracle of its ramp.
type box struct {
	id       sapphiredrum.TargetID
	process  sapphiredrum.Incarnation
	cold     bool
	closed   bool
	history  []snapshot
	heard    sapphiredrum.Incarnation
	heardAny bool
	said     bool
	worked   sapphiredrum.Millis
}

type snapshot struct {
	at   sapphiredrum.Instant
	load sapphiredrum.Load
}

// machine drives a cell against the outside world.
type machine struct {
	now    sapphiredrum.Instant
	epoch  sapphiredrum.Epoch
	cell   *scheduler.Cell
	boxes  []*box
	jobs   []*job
	passed int
	// living names the process of each of the two keepers, heard when the guard
	// last heard of a process.
	living [2]sapphiredrum.HostID
	heard  map[sapphiredrum.HostID]sapphiredrum.Instant
	used   map[scheduler.PermitNumber]bool
	order  string
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		now: 1000000, living: [2]sapphiredrum.HostID{"h1", "h2"},
		heard: make(map[sapphiredrum.HostID]sapphiredrum.Instant), used: make(map[scheduler.PermitNumber]bool),
		order: rapid.SampledFrom([]string{"attained", "working", "share", "fcfs"}).Draw(t, "order"),
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "targets") {
		m.boxes = append(m.boxes, &box{id: sapphiredrum.TargetID(fmt.Sprint("t", i)), process: 1})
	}
	m.takeOver()
	m.snap()
	return m
}

// takeOver replaces the guard by one that knows nothing.
func (m *machine) takeOver() {
	m.epoch++
	m.cell = scheduler.New(m.now, scheduler.Settings{
		Epoch: m.epoch, Lag: lag, Start: begin, Lease: lease, Blind: sapphiredrum.Hour,
		Policy: sapphiredrum.Policy{Order: m.order, AgingLimit: aging, MaxQueueTime: 20 * sapphiredrum.Minute},
	})
	for _, b := range m.boxes {
		b.heardAny, b.said, b.worked = false, false, 0
	}
	m.passed = 0
	m.plan()
	for _, j := range m.jobs {
		j.booked = false
		j.waiting = j.waiting && !j.dead
		if j.waiting {
			j.asked = m.now
			j.waiting = m.ask(j).Refusal == nil
		}
	}
}

func (m *machine) plan() {
	var members []scheduler.Member
	for i, b := range m.boxes {
		members = append(members, scheduler.Member{
			Target:  sapphiredrum.Target{ID: b.id, Slots: slots, ColdSlots: cold, WarmUp: ramp},
			Leaving: b.closed && i%2 == 0, Out: b.closed && i%2 == 1,
		})
	}
	m.cell.SetTargets(m.now, members)
}

func (m *machine) ask(j *job) scheduler.Verdict {
	m.heard[j.keeper] = m.now
	return m.cell.Ask(m.now, scheduler.Request{
		Call: j.name, Keeper: j.keeper, Program: sapphiredrum.ProgramID(j.name[:2]),
		Workspace: sapphiredrum.WorkspaceID(fmt.Sprint("w", j.order%3)), Tier: j.tier,
		Attained: sapphiredrum.Tokens(j.order * 7919 % 1000), Prompt: 1000, Limit: 100, Deadline: j.deadline,
	})
}

// work returns the calls that run at the target or whose keeper may yet send them.
func (m *machine) work(b *box) int {
	count := 0
	for _, j := range m.jobs {
		if j.target == b && (j.running || j.unsent && !j.dead) {
			count++
		}
	}
	return count
}

// booked tells whether the guard must think that any permit is outstanding.
func (m *machine) booked(b *box) bool {
	return slices.ContainsFunc(m.jobs, func(j *job) bool { return j.target == b && j.booked })
}

// bears is the oracle: what the target may run by what the guard was told.
func (m *machine) bears(b *box) int {
	if b.said {
		return cold
	}
	return min(slots, cold+int((slots-cold)*b.worked/ramp))
}

// snap records what each target would report now.
func (m *machine) snap() {
	for _, b := range m.boxes {
		running := 0
		for _, j := range m.jobs {
			if j.target == b && j.running {
				running++
			}
		}
		b.history = append(b.history, snapshot{at: m.now, load: sapphiredrum.Load{
			Target: b.id, Incarnation: b.process, Cold: b.cold, Running: sapphiredrum.Slots(running),
		}})
	}
}

// advance lets time pass in small steps: keepers send in time, and the guard
// ticks unless its process is frozen.
func (m *machine) advance(t *rapid.T, span sapphiredrum.Millis, frozen bool) {
	const grain = 100 * sapphiredrum.Millisecond
	for ; span > 0; span -= grain {
		for _, b := range m.boxes {
			if m.booked(b) {
				b.worked += grain
			}
		}
		m.now = m.now.Add(grain)
		for _, j := range m.jobs {
			if j.unsent && m.now.Since(j.granted) >= begin {
				j.unsent, j.running = false, !j.dead
			}
			if j.booked && m.now.Since(j.renewed) >= lease {
				j.booked = false
			}
		}
		m.snap()
		if !frozen {
			m.tick(t)
		}
	}
}

// tick takes the guard's decisions and checks each.
func (m *machine) tick(t *rapid.T) {
	for _, decision := range m.cell.Tick(m.now) {
		switch d := decision.(type) {
		case scheduler.Granted:
			m.checkGrant(t, d)
		case scheduler.Refused:
			m.checkRefusal(t, d)
		}
	}
	for _, j := range m.jobs {
		if j.waiting && !j.dead && j.deadline > 0 && m.now >= j.deadline {
			t.Fatalf("%s still waits after its deadline", j.name)
		}
		if j.waiting && m.now.Since(m.heard[j.keeper]) >= lease {
			t.Fatalf("%s still waits for a silent keeper", j.name)
		}
	}
}

func (m *machine) checkGrant(t *rapid.T, d scheduler.Granted) {
	j, b := m.find(d.Call), m.box(d.Target)
	if j == nil || j.withdrawn || !j.waiting || m.used[d.Permit] {
		t.Fatalf("grant of %+v that does not wait: %+v", d, j)
	}
	if d.Fence != m.epoch || b.closed {
		t.Fatalf("grant with fence %d in epoch %d, closed %v", d.Fence, m.epoch, b.closed)
	}
	m.checkPassing(t, j)
	m.used[d.Permit] = true
	j.waiting, j.unsent, j.booked = false, true, true
	j.permit, j.epoch, j.target, j.granted, j.renewed = d.Permit, m.epoch, b, m.now, m.now
	// A grant to a dead keeper is never sent, but the guard cannot know.
	if work, bears := m.work(b), m.bears(b); work > bears {
		t.Fatalf("%s: %d calls on a target that bears %d", b.id, work, bears)
	}
}

// checkPassing is the oracle of the bound on being passed over.
func (m *machine) checkPassing(t *rapid.T, granted *job) {
	var oldest *job
	for _, j := range m.jobs {
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
	if m.passed >= scheduler.Turn {
		t.Fatalf("%s passed over by %d grants", oldest.name, m.passed)
	}
}

func (m *machine) checkRefusal(t *rapid.T, d scheduler.Refused) {
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

// closed reports whether no target takes new work by plan.
func (m *machine) closed() bool {
	return !slices.ContainsFunc(m.boxes, func(b *box) bool { return !b.closed })
}

func (m *machine) find(name sapphiredrum.StreamID) *job {
	for _, j := range m.jobs {
		if j.name == name {
			return j
		}
	}
	return nil
}

func (m *machine) box(id sapphiredrum.TargetID) *box {
	return m.boxes[slices.IndexFunc(m.boxes, func(b *box) bool { return b.id == id })]
}

// some draws a job that satisfies the condition, or skips the action.
func (m *machine) some(t *rapid.T, condition func(*job) bool) *job {
	var found []*job
	for _, j := range m.jobs {
		if condition(j) {
			found = append(found, j)
		}
	}
	if len(found) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(found).Draw(t, "job")
}
