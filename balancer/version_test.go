package balancer_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/promoter"
)

// versions returns a State with four targets of v1 and of v2.
func versions() *balancer.State {
	s := balancer.New(balancer.Settings{Host: "h1", Zone: "z", ColdUnlimited: true})
	s.SetHostCount(1)
	for i := range 8 {
		s.Register(target(i))
	}
	return s
}

func target(i int) sd.TargetRegistration {
	return sd.TargetRegistration{
		ID: sd.TargetID(fmt.Sprint("t", i)), Pool: "p", Address: sd.Address(fmt.Sprint("a:", i)), Zone: "z", Slots: 2, Version: []sd.Version{"v1", "v2"}[i%2],
	}
}

func isNew(req *balancer.Request) bool { return (req.Target[1]-'0')%2 == 1 }

// Guards against a new version that gets more than its share of a host's requests, whatever target
// they prefer, and however they end.
func TestShareOfAVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := versions()
		split := promoter.Split{Mode: promoter.Shared, Order: 1, To: "v2", Share: rapid.Float64Range(0, 0.2).Draw(t, "share"), Extra: rapid.Float64Range(0, 3).Draw(t, "extra")}
		var running []*balancer.Request
		all, fresh := 0, 0
		for i := range 400 {
			now := sd.Instant(3_600_000 + 10*i)
			s.SetSplit(now, "p", split)
			req := &balancer.Request{
				Pool: "p", Rule: rapid.SampledFrom([]sd.RouteName{"a", "b"}).Draw(t, "rule"), StartDeadline: now,
				PreferredTarget: rapid.SampledFrom([]sd.TargetID{"", "t0", "t1"}).Draw(t, "preferred"), Affinity: rapid.Uint64Range(0, 3).Draw(t, "affinity"),
			}
			if s.Submit(now, req) && req.Target != "" {
				if running = append(running, req); isNew(req) {
					fresh++
				}
				all++
			}
			for len(running) > 6 {
				s.Done(now, running[0], rapid.SampledFrom([]balancer.Result{balancer.Served, balancer.Failed, balancer.Abandoned}).Draw(t, "result"), 20)
				running = running[1:]
			}
			if float64(fresh) > split.Share*float64(all)+split.Extra+1e-9 {
				t.Fatalf("%d of %d requests with share %.3f and %.1f more", fresh, all, split.Share, split.Extra)
			}
		}
		report := s.RolloutReport("p")
		old := 0
		for _, req := range running {
			if !isNew(req) {
				old++
			}
		}
		if report.OldInflight != uint64(old) {
			t.Fatalf("%d in flight on the old version are reported, want %d", report.OldInflight, old)
		}
	})
}

// Guards against requests for the wrong version in each mode, against queued requests that stay
// with the old version, and against a pool that serves nothing as one version has no targets.
func TestModesOfASplit(t *testing.T) {
	const now = sd.Instant(3_600_000)
	for _, c := range []struct {
		mode             promoter.Mode
		toNew, toOld     bool
		aloneNew, aloneO bool
	}{
		{promoter.Ordinary, true, true, true, true},
		{promoter.OldOnly, false, true, false, true},
		{promoter.OldFirst, false, true, true, true},
		{promoter.NewFirst, true, false, true, true},
	} {
		for _, targets := range []int{-1, 0, 1} {
			s := versions()
			want := [2]bool{c.toOld, c.toNew}
			switch targets {
			case 0:
				want = [2]bool{c.aloneO, false}
			case 1:
				want = [2]bool{false, c.aloneNew}
			}
			for i := range 8 {
				if targets >= 0 && i%2 != targets {
					s.Remove(target(i).ID)
				}
			}
			s.SetSplit(now, "p", promoter.Split{Mode: c.mode, Order: 1, To: "v2"})
			var got [2]bool
			for range 64 {
				req := &balancer.Request{Pool: "p", StartDeadline: now, PreferredTarget: "t0"}
				if s.Submit(now, req); req.Target != "" {
					if isNew(req) {
						got[1] = true
					} else {
						got[0] = true
					}
				}
			}
			if got != want {
				t.Errorf("mode %d, only targets %d: old and new got requests: %v, want %v", c.mode, targets, got, want)
			}
		}
	}
	s := versions()
	s.SetSplit(now, "p", promoter.Split{Order: 1, To: "v3", Barred: []sd.Version{"v2"}})
	for range 20 {
		req := &balancer.Request{Pool: "p", StartDeadline: now, PreferredTarget: "t1"}
		if s.Submit(now, req); req.Target != "" && isNew(req) {
			t.Fatal("a barred version got a request")
		}
	}
	s = versions()
	s.SetSplit(now, "p", promoter.Split{Mode: promoter.OldOnly, Order: 1, To: "v2"})
	var last *balancer.Request
	for range 9 {
		last = &balancer.Request{Pool: "p", StartDeadline: now + 1000}
		s.Submit(now, last)
	}
	if last.Target != "" {
		t.Fatal("no request was queued")
	}
	s.SetSplit(now, "p", promoter.Split{Mode: promoter.NewFirst, Order: 1, To: "v2"})
	if s.DispatchQueued(now + 1); !isNew(last) {
		t.Errorf("a queued request went to %s after the move", last.Target)
	}
}
