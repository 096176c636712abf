package scheduler_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

func (m *simulation) arrive(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "count") {
		j := &simCall{
			name:   sapphiredrum.StreamID(fmt.Sprintf("p%d.%d", rapid.IntRange(0, 9).Draw(t, "program"), len(m.calls))),
			keeper: m.keepers[rapid.IntRange(0, 1).Draw(t, "keeper")],
			tier:   sapphiredrum.Tier(rapid.IntRange(0, 2).Draw(t, "tier")),
			asked:  m.now, order: len(m.calls), waiting: true,
		}
		if rapid.IntRange(0, 3).Draw(t, "limited") == 0 {
			j.deadline = m.now.Add(sapphiredrum.Millis(rapid.IntRange(1, 40000).Draw(t, "deadline")))
		}
		refusal := m.ask(j).Refusal
		hurried := refusal != nil && refusal.Reason == sapphiredrum.Overloaded && j.deadline > 0
		if (refusal != nil) != m.closed() && !hurried {
			t.Fatalf("refusal %v while closed is %v", refusal, m.closed())
		}
		j.waiting = refusal == nil
		m.calls = append(m.calls, j)
	}
}

func (m *simulation) askAgain(t *rapid.T) {
	j := m.drawCall(t, func(j *simCall) bool { return j.waiting && !j.keeperDead })
	j.waiting = m.ask(j).Refusal == nil
}

func (m *simulation) withdraw(t *rapid.T) {
	j := m.drawCall(t, func(j *simCall) bool { return (j.waiting || j.unsent) && !j.keeperDead })
	if j.epoch == m.epoch || j.waiting {
		m.cell.Withdraw(m.now, j.name)
		j.outstanding = false
	}
	j.withdrawn, j.waiting, j.unsent = true, false, false
}

// finish ends a call at its target. Its Done is delivered, delayed or lost.
func (m *simulation) finish(t *rapid.T) {
	j := m.drawCall(t, func(j *simCall) bool { return j.running })
	j.running = false
	if rapid.IntRange(0, 3).Draw(t, "lost") > 0 && !j.keeperDead {
		m.deliverDone(t, j)
	}
}

func (m *simulation) late(t *rapid.T) {
	m.deliverDone(t, m.drawCall(t, func(j *simCall) bool { return j.permit > 0 && !j.running && !j.unsent && !j.keeperDead }))
}

// deliverDone delivers Done twice for a call that has ended.
func (m *simulation) deliverDone(t *rapid.T, j *simCall) {
	usage := scheduler.Usage{Prompt: 1000, Answer: 50, Failed: rapid.IntRange(0, 9).Draw(t, "failed") == 0}
	m.cell.Done(m.now, j.permit, usage)
	if m.cell.Done(m.now, j.permit, usage) {
		t.Fatalf("Done of %s counted twice", j.name)
	}
	j.outstanding = false
}

// uncertain ends a permit while the target may still be running the call.
func (m *simulation) uncertain(t *rapid.T) {
	j := m.drawCall(t, func(j *simCall) bool { return j.running && j.outstanding && !j.keeperDead })
	m.cell.Done(m.now, j.permit, scheduler.Usage{Failed: true, Uncertain: true})
	j.outstanding = false
}

func (m *simulation) renew(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	for _, keeper := range m.keepers {
		m.beat(t, keeper)
	}
}

// beat delivers a keeper's heartbeat.
func (m *simulation) beat(t *rapid.T, keeper sapphiredrum.HostID) {
	m.heard[keeper] = m.now
	var numbers []scheduler.PermitNumber
	for _, j := range m.calls {
		if j.keeper == keeper && (j.running || j.unsent) && j.outstanding && !j.keeperDead {
			numbers = append(numbers, j.permit)
			j.renewed = m.now
		}
	}
	if unknown := m.cell.Renew(m.now, keeper, numbers); len(unknown) > 0 {
		t.Fatalf("permits %v of %s unknown", unknown, keeper)
	}
}

// report delivers load reports no older than lag, in any order, some of them twice.
func (m *simulation) report(t *rapid.T) {
	for _, b := range m.targets {
		if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
			continue
		}
		age := sapphiredrum.Millis(rapid.IntRange(0, int(lag)).Draw(t, "age"))
		for i := len(b.history) - 1; i >= 0; i-- {
			if m.now.Since(b.history[i].at) >= age || i == 0 {
				place := i
				if m.now.Since(b.history[i].at) > lag {
					place = min(i+1, len(b.history)-1)
				}
				m.deliverReport(b, b.history[place].load)
				break
			}
		}
	}
}

// deliverReport delivers a load report and updates the warm-up oracle.
func (m *simulation) deliverReport(b *simTarget, load sapphiredrum.Load) {
	if !b.reported || b.heard != load.Incarnation || load.Cold && !b.reportedCold {
		b.warmUpTime = 0
	}
	b.reported, b.heard, b.reportedCold = true, load.Incarnation, load.Cold
	m.cell.Report(m.now, load)
}

