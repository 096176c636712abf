package promoter

import (
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
)

// scene is one host with an order, its own counts and two other hosts.
type scene struct {
	s    *State
	view View
	all  uint64
}

const testOrder = 7

func newScene(duration sd.Millis) *scene {
	c := &scene{s: New(Settings{Host: "h1", Share: 0.1, Slack: 50, Rollback: 5 * sd.Second})}
	c.view = View{
		Now: 10_000, Wall: 1_000_000, Hosts: 3, Alive: []sd.HostID{"h2", "h3"}, Versions: map[sd.Version]int{"v1": 4, "v2": 4},
		Timeout: 3 * sd.Second, Interval: 100, Silence: 350,
	}
	c.s.SetOrder(c.view.Now, &sd.RolloutOrder{Pool: "desk", To: "v2", Duration: duration, Row: testOrder}, true)
	c.s.SetDecision(c.view.Now, Decision{}, 0)
	return c
}

// run lets time pass, with good answers at all hosts, and takes rows as soon as they are to be
// written. It returns the last output.
func (c *scene) run(span sd.Millis, routes func(n uint64) map[RouteID]RouteCount) (out Output) {
	for end := c.view.Now.Add(span); c.view.Now < end; c.view.Now, c.view.Wall = c.view.Now.Add(100), c.view.Wall+100 {
		c.all += 5
		c.view.Own = Report{Order: testOrder, Stage: c.s.Stage(), Routes: routes(c.all)}
		for _, host := range c.view.Alive {
			c.s.Hear(c.view.Now, host, c.view.Own)
		}
		out = c.s.Decide(c.view)
		if out.Write != nil {
			c.s.SetDecision(c.view.Now, *out.Write, out.Expect+1)
		} else if out.State != "" {
			c.s.SetState(out.State, out.To, out.StateExpect+1)
		}
	}
	return out
}

func good(n uint64) map[RouteID]RouteCount {
	return map[RouteID]RouteCount{1: {Old: Count{Answers: n, Timed: n}, New: Count{Answers: n / 10, Timed: n / 10}}}
}

// Guards against a good version that is not completed in time, or is moved so early that a version
// that turns bad late has all requests.
func TestStagesOfAGoodVersion(t *testing.T) {
	for _, duration := range []sd.Millis{5 * sd.Second, 20 * sd.Second, sd.Minute, 10 * sd.Minute} {
		c := newScene(duration)
		if split := c.s.Decide(c.view).Split; split.Mode != OldFirst {
			t.Errorf("%d ms: before the stage is known the mode is %d", duration, split.Mode)
		}
		moved := sd.Millis(0)
		for c.s.Age(c.view.Now) < duration && c.s.state != sd.RolloutCompleted {
			c.run(100, good)
			if c.s.Stage() == Move && moved == 0 {
				moved = c.s.Age(c.view.Now)
			}
		}
		done := c.s.Age(c.view.Now)
		if done >= duration || done < duration/2 || moved < duration/2 || (duration >= sd.Minute && moved < duration-12*sd.Second) {
			t.Errorf("%d ms: moved after %d, %q after %d", duration, moved, c.s.state, done)
		}
		if split := c.s.Decide(c.view).Split; split.Mode != NewFirst || !split.Old("v1") || split.Old("v3") {
			t.Errorf("%d ms: after completion %+v", duration, split)
		}
		if c.run(afterTime+sd.Second, good).Split.Mode != Ordinary {
			t.Errorf("%d ms: targets of later versions are held back for good", duration)
		}
		if !c.s.Settled(c.view.Now) {
			t.Errorf("%d ms: hosts report a rollout that has ended for good", duration)
		}
	}
}

