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

// startBound is what a cold target may get in a second.
var startBound = startRate*1.5 + 5.0

// started returns hosts that have just started and know the plan and one target.
func started() []*balancer.State {
	states := make([]*balancer.State, startHosts)
	for i := range states {
		states[i] = balancer.New(balancer.Settings{
			Host: sd.HostID(fmt.Sprint("h", i)), Zone: "z1", ColdOver: 1.5, ColdSlack: 5, Random: func(int) int { return 0 },
		})
		states[i].Configure([]sd.Pool{{Name: "pool", ColdRate: startRate}})
		states[i].Register(sd.TargetRegistration{ID: "t", Pool: "pool", Address: "10.0.0.1:1", Zone: "z1", Slots: 12})
	}
	return states
}

// press sends what each host gets through until the given time; a request takes 50 ms.
func press(states []*balancer.State, from, to sd.Instant, tell bool) []sd.Instant {
	var sent []sd.Instant
	running := map[sd.Instant][]func(sd.Instant){}
	for now := from; now < to; now += 10 {
		for _, done := range running[now] {
			done(now)
		}
		for i, s := range states {
			k := &balancer.Ticket{Pool: "pool", Latest: now}
			if s.Ask(now, k) && k.Target != "" {
				sent = append(sent, now)
				running[now+50] = append(running[now+50], func(at sd.Instant) { s.Done(at, k, balancer.Served, 50) })
			} else {
				s.Leave(k)
			}
			if tell && (now+sd.Instant(i)*10)%100 == 0 {
				inflight, lately := s.Beat(now)
				for j, other := range states {
					if j != i {
						other.Heard(now, sd.HostID(fmt.Sprint("h", i)), inflight, lately)
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

// Start of all hosts: one that has not read yet which others there are takes none of the
// bound of a cold target for itself.
func TestColdBoundHoldsBeforeHostsAreKnown(t *testing.T) {
	sent := press(started(), 5000, 5300, false)
	if got := mostInASecond(sent); float64(got) > startBound {
		t.Fatalf("%d requests in 0.3 s, bound %.0f a second", got, startBound)
	}
}

// Loss of all hosts: those that start again do not know what was sent a moment before.
func TestColdBoundHoldsOverAQuickRestartOfAllHosts(t *testing.T) {
	for _, dark := range []sd.Instant{300, 500, 660, 700, 800} {
		states := started()
		for _, s := range states {
			s.Hosts(startHosts)
		}
		// Idle hosts hear of one another, then a crowd comes.
		for now := sd.Instant(2000); now < 4900; now += 100 {
			for i, s := range states {
				inflight, lately := s.Beat(now)
				for j, other := range states {
					if j != i {
						other.Heard(now, sd.HostID(fmt.Sprint("h", i)), inflight, lately)
					}
				}
			}
		}
		sent := press(states, 4900, 5100, true)
		before := len(sent)
		states = started()
		for _, s := range states {
			s.Hosts(startHosts)
		}
		sent = append(sent, press(states, 5100+dark, 6500, true)...)
		got := mostInASecond(sent)
		t.Logf("dark for %d ms: %d sent before, %d in a second", dark, before, got)
		if float64(got) > startBound {
			t.Errorf("dark for %d ms: %d requests in a second, bound %.0f", dark, got, startBound)
		}
	}
}

// A registration that lapses and is back within a second names the same target, which has
// got what it got.
func TestColdBoundHoldsOverALapsedRegistration(t *testing.T) {
	states := started()[:1]
	sent := press(states, 5000, 5400, true)
	r := states[0].Targets()[0]
	states[0].Remove(r.ID)
	states[0].Register(r)
	sent = append(sent, press(states, 5400, 5800, true)...)
	if got := mostInASecond(sent); float64(got) > startBound {
		t.Fatalf("%d requests in 0.8 s, bound %.0f a second", got, startBound)
	}
}
