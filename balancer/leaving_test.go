package balancer_test

import (
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

// register registers the target "ta" with an incarnation and an address.
func register(s *balancer.State, incarnation sd.Incarnation, address sd.Address) {
	s.Register(sd.TargetRegistration{ID: "ta", Pool: "pool", Address: address, Zone: "z1", Slots: 4, Incarnation: incarnation})
}

// Guards against a target getting requests after it has announced that it leaves, while the
// store is away or its registration says otherwise.
func TestTargetThatAnnouncedThatItLeavesGetsNothing(t *testing.T) {
	s := newState(balancer.Settings{}, 4, "z1", "z1")
	sent, other := ticket(), ticket()
	sent.PreferredTarget, other.PreferredTarget = "ta", "tb"
	if !s.Submit(1, sent) || sent.Target != "ta" || !s.Submit(1, other) {
		t.Fatalf("sent to %q and %q", sent.Target, other.Target)
	}
	if !s.MarkLeaving(2, sent) || s.MarkLeaving(3, sent) {
		t.Error("only the first announcement of an instance is new")
	}
	now := sd.Instant(4)
	expect := func(when string, want sd.TargetID) {
		t.Helper()
		req := ticket()
		req.PreferredTarget = "ta"
		if !s.Submit(now, req) || req.Target != want {
			t.Errorf("%s: sent to %q, refused %q", when, req.Target, req.RefusalReason)
			return
		}
		s.Done(now, req, balancer.Served, 1)
	}
	expect("while it is registered", "tb")
	register(s, 0, "10.0.0.a:1")
	expect("after its registration was renewed", "tb")
	s.Remove("ta")
	now = now.Add(sd.Minute)
	register(s, 0, "10.0.0.a:1")
	expect("after its registration lapsed and came back", "tb")
	register(s, 7, "10.0.0.a:1")
	expect("after its next start", "ta")
	register(s, 0, "10.0.0.a:1")
	expect("after its old registration came back", "tb")
	register(s, 0, "10.0.0.c:1")
	expect("after a start at another address", "ta")
	s.Remove("tb")
	s.Remove("ta")
	s.Register(sd.TargetRegistration{ID: "tc", Pool: "pool", Address: "10.0.0.a:1", Zone: "z1", Slots: 4})
	expect("another target at its address", "tc")
}

// Guards against a late answer of an earlier start marking the next one.
func TestLateAnnouncementDoesNotConcernTheNextStart(t *testing.T) {
	s := newState(balancer.Settings{}, 4, "z1")
	sent := ticket()
	s.Submit(1, sent)
	register(s, 7, "10.0.0.a:1")
	s.MarkLeaving(2, sent)
	if next := ticket(); !s.Submit(3, next) || next.Target != "ta" {
		t.Errorf("sent to %q, refused %q", next.Target, next.RefusalReason)
	}
}

// Guards against requests waiting for a pool whose last target leaves.
func TestRequestsAreRefusedAsTheLastTargetLeaves(t *testing.T) {
	s := newState(balancer.Settings{}, 1, "z1")
	sent, queued := ticket(), ticket()
	if !s.Submit(1, sent) || s.Submit(1, queued) {
		t.Fatal("one request is sent, the other one queued")
	}
	s.MarkLeaving(2, sent)
	if settled := s.DispatchQueued(2); len(settled) != 1 || queued.RefusalReason != balancer.NoTarget {
		t.Errorf("%d settled, sent to %q, refused %q", len(settled), queued.Target, queued.RefusalReason)
	}
	for _, starts := range []bool{false, true} {
		late := ticket()
		late.StartsProgram = starts
		if !s.Submit(3, late) || late.RefusalReason != balancer.NoTarget {
			t.Errorf("sent to %q, refused %q", late.Target, late.RefusalReason)
		}
	}
}

// Guards against the list of instances that have left growing for ever.
func TestInstancesThatHaveLeftAreForgotten(t *testing.T) {
	s := newState(balancer.Settings{}, 4, "z1")
	sent := ticket()
	s.Submit(1, sent)
	s.MarkLeaving(1, sent)
	now := sd.Instant(0).Add(sd.Hour)
	if req := ticket(); !s.Submit(now, req) || req.RefusalReason != balancer.NoTarget {
		t.Fatalf("sent to %q while its instance is still registered", req.Target)
	}
	s.Remove("ta")
	s.LocalLoad(now.Add(11 * sd.Minute))
	register(s, 0, "10.0.0.a:1")
	if !s.MarkLeaving(now, sent) {
		t.Error("the instance is still known")
	}
}
