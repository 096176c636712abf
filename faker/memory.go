package faker

import (
	"sort"

	"sapphiredrum.example/sapphiredrum"
)

// memory is an engine's prefix memory, kept by program.
type memory struct {
	limit  sapphiredrum.Tokens
	held   sapphiredrum.Tokens
	prefix map[sapphiredrum.ProgramID]*prefix
	// pins counts the running calls of each program; their prefixes stay.
	pins map[sapphiredrum.ProgramID]int
	uses uint64
}

// prefix is what an engine holds of a program.
type prefix struct {
	// chains holds the digest and tokens after each message held.
	chains []chain
	// used orders prefixes by their last use.
	used uint64
}

// chain is the state of a history after one of its messages.
type chain struct {
	digest uint64
	tokens sapphiredrum.Tokens
}

// size returns the tokens held.
func (p *prefix) size() sapphiredrum.Tokens {
	if len(p.chains) == 0 {
		return 0
	}
	return p.chains[len(p.chains)-1].tokens
}

// match returns how many tokens of a history the memory holds.
func (m *memory) match(program sapphiredrum.ProgramID, messages []sapphiredrum.Message) sapphiredrum.Tokens {
	held, found := m.prefix[program]
	if !found {
		return 0
	}
	var cached sapphiredrum.Tokens
	for i, c := range chains(messages) {
		if i >= len(held.chains) || held.chains[i] != c {
			break
		}
		cached = c.tokens
	}
	return cached
}

// store replaces what is held of a program and returns the programs dropped to
// make room.
func (m *memory) store(program sapphiredrum.ProgramID, messages []sapphiredrum.Message) []sapphiredrum.ProgramID {
	if m.prefix == nil {
		m.prefix = make(map[sapphiredrum.ProgramID]*prefix)
	}
	p, found := m.prefix[program]
	if !found {
		p = &prefix{}
		m.prefix[program] = p
	}
	m.held -= p.size()
	p.chains = chains(messages)
	m.held += p.size()
	m.uses++
	p.used = m.uses
	return m.evict(program)
}

// pin counts a running call of a program.
func (m *memory) pin(program sapphiredrum.ProgramID) {
	if m.pins == nil {
		m.pins = make(map[sapphiredrum.ProgramID]int)
	}
	m.pins[program]++
}

// unpin counts the end of a running call and returns the programs dropped.
func (m *memory) unpin(program sapphiredrum.ProgramID) []sapphiredrum.ProgramID {
	m.pins[program]--
	if m.pins[program] <= 0 {
		delete(m.pins, program)
	}
	return m.evict("")
}

// drop forgets a program and reports whether it was held.
func (m *memory) drop(program sapphiredrum.ProgramID) bool {
	p, found := m.prefix[program]
	if found {
		m.held -= p.size()
		delete(m.prefix, program)
	}
	return found
}

// evict drops the least recently used prefixes that no call pins until the rest
// fits, sparing the one just stored.
func (m *memory) evict(stored sapphiredrum.ProgramID) []sapphiredrum.ProgramID {
	var dropped []sapphiredrum.ProgramID
	for m.limit > 0 && m.held > m.limit {
		victim, found := m.oldest(stored)
		if !found {
			break
		}
		m.drop(victim)
		dropped = append(dropped, victim)
	}
	return dropped
}

// oldest returns the least recently used prefix that may be dropped.
func (m *memory) oldest(stored sapphiredrum.ProgramID) (sapphiredrum.ProgramID, bool) {
	var victim sapphiredrum.ProgramID
	var found *prefix
	for program, p := range m.prefix {
		if m.pins[program] > 0 || program == stored {
			continue
		}
		if found == nil || p.used < found.used {
			victim, found = program, p
		}
	}
	return victim, found != nil
}

// programs returns the programs held, sorted.
func (m *memory) programs() []sapphiredrum.ProgramID {
	programs := make([]sapphiredrum.ProgramID, 0, len(m.prefix))
	for program := range m.prefix {
		programs = append(programs, program)
	}
	sort.Slice(programs, func(i, j int) bool { return programs[i] < programs[j] })
	return programs
}

// chains returns the state of a history after each message.
func chains(messages []sapphiredrum.Message) []chain {
	states := make([]chain, 0, len(messages))
	var last chain
	for _, m := range messages {
		last = chain{digest: link(last.digest, m), tokens: last.tokens + Count(m.Content)}
		states = append(states, last)
	}
	return states
}
