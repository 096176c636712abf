package picker

import (
	"math"

	"sapphiredrum.example/sapphiredrum"
)

// PrefixAffinity chooses the candidate with the shortest expected time to the
// first token. It implements sapphiredrum.TargetChooser.
type PrefixAffinity struct {
	Costs Costs
	// HomeZone is the zone of the program's keeper.
	HomeZone sapphiredrum.ZoneName
}

// Choose implements sapphiredrum.TargetChooser. It never chooses a candidate whose
// Limit is zero.
func (p PrefixAffinity) Choose(prompt sapphiredrum.Tokens, candidates []sapphiredrum.Candidate, draw func(n int) int) int {
	best := p.bestHolder(candidates)
	for _, home := range []bool{true, true, false, false} {
		other := p.sampleZone(candidates, home, draw)
		if other < 0 {
			continue
		}
		if best < 0 || p.cost(prompt, candidates[other]) < p.cost(prompt, candidates[best]) {
			best = other
		}
	}
	return best
}

// bestHolder returns the candidate with the most tokens expected in its cache, or
// -1 if there is none.
func (p PrefixAffinity) bestHolder(candidates []sapphiredrum.Candidate) int {
	best := -1
	for i, x := range candidates {
		if x.Limit <= 0 || p.Costs.ExpectedCached(x) <= 0 {
			continue
		}
		if best < 0 || p.Costs.ExpectedCached(x) > p.Costs.ExpectedCached(candidates[best]) {
			best = i
		}
	}
	return best
}

// sampleZone draws a candidate from the home zone or from the other zones, weighted
// by capacity. It returns -1 if there is none.
func (p PrefixAffinity) sampleZone(candidates []sapphiredrum.Candidate, home bool, draw func(n int) int) int {
	total := 0
	for _, x := range candidates {
		if (x.Zone == p.HomeZone) == home {
			total += int(max(x.Limit, 0))
		}
	}
	if total == 0 {
		return -1
	}
	place := draw(total)
	for i, x := range candidates {
		if (x.Zone == p.HomeZone) != home {
			continue
		}
		place -= int(max(x.Limit, 0))
		if place < 0 {
			return i
		}
	}
	return -1
}

// cost returns the expected time to first token on a candidate, plus the penalty
// for leaving the home zone.
func (p PrefixAffinity) cost(prompt sapphiredrum.Tokens, x sapphiredrum.Candidate) sapphiredrum.Millis {
	total := p.Costs.Wait(x) + p.Costs.Recompute(prompt-p.Costs.ExpectedCached(x))
	if x.Zone != p.HomeZone {
		total += p.Costs.CrossZonePenalty
	}
	return total
}

// Random chooses uniformly among the candidates that accept calls.
type Random struct{}

// Choose implements sapphiredrum.TargetChooser.
func (Random) Choose(_ sapphiredrum.Tokens, candidates []sapphiredrum.Candidate, draw func(n int) int) int {
	var open []int
	for i, x := range candidates {
		if x.Limit > 0 {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	return open[draw(len(open))]
}

// LeastLoaded chooses the candidate with the lowest ratio of calls to limit.
type LeastLoaded struct{}

// Choose implements sapphiredrum.TargetChooser.
func (LeastLoaded) Choose(_ sapphiredrum.Tokens, candidates []sapphiredrum.Candidate, _ func(n int) int) int {
	best := -1
	for i, x := range candidates {
		if x.Limit > 0 && (best < 0 || relativeLoad(x) < relativeLoad(candidates[best])) {
			best = i
		}
	}
	return best
}

func relativeLoad(x sapphiredrum.Candidate) float64 {
	return float64(x.Queued+x.Running) / float64(x.Limit)
}

// WithoutZones returns the candidates whose zone is not in out, in order.
func WithoutZones(candidates []sapphiredrum.Candidate, out map[sapphiredrum.ZoneName]bool) []sapphiredrum.Candidate {
	open := make([]sapphiredrum.Candidate, 0, len(candidates))
	for _, x := range candidates {
		if !out[x.Zone] {
			open = append(open, x)
		}
	}
	return open
}

func decayFactor(age, half sapphiredrum.Millis) float64 {
	return math.Exp2(-float64(age) / float64(half))
}
