package balancer_test

import (
	"fmt"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// newReportedState returns a state with 104 targets in 5 zones and the load reports of a number
// of hosts, each of which has a request at one target.
func newReportedState(now sd.Instant, hosts int) *balancer.State {
	s := balancer.New(balancer.Settings{Host: "h1", Zone: "z1", ColdRateFactor: 1.5, ColdSlack: 5, Random: func(int) int { return 0 }})
	s.Configure([]sd.Pool{{Name: "pool", ColdRate: 20}})
	id := func(i int) sd.TargetID { return sd.TargetID(fmt.Sprint("t", i%104)) }
	for i := range 104 {
		s.Register(sd.TargetRegistration{
			ID: id(i), Pool: "pool", Address: sd.Address(fmt.Sprint("10.0.0.", i, ":1")), Zone: sd.ZoneName(fmt.Sprint("z", i%5)), Slots: 6,
		})
	}
	s.SetHostCount(hosts + 1)
	s.MarkFleetRunning()
	for i := range hosts {
		load := map[gossiper.IDHash]int{gossiper.HashID(id(i)): 1}
		s.ReportPeerLoad(now, sd.HostID(fmt.Sprint("peer", i)), load, load)
	}
	return s
}

// submitTime returns the shortest time of several submissions with the reports of a number of
// hosts, which other load on the machine lengthens the least.
func submitTime(t *testing.T, hosts int) time.Duration {
	const now = 1000
	s := newReportedState(now, hosts)
	shortest := time.Hour
	for range 50 {
		req := ticket()
		req.StartsProgram = true
		start := time.Now()
		decided := s.Submit(now, req)
		shortest = min(shortest, time.Since(start))
		if !decided {
			s.Cancel(req)
		} else if req.Target == "" {
			t.Fatalf("refused: %s", req.RefusalReason)
		}
		s.Done(now, req, balancer.Served, 100)
	}
	return shortest
}

// Large fleet: choosing a target took 2 to 3 ms of processor time at 295 hosts and 104 targets, 13 ms
// on a host with a fifth of a core, and as much again at each look at the queue.
func TestChoosingATargetDoesNotSlowDownWithTheHosts(t *testing.T) {
	few, many := submitTime(t, 10), submitTime(t, 294)
	t.Logf("10 hosts report: %v; 294 hosts report: %v", few, many)
	if many > 6*few {
		t.Errorf("with the reports of 294 hosts a request is assigned in %v, with those of 10 in %v: more than 6 times as long", many, few)
	}
}

// Large fleet: a host took 2 to 3 ms of processor time for each of its load reports, over 10 ms with
// a fifth of a core, in which no request got a target: it ranked all hosts for all targets again.
func TestReportingLoadRanksTheHostsOnce(t *testing.T) {
	const now = 1000
	first, later := time.Hour, time.Hour
	for range 10 {
		s := newReportedState(now, 294)
		for i := range 5 {
			start := time.Now()
			s.LocalLoad(now)
			if took := time.Since(start); i == 0 {
				first = min(first, took)
			} else {
				later = min(later, took)
			}
		}
	}
	t.Logf("the first report took %v, a later one %v", first, later)
	if 3*later > first {
		t.Errorf("a report takes %v, the first took %v: more than a third", later, first)
	}
}
