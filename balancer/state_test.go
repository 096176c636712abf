package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

func newState(settings balancer.Settings, slots sd.Slots, zones ...sd.ZoneName) *balancer.State {
	settings.Host, settings.Zone = "h1", "z1"
	random := rand.New(rand.NewPCG(1, 1))
	settings.Random = random.IntN
	s := balancer.New(settings)
	for i, z := range zones {
		s.Register(sd.TargetRegistration{
			ID: sd.TargetID("t" + string(rune('a'+i))), Pool: "pool", Address: sd.Address("10.0.0." + string(rune('a'+i)) + ":1"), Zone: z, Slots: slots,
		})
	}
	return s
}

func ticket() *balancer.Request {
	return &balancer.Request{Pool: "pool", StartDeadline: 100000, ProgramDeadline: 50000}
}

// Overload: when the slots run out, running programs go before new ones, and a new program that
// would wait too long is refused at once.
func TestFlashCrowdFinishesWhatHasBegun(t *testing.T) {
	s := newState(balancer.Settings{}, 2, "z1")
	var running []*balancer.Request
	for range 2 {
		req := ticket()
		if !s.Submit(1, req) || req.Target == "" {
			t.Fatal("free slot was not assigned")
		}
		running = append(running, req)
	}
	begin, goOn := ticket(), ticket()
	begin.StartsProgram = true
	if s.Submit(2, begin) || s.Submit(3, goOn) {
		t.Fatal("a full target was assigned")
	}
	s.Done(10, running[0], balancer.Served, 9)
	if settled := s.DispatchQueued(10); len(settled) != 1 || settled[0] != goOn {
		t.Fatal("the freed slot did not go to the program under way")
	}
	for range 10 {
		s.Submit(11, ticket())
	}
	late := ticket()
	late.StartsProgram = true
	if !s.Submit(12, late) || late.RefusalReason != balancer.WaitTooLong || late.ExpectedWait == 0 {
		t.Fatalf("a new program behind ten others: refused %q, wait %d", late.RefusalReason, late.ExpectedWait)
	}
}

// Overload with an urgent tier: urgent tiers go first, and within a tier programs that can still
// meet their deadline go before those that cannot.
func TestQueueOrder(t *testing.T) {
	s := newState(balancer.Settings{}, 1, "z1")
	first := ticket()
	s.Submit(1, first)
	late, onTime, urgent := ticket(), ticket(), ticket()
	late.ProgramDeadline, onTime.ProgramDeadline, urgent.ProgramDeadline = 0, 900, 950
	late.Tier, onTime.Tier, urgent.Tier = 1, 1, 0
	for _, req := range []*balancer.Request{late, onTime, urgent} {
		if s.Submit(2, req) {
			t.Fatal("a full target was assigned")
		}
	}
	now := sd.Instant(10)
	for i, want := range []*balancer.Request{urgent, onTime, late} {
		s.Done(now, first, balancer.Served, 5)
		settled := s.DispatchQueued(now)
		if len(settled) != 1 || settled[0] != want {
			t.Fatalf("step %d: wrong request", i)
		}
		first = want
	}
}

// Zone outage: targets in a zone whose hosts are unreachable get requests only if there is no
// target in another zone.
func TestLostZoneIsAvoided(t *testing.T) {
	s := newState(balancer.Settings{}, 4, "z1", "z2", "z2")
	s.SetUnreachableZones([]sd.ZoneName{"z2"}, 1)
	for range 4 {
		req := ticket()
		if !s.Submit(1, req) || req.Target != "ta" {
			t.Fatalf("sent to %q", req.Target)
		}
	}
	if req := ticket(); s.Submit(1, req) {
		t.Fatalf("the fifth went to %q, refused %q", req.Target, req.RefusalReason)
	}
	s.Remove("ta")
	if req := ticket(); !s.Submit(2, req) || req.Target == "" {
		t.Fatal("no target was tried although only the unreachable zone is left")
	}
}

func TestEvacuatedAndLeavingTargetsGetNothing(t *testing.T) {
	s := newState(balancer.Settings{}, 4, "z1", "z2")
	s.SetEvacuated("z1", true)
	s.Register(sd.TargetRegistration{ID: "tb", Pool: "pool", Address: "10.0.0.b:1", Zone: "z2", Slots: 4, Leaving: true})
	if req := ticket(); !s.Submit(1, req) || req.RefusalReason != balancer.NoTarget {
		t.Fatalf("sent to %q, refused %q", req.Target, req.RefusalReason)
	}
	s.SetEvacuated("z1", false)
	if req := ticket(); !s.Submit(1, req) || req.Target != "ta" {
		t.Fatal("the zone is not used after its evacuation ended")
	}
}

