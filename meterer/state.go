package meterer

import (
	"math"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// Settings tell how far the fleet may exceed a workspace's rate: in any Window by
// Over of what the rate admits there, and Slack requests. Zero settings allow nothing.
type Settings struct {
	Window sd.Millis
	Over   float64
	Slack  float64
}

// State is one host's view of all workspaces' buckets. It is pure; its owner
// passes the time in, under one lock.
type State struct {
	settings Settings
	buckets  map[gossiper.Code]*bucket
	peers    map[sd.HostID]*peer
	// hosts is the number of hosts that may be admitting, reach the number of those
	// that are in reach, both with this one; zero until they are known.
	hosts, reach int
	// gap is the average time between two beats of a host.
	gap float64
}

type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     sd.Instant
	// admitted counts this host's admissions.
	admitted uint64
	// changed is when admitted last changed.
	changed sd.Instant
	// drained is when a request under way was last refused, or admitted on loan.
	drained sd.Instant
	// flow is what the other hosts admit, in requests a second, flowAt as of when.
	flow   float64
	flowAt sd.Instant
}

type peer struct {
	incarnation sd.Incarnation
	heard       sd.Instant
	admitted    map[gossiper.Code]uint64
	// behind holds the counts before the host was out of reach for a while.
	behind map[gossiper.Code]uint64
	// whole tells that the host was heard from its start, so that a count not heard
	// before was zero.
	whole bool
}

// outOfReach is the silence after which a host's admissions came from its own part
// of the rate: two rounds of beats in a large fleet.
const outOfReach = 2 * sd.Second

// earlyBeats is the number of first beats of which the host's counts are all recent.
const earlyBeats = 8

// New returns the state of a host. Its buckets start empty, as those of a
// restarted fleet must.
func New(settings Settings) *State {
	return &State{settings: settings, buckets: map[gossiper.Code]*bucket{}, peers: map[sd.HostID]*peer{}}
}

// Hosts sets the number of hosts that may be admitting and of those in reach,
// both with this one.
func (s *State) Hosts(now sd.Instant, hosts, reach int) {
	if hosts == s.hosts && reach == s.reach {
		return
	}
	s.fillAll(now)
	s.hosts, s.reach = max(hosts, 1), max(reach, 1)
}

// Configure sets the workspaces of a plan. A workspace without a rate is not
// bounded.
func (s *State) Configure(now sd.Instant, workspaces []sd.Workspace) {
	s.fillAll(now)
	old := s.buckets
	s.buckets = make(map[gossiper.Code]*bucket, len(workspaces))
	for _, w := range workspaces {
		code := gossiper.CodeOf(w.ID)
		b := old[code]
		if b == nil {
			b = &bucket{at: now}
		}
		b.rate, b.burst = float64(w.Rate), float64(w.Burst)
		b.tokens = min(b.tokens, b.capacity())
		s.buckets[code] = b
	}
}

// capacity is the burst, and at least one request.
func (b *bucket) capacity() float64 { return max(b.burst, 1) }

// part is the share of the fleet's rate that this host may count on.
func (s *State) part() float64 {
	if s.hosts == 0 {
		return 0
	}
	return min(float64(s.reach)/float64(s.hosts), 1)
}