// restart makes a target cold without warning and drops its calls.
func (m *simulation) restart(t *rapid.T) {
	b := rapid.SampledFrom(m.targets).Draw(t, "target")
	// Some targets turn cold within one process, and then say so.
	b.cold = rapid.Bool().Draw(t, "says")
	if !b.cold || rapid.Bool().Draw(t, "anew") {
		b.process++
	}
	for _, j := range m.calls {
		if j.target == b {
			j.running = false
		}
	}
}

func (m *simulation) warm(t *rapid.T) {
	rapid.SampledFrom(m.targets).Draw(t, "target").cold = false
}

func (m *simulation) close(t *rapid.T) {
	b := rapid.SampledFrom(m.targets).Draw(t, "target")
	b.closed = !b.closed
	if !b.closed {
		b.warmUpTime = 0
	}
	m.setTargets()
}

// killKeeper ends a keeper's process; its calls may continue. The guard learns of
// it at once, or only because permits are not renewed.
func (m *simulation) killKeeper(t *rapid.T) {
	place := rapid.IntRange(0, 1).Draw(t, "keeper")
	keeper := m.keepers[place]
	m.keepers[place] = keeper + "x"
	told := rapid.Bool().Draw(t, "told")
	for _, j := range m.calls {
		if j.keeper != keeper {
			continue
		}
		if j.unsent {
			j.unsent, j.running = false, rapid.Bool().Draw(t, "sent")
		}
		j.keeperDead = true
		if told {
			j.waiting, j.outstanding = false, false
		}
	}
	if told {
		m.cell.RemoveKeeper(m.now, keeper)
	}
}

func (m *simulation) events(t *rapid.T) {
	b := rapid.SampledFrom(m.targets).Draw(t, "target")
	m.cell.CacheEvents(m.now, b.id, []sapphiredrum.CacheEvent{{
		Number:  uint64(rapid.IntRange(0, 100).Draw(t, "number")),
		Program: sapphiredrum.ProgramID(fmt.Sprint("p", rapid.IntRange(0, 9).Draw(t, "program"))),
		Tokens:  sapphiredrum.Tokens(rapid.IntRange(0, 1000).Draw(t, "tokens")),
	}})
}

// settle ends all faults and checks that no call is lost.
func (m *simulation) settle(t *rapid.T) {
	for _, b := range m.targets {
		b.closed, b.cold = false, false
	}
	m.setTargets()
	for range 600 {
		for _, j := range m.calls {
			if j.running {
				j.running = false
				if !j.keeperDead {
					m.cell.Done(m.now, j.permit, scheduler.Usage{Prompt: 1000, Answer: 50})
					j.outstanding = false
				}
			}
		}
		for _, keeper := range m.keepers {
			m.beat(t, keeper)
		}
		m.advance(t, 500, false)
		for _, b := range m.targets {
			m.deliverReport(b, b.history[len(b.history)-1].load)
		}
		if m.cell.Waiting() == 0 {
			break
		}
	}
	for _, j := range m.calls {
		if j.waiting {
			t.Fatalf("%s is lost: waits for ever", j.name)
		}
	}
}

// repeats multiplies the length of each case given by the flag -rapid.steps.
const repeats = 10

// TestCell checks, with messages lost, delayed or repeated, that no target gets
// more calls than it can run according to the reports delivered, that no call is
// lost or granted twice, and that none is passed over beyond the documented bound.
func TestCell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		pass := func(t *rapid.T) { m.advance(t, sapphiredrum.Millis(100*rapid.IntRange(1, 30).Draw(t, "span")), false) }
		freeze := func(t *rapid.T) { m.advance(t, sapphiredrum.Millis(100*rapid.IntRange(1, 200).Draw(t, "span")), true) }
		rare := func(action func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				if rapid.IntRange(0, 5).Draw(t, "rare") > 0 {
					t.Skip("rare")
				}
				action(t)
			}
		}
		actions := map[string]func(*rapid.T){
			"pass": pass, "pass more": pass, "pass again": pass, "pass on": pass,
			"arrive": m.arrive, "ask again": m.askAgain, "withdraw": rare(m.withdraw),
			"finish": m.finish, "finish more": m.finish, "late done": m.late, "uncertain": rare(m.uncertain),
			"renew": m.renew, "renew more": m.renew, "renew again": m.renew,
			"report": m.report, "report more": m.report, "report again": m.report, "report on": m.report,
			"restart": rare(m.restart), "warm": m.warm, "close": rare(m.close), "keeper dies": rare(m.killKeeper), "other dies": rare(m.killKeeper),
			"guard freezes": rare(freeze), "guard changes": rare(func(*rapid.T) { m.takeOver() }), "cache events": m.events,
		}
		for range repeats {
			t.Repeat(actions)
		}
		m.settle(t)
	})
}
