package measurer

import (
	"math"
	"math/rand/v2"
	"strconv"

	"sapphiredrum.example/sapphiredrum"
)

const (
	longestProgram = 60
	// subAgents is the part of steps after which sub-agents run.
	subAgents = 0.04
	// deskSteps is the part of pauses that are calls of a plain service.
	deskSteps = 0.3
	// longPauses is the part of pauses that last ten times as long.
	longPauses  = 0.05
	answerLimit = sapphiredrum.Tokens(600)
)

// step is one model call of a program and what follows it.
type step struct {
	// input are the tokens added to the history before the call.
	input  sapphiredrum.Tokens
	answer sapphiredrum.Tokens
	// pause is the tool's time; desk tells that a plain service runs it.
	pause    sapphiredrum.Millis
	desk     bool
	children []*program
}

// program is a chain of dependent calls. Its shape is unknown to the policy.
type program struct {
	id     sapphiredrum.ProgramID
	tenant *Tenant
	tier   sapphiredrum.Tier
	start  sapphiredrum.Instant
	ideal  sapphiredrum.Millis
	steps  []step
	home   sapphiredrum.ZoneName

	next    int
	history sapphiredrum.Tokens
	// root holds the service of the whole tree of sub-agents.
	root     *program
	parent   *program
	attained sapphiredrum.Tokens
	pending  int
	// last and since tell where the prefix was left and when.
	last  sapphiredrum.TargetID
	since sapphiredrum.Instant
	// tried programs got a first call past the limiter; lost ones never did and
	// were given up by their caller.
	tried bool
	lost  bool
}

// maker draws programs. All draws of the workload come from it, before the run.
type maker struct {
	random *rand.Rand
	count  int
}

// workload returns all programs of a run in order of their start.
func workload(d *Deployment, s Scenario, seed uint64) []*program {
	m := &maker{random: rand.New(rand.NewPCG(seed, 1))}
	var programs []*program
	now := 0.0
	for {
		now += m.random.ExpFloat64() / (float64(d.Programs) * s.Load * s.peak(d)) * 1000
		if now >= float64(s.Length) {
			return programs
		}
		t := m.tenant(d, s)
		start := sapphiredrum.Instant(now)
		if m.random.Float64() >= s.keeps(t, start)/s.peak(d) {
			continue
		}
		p := m.program(t, t.Calls)
		p.start = start
		p.home = d.Zones[m.count%len(d.Zones)]
		programs = append(programs, p)
	}
}

// peak returns the highest arrival rate in parts of the usual one.
func (s Scenario) peak(*Deployment) float64 { return max(s.Flood, 1) }

// keeps returns the tenant's arrival rate in parts of its usual one.
func (s Scenario) keeps(t *Tenant, at sapphiredrum.Instant) float64 {
	if t.Floods && s.middle(at) {
		return max(s.Flood, 1)
	}
	return 1
}

// middle reports whether the instant is in the middle third of the run.
func (s Scenario) middle(at sapphiredrum.Instant) bool {
	third := sapphiredrum.Instant(s.Length / 3)
	return at >= third && at < 2*third
}

// tenant draws the workspace of a program.
func (m *maker) tenant(d *Deployment, _ Scenario) *Tenant {
	x := m.random.Float64()
	for i := range d.Tenants {
		if x -= d.Tenants[i].Part; x < 0 {
			return &d.Tenants[i]
		}
	}
	return &d.Tenants[0]
}

// program draws a program with the given median number of calls.
func (m *maker) program(t *Tenant, calls float64) *program {
	m.count++
	p := &program{id: sapphiredrum.ProgramID("p" + strconv.Itoa(m.count)), tenant: t, tier: t.Tier}
	p.root = p
	count := int(min(max(1, m.heavy(calls, 0.8)), longestProgram))
	for i := range count {
		p.steps = append(p.steps, m.step(t, i, calls))
		p.ideal += p.steps[i].ideal()
	}
	return p
}

// step draws the program's step with the given index.
func (m *maker) step(t *Tenant, index int, calls float64) step {
	median := 200.0
	if index == 0 {
		median = 1200
	}
	s := step{
		input:  sapphiredrum.Tokens(m.heavy(median, 0.6)),
		answer: min(sapphiredrum.Tokens(m.heavy(120, 0.6))+1, answerLimit),
		pause:  sapphiredrum.Millis(m.random.ExpFloat64() * float64(t.Pause)),
		desk:   m.random.Float64() < deskSteps,
	}
	if s.desk {
		s.pause = sapphiredrum.Millis(m.heavy(400, 0.7)) + 1
	} else if m.random.Float64() < longPauses {
		s.pause *= 10
	}
	if calls > 3 && m.random.Float64() < subAgents {
		for range 1 + m.random.IntN(3) {
			s.children = append(s.children, m.program(t, 3))
		}
	}
	return s
}

// heavy draws from a log-normal distribution with the given median.
func (m *maker) heavy(median, sigma float64) float64 {
	return median * math.Exp(sigma*m.random.NormFloat64())
}

// ideal returns the step's time on an idle warm engine that holds the prefix.
func (s step) ideal() sapphiredrum.Millis {
	time := sapphiredrum.Millis(s.input)*1000/prefillRate +
		sapphiredrum.Millis(float64(s.answer)*(gapBase+gapEach)) + s.pause
	longest := sapphiredrum.Millis(0)
	for _, child := range s.children {
		longest = max(longest, child.ideal)
	}
	return time + longest
}
