package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

// way is a way to choose among targets that the model of engines compares.
type way int

const (
	// byCount is the choice by requests in flight, as for other pools.
	byCount way = iota
	// byTime is the choice by expected time without regard to prompts.
	byTime
	// byPrompt adds the unread tokens at the targets to the expected time.
	byPrompt
	// byLimit adds the limits of unread tokens and of tokens in flight.
	byLimit
	// separated is byLimit with a part of the targets left to long programs, by their true share of the work.
	separated
)

func (w way) String() string {
	return []string{"count", "time", "prompt", "limit", "separated"}[w]
}

// load describes a load of the model of engines.
type load struct {
	name string
	// long is the share of programs with long prompts, used the share of the capacity.
	long, used float64
	// burst is how many times as many programs of the shorter or longer kind come in the second third.
	burstShort, burstLong float64
	// changing is set if the machines' speed changes; one target is slow in the second third.
	changing bool
	// lost is the share of lost heartbeats.
	lost float64
	// shared is the share of programs that begin with the same part of 3000 tokens.
	shared float64
}

// engines simulates engines that run requests in batches, read prompts in chunks between the
// tokens of the others and keep prompts while they have memory, and hosts through which the turns
// of a program come at random.
type engines struct {
	// random draws what does not depend on the choice, so that all ways meet the same programs.
	random  *rand.Rand
	network *rand.Rand
	way     way
	load    load
	hosts   []*balancer.State
	targets []*engine
	byID    map[sd.TargetID]*engine
	now     float64
	queue   eventQueue
	waiting map[*balancer.Request]*turn
	// long and short are the results of both kinds.
	long, short  kindResult
	asked, read  int
	crashes      int
	measureAfter float64
}

type kindResult struct {
	begun, onTime, late, lost int
	first                     []float64
}

// value returns the share of the programs' value that was earned; a late program earns 0.3.
func (k *kindResult) value() float64 {
	return (float64(k.onTime) + 0.3*float64(k.late)) / float64(max(k.begun, 1))
}

// percentile returns a percentile of the times to the first event.
func (k *kindResult) percentile(share float64) float64 {
	if len(k.first) == 0 {
		return 0
	}
	slices.Sort(k.first)
	return k.first[int(share*float64(len(k.first)-1))]
}

type engine struct {
	id      sd.TargetID
	zone    sd.ZoneName
	factor  float64
	random  *rand.Rand
	running []*turn
	waiting []*turn
	kept    map[uint64]int
	used    map[uint64]float64
	busy    bool
}

type session struct {
	id       uint64
	random   *rand.Rand
	long     bool
	shared   bool
	prompt   int
	turns    int
	since    float64
	deadline float64
	tries    int
	measured bool
	started  bool
}

type turn struct {
	session *session
	req     *balancer.Request
	host    int
	asked   float64
	sent    float64
	unread  int
	left    int
	events  bool
}

type event struct {
	at  float64
	act func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	modelSlots    = 6
	modelCapacity = 60000
	modelRate     = 100.0
	modelChunk    = 256
	modelOutput   = 75
	modelPause    = 60
	modelShared   = 3000
	modelHosts    = 40
	modelTargets  = 15
	modelInterval = 300
	modelSpan     = 9000
	modelZones    = 3
	// modelZoneTrip is the time that a request to another zone loses.
	modelZoneTrip = 4
)

func modelZone(i int) sd.ZoneName { return sd.ZoneName(fmt.Sprint("z", i%modelZones)) }

func stepTime(batch int) float64 { return 1.2 + 0.3*float64(batch) }

func newEngines(seed uint64, w way, l load) *engines {
	e := &engines{random: rand.New(rand.NewPCG(seed, 2)), network: rand.New(rand.NewPCG(seed, 3)), way: w, load: l, byID: map[sd.TargetID]*engine{}, waiting: map[*balancer.Request]*turn{}}
	for i := range modelTargets {
		t := &engine{id: sd.TargetID(fmt.Sprint("t", i)), zone: modelZone(i), factor: 1, random: rand.New(rand.NewPCG(seed, uint64(i)+1000)), kept: map[uint64]int{}, used: map[uint64]float64{}}
		e.targets = append(e.targets, t)
		e.byID[t.id] = t
	}
	for h := range modelHosts {
		random := rand.New(rand.NewPCG(seed, uint64(h)+10))
		s := balancer.New(balancer.Settings{Host: sd.HostID(fmt.Sprint("h", h)), Zone: modelZone(h), Random: random.IntN})
		p := sd.Pool{Name: "p"}
		if w != byCount {
			p.CacheCapacity = modelCapacity
		}
		s.Configure([]sd.Pool{p})
		s.ConfigureRules([]sd.RoutingRule{{Streaming: true, PoolShares: []sd.PoolShare{{Pool: "p", Weight: 1}}}})
		for i, t := range e.targets {
			s.Register(sd.TargetRegistration{ID: t.id, Pool: "p", Address: sd.Address(t.id), Zone: modelZone(i), Slots: modelSlots})
		}
		s.SetHostCount(modelHosts)
		e.hosts = append(e.hosts, s)
		e.at(e.network.Float64()*modelInterval, func() { e.beat(h) })
		e.at(e.network.Float64()*10, func() { e.poll(h) })
	}
	return e
}

