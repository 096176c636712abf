package admitter

import (
	"sync"

	sd "sapphiredrum.example/sapphiredrum"
)

// absences remembers which hosts did not answer a moment ago. The zero value
// remembers none.
type absences struct {
	mu    sync.Mutex
	until map[sd.Address]sd.Instant
}

// add leaves the host out for a moment.
func (s *absences) add(now sd.Instant, address sd.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[sd.Address]sd.Instant)
	}
	s.until[address] = now.Add(absence)
}

// has reports whether the host is left out now.
func (s *absences) has(now sd.Instant, address sd.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, found := s.until[address]
	if found && now >= until {
		delete(s.until, address)
		return false
	}
	return found
}

// absence is how long a host that did not answer is left out.
const absence = sd.Second
