package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

// enginePool returns a state with an engine pool of targets in its zone whose turns are not kept.
func enginePool(host int, targets int, slots sd.Slots, capacity sd.Tokens) *balancer.State {
	random := rand.New(rand.NewPCG(uint64(host), 1))
	s := balancer.New(balancer.Settings{Host: sd.HostID(fmt.Sprint("h", host)), Zone: "z", Random: random.IntN})
	s.Configure([]sd.Pool{{Name: "p", CacheCapacity: capacity}})
	s.ConfigureRules([]sd.RoutingRule{{Streaming: true, PoolShares: []sd.PoolShare{{Pool: "p", Weight: 1}}}})
	for i := range targets {
		id := sd.TargetID(fmt.Sprint("t", i))
		s.Register(sd.TargetRegistration{ID: id, Pool: "p", Address: sd.Address(id), Zone: "z", Slots: slots})
	}
	return s
}

// submit submits a request and returns its ticket.
func submit(t *testing.T, s *balancer.State, now sd.Instant, req balancer.Request) *balancer.Request {
	t.Helper()
	req.Pool, req.StartDeadline = "p", now.Add(1000)
	if !s.Submit(now, &req) || req.Target == "" {
		t.Fatalf("no target although slots are free: %q", req.RefusalReason)
	}
	return &req
}

// Load: one of six targets has turned slow by six times. Guards against turns that go on going
// there, and against a target that is avoided for good once it is fast again.
func TestSlowTargetIsAvoidedUntilItIsFastAgain(t *testing.T) {
	s := enginePool(1, 6, 6, 60000)
	now := sd.Instant(1000)
	run := func(turns int, slow sd.TargetID) (used int) {
		for i := range turns {
			req := submit(t, s, now, balancer.Request{Affinity: uint64(i%40 + 1), Prompt: 3000})
			took := sd.Millis(200)
			if req.Target == slow {
				took *= 6
			}
			if req.Target == "t0" {
				used++
			}
			s.Done(now.Add(took), req, balancer.Served, took)
			now = now.Add(25)
		}
		return used
	}
	run(200, "")
	if used := run(200, "t0"); used > 10 {
		t.Errorf("%d of 200 turns went to the slow target", used)
	}
	now = now.Add(10000)
	if used := run(200, ""); used < 10 {
		t.Errorf("%d of 200 turns went to the target after it had recovered", used)
	}
}

// Load: a target refuses half of its requests with fast failures. Guards against turns that are
// drawn to it because it looks idle.
func TestFailingTargetIsAvoided(t *testing.T) {
	s := enginePool(1, 6, 6, 60000)
	now, used := sd.Instant(1000), 0
	for i := range 300 {
		req := submit(t, s, now, balancer.Request{Affinity: uint64(i%40 + 1), Prompt: 1000})
		if req.Target != "t0" {
			s.Done(now.Add(200), req, balancer.Served, 200)
		} else {
			used++
			s.Done(now.Add(5), req, []balancer.Result{balancer.Served, balancer.Failed}[i%2], 5)
		}
		now = now.Add(25)
	}
	if used > 30 {
		t.Errorf("%d of 300 turns went to the failing target, 50 would be its even share", used)
	}
}

// Load: 80 hosts have just heard that one of 15 targets is twice as fast as the others. Guards
// against hosts that all send to it.
func TestHostsDoNotAllChooseTheFastTarget(t *testing.T) {
	const hosts, targets = 80, 15
	used := 0
	for h := range hosts {
		s := enginePool(h, targets, 6, 60000)
		for i := range targets {
			s.ReportWorkTime(1000, sd.TargetID(fmt.Sprint("t", i)), 100)
		}
		s.ReportWorkTime(1001, "t3", 50)
		if submit(t, s, 1010, balancer.Request{}).Target == "t3" {
			used++
		}
	}
	if used > 3*hosts/targets {
		t.Errorf("%d of %d hosts chose the target that looks fast", used, hosts)
	}
}

// Load: a target's last report is half a second old or older. Guards against choices by figures
// that no longer hold: work times change several times a second.
func TestOldWorkTimesCountForLittle(t *testing.T) {
	for _, c := range []struct {
		age  sd.Millis
		work float64
		away bool
	}{{20, 100, false}, {20, 500, true}, {20, 130, false}, {800, 500, false}} {
		s := enginePool(1, 6, 6, 60000)
		home := submit(t, s, 1000, balancer.Request{Affinity: 7})
		s.Done(1000, home, balancer.Abandoned, 0)
		for range 30 {
			s.ReportWorkTime(1000, home.Target, 100)
		}
		s.ReportWorkTime(1000, home.Target, c.work)
		req := submit(t, s, sd.Instant(1000).Add(c.age), balancer.Request{Affinity: 7, Prompt: 2000})
		if (req.Target != home.Target) != c.away {
			t.Errorf("work time %v, %d ms old: went to %s, its home is %s", c.work, c.age, req.Target, home.Target)
		}
	}
}

// Load: a request at a target has been running for many times the usual duration. Guards against
// hosts that notice a target that hangs only when an answer ends.
func TestOverdueRequestShowsASlowTarget(t *testing.T) {
	s := enginePool(1, 6, 6, 60000)
	stuck := submit(t, s, 1000, balancer.Request{Affinity: 7})
	for now := sd.Instant(1100); now < 3000; now += 100 {
		req := submit(t, s, now, balancer.Request{Affinity: 7})
		if req.Target != stuck.Target {
			return
		}
		s.Done(now, req, balancer.Abandoned, 0)
	}
	t.Error("turns still go to the target whose request has not ended for 2 s")
}

// Load: targets of pools without an engine, and engines of pools that keep turns, get work times
// or durations of any size. Guards against a changed choice in deployments that do not call for it.
func TestOtherPoolsAreChosenByLoadAlone(t *testing.T) {
	choices := func(rules []sd.RoutingRule, capacity sd.Tokens, slow bool) (list []sd.TargetID) {
		s := enginePool(1, 6, 6, capacity)
		s.ConfigureRules(rules)
		for i := range sd.Instant(100) {
			req := submit(t, s, i, balancer.Request{})
			list = append(list, req.Target)
			took := sd.Millis(100)
			if slow && req.Target < "t3" {
				took = 900
				if capacity == 0 {
					s.ReportWorkTime(i, req.Target, 800)
				}
			}
			s.Done(i, req, balancer.Served, took)
		}
		return list
	}
	share := []sd.PoolShare{{Pool: "p", Weight: 1}}
	for name, c := range map[string]struct {
		rules    []sd.RoutingRule
		capacity sd.Tokens
	}{
		"plain":      {[]sd.RoutingRule{{PoolShares: share}}, 0},
		"no engine":  {[]sd.RoutingRule{{Streaming: true, PoolShares: share}}, 0},
		"kept turns": {[]sd.RoutingRule{{Streaming: true, PoolShares: share}, {Streaming: true, RetainTurns: true, PoolShares: share}}, 60000},
	} {
		if a, b := choices(c.rules, c.capacity, false), choices(c.rules, c.capacity, true); fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("%s: the choice depends on durations:\n%v\n%v", name, a, b)
		}
	}
}
