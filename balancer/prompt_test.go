package balancer_test

import (
	"fmt"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// Load: a prompt of 20,000 tokens comes every second, each time of another program. Guards against short prompts that queue
// behind it, and against a target that stays avoided once it has read it.
func TestShortPromptsAvoidATargetThatReads(t *testing.T) {
	s := enginePool(1, 6, 6, 60000)
	for round := range sd.Instant(5) {
		now := 1000 + round*1000
		long := submit(t, s, now, balancer.Request{Affinity: 9, PromptKey: uint64(round) + 1, Prompt: 20000, Longest: 100})
		count := func(from sd.Instant) (behind int) {
			for i := range sd.Instant(60) {
				req := submit(t, s, from+i, balancer.Request{Prompt: 500, Longest: 100})
				if req.Target == long.Target {
					behind++
				}
				s.PromptRead(from+i, req)
				s.Done(from+i, req, balancer.Served, 100)
			}
			return behind
		}
		before := count(now)
		if s.PromptRead(now+200, long); s.UnreadTokens() != 0 {
			t.Fatalf("%d unread tokens are left", s.UnreadTokens())
		}
		s.Done(now+300, long, balancer.Served, 300)
		after := count(now + 300)
		if before > 5 {
			t.Errorf("round %d: %d of 60 short prompts went to the target that reads", round, before)
		}
		if after == 0 {
			t.Errorf("round %d: no short prompt went to the target after the long one had ended", round)
		}
	}
}

// Load: long prompts only, more than the targets can read in time. Guards against prompts that wait
// for ever, and against all of them being sent at once.
func TestLongPromptsAreReadOneAfterTheOther(t *testing.T) {
	s := enginePool(1, 2, 6, 400000)
	var waiting, running []*balancer.Request
	for i := range 8 {
		req := &balancer.Request{Pool: "p", Prompt: 16000, Longest: 100, Objective: 300, PromptKey: uint64(i + 1), StartDeadline: 3000}
		if s.Submit(1000, req) {
			running = append(running, req)
		} else {
			waiting = append(waiting, req)
		}
	}
	if len(running) != 2 {
		t.Fatalf("%d prompts of 16,000 tokens were sent at once to 2 targets, which read 30,000 in 300 ms", len(running))
	}
	short := &balancer.Request{Pool: "p", Prompt: 300, Objective: 300, StartDeadline: 3000}
	if !s.Submit(1001, short) || short.Target == "" {
		t.Error("a short prompt waits behind long ones although slots are free")
	}
	for now := sd.Instant(1010); now < 1400; now += 10 {
		s.DispatchQueued(now)
	}
	for _, req := range waiting {
		if req.Target == "" {
			t.Error("a long prompt is held back for longer than the objective")
		}
	}
}

// Load: prompts and outputs in flight approach the memory of an engine, from this host and others.
// Guards against engines that crash, also where other hosts do not report their tokens.
func TestTokensInFlightStayWithinMemory(t *testing.T) {
	const capacity = 60000
	for _, told := range []bool{true, false} {
		s := enginePool(1, 1, 6, capacity)
		first := submit(t, s, 1000, balancer.Request{Prompt: 9000, Longest: 1000})
		code := gossiper.HashID(first.Target)
		s.ReportPeerLoad(1000, "h2", map[gossiper.IDHash]int{code: 3}, nil)
		if told {
			s.ReportPeerTokens(1000, "h2", balancer.Tokens{InFlight: map[gossiper.IDHash]int{code: 30000}})
		}
		sent := 0
		for range 4 {
			req := &balancer.Request{Pool: "p", Prompt: 9500, Longest: 500, StartDeadline: 3000}
			if s.Submit(1001, req) && req.Target != "" {
				sent++
			}
		}
		most := 2
		if !told {
			// The mean of the tokens of one request is not known yet.
			most = 4
		}
		if sent == 0 || sent > most {
			t.Errorf("told %v: %d more requests of 10,000 tokens were sent beside 40,000 of %d", told, sent, capacity)
		}
	}
}

// Load: other hosts' reports are old or lost. Guards against a home that looks full long after the
// requests have ended, so that prompts are read again elsewhere.
func TestOldReportsDoNotFillTheHome(t *testing.T) {
	s := enginePool(1, 6, 6, 60000)
	home := submit(t, s, 1000, balancer.Request{Affinity: 7, PromptKey: 7, Prompt: 5000})
	s.Done(1100, home, balancer.Served, 100)
	code := gossiper.HashID(home.Target)
	for h := range 3 {
		s.ReportPeerLoad(1100, sd.HostID(fmt.Sprint("peer", h)), map[gossiper.IDHash]int{code: 3}, nil)
	}
	if req := submit(t, s, 1101, balancer.Request{Affinity: 7, PromptKey: 7, Prompt: 5300}); req.Target == home.Target {
		t.Error("a home with nine requests that have just been reported was chosen")
	}
	if req := submit(t, s, 1500, balancer.Request{Affinity: 7, PromptKey: 7, Prompt: 5300}); req.Target != home.Target {
		t.Error("a home was left for reports that are 400 ms old, four times as long as a request lasts")
	}
}

// Load: the home of a program is full while other targets are idle. Guards against prompts that are
// read elsewhere at once, and against requests that wait for a home that stays full or is slow.
func TestRequestsWaitBrieflyForTheirHome(t *testing.T) {
	for _, slow := range []bool{false, true} {
		s := enginePool(1, 6, 4, 400000)
		first := submit(t, s, 1000, balancer.Request{Affinity: 7, Objective: 300, Prompt: 2000})
		s.ReportPeerLoad(1001, "h2", map[gossiper.IDHash]int{gossiper.HashID(first.Target): 8}, nil)
		if slow {
			s.ReportWorkTime(1000, first.Target, 300)
		}
		req := &balancer.Request{Pool: "p", Affinity: 7, Objective: 300, Prompt: 2300, StartDeadline: 3000}
		if sent := s.Submit(1001, req); sent != slow || (sent && req.Target == first.Target) {
			t.Errorf("slow %v: sent at once %v, to %q; the home %s is full", slow, sent, req.Target, first.Target)
		}
		if !slow && req.Choice.HeldBy != balancer.HeldBySlots {
			t.Errorf("held by %q", req.Choice.HeldBy)
		}
		s.ReportPeerLoad(1100, "h2", map[gossiper.IDHash]int{gossiper.HashID(first.Target): 8}, nil)
		if s.DispatchQueued(1100); req.Target == "" || req.Target == first.Target {
			t.Errorf("slow %v: after a third of the objective at %q", slow, req.Target)
		}
	}
}

// Load: a work time was reported to another host only. Guards against hosts that each learn of a
// slow target on their own, and against reports that return later than fresher ones.
func TestWorkTimesAreShared(t *testing.T) {
	a, b := enginePool(1, 6, 6, 60000), enginePool(2, 6, 6, 60000)
	home := submit(t, b, 1000, balancer.Request{Affinity: 7})
	b.Done(1000, home, balancer.Abandoned, 0)
	for range 20 {
		a.ReportWorkTime(1000, home.Target, 100)
	}
	a.ReportWorkTime(1010, home.Target, 600)
	b.ReportPeerLoad(1050, "h1", nil, nil)
	b.ReportPeerTokens(1050, "h1", a.LocalTokens(1050))
	if req := submit(t, b, 1060, balancer.Request{Affinity: 7}); req.Target == home.Target {
		t.Error("a target that another host reports as slow was chosen")
	}
	if told := a.LocalTokens(3000); len(told.WorkTimes) != 0 {
		t.Error("an old work time is told to other hosts")
	}
}

// Loads: mixes of long and short prompts in the model of engines. Guards against a choice that is
// worse than that by count, and against either size that starves.
func TestEnginesServeMixesOfPrompts(t *testing.T) {
	for _, c := range []struct {
		load string
		gain float64
	}{{"10% long", 0.03}, {"flood of short", 0.05}, {"flood of long", 0.03}, {"25% long, speeds change", 0}, {"10% long, nine tenths of heartbeats lost", -0.02}} {
		for _, l := range loads {
			if l.name != c.load {
				continue
			}
			before, now := compare(byCount, l, 3), compare(byLimit, l, 3)
			t.Logf("%s: by count %v, now %v", l.name, before, now)
			if now.value < before.value+c.gain {
				t.Errorf("%s: value %.3f, %.3f by count", l.name, now.value, before.value)
			}
			if now.short < before.short-0.05 || now.long < before.long-0.05 {
				t.Errorf("%s: one size of prompts pays: short %.3f, %.3f by count; long %.3f and %.3f", l.name, now.short, before.short, now.long, before.long)
			}
		}
	}
}
