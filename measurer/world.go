package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/picker"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

const (
	// span is the step of virtual time.
	span = 25 * sapphiredrum.Millisecond
	// viewEvery is how often keepers learn the cells' load.
	viewEvery = 1 * sapphiredrum.Second
	// reportEvery and reportLag time the engines' load reports.
	reportEvery = 500 * sapphiredrum.Millisecond
	reportLag   = 400 * sapphiredrum.Millisecond
	eventLag    = 1 * sapphiredrum.Second
	renewEvery  = 3 * sapphiredrum.Second
	// planLag is the time until a zone plan is in force.
	planLag = 2 * sapphiredrum.Second
	// drain is the time after the last arrival at which a run stops.
	drain = 900 * sapphiredrum.Second
	// start is the first instant of a run, after the cells have settled.
	start = sapphiredrum.Instant(0)
)

// cell is a scheduler.Cell with its engines.
type cell struct {
	name  sapphiredrum.TargetID
	zone  sapphiredrum.ZoneName
	plain bool
	out   bool
	guard *scheduler.Cell
	epoch sapphiredrum.Epoch
	dead  bool
	// shunned cells' guards have been silent long enough to ask elsewhere.
	shunned bool
	engines []*engine
	view    scheduler.Summary
	// held are permits by stream, for renewal.
	asked map[sapphiredrum.StreamID]*call
}

// call is one request of a program on its way.
type call struct {
	stream  sapphiredrum.StreamID
	program *program
	plain   bool
	cell    *cell
	number  scheduler.PermitNumber
	running bool
}

// world is the state of one run.
type world struct {
	deployment Deployment
	scenario   Scenario
	variant    Variant
	costs      picker.Costs
	now        sapphiredrum.Instant
	random     *rand.Rand
	cells      []*cell
	engines    map[sapphiredrum.TargetID]*engine
	home       map[sapphiredrum.TargetID]*cell
	limits     map[sapphiredrum.WorkspaceID]*limits
	events     events
	made       int
	streams    int
	programs   []*program
	open       int
	ends       map[*program]sapphiredrum.Instant
	result     *Result
}

// Run measures one variant in one scenario with one seed.
func Run(d Deployment, s Scenario, v Variant, seed uint64) *Result {
	w := &world{
		deployment: d, scenario: s, variant: v, costs: picker.DefaultCosts(), now: start,
		random: rand.New(rand.NewPCG(seed, 2)), programs: workload(&d, s, seed),
		engines: make(map[sapphiredrum.TargetID]*engine), home: make(map[sapphiredrum.TargetID]*cell),
		limits: make(map[sapphiredrum.WorkspaceID]*limits), ends: make(map[*program]sapphiredrum.Instant),
		result: &Result{Deployment: d.Name, Scenario: s.Name, Variant: v.Name, Seed: seed},
	}
	w.build()
	w.plan()
	w.run()
	return w.result
}

// build makes the targets, the cells and the limits.
func (w *world) build() {
	d := &w.deployment
	model := sapphiredrum.Target{Group: "model", Slots: 8, ColdSlots: 2, WarmUp: 20 * sapphiredrum.Second, CacheCapacity: engineMemory}
	desk := sapphiredrum.Target{Group: "desk", Slots: 6, ColdSlots: 2, WarmUp: 5 * sapphiredrum.Second}
	for i := range d.Models {
		w.addTarget(model, i, false)
	}
	for i := range d.Desks {
		w.addTarget(desk, i, true)
	}
	for _, c := range w.cells {
		w.guard(c)
		c.view = c.guard.Summary(w.now)
	}
	w.rate()
}

// addTarget makes a target and puts it into its cell.
func (w *world) addTarget(t sapphiredrum.Target, index int, plain bool) {
	d := &w.deployment
	t.Zone = d.Zones[index%len(d.Zones)]
	t.ID = sapphiredrum.TargetID(fmt.Sprintf("%s-%d", t.Group, index))
	e := &engine{target: t, plain: plain, incarnation: 1, warmed: t.WarmUp}
	name := t.ID
	if !w.variant.PerTarget {
		name = sapphiredrum.TargetID(string(t.Group) + "-" + string(t.Zone))
	}
	var found *cell
	for _, c := range w.cells {
		if c.name == name {
			found = c
		}
	}
	if found == nil {
		found = &cell{name: name, zone: t.Zone, plain: plain, asked: make(map[sapphiredrum.StreamID]*call)}
		w.cells = append(w.cells, found)
	}
	found.engines = append(found.engines, e)
	w.engines[t.ID] = e
	w.home[t.ID] = found
}

