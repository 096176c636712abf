package scheduler_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

// warmCell returns a cell whose targets need no warm-up and have reported.
func warmCell(settings scheduler.Settings, targets int, size sapphiredrum.Slots) *scheduler.Cell {
	settings.MaxReportAge, settings.SendTimeout, settings.Lease = 1, 1, sapphiredrum.Hour
	cell := scheduler.New(0, settings)
	var members []scheduler.Member
	for i := range targets {
		id := sapphiredrum.TargetID(fmt.Sprint("t", i))
		members = append(members, scheduler.Member{Target: sapphiredrum.Target{ID: id, Slots: size, ColdSlots: size}})
	}
	cell.SetTargets(0, members)
	for _, m := range members {
		cell.Report(10, sapphiredrum.Load{Target: m.Target.ID, Incarnation: 1})
	}
	return cell
}

// TestNaiveQueue checks that with one workspace, one tier and the order fcfs, the
// cell grants the same calls as a plain FIFO queue.
func TestNaiveQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets, size := rapid.IntRange(1, 3).Draw(t, "targets"), rapid.IntRange(0, 4).Draw(t, "size")
		cell := warmCell(scheduler.Settings{Policy: sapphiredrum.Policy{
			Order: "fcfs", AgingLimit: sapphiredrum.Millis(rapid.IntRange(1, 5000).Draw(t, "wait")), MaxQueueTime: sapphiredrum.Hour,
		}}, targets, sapphiredrum.Slots(size))
		now := sapphiredrum.Instant(10)
		var queue []sapphiredrum.StreamID
		permits := make(map[sapphiredrum.StreamID]scheduler.PermitNumber)
		var running []sapphiredrum.StreamID
		made := 0
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(*rapid.T) {
				made++
				name := sapphiredrum.StreamID(fmt.Sprint("c", made))
				cell.Submit(now, scheduler.Request{Call: name, Program: sapphiredrum.ProgramID(name), Workspace: "w", Prompt: 100, MaxTokens: 10})
				queue = append(queue, name)
			},
			"withdraw": func(t *rapid.T) {
				if len(queue) > 0 {
					place := rapid.IntRange(0, len(queue)-1).Draw(t, "place")
					cell.Withdraw(now, queue[place])
					queue = slices.Delete(queue, place, place+1)
				}
			},
			"done": func(t *rapid.T) {
				if len(running) > 0 {
					place := rapid.IntRange(0, len(running)-1).Draw(t, "place")
					cell.Done(now, permits[running[place]], scheduler.Usage{Prompt: 100, Answer: 10})
					running = slices.Delete(running, place, place+1)
				}
			},
			"tick": func(t *rapid.T) {
				now = now.Add(sapphiredrum.Millis(rapid.IntRange(0, 2000).Draw(t, "span")))
				var want, got []sapphiredrum.StreamID
				for len(queue) > 0 && len(running) < targets*size {
					want, running, queue = append(want, queue[0]), append(running, queue[0]), queue[1:]
				}
				for _, decision := range cell.Tick(now) {
					granted := decision.(scheduler.Granted)
					permits[granted.Call] = granted.Permit
					got = append(got, granted.Call)
				}
				if !slices.Equal(got, want) {
					t.Fatalf("granted %v, naive queue %v", got, want)
				}
			},
		})
	})
}

// charge is service that a workspace received at a point in time.
type charge struct {
	workspace sapphiredrum.WorkspaceID
	at        sapphiredrum.Instant
	tokens    float64
}

