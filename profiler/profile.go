package profiler

import (
	"cmp"
	"maps"
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
)

// Settings are the choices of a profile.
type Settings struct {
	// Span is the length of the spans of the day; zero selects one that gives at most
	// maxSpans spans.
	Span sd.Millis
	// Factor and Objective give programs that name no time one of Factor x their time with
	// every part but the caller's pauses at its calm value + Objective. Factor zero gives none.
	Factor    float64
	Objective sd.Millis
}

// Profile is where the time of programs went.
type Profile struct {
	logs *logs
	span sd.Millis
	// assumed counts the programs whose time is that of Settings.Factor.
	assumed int
	rules   []*ruleProfile
}

// ruleProfile is the profile of the programs whose first turn has one rule.
type ruleProfile struct {
	rule  string
	calm  calm
	spans []*row
	total row
}

// row is the profile of the programs of one rule that began in one span.
type row struct {
	from     sd.WallTime
	outcomes [outcomeCount]int
	// took is the time of the programs served to their end; lost is that of programs refused
	// or given up.
	took [partCount]sd.Millis
	lost sd.Millis
	// gained counts the late programs that would have ended in time with one part at its calm
	// value, gainedAll those with every part but pauses.
	gained    [partCount]int
	gainedAll int
}

// New reads the sources and returns their profile. Errors are BadLog.
func New(settings Settings, sources ...Source) (*Profile, error) {
	g, err := read(sources)
	if err != nil {
		return nil, err
	}
	p := &Profile{logs: g, span: settings.Span}
	var programs []*program
	for _, id := range slices.Sorted(maps.Keys(g.programs)) {
		programs = append(programs, newProgram(g.programs[id], g.last))
	}
	if p.span <= 0 {
		p.span = chooseSpan(programs)
	}
	byRule := map[string][]*program{}
	for _, one := range programs {
		byRule[one.rule] = append(byRule[one.rule], one)
	}
	for _, rule := range slices.Sorted(maps.Keys(byRule)) {
		p.rules = append(p.rules, p.newRuleProfile(rule, byRule[rule], settings))
	}
	return p, nil
}

// maxSpans is the number of spans into which logs are divided at most, if no span is given: as
// many rows as are seen at once.
const maxSpans = 12

// chooseSpan returns the shortest usual span that divides the programs' time into at most
// maxSpans.
func chooseSpan(programs []*program) sd.Millis {
	if len(programs) == 0 {
		return sd.Second
	}
	byBegin := func(a, b *program) int { return cmp.Compare(a.began, b.began) }
	length := sd.Millis(slices.MaxFunc(programs, byBegin).began - slices.MinFunc(programs, byBegin).began)
	spans := []sd.Millis{
		sd.Second, 2 * sd.Second, 5 * sd.Second, 10 * sd.Second, 30 * sd.Second,
		sd.Minute, 2 * sd.Minute, 5 * sd.Minute, 10 * sd.Minute, 30 * sd.Minute, sd.Hour,
	}
	for _, span := range spans {
		// The first and the last span may be incomplete.
		if length/span+2 <= maxSpans {
			return span
		}
	}
	return 2 * sd.Hour
}

// spanOf returns the start of the span of an instant.
func (p *Profile) spanOf(at sd.WallTime) sd.WallTime { return at - at%sd.WallTime(p.span) }

// newRuleProfile returns the profile of a rule's programs.
func (p *Profile) newRuleProfile(rule string, programs []*program, settings Settings) *ruleProfile {
	r := &ruleProfile{rule: rule, calm: p.newCalm(rule, programs)}
	bySpan := map[sd.WallTime]*row{}
	for _, one := range programs {
		if !one.timed && settings.Factor > 0 && one.finished() {
			idle := float64(r.calm.whole(one))
			one.setDeadline(one.began + sd.WallTime(settings.Factor*idle) + sd.WallTime(settings.Objective))
			one.outcome = one.timeliness()
			p.assumed++
		}
		from := p.spanOf(one.began)
		if bySpan[from] == nil {
			bySpan[from] = &row{from: from}
		}
		bySpan[from].add(one, &r.calm)
		r.total.add(one, &r.calm)
	}
	for _, from := range slices.Sorted(maps.Keys(bySpan)) {
		r.spans = append(r.spans, bySpan[from])
	}
	return r
}

// add takes a program.
func (w *row) add(one *program, c *calm) {
	w.outcomes[one.outcome]++
	if one.outcome == refused || one.outcome == givenUp {
		w.lost += sd.Millis(one.ended - one.began)
	}
	if !one.finished() {
		return
	}
	for at, took := range one.took {
		w.took[at] += took
	}
	if one.outcome != late {
		return
	}
	left, whole := sd.Millis(one.deadline-one.began), sd.Millis(one.ended-one.began)
	for at := range partCount {
		if whole-one.took[at]+c.part(one, at) <= left {
			w.gained[at]++
		}
	}
	if c.whole(one) <= left {
		w.gainedAll++
	}
}

// programs returns the number of programs.
func (w *row) programs() int {
	sum := 0
	for _, n := range w.outcomes {
		sum += n
	}
	return sum
}

// whole returns the time of the programs served to their end.
func (w *row) whole() sd.Millis {
	sum := sd.Millis(0)
	for _, took := range w.took {
		sum += took
	}
	return sum
}