// Guards against a failure of each row of the table in docs/design/rollouts.md.
func TestFailuresDuringARollout(t *testing.T) {
	watched := func() *scene {
		c := newScene(20 * sd.Second)
		c.run(2*sd.Second, good)
		if c.s.Stage() != Watch || c.s.state != sd.RolloutRunning {
			t.Fatalf("%v, %q", c.s.Stage(), c.s.state)
		}
		return c
	}
	t.Run("one host has a bad path", func(t *testing.T) {
		c := watched()
		bad := good(4000)
		bad[1] = RouteCount{Old: bad[1].Old, New: Count{Answers: 300, Failures: 200, Timed: 300}}
		c.s.Hear(c.view.Now, "h2", Report{Order: testOrder, Stage: Watch, Routes: bad})
		c.view.Alive = []sd.HostID{"h3"}
		if c.run(3*sd.Second, good); c.s.Stage() != Watch {
			t.Errorf("%v by one host's evidence", c.s.Stage())
		}
	})
	t.Run("back is final", func(t *testing.T) {
		c := watched()
		c.s.Hear(c.view.Now, "h2", Report{Order: testOrder, Stage: Back})
		if out := c.s.Decide(c.view); out.Split.Mode != OldOnly || out.Write == nil || out.Write.Stage != Back {
			t.Errorf("%+v", out)
		}
		// A host that slept wrote move under an older version of the row, or a report is old.
		c.s.Hear(c.view.Now, "h3", Report{Order: testOrder, Stage: Move})
		c.s.SetDecision(c.view.Now, Decision{Order: testOrder, To: "v2", Stage: Move}, 2)
		if out := c.s.Decide(c.view); out.Split.Mode != OldOnly || out.Write == nil || out.Write.Stage != Back {
			t.Errorf("after a late move %+v", out)
		}
		c.run(sd.Second, good)
		if c.s.state != sd.RolloutRolledBack {
			t.Error(c.s.state)
		}
		again := sd.RolloutOrder{Pool: "desk", To: "v2", Duration: sd.Minute, Row: testOrder + 1}
		c.s.SetOrder(c.view.Now, &again, true)
		if out := c.s.Decide(c.view); out.Write == nil || out.Write.Stage != Watch || out.Split.Mode != OldFirst {
			t.Errorf("given again: %+v", out)
		}
	})
	t.Run("changed to another version", func(t *testing.T) {
		c := watched()
		next := sd.RolloutOrder{Pool: "desk", To: "v3", Duration: 20 * sd.Second, Row: testOrder + 1}
		c.s.SetOrder(c.view.Now, &next, true)
		c.view.Versions["v3"] = 4
		for range 20 {
			c.view.Now = c.view.Now.Add(5 * sd.Second)
			out := c.s.Decide(c.view)
			if len(out.Split.Barred) != 1 || out.Split.Barred[0] != "v2" {
				t.Fatalf("stage %v: the version of the earlier order is not barred: %+v", out.Stage, out.Split)
			}
			if out.Write != nil && !c.view.StoreAway {
				// A host that starts now knows it from the row.
				c.s = New(c.s.settings)
				c.s.SetOrder(c.view.Now, &next, false)
				c.s.SetDecision(c.view.Now, *out.Write, out.Expect+1)
				c.view.StoreAway = true
			}
		}
	})
	t.Run("ordered to the present version", func(t *testing.T) {
		c := newScene(20 * sd.Second)
		c.view.Versions = map[sd.Version]int{"v2": 4}
		bad := func(n uint64) map[RouteID]RouteCount {
			return map[RouteID]RouteCount{1: {New: Count{Answers: n, Failures: n / 2, Timed: n}}}
		}
		for c.s.Age(c.view.Now) < 19*sd.Second {
			if out := c.run(100, bad); out.Stage == Watch && out.Split.Mode != Ordinary || out.Split.Mode == OldOnly {
				t.Fatalf("%+v", out.Split)
			}
		}
		if c.s.state != sd.RolloutCompleted {
			t.Error(c.s.state)
		}
	})
	t.Run("withdrawn", func(t *testing.T) {
		c := watched()
		c.s.SetOrder(c.view.Now, nil, true)
		if split := c.s.Decide(c.view).Split; split.Mode != OldFirst {
			t.Errorf("%+v", split)
		}
		c.view.Now = c.view.Now.Add(sd.Minute)
		if split := c.s.Decide(c.view).Split; split.Mode != Ordinary {
			t.Errorf("long after: %+v", split)
		}
	})
	t.Run("targets never come", func(t *testing.T) {
		c := newScene(10 * sd.Second)
		c.view.Versions = map[sd.Version]int{"v1": 4}
		if c.run(12*sd.Second, good); c.s.Stage() != Watch {
			t.Error(c.s.Stage())
		}
	})
	t.Run("store away", func(t *testing.T) {
		c := watched()
		c.view.StoreAway = true
		if out := c.run(20*sd.Second, good); out.Write != nil || out.Split.Mode != Shared {
			t.Errorf("%+v", out)
		}
		c.view.StoreAway = false
		if c.run(8*sd.Second, good); c.s.state != sd.RolloutCompleted {
			t.Errorf("after the outage: %v %q", c.s.Stage(), c.s.state)
		}
	})
	t.Run("a host that does not report", func(t *testing.T) {
		c := newScene(20 * sd.Second)
		c.view.Hosts = 4
		for c.s.Age(c.view.Now) < 20*sd.Second && c.s.Stage() != Done {
			c.run(100, good)
			if held := c.view.Now.Since(c.s.stageAt); c.s.Stage() == Move && held > 100 && held < 3*sd.Second && c.s.row.Stage == Done {
				t.Fatalf("done %d ms after the move, with requests of up to 3 s", held)
			}
		}
		if c.s.Stage() != Done {
			t.Error("not done within the limit")
		}
	})
	t.Run("a clock that is ahead", func(t *testing.T) {
		c := newScene(20 * sd.Second)
		c.s.SetOrder(c.view.Now, &sd.RolloutOrder{Pool: "desk", To: "v2", Duration: 20 * sd.Second, Row: testOrder + 1}, false)
		c.s.SetDecision(c.view.Now, Decision{Order: testOrder + 1, To: "v2", Stage: Watch, Began: c.view.Wall - 3_600_000}, 9)
		c.s.Hear(c.view.Now, "h2", Report{Order: testOrder + 1, Stage: Watch, Age: 3000})
		if out := c.s.Decide(c.view); out.Write != nil || c.s.Age(c.view.Now) != 3000 {
			t.Errorf("age %d, %+v", c.s.Age(c.view.Now), out.Write)
		}
	})
}