func (e *engines) at(delay float64, act func()) { heap.Push(&e.queue, event{e.now + delay, act}) }

func (e *engines) clock() sd.Instant { return sd.Instant(e.now) + 1000 }

func (e *engines) beat(h int) {
	now := e.clock()
	inflight, sent := e.hosts[h].LocalLoad(now)
	tokens := e.hosts[h].LocalTokens(now)
	for i, s := range e.hosts {
		if i != h && e.network.Float64() >= e.load.lost {
			id := sd.HostID(fmt.Sprint("h", h))
			s.ReportPeerLoad(now, id, inflight, sent)
			s.ReportPeerTokens(now, id, tokens)
		}
	}
	e.at(modelInterval*(0.6+0.8*e.network.Float64()), func() { e.beat(h) })
}

func (e *engines) poll(h int) {
	e.advance(h)
	e.at(10, func() { e.poll(h) })
}

func (e *engines) advance(h int) {
	for _, req := range e.hosts[h].DispatchQueued(e.clock()) {
		t := e.waiting[req]
		delete(e.waiting, req)
		e.settle(t)
	}
}

// change changes the speed of a machine several times a second.
func (e *engines) change(t *engine) {
	t.factor = math.Exp(0.35 * t.random.NormFloat64())
	if t == e.targets[3] && e.now > modelSpan/3 && e.now < modelSpan*2/3 {
		t.factor *= 5
	}
	e.at(150+200*t.random.Float64(), func() { e.change(t) })
}

func (e *engines) begin(long bool) {
	s := &session{id: e.random.Uint64() | 1, long: long, since: e.now}
	s.random = rand.New(rand.NewPCG(s.id, 4))
	s.turns, s.prompt = 1+s.random.IntN(9), 300+s.random.IntN(1200)
	if long {
		s.prompt = 8000 + s.random.IntN(12000)
	}
	s.shared = s.random.Float64() < e.load.shared
	if s.shared {
		s.prompt += modelShared
	}
	idle := float64(s.prompt)/modelRate + float64(s.turns)*(modelOutput*stepTime(1)+10) + float64(s.turns-1)*(modelPause+4)
	s.deadline = e.now + 1.45*idle + 300
	s.measured = e.now >= e.measureAfter
	if s.measured {
		e.kind(s).begun++
	}
	e.ask(s)
}

func (e *engines) kind(s *session) *kindResult {
	if s.long {
		return &e.long
	}
	return &e.short
}

func (e *engines) ask(s *session) {
	h := s.random.IntN(modelHosts)
	t := &turn{session: s, host: h, asked: e.now}
	now := e.clock()
	t.req = &balancer.Request{
		Pool: "p", Affinity: s.id, StartDeadline: now.Add(3000), StartsProgram: !s.started, ProgramDeadline: sd.Instant(s.deadline) + 1000,
	}
	if e.way >= byPrompt {
		t.req.Prompt, t.req.PromptKey, t.req.Longest = sd.Tokens(s.prompt), s.id, 2*modelOutput
		if s.shared {
			t.req.PromptParts = []balancer.PromptPart{{ID: 1, Tokens: modelShared}}
		}
	}
	if e.way >= byLimit {
		t.req.Objective = 300
	}
	if e.way == separated {
		// Half of the work of all-long loads is reading, so the share of targets follows the programs.
		side := int(math.Round(modelTargets * min(3*e.load.long/(1+2*e.load.long), 1)))
		for i, each := range e.targets {
			if side > 0 && side < modelTargets && (i < side) != s.long {
				t.req.ExcludedTargets = append(t.req.ExcludedTargets, each.id)
			}
		}
	}
	if e.hosts[h].Submit(now, t.req) {
		e.settle(t)
		return
	}
	e.waiting[t.req] = t
}

