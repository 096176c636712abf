package scheduler_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

func (m *machine) arrive(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "count") {
		j := &job{
			name:   sapphiredrum.StreamID(fmt.Sprintf("p%d.%d", rapid.IntRange(0, 9).Draw(t, "program"), len(m.jobs))),
			keeper: m.living[rapid.IntRange(0, 1).Draw(t, "keeper")],
			tier:   sapphiredrum.Tier(rapid.IntRange(0, 2).Draw(t, "tier")),
			asked:  m.now, order: len(m.jobs), waiting: true,
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
		m.jobs = append(m.jobs, j)
	}
}

func (m *machine) askAgain(t *rapid.T) {
	j := m.some(t, func(j *job) bool { return j.waiting && !j.dead })
	j.waiting = m.ask(j).Refusal == nil
}

func (m *machine) withdraw(t *rapid.T) {
	j := m.some(t, func(j *job) bool { return (j.waiting || j.unsent) && !j.dead })
	if j.epoch == m.epoch || j.waiting {
		m.cell.Withdraw(m.now, j.name)
		j.booked = false
	}
	j.withdrawn, j.waiting, j.unsent = true, false, false
}

// finish ends a call at its target; Done arrives, comes twice, comes late or never.
func (m *machine) finish(t *rapid.T) {
	j := m.some(t, func(j *job) bool { return j.running })
	j.running = false
	if rapid.IntRange(0, 3).Draw(t, "lost") > 0 && !j.dead {
		m.tell(t, j)
	}
}

func (m *machine) late(t *rapid.T) {
	m.tell(t, m.some(t, func(j *job) bool { return j.permit > 0 && !j.running && !j.unsent && !j.dead }))
}

// tell delivers Done for a call that has ended.
func (m *machine) tell(t *rapid.T, j *job) {
	usage := scheduler.Usage{Prompt: 1000, Answer: 50, Failed: rapid.IntRange(0, 9).Draw(t, "failed") == 0}
	m.cell.Done(m.now, j.permit, usage)
	if m.cell.Done(m.now, j.permit, usage) {
		t.Fatalf("Done of %s counted twice", j.name)
	}
	j.booked = false
}

// uncertain ends a permit while the target may go on running the call.
func (m *machine) uncertain(t *rapid.T) {
	j := m.some(t, func(j *job) bool { return j.running && j.booked && !j.dead })
	m.cell.Done(m.now, j.permit, scheduler.Usage{Failed: true, Uncertain: true})
	j.booked = false
}

func (m *machine) renew(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	for _, keeper := range m.living {
		m.beat(t, keeper)
	}
}

// beat delivers a keeper's heartbeat.
func (m *machine) beat(t *rapid.T, keeper sapphiredrum.HostID) {
	m.heard[keeper] = m.now
	var numbers []scheduler.PermitNumber
	for _, j := range m.jobs {
		if j.keeper == keeper && (j.running || j.unsent) && j.booked && !j.dead {
			numbers = append(numbers, j.permit)
			j.renewed = m.now
		}
	}
	if unknown := m.cell.Renew(m.now, keeper, numbers); len(unknown) > 0 {
		t.Fatalf("permits %v of %s unknown", unknown, keeper)
	}
}

// report delivers reports that are at most lag old, in any order, some twice.
func (m *machine) report(t *rapid.T) {
	for _, b := range m.boxes {
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
				m.hear(b, b.history[place].load)
				break
			}
		}
	}
}

// hear delivers a report and tells the oracle's ramp.
func (m *machine) hear(b *box, load sapphiredrum.Load) {
	if !b.heardAny || b.heard != load.Incarnation || load.Cold && !b.said {
		b.worked = 0
	}
	b.heardAny, b.heard, b.said = true, load.Incarnation, load.Cold
	m.cell.Report(m.now, load)
}

// restart turns a target cold without warning; its work is gone.
func (m *machine) restart(t *rapid.T) {
	b := rapid.SampledFrom(m.boxes).Draw(t, "target")
	// Some targets turn cold within one process, and then say so.
	b.cold = rapid.Bool().Draw(t, "says")
	if !b.cold || rapid.Bool().Draw(t, "anew") {
		b.process++
	}
	for _, j := range m.jobs {
		if j.target == b {
			j.running = false
		}
	}
}

func (m *machine) warm(t *rapid.T) {
	rapid.SampledFrom(m.boxes).Draw(t, "target").cold = false
}

func (m *machine) close(t *rapid.T) {
	b := rapid.SampledFrom(m.boxes).Draw(t, "target")
	b.closed = !b.closed
	if !b.closed {
		b.worked = 0
	}
	m.plan()
}

// die ends a keeper's process; its calls may run on. The guard hears of it at
// once, or only through permits that are not renewed.
func (m *machine) die(t *rapid.T) {
	place := rapid.IntRange(0, 1).Draw(t, "keeper")
	keeper := m.living[place]
	m.living[place] = keeper + "x"
	told := rapid.Bool().Draw(t, "told")
	for _, j := range m.jobs {
		if j.keeper != keeper {
			continue
		}
		if j.unsent {
			j.unsent, j.running = false, rapid.Bool().Draw(t, "sent")
		}
		j.dead = true
		if told {
			j.waiting, j.booked = false, false
		}
	}
	if told {
		m.cell.Forget(m.now, keeper)
	}
}

func (m *machine) events(t *rapid.T) {
	b := rapid.SampledFrom(m.boxes).Draw(t, "target")
	m.cell.CacheEvents(m.now, b.id, []sapphiredrum.CacheEvent{{
		Number:  uint64(rapid.IntRange(0, 100).Draw(t, "number")),
		Program: sapphiredrum.ProgramID(fmt.Sprint("p", rapid.IntRange(0, 9).Draw(t, "program"))),
		Tokens:  sapphiredrum.Tokens(rapid.IntRange(0, 1000).Draw(t, "tokens")),
	}})
}

// settle lets everything heal and checks that no call is lost.
func (m *machine) settle(t *rapid.T) {
	for _, b := range m.boxes {
		b.closed, b.cold = false, false
	}
	m.plan()
	for range 600 {
		for _, j := range m.jobs {
			if j.running {
				j.running = false
				if !j.dead {
					m.cell.Done(m.now, j.permit, scheduler.Usage{Prompt: 1000, Answer: 50})
					j.booked = false
				}
			}
		}
		for _, keeper := range m.living {
			m.beat(t, keeper)
		}
		m.advance(t, 500, false)
		for _, b := range m.boxes {
			m.hear(b, b.history[len(b.history)-1].load)
		}
		if m.cell.Waiting() == 0 {
			break
		}
	}
	for _, j := range m.jobs {
		if j.waiting {
			t.Fatalf("%s is lost: waits for ever", j.name)
		}
	}
}

// repeats lengthens each case beyond what the flag -rapid.steps says.
const repeats = 10

// No target gets more than it bears by what its guard was told, whatever is
// lost, late or doubled; no call is lost or granted twice; none is passed over
// beyond the stated bound.
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
			"restart": rare(m.restart), "warm": m.warm, "close": rare(m.close), "keeper dies": rare(m.die), "other dies": rare(m.die),
			"guard freezes": rare(freeze), "guard changes": rare(func(*rapid.T) { m.takeOver() }), "cache events": m.events,
		}
		for range repeats {
			t.Repeat(actions)
		}
		m.settle(t)
	})
}
