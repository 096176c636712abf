package launcher

import (
	"context"
	"sync/atomic"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// members follows the platform's list of live and leaving machines.
type members struct {
	roster  sd.MemberList
	leaving atomic.Pointer[map[sd.Address]bool]
}

// Leaving reports whether the list shows an address as leaving. An address that
// the list does not show counts as live: the list lags.
func (m *members) Leaving(address sd.Address) bool {
	known := m.leaving.Load()
	return known != nil && (*known)[address]
}

// run reads the list until ctx ends. What was read last stays in force while the
// list cannot be read.
func (m *members) run(ctx context.Context) error {
	ticker := time.NewTicker(rosterInterval.Duration())
	defer ticker.Stop()
	for {
		attempt, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
		listed, err := m.roster.Members(attempt)
		cancel()
		if err == nil {
			leaving := make(map[sd.Address]bool)
			for _, member := range listed {
				if member.Leaving {
					leaving[member.Address] = true
				}
			}
			m.leaving.Store(&leaving)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

const rosterInterval = sd.Second
