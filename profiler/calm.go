package profiler

import (
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
)

// minCalmTurns is the number of answered requests that a span needs to be the calmest: with
// fewer, the median of one of their parts is left to chance.
const minCalmTurns = 20

// calm holds the medians of a rule's parts in its calmest span: that with the lowest median
// time to the first event, which is what load lengthens first.
type calm struct {
	// from is the start of the span; whole is set if no span has enough requests, and all are
	// used.
	from     sd.WallTime
	allSpans bool
	// values are for each event of a stream, each request and each pause, and for refused and
	// failed requests for each program.
	values [partCount]float64
	// calls are those of plain calls by rule.
	calls map[string]float64
}

// newCalm returns the calm values of a rule from its programs.
func (p *Profile) newCalm(rule string, programs []*program) calm {
	firsts := map[sd.WallTime][]float64{}
	for _, one := range programs {
		for _, r := range one.requests {
			if r.Rule == rule && r.served() {
				from := p.spanOf(r.arrived)
				firsts[from] = append(firsts[from], float64(r.First))
			}
		}
	}
	c := calm{allSpans: true, calls: map[string]float64{}}
	lowest := 0.0
	for from, values := range firsts {
		if len(values) < minCalmTurns {
			continue
		}
		m := median(values)
		if c.allSpans || m < lowest || m == lowest && from < c.from {
			c.allSpans, c.from, lowest = false, from, m
		}
	}
	c.measure(p, programs)
	return c
}

// measure sets the medians.
func (c *calm) measure(p *Profile, programs []*program) {
	inSpan := func(at sd.WallTime) bool { return c.allSpans || p.spanOf(at) == c.from }
	var values [partCount][]float64
	calls, allCalls := map[string][]float64{}, map[string][]float64{}
	for _, one := range programs {
		for _, r := range one.requests {
			switch {
			case !r.served():
			case !r.streamed():
				allCalls[r.Rule] = append(allCalls[r.Rule], float64(r.Took))
				if inSpan(r.arrived) {
					calls[r.Rule] = append(calls[r.Rule], float64(r.Took))
				}
			case inSpan(r.arrived):
				parts := r.turnParts()
				for _, at := range turnParts {
					took := float64(parts[at])
					if at == partStream {
						took /= float64(r.laterEvents())
					}
					values[at] = append(values[at], took)
				}
			}
		}
		if !inSpan(one.began) || !one.finished() {
			continue
		}
		for _, at := range []part{partRefused, partFailed} {
			values[at] = append(values[at], float64(one.took[at]))
		}
		for _, s := range one.path {
			if s.part == partPause {
				values[partPause] = append(values[partPause], float64(s.took))
			}
		}
	}
	for at := range values {
		c.values[at] = median(values[at])
	}
	for rule, all := range allCalls {
		if c.calls[rule] = median(all); len(calls[rule]) > 0 {
			c.calls[rule] = median(calls[rule])
		}
	}
}

// part returns the time that a part of the program takes at its calm value.
func (c *calm) part(one *program, at part) sd.Millis {
	if at == partRefused || at == partFailed {
		return sd.Millis(min(c.values[at], float64(one.took[at])))
	}
	sum := 0.0
	for _, s := range one.path {
		switch {
		case s.part != at:
		case at == partCalls:
			sum += c.calls[s.rule]
		default:
			sum += c.values[at] * float64(s.units)
		}
	}
	return sd.Millis(sum)
}

// whole returns the program's time with its own pauses and every other part at its calm
// value.
func (c *calm) whole(one *program) sd.Millis {
	sum := one.took[partPause]
	for at := range partCount {
		if at != partPause {
			sum += c.part(one, at)
		}
	}
	return sum
}

// median returns the middle value, zero if there is none. It sorts the values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
