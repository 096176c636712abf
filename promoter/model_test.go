package promoter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/promoter"
)

// mutation is a fault built into the model's hosts, which the model has to catch.
type mutation string

const (
	noMutation    mutation = ""
	noBound       mutation = "bound left out"
	oneHost       mutation = "decision by one host's evidence"
	earlyDone     mutation = "completed before work in flight has ended"
	unconditional mutation = "writes without conditions"
	noFollowing   mutation = "evidence is not followed"
)

// model is a fleet with a store, in steps of 100 ms.
type model struct {
	random   *rand.Rand
	mutation mutation
	now      sd.Instant
	hosts    []*modelHost
	row      promoter.Decision
	version  uint64
	state    sd.RolloutState
	late     []modelWrite
	// bad is the rate of failures of the new version, badPath of one host's way to it.
	bad, badPath float64
	// badFrom is when the new version turns bad.
	badFrom            sd.Instant
	order              sd.RolloutOrder
	all, fresh, failed int
	fiftiethAt         sd.Instant
	completedAt        sd.Instant
	wrong              []string
}

type modelHost struct {
	id    sd.HostID
	state *promoter.State
	gate  *balancer.State
	cut   bool
	runs  []modelRun
}

type modelRun struct {
	req *balancer.Request
	end sd.Instant
}

type modelWrite struct {
	at     sd.Instant
	out    promoter.Output
	expect uint64
}

const (
	modelHosts   = 6
	modelTimeout = 3 * sd.Second
	modelStart   = sd.Instant(3_600_000)
)

func newModel(seed uint64, m mutation, duration sd.Millis) *model {
	w := &model{random: rand.New(rand.NewPCG(seed, 7)), mutation: m, now: modelStart}
	for i := range modelHosts {
		id := sd.HostID(fmt.Sprint("h", i))
		h := &modelHost{
			id: id, state: promoter.New(promoter.Settings{Host: id, Share: 0.1, Slack: 50, Rollback: 5 * sd.Second}),
			gate: balancer.New(balancer.Settings{Host: id, Zone: "z", ColdUnlimited: true, Random: w.random.IntN}),
		}
		for n := range 8 {
			h.gate.Register(sd.TargetRegistration{
				ID: sd.TargetID(fmt.Sprint("t", n)), Pool: "desk", Address: sd.Address(fmt.Sprint("a:", n)), Zone: "z", Slots: 40, Version: []sd.Version{"v1", "v2"}[n%2],
			})
		}
		w.hosts = append(w.hosts, h)
	}
	w.order = sd.RolloutOrder{Pool: "desk", To: "v2", Duration: duration, Row: 7}
	for _, h := range w.hosts {
		h.state.SetOrder(w.now, &w.order, true)
		h.state.SetDecision(w.now, promoter.Decision{}, 0)
	}
	return w
}

