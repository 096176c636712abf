package leaser

import "sapphiredrum.example/sapphiredrum"

// Deadline returns the instant before which the host's shards are its own
// unless it learns otherwise: the end of its lease, or, under the island rule,
// the end of the longest silence that the rule allows. It is zero for a host
// that holds nothing.
func (s *State) Deadline(now sapphiredrum.Instant) sapphiredrum.Instant {
	s.advance(now)
	if !s.lease.registered || s.lease.stopped {
		return 0
	}
	end := s.lease.sent.Add(s.settings.TTL)
	if now >= end {
		return now.Add(s.gap())
	}
	return end
}

// Deadline returns the instant before which this host's shards are its own.
func (r *Runner) Deadline() sapphiredrum.Instant {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Deadline(r.clock.Now())
}

// Retract takes Release back while nothing was written yet: the table cannot be
// reached and the process goes on with the shard. Asked comes again later.
func (s *State) Retract(shard sapphiredrum.ShardID) {
	if shard.Zone != s.settings.Zone || s.leaving {
		return
	}
	if h := &s.holds[shard.Number]; !h.releasing {
		h.asked, h.ready = false, false
	}
}

// Retract takes Release back while nothing was written yet.
func (r *Runner) Retract(shard sapphiredrum.ShardID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state.Retract(shard)
}

// Registration returns the epoch of this host's lease, and false while the host
// holds none.
func (r *Runner) Registration() (sapphiredrum.Epoch, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	return r.state.lease.epoch, r.state.Deadline(now) > now
}

// Gone reports whether the given lease of a zone peer is known to have ended: the
// peer's row shows it as lapsed, another lease or process, or no row was seen in
// scans that are at least as new as this host's own lease.
func (r *Runner) Gone(host sapphiredrum.HostID, incarnation sapphiredrum.Incarnation, lease sapphiredrum.Epoch) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry, found := r.state.view.hosts[host]
	if !found {
		now := r.clock.Now()
		return r.state.Reaches(now) && now.Since(r.state.reach.since) >= 2*r.state.settings.Scan
	}
	return entry.row.Lapsed || entry.row.Incarnation != incarnation || entry.row.Epoch != lease
}
