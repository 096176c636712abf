package meterer

import (
	sd "sapphiredrum.example/sapphiredrum"
)

// Silence is how long a host may say nothing before its part is left to it: three
// usual intervals, so that one lost message does not count.
const Silence = 350 * sd.Millisecond

// State is one host's view of all workspaces' buckets. It is pure; its owner
// passes the time in, under one lock.
type State struct {
	buckets map[sd.WorkspaceID]*bucket
	peers   map[sd.HostID]*peer
	hosts   int
	started sd.Instant
}

type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     sd.Instant
	// admitted counts this host's admissions.
	admitted uint64
	// drained is when a request under way was last refused.
	drained sd.Instant
}

type peer struct {
	heard       sd.Instant
	incarnation sd.Incarnation
	admitted    map[sd.WorkspaceID]uint64
}

// New returns the state of a host that starts now. Its buckets start empty, as
// those of a restarted fleet must.
func New(now sd.Instant) *State {
	return &State{buckets: map[sd.WorkspaceID]*bucket{}, peers: map[sd.HostID]*peer{}, hosts: 1, started: now}
}

// Hosts sets the number of hosts that may be admitting, this one included.
func (s *State) Hosts(now sd.Instant, count int) {
	s.fillAll(now)
	s.hosts = max(count, 1)
}

// Configure sets the workspaces of a plan. A workspace without a rate is not
// bounded.
func (s *State) Configure(now sd.Instant, workspaces []sd.Workspace) {
	s.fillAll(now)
	old := s.buckets
	s.buckets = make(map[sd.WorkspaceID]*bucket, len(workspaces))
	for _, w := range workspaces {
		b := old[w.ID]
		if b == nil {
			b = &bucket{at: now}
		}
		b.rate, b.burst = float64(w.Rate), float64(w.Burst)
		b.tokens = min(b.tokens, b.capacity())
		s.buckets[w.ID] = b
	}
}

// capacity is the burst, and at least one request.
func (b *bucket) capacity() float64 { return max(b.burst, 1) }

// part is the share of the fleet's rate that this host may count on.
func (s *State) part(now sd.Instant) float64 {
	heard := 1
	for _, p := range s.peers {
		if now.Since(p.heard) <= Silence {
			heard++
		}
	}
	return min(float64(heard)/float64(s.hosts), 1)
}

func (s *State) fillAll(now sd.Instant) {
	part := s.part(now)
	for _, b := range s.buckets {
		b.fill(now, part)
	}
}

func (b *bucket) fill(now sd.Instant, part float64) {
	if now > b.at {
		b.tokens = min(b.tokens+b.rate*part*float64(now-b.at)/float64(sd.Second), b.capacity()*part)
		b.at = now
	}
}

// beginReserve is the part of a workspace's bucket that requests which begin a
// program leave to programs under way. A program that stops halfway has used its
// requests for nothing.
const beginReserve = 0.35

// beginPause is how long after a refusal within a program the reserve is held:
// about as long as a program runs.
const beginPause = 3 * sd.Second

// Admit takes a request of a workspace; begins tells that it begins a program. It
// returns false and when to come back if the workspace has used up its rate.
func (s *State) Admit(now sd.Instant, workspace sd.WorkspaceID, begins bool) (bool, sd.Millis) {
	b := s.buckets[workspace]
	if b == nil || b.rate == 0 {
		return true, 0
	}
	part := s.part(now)
	b.fill(now, part)
	need := min(1, b.capacity()*part)
	if begins && b.drained > 0 && now.Since(b.drained) < beginPause {
		need = max(need, b.capacity()*part*beginReserve)
	}
	if b.tokens < need {
		if !begins {
			b.drained = now
		}
		return false, sd.Millis((need - b.tokens) / (b.rate * part) * float64(sd.Second))
	}
	b.tokens--
	b.admitted++
	return true, 0
}

// Return gives back an admission whose request was not sent anywhere.
func (s *State) Return(workspace sd.WorkspaceID) {
	if b := s.buckets[workspace]; b != nil && b.rate > 0 && b.admitted > 0 {
		b.admitted--
		b.tokens = min(b.tokens+1, b.capacity())
	}
}

// Beat returns this host's admissions of each workspace since it started.
func (s *State) Beat() map[sd.WorkspaceID]uint64 {
	counts := map[sd.WorkspaceID]uint64{}
	for id, b := range s.buckets {
		if b.admitted > 0 {
			counts[id] = b.admitted
		}
	}
	return counts
}

// Heard takes the counts of another host. Counts of another start of that host
// begin at zero.
func (s *State) Heard(now sd.Instant, host sd.HostID, incarnation sd.Incarnation, counts map[sd.WorkspaceID]uint64) {
	s.fillAll(now)
	p := s.peers[host]
	if p == nil || p.incarnation != incarnation {
		p = &peer{incarnation: incarnation, admitted: map[sd.WorkspaceID]uint64{}}
		s.peers[host] = p
	}
	p.heard = now
	for id, count := range counts {
		before := p.admitted[id]
		if count == before {
			continue
		}
		p.admitted[id] = count
		if b := s.buckets[id]; b != nil {
			b.tokens -= float64(int64(count - before))
			b.tokens = min(b.tokens, b.capacity())
		}
	}
}

// Forget drops a host that is gone for good.
func (s *State) Forget(host sd.HostID) { delete(s.peers, host) }

// Tokens returns what is left of a workspace's bucket in this host's view.
func (s *State) Tokens(workspace sd.WorkspaceID) float64 {
	if b := s.buckets[workspace]; b != nil {
		return b.tokens
	}
	return 0
}