func (w *model) fail(format string, args ...any) {
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

// step lets 100 ms pass.
func (w *model) step() {
	w.now = w.now.Add(100)
	for i, h := range w.hosts {
		w.end(h, i)
		w.decide(h)
		for range 3 + w.random.IntN(4) {
			w.send(h)
		}
	}
	for len(w.late) > 0 && w.late[0].at <= w.now {
		w.commit(w.late[0])
		w.late = w.late[1:]
	}
	if w.bad > 0 && w.failed >= 50 && w.fiftiethAt == 0 {
		w.fiftiethAt = w.now
	}
}

func (w *model) end(h *modelHost, index int) {
	rest := h.runs[:0]
	for _, run := range h.runs {
		if run.end > w.now {
			rest = append(rest, run)
			continue
		}
		result := balancer.Served
		if isNew := int(run.req.Address[2]-'0')%2 == 1; isNew && (w.now >= w.badFrom && w.random.Float64() < w.bad || index == 0 && w.random.Float64() < w.badPath) {
			result = balancer.Failed
			w.failed++
		}
		h.gate.Done(w.now, run.req, result, run.end.Since(w.now)+50)
	}
	h.runs = rest
}

func (w *model) decide(h *modelHost) {
	report := h.gate.RolloutReport("desk")
	report.Stage, report.Age = h.state.Stage(), h.state.Age(w.now)
	view := promoter.View{
		Now: w.now, Wall: sd.WallTime(w.now), Own: report, Hosts: modelHosts, Versions: h.gate.Versions("desk"), Timeout: modelTimeout, Interval: 100, Silence: 350,
		StoreAway: h.cut,
	}
	if w.mutation == earlyDone {
		report.OldInflight, view.Own.OldInflight = 0, 0
	}
	for _, other := range w.hosts {
		if other != h && !other.cut && !h.cut {
			view.Alive = append(view.Alive, other.id)
			other.state.Hear(w.now, h.id, report)
		}
	}
	if w.mutation == oneHost {
		view.Hosts = 1
	}
	out := h.state.Decide(view)
	switch w.mutation {
	case noBound:
		out.Split.Share = 0.5
	case noFollowing:
		if out.Split.Mode == promoter.OldOnly && out.Stage == promoter.Back {
			out.Split.Mode, out.Split.Share = promoter.Shared, 0.08
		}
	case noMutation, oneHost, earlyDone, unconditional:
	}
	h.gate.SetSplit(w.now, "desk", out.Split)
	if h.cut || (out.Write == nil && out.State == "") || w.random.IntN(4) > 0 {
		return
	}
	write := modelWrite{at: w.now, out: out, expect: out.Expect}
	if w.random.IntN(4) == 0 {
		// The answer is lost, and the write takes effect up to 6 s later.
		write.at = w.now.Add(sd.Millis(w.random.IntN(6000)))
		w.late = append(w.late, write)
		return
	}
	w.commit(write)
}

func (w *model) commit(write modelWrite) {
	if write.expect != w.version && w.mutation != unconditional {
		return
	}
	if write.out.Write == nil {
		w.state = write.out.State
		if w.state == sd.RolloutCompleted && w.completedAt == 0 {
			w.completedAt = w.now
			w.checkDone()
		}
		for _, h := range w.hosts {
			h.state.SetState(w.state, "v2", uint64(w.now))
		}
		return
	}
	if w.row.Stage > write.out.Write.Stage {
		w.fail("%v after %v", write.out.Write.Stage, w.row.Stage)
	}
	w.row, w.version = *write.out.Write, w.version+1
	for _, h := range w.hosts {
		if !h.cut {
			h.state.SetDecision(w.now, w.row, w.version)
		}
	}
}

// checkDone checks that nothing runs on an old target of a completed rollout.
func (w *model) checkDone() {
	for _, h := range w.hosts {
		for _, run := range h.runs {
			if !h.cut && int(run.req.Address[2]-'0')%2 == 0 {
				w.fail("a request of %s runs on an old target at completed", h.id)
			}
		}
	}
}

func (w *model) send(h *modelHost) {
	req := &balancer.Request{Pool: "desk", Rule: sd.RouteName([]string{"look", "pay"}[w.random.IntN(2)]), StartDeadline: w.now.Add(sd.Second)}
	w.all++
	if !h.gate.Submit(w.now, req) || req.RefusalReason != "" {
		h.gate.Cancel(req)
		return
	}
	took := sd.Millis(20 + w.random.IntN(100))
	if w.random.IntN(20) == 0 {
		took = sd.Millis(w.random.IntN(int(modelTimeout)))
	}
	h.runs = append(h.runs, modelRun{req, w.now.Add(took)})
	if int(req.Address[2]-'0')%2 == 0 {
		if w.completedAt != 0 && !h.cut {
			w.fail("%s sent a request to an old target after completed", h.id)
		}
		return
	}
	w.fresh++
	if w.fiftiethAt != 0 && w.now.Since(w.fiftiethAt) > 5*sd.Second && !h.cut {
		w.fail("%s sent a request to a bad version %d ms after its 50th bad answer", h.id, w.now.Since(w.fiftiethAt))
	}
}

// modelCase is a rollout: its duration, the rate of failures of the new version and since when, that
// of one host's way to it, and whether a host is cut off for some seconds.
type modelCase struct {
	duration     sd.Millis
	bad, badPath float64
	badAfter     sd.Millis
	cuts         bool
}

var modelCases = []modelCase{
	{duration: 24 * sd.Second, cuts: true},
	{duration: 24 * sd.Second, badPath: 0.6},
	{duration: 24 * sd.Second, bad: 0.3, cuts: true},
	{duration: 24 * sd.Second, bad: 0.08},
	{duration: 24 * sd.Second, bad: 0.4, badAfter: 10 * sd.Second, cuts: true},
	{duration: 9 * sd.Second},
}

// playModel plays a rollout and returns what went wrong.
func playModel(seed uint64, m mutation, c modelCase) []string {
	w := newModel(seed, m, c.duration)
	w.bad, w.badPath, w.badFrom = c.bad, c.badPath, modelStart.Add(c.badAfter)
	from := w.random.IntN(10)
	for w.now < modelStart.Add(c.duration) {
		if c.cuts {
			// One host is cut off from the others and the store for some seconds.
			second := int(w.now.Since(modelStart) / sd.Second)
			w.hosts[1].cut = second >= from && second < from+5
			if !w.hosts[1].cut {
				w.hosts[1].state.SetDecision(w.now, w.row, w.version)
			}
		}
		w.step()
	}
	if c.bad > 0 {
		if bound := 0.1*float64(w.all) + 50; float64(w.fresh) > bound {
			w.fail("%d of %d requests went to a bad version", w.fresh, w.all)
		}
		if w.state != sd.RolloutRolledBack {
			w.fail("a bad version is %q at %v", w.state, w.row.Stage)
		}
	} else if w.state != sd.RolloutCompleted {
		w.fail("a good version is %q at %v (%s)", w.state, w.row.Stage, w.row.Reason)
	}
	return w.wrong
}

// Guards against a bound that is broken, a good version that is rolled back, and work that is cut
// off, over hosts that are cut off and writes that take effect late. Each mutation must be caught.
func TestModelOfRollouts(t *testing.T) {
	for i, c := range modelCases {
		for seed := range uint64(20) {
			if wrong := playModel(seed, noMutation, c); len(wrong) > 0 {
				t.Errorf("case %d, seed %d: %d faults, first: %s", i, seed, len(wrong), wrong[0])
			}
		}
	}
	for _, m := range []mutation{noBound, oneHost, earlyDone, unconditional, noFollowing} {
		caught := 0
		const seeds = 5
		for _, c := range modelCases {
			for seed := range uint64(seeds) {
				if len(playModel(seed, m, c)) > 0 {
					caught++
				}
			}
		}
		t.Logf("%s: caught in %d of %d plays", m, caught, seeds*len(modelCases))
		if caught == 0 {
			t.Errorf("not caught: %s", m)
		}
	}
}
