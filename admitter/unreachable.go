package admitter

import (
	"sync"

	sd "sapphiredrum.example/sapphiredrum"
)

// unreachableHosts records which hosts recently failed to answer. The zero value is empty.
type unreachableHosts struct {
	mu    sync.Mutex
	until map[sd.Address]sd.Instant
}

// add marks a host as unreachable for unreachablePeriod.
func (s *unreachableHosts) add(now sd.Instant, address sd.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[sd.Address]sd.Instant)
	}
	s.until[address] = now.Add(unreachablePeriod)
}

// has reports whether a host is currently marked as unreachable.
func (s *unreachableHosts) has(now sd.Instant, address sd.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, found := s.until[address]
	if found && now >= until {
		delete(s.until, address)
		return false
	}
	return found
}

// unreachablePeriod is how long a host that did not answer is skipped.
const unreachablePeriod = sd.Second
