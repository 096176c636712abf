package scheduler

import "sapphiredrum.example/sapphiredrum"

// prefix is the guard's belief about a program's prefix in an engine's memory.
type prefix struct {
	tokens sapphiredrum.Tokens
	used   sapphiredrum.Instant
}

// prefixes are the beliefs about one target. They are hints: events come late
// and some never come.
type prefixes struct {
	held  map[sapphiredrum.ProgramID]prefix
	total sapphiredrum.Tokens
	// number is the last cache event seen.
	number uint64
}

// get returns the tokens that the target is believed to hold for the program.
func (p *prefixes) get(program sapphiredrum.ProgramID) sapphiredrum.Tokens {
	return p.held[program].tokens
}

// put records a belief; no tokens remove it. Beyond memory, the least recently
// used belief goes first.
func (p *prefixes) put(now sapphiredrum.Instant, program sapphiredrum.ProgramID, tokens, memory sapphiredrum.Tokens) {
	if p.held == nil {
		p.held = make(map[sapphiredrum.ProgramID]prefix)
	}
	p.total -= p.held[program].tokens
	if tokens <= 0 {
		delete(p.held, program)
		return
	}
	p.held[program] = prefix{tokens: tokens, used: now}
	p.total += tokens
	for memory > 0 && p.total > memory && len(p.held) > 1 {
		oldest := p.oldest()
		p.total -= p.held[oldest].tokens
		delete(p.held, oldest)
	}
}

// oldest returns the least recently used program, the lowest name among equals.
func (p *prefixes) oldest() sapphiredrum.ProgramID {
	var found sapphiredrum.ProgramID
	first := true
	for program, held := range p.held {
		best := p.held[found].used
		if first || held.used < best || held.used == best && program < found {
			found, first = program, false
		}
	}
	return found
}

// confirm drops beliefs older than the lag that the engine's list lacks.
func (p *prefixes) confirm(now sapphiredrum.Instant, programs []sapphiredrum.ProgramID, lag sapphiredrum.Millis) {
	listed := make(map[sapphiredrum.ProgramID]bool, len(programs))
	for _, program := range programs {
		listed[program] = true
	}
	for program, held := range p.held {
		if !listed[program] && now.Since(held.used) > lag {
			p.total -= held.tokens
			delete(p.held, program)
		}
	}
}

// clear forgets everything.
func (p *prefixes) clear() {
	*p = prefixes{}
}
