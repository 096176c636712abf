package server

import (
	"context"
	"sync"

	sd "sapphiredrum.example/sapphiredrum"
)

// Streams indexes the open requests by the key that they came with. The zero
// value is ready for use.
type Streams struct {
	mu     sync.Mutex
	number uint64
	open   map[sd.KeyID]map[uint64]context.CancelCauseFunc
}

// Open registers a request and returns its context, which ends with a
// KeyWithdrawn refusal when the key is withdrawn, and the function that
// unregisters it.
func (s *Streams) Open(ctx context.Context, key sd.KeyID) (context.Context, func()) {
	inner, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[sd.KeyID]map[uint64]context.CancelCauseFunc)
	}
	if s.open[key] == nil {
		s.open[key] = make(map[uint64]context.CancelCauseFunc)
	}
	s.number++
	number := s.number
	s.open[key][number] = cancel
	return inner, func() { s.remove(key, number) }
}

// Withdraw ends the requests of every key for which valid returns false.
func (s *Streams) Withdraw(valid func(sd.KeyID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, requests := range s.open {
		if key == "" || valid(key) {
			continue
		}
		for _, cancel := range requests {
			cancel(&sd.Refusal{Reason: sd.KeyRevoked, Outcome: sd.Unknown, Detail: "the key was withdrawn during the call"})
		}
	}
}

// Count returns the number of open requests.
func (s *Streams) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, requests := range s.open {
		count += len(requests)
	}
	return count
}

// remove unregisters a request and frees its context.
func (s *Streams) remove(key sd.KeyID, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.open[key][number]; cancel != nil {
		cancel(nil)
	}
	delete(s.open[key], number)
	if len(s.open[key]) == 0 {
		delete(s.open, key)
	}
}
