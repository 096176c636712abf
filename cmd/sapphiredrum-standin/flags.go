package main

import (
	"github.com/integrii/flaggy"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
)

// engineFlags are the flags of an engine.
type engineFlags struct {
	target   string
	model    string
	slots    int
	cold     int
	ramp     int64
	memory   int64
	words    int64
	lag      int64
	delay    int64
	gap      uint64
	prefill  float64
	token    float64
	slowdown float64
	fenced   bool
	collapse bool
}

// attach declares the flags on a subcommand.
func (f *engineFlags) attach(s *flaggy.Subcommand) {
	f.prefill, f.token, f.slowdown, f.words = 0.05, 2, 0.02, 64
	s.String(&f.target, "", "target", "name that load reports carry")
	s.String(&f.model, "", "model", "only model served; any if empty")
	s.Int(&f.slots, "", "slots", "calls of a full batch when warm")
	s.Int(&f.cold, "", "cold", "calls borne when cold; as many as warm if 0")
	s.Int64(&f.ramp, "", "ramp", "ms of work from cold to warm")
	s.Int64(&f.memory, "", "memory", "tokens of prefix memory; unlimited if 0")
	s.Int64(&f.words, "", "words", "tokens of an answer")
	s.Int64(&f.lag, "", "lag", "ms of a load report's greatest age")
	s.Int64(&f.delay, "", "delay", "ms by which cache events are late")
	s.UInt64(&f.gap, "", "gap", "lose each event with a number divisible by this")
	s.Float64(&f.prefill, "", "prefill", "ms per uncached prompt token")
	s.Float64(&f.token, "", "token", "ms per generated token")
	s.Float64(&f.slowdown, "", "slowdown", "fraction by which each other call slows a call")
	s.Bool(&f.fenced, "", "fenced", "refuse old fencing numbers")
	s.Bool(&f.collapse, "", "collapse", "break all calls when overloaded while cold")
}

// engine returns the settings that the flags describe.
func (f *engineFlags) engine() faker.EngineSettings {
	return faker.EngineSettings{
		Target:   sapphiredrum.TargetID(f.target),
		Model:    sapphiredrum.ModelName(f.model),
		Slots:    sapphiredrum.Slots(f.slots),
		Cold:     sapphiredrum.Slots(f.cold),
		Ramp:     sapphiredrum.Millis(f.ramp),
		Collapse: f.collapse,
		Memory:   sapphiredrum.Tokens(f.memory),
		Prefill:  faker.Pace(f.prefill),
		Token:    faker.Pace(f.token),
		Slowdown: f.slowdown,
		Words:    sapphiredrum.Tokens(f.words),
		Fenced:   f.fenced,
		Lag:      sapphiredrum.Millis(f.lag),
		Delay:    sapphiredrum.Millis(f.delay),
		Gap:      f.gap,
	}
}