// guard starts a guard of the cell.
func (w *world) guard(c *cell) {
	policy := w.deployment.Policy
	policy.Order = w.variant.Order
	if w.variant.Wait > 0 {
		policy.AgingLimit = w.variant.Wait
	}
	if w.variant.Queue > 0 {
		policy.MaxQueueTime = w.variant.Queue
	}
	c.epoch++
	c.dead, c.shunned = false, false
	c.guard = scheduler.New(w.now, scheduler.Settings{
		Cell:  scheduler.CellID{Group: c.engines[0].target.Group, Zone: c.zone},
		Epoch: c.epoch, Policy: policy, AffinityWait: w.variant.Patience, Orderer: w.variant.Orderer,
	})
	w.setTargets(c)
}

// setTargets tells the guard its targets.
func (w *world) setTargets(c *cell) {
	var members []scheduler.Member
	for _, e := range c.engines {
		t := e.target
		if w.variant.Direct {
			t.Slots, t.ColdSlots, t.CacheCapacity = 1000, 1000, 0
		}
		members = append(members, scheduler.Member{Target: t, Drained: c.out})
	}
	c.guard.SetTargets(w.now, members)
}

// rate gives every workspace the rate that its part of a load of ratedLoad
// needs, with headroom.
func (w *world) rate() {
	const ratedLoad, headroom, burst = 0.85, 1.4, 15
	requests := make(map[sapphiredrum.WorkspaceID]float64)
	count := make(map[sapphiredrum.WorkspaceID]float64)
	for _, p := range w.programs {
		requests[p.tenant.ID] += float64(p.requests())
		count[p.tenant.ID]++
	}
	for _, t := range w.deployment.Tenants {
		each := requests[t.ID] / max(count[t.ID], 1)
		rate := sapphiredrum.Rate(max(each, 1) * t.Part * float64(w.deployment.Programs) * ratedLoad * headroom)
		w.limits[t.ID] = newLimits(rate, sapphiredrum.Burst(10+burst*rate), w.deployment.Hosts)
		if t.Floods && w.scenario.Flood > 1 {
			w.result.Flooder = t.ID
		}
	}
}

// requests counts the requests of the program and its sub-agents.
func (p *program) requests() int {
	total := len(p.steps)
	for _, s := range p.steps {
		if s.desk {
			total++
		}
		for _, child := range s.children {
			total += child.requests()
		}
	}
	return total
}

// plan enters the arrivals, the reports and the faults of the scenario.
func (w *world) plan() {
	w.open = len(w.programs)
	for _, p := range w.programs {
		w.at(p.start, func() { w.begin(p) })
	}
	for _, c := range w.cells {
		for _, e := range c.engines {
			w.every(reportEvery, func() { w.report(c, e) })
		}
		w.every(viewEvery, func() { c.view = c.guard.Summary(w.now) })
		w.every(renewEvery, func() { w.renew(c) })
	}
	w.planFaults()
}

// run steps the world until all programs have ended or the time is up.
func (w *world) run() {
	limit := sapphiredrum.Instant(w.scenario.Length + drain)
	for w.open > 0 && w.now < limit {
		w.now = w.now.Add(span)
		for len(w.events) > 0 && w.events[0].at <= w.now {
			heap.Pop(&w.events).(*event).do()
		}
		for _, c := range w.cells {
			for _, e := range c.engines {
				e.step(w.now, span)
			}
		}
		for _, c := range w.cells {
			w.tick(c)
		}
	}
	w.finishRun()
}

// finishRun fills the result.
func (w *world) finishRun() {
	for _, c := range w.cells {
		for _, e := range c.engines {
			w.result.Computed += e.computed
			w.result.Wasted += e.wasted
			w.result.Reusable += e.reusable
			w.result.Collapsed += e.collapsed
		}
	}
	w.result.collect(w.programs, w.now, w.ends)
}