func (e *engines) settle(t *turn) {
	s := t.session
	if t.req.RefusalReason != "" {
		if s.tries++; s.tries > 2 {
			if s.measured {
				e.kind(s).lost++
			}
			return
		}
		e.at(max(float64(t.req.ExpectedWait), 300), func() { e.ask(s) })
		return
	}
	s.tries, s.started = 0, true
	target := e.byID[t.req.Target]
	t.sent, t.left = e.now, modelOutput*3/4+s.random.IntN(modelOutput/2)
	arrive := func() {
		target.waiting = append(target.waiting, t)
		if !target.busy {
			e.step(target)
		}
	}
	if modelZone(t.host) == target.zone {
		arrive()
		return
	}
	e.at(modelZoneTrip, arrive)
}

// step runs one step of an engine's batch: a token of each request that is read, and a chunk of the first prompt that is not.
func (e *engines) step(t *engine) {
	for len(t.running) < modelSlots && len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		s := next.session
		kept := t.kept[s.id]
		if kept == 0 && s.shared && t.kept[1] > 0 {
			kept = modelShared
		}
		next.unread = max(s.prompt-kept, 16)
		e.asked += s.prompt
		e.read += next.unread
		t.running = append(t.running, next)
		e.keep(t, s)
	}
	t.busy = len(t.running) > 0
	if !t.busy {
		return
	}
	took := stepTime(len(t.running))
	read := 0
	for _, r := range t.running {
		if r.unread > 0 && read < modelChunk {
			n := min(r.unread, modelChunk-read)
			r.unread -= n
			read += n
		}
	}
	e.at((took+float64(read)/modelRate)*t.factor, func() {
		t.running = slices.DeleteFunc(slices.Clone(t.running), func(r *turn) bool {
			if r.unread > 0 {
				return false
			}
			if !r.events {
				r.events = true
				e.firstEvent(t, r)
			}
			r.left--
			if r.left <= 0 {
				e.end(t, r)
			}
			return r.left <= 0
		})
		e.step(t)
	})
}

// keep makes room for a prompt; the least recently used ones yield.
func (e *engines) keep(t *engine, s *session) {
	t.kept[s.id], t.used[s.id] = s.prompt, e.now
	if s.shared {
		t.kept[1], t.used[1] = modelShared, e.now
	}
	total, held := 0, 0
	inUse := map[uint64]bool{}
	for _, r := range t.running {
		inUse[r.session.id] = true
		held += r.session.prompt
	}
	if held > modelCapacity {
		e.crash(t)
		return
	}
	for _, tokens := range t.kept {
		total += tokens
	}
	for total > modelCapacity {
		oldest, found := uint64(0), false
		for id := range t.kept {
			if !inUse[id] && (!found || t.used[id] < t.used[oldest] || (t.used[id] == t.used[oldest] && id < oldest)) {
				oldest, found = id, true
			}
		}
		if !found {
			return
		}
		total -= t.kept[oldest]
		delete(t.kept, oldest)
		delete(t.used, oldest)
	}
}

// crash ends all requests that run at an engine. Their programs are lost, and so is what it kept.
func (e *engines) crash(t *engine) {
	e.crashes++
	for _, r := range t.running {
		e.hosts[r.host].Done(e.clock(), r.req, balancer.Failed, sd.Millis(e.now-r.sent))
		if r.session.measured {
			e.kind(r.session).lost++
		}
	}
	t.running, t.kept, t.used = nil, map[uint64]int{}, map[uint64]float64{}
}

func (e *engines) firstEvent(t *engine, r *turn) {
	now, s := e.clock(), e.hosts[r.host]
	s.ReportTargetLoad(now, t.id, sd.Slots(len(t.running)), sd.Slots(len(t.waiting)))
	if e.way != byCount && e.load.changing {
		s.ReportWorkTime(now, t.id, 100*t.factor)
	}
	if e.way >= byPrompt {
		s.PromptRead(now, r.req)
	}
	if r.session.measured {
		k := e.kind(r.session)
		k.first = append(k.first, e.now-r.asked)
	}
}