// A target that cannot be connected to gets no requests for a backoff period.
func TestUnreachedTargetRests(t *testing.T) {
	s := newState(balancer.Settings{}, 4, "z1", "z1")
	req := ticket()
	s.Submit(1, req)
	dead := req.Target
	s.Done(2, req, balancer.ConnectFailed, 1)
	for range 4 {
		req := ticket()
		s.Submit(3, req)
		if req.Target == dead {
			t.Fatal("a target that refused the connection was assigned again at once")
		}
	}
}

// Few connections: a target with an existing connection is preferred to an idle one without,
// until it is nearly full.
func TestConnectedTargetsGoFirst(t *testing.T) {
	s := newState(balancer.Settings{Connected: func(a sd.Address) bool { return a == "10.0.0.b:1" }}, 10, "z1", "z1", "z1")
	for i := range 7 {
		req := ticket()
		s.Submit(1, req)
		if req.Target != "tb" {
			t.Fatalf("request %d went to %q", i, req.Target)
		}
	}
	req := ticket()
	s.Submit(1, req)
	if req.Target == "tb" {
		t.Fatal("a nearly full target was preferred for its connection")
	}
}

// Cold fleet: no target gets more requests in any second than its limit, however the requests are
// spread over the hosts and however late the hosts learn of one another. The target has 12 slots
// and takes 100 ms for a request, or has 1000 slots and takes 10 ms; the hosts report to one another
// every 50 to 200 ms.
func TestColdBoundHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, rate = 9, 45
		bound := rate*1.5 + 5
		lag := sd.Millis(rapid.IntRange(50, 200).Draw(t, "lag"))
		slots, takes := sd.Slots(12), sd.Instant(100)
		if rapid.Bool().Draw(t, "fast target") {
			slots, takes = 1000, 10
		}
		states := make([]*balancer.State, hosts)
		for i := range states {
			states[i] = balancer.New(balancer.Settings{
				Host: sd.HostID(string(rune('a' + i))), Zone: "z1", ColdRateFactor: 1.5, ColdSlack: 5, Random: func(int) int { return 0 },
			})
			states[i].Configure([]sd.Pool{{Name: "pool", ColdRate: rate}})
			states[i].Register(sd.TargetRegistration{ID: "t", Pool: "pool", Address: "10.0.0.1:1", Zone: "z1", Slots: slots})
			states[i].SetHostCount(hosts)
		}
		cut := rapid.IntRange(0, hosts-1).Draw(t, "cut")
		pressure := rapid.IntRange(1, 6).Draw(t, "pressure")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var sent []sd.Instant
		running := map[sd.Instant][]func(sd.Instant){}
		for now := sd.Instant(1000); now < 4000; now += 10 {
			for _, done := range running[now] {
				done(now)
			}
			delete(running, now)
			for i, s := range states {
				for range pressure {
					if random.IntN(4) > 0 {
						continue
					}
					req := &balancer.Request{Pool: "pool", StartDeadline: now}
					if s.Submit(now, req) && req.Target != "" {
						sent = append(sent, now)
						end := now + takes
						running[end] = append(running[end], func(at sd.Instant) { s.Done(at, req, balancer.Served, 100) })
					}
				}
				if (now+sd.Instant(i)*17)%sd.Instant(lag) < 10 && i != cut {
					inflight, recent := s.LocalLoad(now)
					for j, other := range states {
						if j != i && j != cut {
							other.ReportPeerLoad(now, sd.HostID(string(rune('a'+i))), inflight, recent)
						}
					}
				}
			}
		}
		first := 0
		for i, at := range sent {
			for at-sent[first] >= 1000 {
				first++
			}
			if n := i - first + 1; float64(n) > bound {
				t.Fatalf("%d requests in a second, bound %.0f", n, bound)
			}
		}
	})
}

// A new instance of a target under the same ID starts without requests in flight.
func TestBornAnewBeginsEmpty(t *testing.T) {
	s := newState(balancer.Settings{}, 1, "z1")
	old := ticket()
	s.Submit(1, old)
	again := sd.TargetRegistration{ID: "ta", Pool: "pool", Address: "10.0.0.a:1", Zone: "z1", Slots: 1, Incarnation: 7}
	if !s.Register(again) || s.Register(again) {
		t.Fatal("a new instance was not distinguished from the known one")
	}
	if req := ticket(); !s.Submit(2, req) || req.Target != "ta" {
		t.Fatal("the slot of the new instance is not free")
	}
}

// The load reported by other hosts counts.
func TestOthersLoadCounts(t *testing.T) {
	s := newState(balancer.Settings{}, 2, "z1", "z1")
	s.ReportPeerLoad(1, "h2", map[gossiper.IDHash]int{gossiper.HashID(sd.TargetID("ta")): 2}, nil)
	for range 2 {
		req := ticket()
		if s.Submit(2, req); req.Target != "tb" {
			t.Fatalf("sent to %q", req.Target)
		}
	}
}

