package scheduler

import "sapphiredrum.example/sapphiredrum"

// prefixHint is an estimate of the part of a program's prefix in an engine's cache.
type prefixHint struct {
	tokens sapphiredrum.Tokens
	used   sapphiredrum.Instant
}

// prefixHints are the hints about one target. They may be wrong, since cache
// events can be delayed or lost.
type prefixHints struct {
	hints map[sapphiredrum.ProgramID]prefixHint
	total sapphiredrum.Tokens
	// lastEvent is the number of the latest cache event processed.
	lastEvent uint64
}

// get returns the estimated number of tokens that the target holds for the program.
func (p *prefixHints) get(program sapphiredrum.ProgramID) sapphiredrum.Tokens {
	return p.hints[program].tokens
}

// put stores a hint, or removes it if tokens is zero. When the total exceeds
// memory, the least recently used hints are evicted; zero memory means no bound.
func (p *prefixHints) put(now sapphiredrum.Instant, program sapphiredrum.ProgramID, tokens, memory sapphiredrum.Tokens) {
	if p.hints == nil {
		p.hints = make(map[sapphiredrum.ProgramID]prefixHint)
	}
	p.total -= p.hints[program].tokens
	if tokens <= 0 {
		delete(p.hints, program)
		return
	}
	p.hints[program] = prefixHint{tokens: tokens, used: now}
	p.total += tokens
	for memory > 0 && p.total > memory && len(p.hints) > 1 {
		oldest := p.oldest()
		p.total -= p.hints[oldest].tokens
		delete(p.hints, oldest)
	}
}

// oldest returns the least recently used program, breaking ties by name.
func (p *prefixHints) oldest() sapphiredrum.ProgramID {
	var found sapphiredrum.ProgramID
	first := true
	for program, held := range p.hints {
		best := p.hints[found].used
		if first || held.used < best || held.used == best && program < found {
			found, first = program, false
		}
	}
	return found
}

// reconcile drops the hints older than lag whose programs are not in the engine's
// list.
func (p *prefixHints) reconcile(now sapphiredrum.Instant, programs []sapphiredrum.ProgramID, lag sapphiredrum.Millis) {
	listed := make(map[sapphiredrum.ProgramID]bool, len(programs))
	for _, program := range programs {
		listed[program] = true
	}
	for program, held := range p.hints {
		if !listed[program] && now.Since(held.used) > lag {
			p.total -= held.tokens
			delete(p.hints, program)
		}
	}
}

func (p *prefixHints) clear() {
	*p = prefixHints{}
}