func (s *State) fillAll(now sd.Instant) {
	for _, b := range s.buckets {
		b.fill(now, s.part())
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

// flowSpan is the span over which the others' admissions are averaged: a round of
// beats in a large fleet, so that a flood shows in it while the first beats tell.
const flowSpan = sd.Second

// unseenMost bounds the part of a bucket that is kept for admissions not yet told.
const unseenMost = 0.9

// unknownWait is when a caller should come back to a host that does not know the others
// yet: it reads them at its start.
const unknownWait = 300 * sd.Millisecond

// gapSmoothing is the weight of a new gap between beats in the average.
const gapSmoothing = 0.05

// tellLag is how old what the others told is, as a part of the gap between two beats: half
// of one, and half as much again until it is passed on from another zone.
const tellLag = 0.75

// borne is the part of the allowed slack that admissions not yet told may take. A workspace of
// a low rate would be refused what its bucket holds for a handful of them.
const borne = 0.3

// unseen estimates what the others have admitted and not yet told.
func (s *State) unseen(now sd.Instant, b *bucket, part float64) float64 {
	flow := b.flow * math.Exp(-float64(now.Since(b.flowAt))/float64(flowSpan))
	estimate := min(flow*s.gap*tellLag/float64(sd.Second), b.capacity()*part*unseenMost)
	return max(0, estimate-borne*s.settings.Slack*part)
}

// add notes what another host admitted.
func (b *bucket) add(now sd.Instant, count float64) {
	b.flow = b.flow*math.Exp(-float64(now.Since(b.flowAt))/float64(flowSpan)) + count*float64(sd.Second)/float64(flowSpan)
	b.flowAt = now
}

// lent is the part of the allowed excess that requests of programs under way may
// borrow from the workspace's next seconds; the rest is left to what the hosts do not
// know of one another (TestFloodOfALargeFleetStaysWithinTheRate), which grows with the time
// between two beats.
const lent = 0.3

// loan returns how far a bucket may go below empty for a program under way: it has
// used its requests for nothing if it stops halfway, and new programs pay them back.
func (s *State) loan(b *bucket, part float64) float64 {
	window := float64(s.settings.Window) / float64(sd.Second)
	known := max(0, 1-s.gap/float64(outOfReach))
	return lent * known * part * (s.settings.Over*(b.rate*window+b.burst) + s.settings.Slack)
}

// Verdict tells whether a request is admitted, and what decided it.
type Verdict struct {
	Admitted bool
	// Wait is when to come back.
	Wait sd.Millis
	// Tokens is what was left in the bucket, Need what the request had to find there.
	Tokens, Need float64
	Rate         sd.Rate
	// Part is the share of the fleet that is in reach.
	Part sd.Share
}

// Admit takes a request of a workspace; begins tells that it begins a program.
func (s *State) Admit(now sd.Instant, workspace sd.WorkspaceID, begins bool) Verdict {
	b := s.buckets[gossiper.CodeOf(workspace)]
	if b == nil || b.rate == 0 {
		return Verdict{Admitted: true}
	}
	part := s.part()
	b.fill(now, part)
	if part == 0 {
		// Each host would take the whole rate until it knows of the others.
		return Verdict{Wait: unknownWait, Tokens: b.tokens, Rate: sd.Rate(b.rate)}
	}
	need := min(1, b.capacity()*part)
	if begins && b.drained > 0 && now.Since(b.drained) < beginPause {
		need = max(need, b.capacity()*part*beginReserve)
	}
	need += s.unseen(now, b, part)
	if !begins {
		if b.tokens < need {
			b.drained = now
		}
		need -= s.loan(b, part)
	}
	v := Verdict{Admitted: b.tokens >= need, Tokens: b.tokens, Need: need, Rate: sd.Rate(b.rate), Part: sd.Share(part)}
	if !v.Admitted {
		v.Wait = sd.Millis((need - b.tokens) / (b.rate * part) * float64(sd.Second))
		return v
	}
	b.tokens--
	b.admitted++
	b.changed = now
	return v
}

// Return gives back an admission whose request was not sent anywhere.
func (s *State) Return(now sd.Instant, workspace sd.WorkspaceID) {
	if b := s.buckets[gossiper.CodeOf(workspace)]; b != nil && b.rate > 0 && b.admitted > 0 {
		b.admitted--
		b.changed = now
		b.tokens = min(b.tokens+1, b.capacity())
	}
}

// Beat returns this host's admissions since it started, of the workspaces that
// changed within lately: often enough that each change is told several times.
func (s *State) Beat(now sd.Instant, lately sd.Millis) map[gossiper.Code]uint64 {
	counts := map[gossiper.Code]uint64{}
	for code, b := range s.buckets {
		if b.admitted > 0 && now.Since(b.changed) <= lately {
			counts[code] = b.admitted
		}
	}
	return counts
}

// Heard takes the counts of another host. Counts of another start of that host
// begin at zero.
func (s *State) Heard(now sd.Instant, host sd.HostID, incarnation sd.Incarnation, number uint64, counts map[gossiper.Code]uint64) {
	p := s.peers[host]
	if p == nil || p.incarnation != incarnation {
		p = &peer{incarnation: incarnation, admitted: map[gossiper.Code]uint64{}, whole: number <= earlyBeats}
		s.peers[host] = p
	}
	if p.heard > 0 && now.Since(p.heard) > outOfReach {
		p.admitted, p.behind = map[gossiper.Code]uint64{}, p.admitted
	}
	if p.heard > 0 && now.Since(p.heard) <= outOfReach {
		s.gap += gapSmoothing * (float64(now.Since(p.heard)) - s.gap)
	}
	p.heard = now
	for code, count := range counts {
		before, known := p.admitted[code]
		p.admitted[code] = count
		least := math.Inf(-1)
		if last, behind := p.behind[code]; behind && !known {
			// Most of it came from the part of the rate that this host's bucket was not
			// filled with meanwhile, so it empties the bucket and leaves no debt.
			before, known, least = last, true, 0
		}
		if count == before || (!known && !p.whole) {
			// What was admitted before this host listened is past.
			continue
		}
		if b := s.buckets[code]; b != nil {
			b.fill(now, s.part())
			b.add(now, float64(int64(count-before)))
			b.tokens = max(min(b.tokens-float64(int64(count-before)), b.capacity()), min(b.tokens, least))
		}
	}
}

// Forget drops a host that is gone for good.
func (s *State) Forget(host sd.HostID) { delete(s.peers, host) }

// Tokens returns what is left of a workspace's bucket in this host's view.
func (s *State) Tokens(workspace sd.WorkspaceID) float64 {
	if b := s.buckets[gossiper.CodeOf(workspace)]; b != nil {
		return b.tokens
	}
	return 0
}