func (e *engines) end(t *engine, r *turn) {
	s := r.session
	e.hosts[r.host].Done(e.clock(), r.req, balancer.Served, sd.Millis(e.now-r.sent))
	e.advance(r.host)
	if _, still := t.kept[s.id]; still {
		t.kept[s.id], t.used[s.id] = s.prompt+modelOutput, e.now
	}
	if s.turns--; s.turns > 0 {
		s.prompt += modelOutput + 100 + s.random.IntN(400)
		e.at(modelPause+4, func() { e.ask(s) })
		return
	}
	if !s.measured {
		return
	}
	if e.now <= s.deadline {
		e.kind(s).onTime++
	} else {
		e.kind(s).late++
	}
}

// run plays the load.
func (e *engines) run() {
	e.measureAfter = modelSpan / 6
	if e.load.changing {
		for _, t := range e.targets {
			e.change(t)
		}
	}
	// A program has five turns; one with a long prompt reads it at least once.
	work := func(long bool) float64 {
		w := 5 * modelOutput * stepTime(modelSlots) / modelSlots
		if long {
			return w + 14000/modelRate*1.5
		}
		return w + 3000/modelRate
	}
	mean := e.load.long*work(true) + (1-e.load.long)*work(false)
	rate := e.load.used * modelTargets / mean
	var arrive func()
	arrive = func() {
		if e.now > modelSpan {
			return
		}
		short, long := (1-e.load.long)*rate, e.load.long*rate
		if e.now > modelSpan/3 && e.now < modelSpan*2/3 {
			short, long = short*max(e.load.burstShort, 1), long*max(e.load.burstLong, 1)
		}
		e.begin(e.random.Float64() < long/(short+long))
		e.at(e.random.ExpFloat64()/(short+long), arrive)
	}
	e.at(0, arrive)
	for e.queue.Len() > 0 && e.now < modelSpan+4000 {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.act()
	}
}

// means are the means of a way's results over some seeds.
type means struct {
	value, short, long               float64
	shortHalf, shortMost             float64
	longHalf, longMost, read, overKV float64
}

// compare plays a load with some seeds.
func compare(w way, l load, seeds uint64) (m means) {
	for seed := range seeds {
		e := newEngines(seed+1, w, l)
		e.run()
		begun := float64(max(e.long.begun+e.short.begun, 1))
		n := float64(seeds)
		m.value += (e.long.value()*float64(e.long.begun) + e.short.value()*float64(e.short.begun)) / begun / n
		m.short, m.long = m.short+e.short.value()/n, m.long+e.long.value()/n
		m.shortHalf, m.shortMost = m.shortHalf+e.short.percentile(0.5)/n, m.shortMost+e.short.percentile(0.95)/n
		m.longHalf, m.longMost = m.longHalf+e.long.percentile(0.5)/n, m.longMost+e.long.percentile(0.95)/n
		m.read, m.overKV = m.read+float64(e.read)/float64(max(e.asked, 1))/n, m.overKV+float64(e.crashes)/n
	}
	return m
}

func (m means) String() string {
	return fmt.Sprintf("%.3f | %.3f | %.3f | %.0f / %.0f | %.0f / %.0f | %.2f | %.0f",
		m.value, m.short, m.long, m.shortHalf, m.shortMost, m.longHalf, m.longMost, m.read, m.overKV)
}

var loads = []load{
	{name: "1% long", long: 0.01, used: 0.7},
	{name: "10% long", long: 0.1, used: 0.7},
	{name: "10% long, full", long: 0.1, used: 1.1},
	{name: "25% long, speeds change", long: 0.25, used: 0.6, changing: true},
	{name: "25% long, speeds change, full", long: 0.25, used: 1, changing: true},
	{name: "50% long", long: 0.5, used: 0.7},
	{name: "flood of long", long: 0.1, used: 0.5, burstLong: 6},
	{name: "flood of short", long: 0.1, used: 0.5, burstShort: 3},
	{name: "all long", long: 1, used: 0.8},
	{name: "10% long, half share a part", long: 0.1, used: 0.8, shared: 0.5},
	{name: "10% long, nine tenths of heartbeats lost", long: 0.1, used: 0.8, lost: 0.9},
}

// Prints the table of docs/design/prompts.md: ENGINES=1 go test ./balancer -run TestWaysCompared -v
func TestWaysCompared(t *testing.T) {
	if os.Getenv("ENGINES") == "" {
		t.Skip("a comparison of some minutes; set ENGINES=1")
	}
	for _, l := range loads {
		for w := byCount; w <= separated; w++ {
			t.Logf("| %s | %v | %v |", l.name, w, compare(w, l, 5))
		}
	}
}