// TestRefusalByShare checks that no workspace within its share is refused while
// another exceeds its own, and that the refused one is always the one that exceeds
// its share the most among those with waiting calls.
func TestRefusalByShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cell := warmCell(scheduler.Settings{Policy: sapphiredrum.Policy{
			Order: rapid.SampledFrom([]string{"attained", "working", "share"}).Draw(t, "order"), MaxQueueTime: 4 * sapphiredrum.Second,
		}}, 2, 2)
		now := sapphiredrum.Instant(10)
		var charges []charge
		waiting := make(map[sapphiredrum.StreamID]sapphiredrum.WorkspaceID)
		running := make(map[scheduler.PermitNumber]sapphiredrum.WorkspaceID)
		var permits []scheduler.PermitNumber
		made := 0
		check := func(t *rapid.T, refused sapphiredrum.WorkspaceID) {
			served, active := make(map[sapphiredrum.WorkspaceID]float64), make(map[sapphiredrum.WorkspaceID]bool)
			for _, w := range waiting {
				active[w] = true
			}
			for _, w := range running {
				active[w] = true
			}
			active[refused] = true
			total := 0.0
			for _, c := range charges {
				served[c.workspace] += c.tokens * math.Exp2(-float64(now.Since(c.at))/30000)
			}
			for w := range active {
				total += served[w]
			}
			even := total / float64(len(active))
			for w := range active {
				if served[w] > even+2 && served[refused] <= even-2 {
					t.Fatalf("%s refused at %.0f while %s has %.0f of even %.0f", refused, served[refused], w, served[w], even)
				}
			}
			for _, w := range waiting {
				if served[w] > served[refused]+2 {
					t.Fatalf("%s refused at %.0f while waiting %s has %.0f", refused, served[refused], w, served[w])
				}
			}
		}
		tick := func(t *rapid.T) {
			for _, decision := range cell.Tick(now) {
				switch d := decision.(type) {
				case scheduler.Granted:
					workspace := waiting[d.Call]
					charges = append(charges, charge{workspace: workspace, at: now, tokens: 1000/20 + 200})
					running[d.Permit] = workspace
					permits = append(permits, d.Permit)
					delete(waiting, d.Call)
				case scheduler.Refused:
					check(t, waiting[d.Call])
					delete(waiting, d.Call)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				workspace := sapphiredrum.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c", "flood", "flood", "flood"}).Draw(t, "workspace"))
				for range rapid.IntRange(1, 5).Draw(t, "count") {
					made++
					name := sapphiredrum.StreamID(fmt.Sprint("c", made))
					request := scheduler.Request{Call: name, Program: sapphiredrum.ProgramID(name), Workspace: workspace, Prompt: 1000, MaxTokens: 400}
					if cell.Submit(now, request).Refusal != nil {
						check(t, workspace)
						continue
					}
					waiting[name] = workspace
					tick(t)
				}
			},
			"tick": func(t *rapid.T) {
				tick(t)
				now = now.Add(sapphiredrum.Millis(rapid.IntRange(0, 3000).Draw(t, "span")))
			},
			"done": func(t *rapid.T) {
				for range min(len(permits), rapid.IntRange(0, 4).Draw(t, "count")) {
					cell.Done(now, permits[0], scheduler.Usage{Prompt: 1000, Answer: 200})
					delete(running, permits[0])
					permits = permits[1:]
				}
			},
		})
	})
}

