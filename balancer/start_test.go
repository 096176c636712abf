package balancer_test

import (
	"fmt"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

const (
	startHosts = 12
	startRate  = 33
)

// startLimit is the number of requests that a cold target may get in a second.
var startLimit = startRate*1.5 + 5.0

// newStartedHosts returns hosts that have just newStartedHosts and know the configuration and one target.
func newStartedHosts() []*balancer.State {
	states := make([]*balancer.State, startHosts)
	for i := range states {
		states[i] = balancer.New(balancer.Settings{
			Host: sd.HostID(fmt.Sprint("h", i)), Zone: "z1", ColdRateFactor: 1.5, ColdSlack: 5, Random: func(int) int { return 0 },
		})
		states[i].Configure([]sd.Pool{{Name: "pool", ColdRate: startRate}})
		states[i].Register(sd.TargetRegistration{ID: "t", Pool: "pool", Address: "10.0.0.1:1", Zone: "z1", Slots: 12})
	}
	return states
}

// sendFromAllHosts sends a request from each host every 10 ms until the given time and returns the times
// of those that were sent. A request takes 50 ms.
func sendFromAllHosts(states []*balancer.State, from, to sd.Instant, report bool) []sd.Instant {
	var sent []sd.Instant
	running := map[sd.Instant][]func(sd.Instant){}
	for now := from; now < to; now += 10 {
		for _, done := range running[now] {
			done(now)
		}
		for i, s := range states {
			req := &balancer.Request{Pool: "pool", StartDeadline: now}
			if s.Submit(now, req) && req.Target != "" {
				sent = append(sent, now)
				running[now+50] = append(running[now+50], func(at sd.Instant) { s.Done(at, req, balancer.Served, 50) })
			} else {
				s.Cancel(req)
			}
			if report && (now+sd.Instant(i)*10)%100 == 0 {
				inflight, recent := s.LocalLoad(now)
				for j, other := range states {
					if j != i {
						other.ReportPeerLoad(now, sd.HostID(fmt.Sprint("h", i)), inflight, recent)
					}
				}
			}
		}
	}
	return sent
}

func mostInASecond(sent []sd.Instant) int {
	most, first := 0, 0
	for i, at := range sent {
		for at-sent[first] >= 1000 {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// After a start of all hosts, a host that does not know the other hosts yet must not claim the
// whole limit of a cold target for itself.
func TestColdBoundHoldsBeforeHostsAreKnown(t *testing.T) {
	sent := sendFromAllHosts(newStartedHosts(), 5000, 5300, false)
	if got := mostInASecond(sent); float64(got) > startLimit {
		t.Fatalf("%d requests in 0.3 s, bound %.0f a second", got, startLimit)
	}
}

// After a crash of all hosts, the restarted hosts do not know what was sent just before.
func TestColdBoundHoldsOverAQuickRestartOfAllHosts(t *testing.T) {
	for _, downtime := range []sd.Instant{300, 500, 660, 700, 800} {
		states := newStartedHosts()
		for _, s := range states {
			s.SetHostCount(startHosts)
		}
		// Idle hosts exchange load reports before the overload begins.
		for now := sd.Instant(2000); now < 4900; now += 100 {
			for i, s := range states {
				inflight, recent := s.LocalLoad(now)
				for j, other := range states {
					if j != i {
						other.ReportPeerLoad(now, sd.HostID(fmt.Sprint("h", i)), inflight, recent)
					}
				}
			}
		}
		sent := sendFromAllHosts(states, 4900, 5100, true)
		before := len(sent)
		states = newStartedHosts()
		for _, s := range states {
			s.SetHostCount(startHosts)
		}
		sent = append(sent, sendFromAllHosts(states, 5100+downtime, 6500, true)...)
		got := mostInASecond(sent)
		t.Logf("hosts down for %d ms: %d sent before, %d in a second", downtime, before, got)
		if float64(got) > startLimit {
			t.Errorf("hosts down for %d ms: %d requests in a second, bound %.0f", downtime, got, startLimit)
		}
	}
}

// A registration that lapses and returns within a second names the same target: the requests that
// it got before still count.
func TestColdBoundHoldsOverALapsedRegistration(t *testing.T) {
	states := newStartedHosts()[:1]
	sent := sendFromAllHosts(states, 5000, 5400, true)
	r := states[0].Targets()[0]
	states[0].Remove(r.ID)
	states[0].Register(r)
	sent = append(sent, sendFromAllHosts(states, 5400, 5800, true)...)
	if got := mostInASecond(sent); float64(got) > startLimit {
		t.Fatalf("%d requests in 0.8 s, bound %.0f a second", got, startLimit)
	}
}
