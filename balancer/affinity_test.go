package balancer_test

import (
	"fmt"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

// Load: turns of one program that come through many hosts and name no earlier turn. Guards
// against hosts that each choose another target, which then reads the whole prompt again.
func TestHostsChooseTheSameTargetForAProgram(t *testing.T) {
	const hosts, targets, programs = 20, 15, 200
	used := map[sd.TargetID]int{}
	states := make([]*balancer.State, hosts)
	for h := range states {
		states[h] = balancer.New(balancer.Settings{Host: sd.HostID(fmt.Sprint("h", h)), Zone: "z1"})
		for i := range targets {
			for _, zone := range []sd.ZoneName{"z1", "z2"} {
				id := sd.TargetID(fmt.Sprint(zone, "-", i))
				states[h].Register(sd.TargetRegistration{ID: id, Pool: "p", Address: sd.Address(id), Zone: zone, Slots: 6})
			}
		}
	}
	for program := range programs {
		chosen := sd.TargetID("")
		for h, s := range states {
			req := &balancer.Request{Pool: "p", Affinity: uint64(program + 1), StartDeadline: 1000}
			if !s.Submit(1, req) || req.Target == "" {
				t.Fatalf("host %d: no target", h)
			}
			if chosen != "" && req.Target != chosen {
				t.Fatalf("program %d: host %d chose %s, the others %s", program, h, req.Target, chosen)
			}
			chosen = req.Target
			s.Done(2, req, balancer.Served, 1)
		}
		used[chosen]++
	}
	if len(used) != targets {
		t.Errorf("%d of %d targets of the own zone were used", len(used), targets)
	}
	for id, n := range used {
		if n > 4*programs/targets {
			t.Errorf("%s has %d of %d programs", id, n, programs)
		}
	}
}

// Load: the preferred target of a program is full or gone. Guards against turns that wait for
// it, or that spread over all targets instead of going to the next one in order.
func TestProgramsMoveTogetherFromAFullTarget(t *testing.T) {
	s := balancer.New(balancer.Settings{Host: "h", Zone: "z"})
	for i := range 5 {
		id := sd.TargetID(fmt.Sprint("t", i))
		s.Register(sd.TargetRegistration{ID: id, Pool: "p", Address: sd.Address(id), Zone: "z", Slots: 2})
	}
	var order []sd.TargetID
	for range 10 {
		req := &balancer.Request{Pool: "p", Affinity: 7, StartDeadline: 1000}
		if !s.Submit(1, req) || req.Target == "" {
			t.Fatal("no target although slots are free")
		}
		order = append(order, req.Target)
	}
	for i := 1; i < len(order); i++ {
		if (i%2 == 1) != (order[i] == order[i-1]) {
			t.Fatalf("targets are not filled one after the other: %v", order)
		}
	}
}

// Load: turns of one program that come through hosts of several zones, with prompts that take long to
// read. Guards against a home in each zone, and against one in a zone that is out of reach.
func TestHostsOfAllZonesChooseTheSameEngine(t *testing.T) {
	zones := []sd.ZoneName{"z1", "z2", "z3"}
	var chosen sd.TargetID
	for h, zone := range zones {
		s := balancer.New(balancer.Settings{Host: sd.HostID(fmt.Sprint("h", h)), Zone: zone})
		s.Configure([]sd.Pool{{Name: "p", CacheCapacity: 60000}})
		s.ConfigureRules([]sd.RoutingRule{{Streaming: true, PoolShares: []sd.PoolShare{{Pool: "p", Weight: 1}}}})
		for i := range 12 {
			id := sd.TargetID(fmt.Sprint("t", i))
			s.Register(sd.TargetRegistration{ID: id, Pool: "p", Address: sd.Address(id), Zone: zones[i%3], Slots: 6})
		}
		long := submit(t, s, 1000, balancer.Request{Affinity: 5, Prompt: 3000})
		if chosen == "" {
			chosen = long.Target
		}
		if long.Target != chosen {
			t.Errorf("a host of %s chose %s, the others %s", zone, long.Target, chosen)
		}
		s.Done(1001, long, balancer.Abandoned, 0)
		away := zones[indexOf(chosen)%3]
		if away != zone {
			s.SetUnreachableZones([]sd.ZoneName{away}, 1)
			if req := submit(t, s, 1002, balancer.Request{Affinity: 5, Prompt: 3000}); req.Target == chosen {
				t.Errorf("a target in a zone out of reach was chosen")
			}
		}
	}
}

func indexOf(id sd.TargetID) (i int) {
	_, _ = fmt.Sscanf(string(id), "t%d", &i)
	return i
}