// TestColdWithoutWarning checks that a target counts as cold, although its
// incarnation is unchanged, if its reports no longer show its calls, if calls fail
// consecutively, or if one report says that it is cold.
func TestColdWithoutWarning(t *testing.T) {
	for _, sign := range []string{"lost work", "failures", "report"} {
		cell := scheduler.New(0, scheduler.Settings{Lease: sapphiredrum.Hour})
		cell.SetTargets(0, []scheduler.Member{{Target: sapphiredrum.Target{ID: "t", Slots: 8, ColdSlots: 2, WarmUp: 10000}}})
		now, made := sapphiredrum.Instant(0), 0
		var permits []scheduler.PermitNumber
		step := func(running sapphiredrum.Slots) int {
			now = now.Add(sapphiredrum.Second)
			made++
			cell.Submit(now, scheduler.Request{Call: sapphiredrum.StreamID(fmt.Sprint(made)), Program: "p", Workspace: "w"})
			cell.Report(now, sapphiredrum.Load{Target: "t", Incarnation: 1, Running: running})
			decisions := cell.Tick(now)
			for _, decision := range decisions {
				permits = append(permits, decision.(scheduler.Granted).Permit)
			}
			return len(decisions)
		}
		for range 40 {
			step(sapphiredrum.Slots(len(permits)))
		}
		if len(permits) != 8 {
			t.Fatalf("%d permits when warm", len(permits))
		}
		for i, number := range permits[:7] {
			if sign == "lost work" && i == 0 {
				step(0)
				step(0)
			}
			if sign == "report" && i == 0 {
				cell.Report(now, sapphiredrum.Load{Target: "t", Incarnation: 1, Running: 8, Cold: true})
				cell.Report(now, sapphiredrum.Load{Target: "t", Incarnation: 1, Running: 8})
			}
			cell.Done(now, number, scheduler.Usage{Failed: sign == "failures"})
		}
		permits = permits[7:]
		for range 3 {
			step(0)
		}
		if len(permits) > 2 {
			t.Fatalf("%d permits after the target turned cold, by its %s", len(permits), sign)
		}
	}
}

// TestLateDoneHidesOrphan guards against granting the slot of a call whose Done
// arrives late, after an orphan has taken its place in the reports. The slot stays
// in use until a new report shows the target's calls.
func TestLateDoneHidesOrphan(t *testing.T) {
	cell := scheduler.New(0, scheduler.Settings{})
	cell.SetTargets(0, []scheduler.Member{{Target: sapphiredrum.Target{ID: "t", Slots: 2, ColdSlots: 2}}})
	ask := func(now sapphiredrum.Instant, name sapphiredrum.StreamID) []scheduler.Decision {
		cell.Submit(now, scheduler.Request{Call: name, Program: "p", Workspace: "w"})
		return cell.Tick(now)
	}
	cell.Report(1500, sapphiredrum.Load{Target: "t", Incarnation: 1, Running: 1})
	first := ask(1500, "a")[0].(scheduler.Granted)
	cell.Report(3200, sapphiredrum.Load{Target: "t", Incarnation: 1, Running: 1})
	if len(ask(3200, "b")) != 1 {
		t.Error("a free slot is not granted")
	}
	cell.Done(3300, first.Permit, scheduler.Usage{})
	if decisions := ask(3300, "c"); len(decisions) > 0 {
		t.Errorf("granted a third call on two slots: %+v", decisions)
	}
}

// TestDisplacedOnce guards against a second decision for a displaced call that is
// withdrawn or submitted again before Tick has returned its refusal.
func TestDisplacedOnce(t *testing.T) {
	for _, again := range []bool{false, true} {
		cell := warmCell(scheduler.Settings{Policy: sapphiredrum.Policy{MaxQueueTime: 4 * sapphiredrum.Second}}, 1, 1)
		flood := func(name sapphiredrum.StreamID) *sapphiredrum.Refusal {
			return cell.Submit(10010, scheduler.Request{Call: name, Program: "p", Workspace: "flood", MaxTokens: 400}).Refusal
		}
		cell.Submit(10, scheduler.Request{Call: "f1", Program: "p", Workspace: "flood", MaxTokens: 400})
		cell.Done(10010, cell.Tick(10)[0].(scheduler.Granted).Permit, scheduler.Usage{Answer: 200})
		flood("f2")
		cell.Tick(10010)
		flood("f3")
		cell.Submit(10010, scheduler.Request{Call: "c1", Program: "c", Workspace: "calm"})
		if again && flood("f3") == nil || !again && !cell.Withdraw(10010, "f3") {
			t.Errorf("the displaced call waits on, again %v", again)
		}
		if decisions := cell.Tick(10010); len(decisions) > 0 {
			t.Errorf("second answer %+v, again %v", decisions, again)
		}
	}
}