// Zone outage in a large fleet: 79 hosts, which report to one another every 0.5 to 1.2 s, all send
// to one target when the load of a lost zone moves to the others. The target's limit must hold.
func TestColdBoundHoldsInALargeFleet(t *testing.T) {
	const hosts, rate = 79, 28
	bound := rate*1.5 + 5
	random := rand.New(rand.NewPCG(90975826843, 1))
	states := make([]*balancer.State, hosts)
	next := make([]sd.Instant, hosts)
	for i := range states {
		states[i] = balancer.New(balancer.Settings{
			Host: sd.HostID(fmt.Sprint("h", i)), Zone: "z1", ColdRateFactor: 1.5, ColdSlack: 5, Random: func(int) int { return 0 },
		})
		states[i].Configure([]sd.Pool{{Name: "pool", ColdRate: rate}})
		states[i].Register(sd.TargetRegistration{ID: "t", Pool: "pool", Address: "10.0.0.1:1", Zone: "z1", Slots: 6})
		states[i].SetHostCount(hosts)
		next[i] = sd.Instant(random.IntN(900))
	}
	var sent []sd.Instant
	running := map[sd.Instant][]func(sd.Instant){}
	for now := sd.Instant(1000); now < 8000; now += 10 {
		demand := 0.15
		if now >= 5000 {
			demand = 1.5
		}
		for _, done := range running[now] {
			done(now)
		}
		delete(running, now)
		for i, s := range states {
			if random.Float64() < demand/hosts {
				req := &balancer.Request{Pool: "pool", StartDeadline: now}
				if s.Submit(now, req) && req.Target != "" {
					sent = append(sent, now)
					running[now+100] = append(running[now+100], func(at sd.Instant) { s.Done(at, req, balancer.Served, 100) })
				}
			}
			if now >= next[i] {
				next[i] = now + sd.Instant(530+random.IntN(700))
				inflight, recent := s.LocalLoad(now)
				for j, other := range states {
					if j != i {
						other.ReportPeerLoad(now, sd.HostID(fmt.Sprint("h", i)), inflight, recent)
					}
				}
			}
		}
	}
	first, most := 0, 0
	for i, at := range sent {
		for at-sent[first] >= 1000 {
			first++
		}
		most = max(most, i-first+1)
	}
	if float64(most) > bound {
		t.Fatalf("%d requests in a second, bound %.0f", most, bound)
	}
}

// Overload in a large fleet: from the third second on, 79 hosts ask for six tenths of what 44 cold
// targets may get. Nine of ten requests must get a target at once.
func TestColdBoundLeavesRoomForACrowd(t *testing.T) {
	const hosts, targets, rate = 79, 44, 28
	zone := func(i int) sd.ZoneName { return sd.ZoneName(fmt.Sprint("z", i%4)) }
	bound := rate*1.5 + 5
	random := rand.New(rand.NewPCG(7, 1))
	states := make([]*balancer.State, hosts)
	next := make([]sd.Instant, hosts)
	for i := range states {
		states[i] = balancer.New(balancer.Settings{
			Host: sd.HostID(fmt.Sprint("h", i)), Zone: zone(i), ColdRateFactor: 1.5, ColdSlack: 5, Random: random.IntN,
		})
		states[i].Configure([]sd.Pool{{Name: "pool", ColdRate: rate}})
		for j := range targets {
			states[i].Register(sd.TargetRegistration{ID: sd.TargetID(fmt.Sprint("t", j)), Pool: "pool", Address: sd.Address(fmt.Sprint("10.0.0.", j, ":1")), Zone: zone(j), Slots: 6})
		}
		states[i].SetHostCount(hosts)
		next[i] = sd.Instant(1000 + random.IntN(900))
	}
	asked, granted := 0, 0
	running := map[sd.Instant][]func(sd.Instant){}
	for now := sd.Instant(1000); now < 6000; now += 10 {
		demand := 0.2
		if now >= 3000 {
			demand = 0.6
		}
		for _, done := range running[now] {
			done(now)
		}
		delete(running, now)
		for i, s := range states {
			for each := demand * bound * targets / hosts / 100; each > 0; each-- {
				if random.Float64() >= each {
					continue
				}
				req := &balancer.Request{Pool: "pool", StartDeadline: now}
				ok := s.Submit(now, req) && req.Target != ""
				if now >= 3000 {
					asked++
				}
				if ok {
					if now >= 3000 {
						granted++
					}
					running[now+60] = append(running[now+60], func(at sd.Instant) { s.Done(at, req, balancer.Served, 60) })
				} else {
					s.Cancel(req)
				}
			}
			if now >= next[i] {
				next[i] = now + sd.Instant(530+random.IntN(700))
				inflight, recent := s.LocalLoad(now)
				for j, other := range states {
					if j != i {
						other.ReportPeerLoad(now, sd.HostID(fmt.Sprint("h", i)), inflight, recent)
					}
				}
			}
		}
	}
	if granted*10 < asked*9 {
		t.Fatalf("%d of %d requests got a target at once", granted, asked)
	}
	t.Logf("%d of %d requests got a target at once", granted, asked)
}
