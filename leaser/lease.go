package leaser

import "sapphiredrum.example/sapphiredrum"

// lease is the host's registration and the time it is good for.
type lease struct {
	registered bool
	version    uint64
	epoch      sapphiredrum.Epoch
	// sent is when the last successful transaction was requested.
	sent sapphiredrum.Instant
	// stopped is set when the lease ends and cleared by a renewal only.
	stopped bool
}

// reach tells whether the table answers this host.
type reach struct {
	// ever and answered tell of the last answer.
	ever     bool
	answered sapphiredrum.Instant
	// unbroken is unset by a failed scan; since is when the answers that no
	// failure and no gap interrupted began.
	unbroken bool
	since    sapphiredrum.Instant
}

// peer is what the beats of a zone peer told.
type peer struct {
	beat  Beat
	heard sapphiredrum.Instant
	// reachedAt is when the peer was first heard to reach the platform, if its
	// last beat said so.
	reachedAt sapphiredrum.Instant
}

// pauseShare is the part of TTL beyond which a pause of the process forbids to go
// on past the lease. With the silence that a peer's beats may have (a third) and
// the time to renew (a third) it must stay below one TTL.
const pauseShare = 5

// gap is the longest silence that counts as uninterrupted, between answers of the
// table and between beats of a peer. A request without an answer for so long is
// given up.
func (s *State) gap() sapphiredrum.Millis {
	return s.settings.TTL / 3
}

// watch is how long a claimant watches a row.
func (s *State) watch() sapphiredrum.Millis {
	return s.settings.TTL + s.settings.Drift
}

// Reaches reports whether the platform's table answers this host.
func (s *State) Reaches(now sapphiredrum.Instant) bool {
	return s.reach.ever && now.Since(s.reach.answered) < s.gap()
}

// Beat returns the heartbeat to send to zone peers now. It claims to reach the
// platform only while the time that this host watches rows runs.
func (s *State) Beat(now sapphiredrum.Instant) Beat {
	s.beats++
	s.told = s.released
	return Beat{
		Host: s.settings.Host, Zone: s.settings.Zone, Address: s.settings.Address,
		Incarnation: s.settings.Incarnation, Number: s.beats,
		Reaches: s.reach.unbroken && s.Reaches(now), Released: s.released,
	}
}

// Urgent reports whether a beat should go out at once, since a shard was
// released after the last one.
func (s *State) Urgent() bool {
	return s.released > s.told
}

// Hear takes a heartbeat of a zone peer.
func (s *State) Hear(now sapphiredrum.Instant, beat Beat) {
	s.advance(now)
	if beat.Zone != s.settings.Zone || beat.Host == s.settings.Host {
		return
	}
	known, found := s.peers[beat.Host]
	if found && known.beat.Incarnation == beat.Incarnation && beat.Number <= known.beat.Number {
		return
	}
	next := &peer{beat: beat, heard: now, reachedAt: now}
	if found && known.beat.Reaches {
		next.reachedAt = known.reachedAt
	}
	s.peers[beat.Host] = next
	s.met = true
	if beat.Released > s.view.shardScan.reached && (!found || beat.Released > known.beat.Released) {
		s.view.hostScan.next, s.view.shardScan.next = now, now
	}
}

// Refresh asks for a scan before its time, for a caller that found a shard's
// owner changed; scans stay a quarter of Scan apart.
func (s *State) Refresh(now sapphiredrum.Instant) {
	for _, c := range []*scan{&s.view.hostScan, &s.view.shardScan} {
		c.next = min(c.next, max(now, c.lane.sent.Add(s.settings.Scan/4)))
	}
}

// advance moves the state to now: it notes a pause of the process and ends the
// lease when its time has come.
func (s *State) advance(now sapphiredrum.Instant) {
	if now.Since(s.last) > s.settings.TTL/pauseShare {
		s.resumed = now
	}
	if s.lease.registered && !s.lease.stopped && now >= s.lease.sent.Add(s.settings.TTL) && !s.island(now) {
		s.lease.stopped = true
		s.reconcile()
	}
	for name, p := range s.peers {
		if now.Since(p.heard) > s.settings.TTL {
			delete(s.peers, name)
		}
	}
	s.last = max(s.last, now)
}

// island reports whether the island rule lets the host go on past its lease.
func (s *State) island(now sapphiredrum.Instant) bool {
	if s.resumed > s.lease.sent {
		return false
	}
	if s.Reaches(now) && now.Since(s.reach.since) >= s.gap() {
		return false
	}
	heard := false
	for _, p := range s.peers {
		if p.beat.Reaches && now.Since(p.reachedAt) >= s.gap() {
			return false
		}
		heard = heard || now.Since(p.heard) <= s.gap()
	}
	return heard || !s.met && len(s.Members()) == 0
}

// relayPeer returns the first zone peer that is heard to reach the platform,
// counting from the turn-th on.
func (s *State) relayPeer(now sapphiredrum.Instant, turn uint64) (Beat, bool) {
	var candidates []Beat
	for _, name := range sortedPeers(s.peers) {
		if p := s.peers[name]; p.beat.Reaches && now.Since(p.heard) <= s.gap() {
			candidates = append(candidates, p.beat)
		}
	}
	if len(candidates) == 0 {
		return Beat{}, false
	}
	return candidates[turn%uint64(len(candidates))], true
}

// answers notes an answer that came straight from the table.
func (r *reach) answers(now sapphiredrum.Instant, gap sapphiredrum.Millis) {
	if !r.unbroken || now.Since(r.answered) >= gap {
		r.since = now
	}
	r.ever, r.unbroken, r.answered = true, true, now
}

// fails notes a scan that got no answer.
func (r *reach) fails() {
	r.unbroken = false
}
