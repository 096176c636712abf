package picker

import (
	"math"

	"sapphiredrum.example/sapphiredrum"
)

// Prefix chooses by prefix against queue. It implements sapphiredrum.Chooser.
type Prefix struct {
	Costs Costs
	// Home is the keeper's zone.
	Home sapphiredrum.ZoneName
}

// Choose implements sapphiredrum.Chooser. Candidates without a limit are never
// chosen.
func (p Prefix) Choose(prompt sapphiredrum.Tokens, candidates []sapphiredrum.Candidate, draw func(n int) int) int {
	best := p.holder(candidates)
	for _, home := range []bool{true, true, false, false} {
		other := p.sample(candidates, home, draw)
		if other < 0 {
			continue
		}
		if best < 0 || p.cost(prompt, candidates[other]) < p.cost(prompt, candidates[best]) {
			best = other
		}
	}
	return best
}

// holder returns the candidate that is believed to hold most, or -1.
func (p Prefix) holder(candidates []sapphiredrum.Candidate) int {
	best := -1
	for i, x := range candidates {
		if x.Limit <= 0 || p.Costs.Believed(x) <= 0 {
			continue
		}
		if best < 0 || p.Costs.Believed(x) > p.Costs.Believed(candidates[best]) {
			best = i
		}
	}
	return best
}

// sample draws a candidate of the home zone or of the others, by capacity.
func (p Prefix) sample(candidates []sapphiredrum.Candidate, home bool, draw func(n int) int) int {
	total := 0
	for _, x := range candidates {
		if (x.Zone == p.Home) == home {
			total += int(max(x.Limit, 0))
		}
	}
	if total == 0 {
		return -1
	}
	place := draw(total)
	for i, x := range candidates {
		if (x.Zone == p.Home) != home {
			continue
		}
		place -= int(max(x.Limit, 0))
		if place < 0 {
			return i
		}
	}
	return -1
}

// cost returns the expected time until the call's first token at a candidate.
func (p Prefix) cost(prompt sapphiredrum.Tokens, x sapphiredrum.Candidate) sapphiredrum.Millis {
	total := p.Costs.Wait(x) + p.Costs.Recompute(prompt-p.Costs.Believed(x))
	if x.Zone != p.Home {
		total += p.Costs.Stay
	}
	return total
}

// Random chooses any candidate that takes calls.
type Random struct{}

// Choose implements sapphiredrum.Chooser.
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

// LeastLoaded chooses the candidate with the least work for its limit.
type LeastLoaded struct{}

// Choose implements sapphiredrum.Chooser.
func (LeastLoaded) Choose(_ sapphiredrum.Tokens, candidates []sapphiredrum.Candidate, _ func(n int) int) int {
	best := -1
	for i, x := range candidates {
		if x.Limit > 0 && (best < 0 || load(x) < load(candidates[best])) {
			best = i
		}
	}
	return best
}

func load(x sapphiredrum.Candidate) float64 {
	return float64(x.Queued+x.Running) / float64(x.Limit)
}

// WithoutZones returns the candidates whose zone is not out, in order.
func WithoutZones(candidates []sapphiredrum.Candidate, out map[sapphiredrum.ZoneName]bool) []sapphiredrum.Candidate {
	open := make([]sapphiredrum.Candidate, 0, len(candidates))
	for _, x := range candidates {
		if !out[x.Zone] {
			open = append(open, x)
		}
	}
	return open
}

func halved(age, half sapphiredrum.Millis) float64 {
	return math.Exp2(-float64(age) / float64(half))
}
