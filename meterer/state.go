package meterer

import (
	"math"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// Settings limit how far the fleet may exceed a workspace's rate. Within any Window the excess
// may be ExcessFraction of what rate and burst allow, plus Slack requests. Zero settings allow
// no excess.
type Settings struct {
	Window         sd.Millis
	ExcessFraction float64
	Slack          float64
}

// State is one host's view of the token buckets of all workspaces. It is not safe for
// concurrent use; its owner serializes the calls and passes the time in.
type State struct {
	settings Settings
	buckets  map[gossiper.IDHash]*bucket
	peers    map[sd.HostID]*peer
	// hosts is the number of hosts that may be admitting, reachable the number of those that
	// are reachable. Both include this host, and both are zero until they are known.
	hosts, reachable int
	// suspended is set while this host admits nothing.
	suspended bool
	// beatInterval is the moving average of the time between two reports of a host.
	beatInterval float64
}

type bucket struct {
	rate     float64
	burst    float64
	tokens   float64
	filledAt sd.Instant
	// admitted counts this host's admissions since it started.
	admitted uint64
	// changedAt is when admitted last changed.
	changedAt sd.Instant
	// exhaustedAt is when a request of a running program was last refused or admitted on
	// borrowed tokens.
	exhaustedAt sd.Instant
	// peerRate is the estimated rate of the other hosts' admissions in requests per second, as of
	// peerRateAt.
	peerRate   float64
	peerRateAt sd.Instant
}

type peer struct {
	incarnation sd.Incarnation
	lastHeard   sd.Instant
	admitted    map[gossiper.IDHash]uint64
	// countsBeforeOutage holds the counts from before the host was unreachable for a while.
	countsBeforeOutage map[gossiper.IDHash]uint64
	// heardFromStart is set if the host has been heard from since it started, so that any
	// count not reported before was zero.
	heardFromStart bool
}

// unreachableAfter is the silence after which a host's admissions are attributed to its own
// share of the rate: two rounds of reports in a large fleet.
const unreachableAfter = 2 * sd.Second

// startupBeats is the number of reports after a host's start whose counts are all recent.
const startupBeats = 8

// New returns the state of a host. Its buckets start empty, as they must after a restart of
// the whole fleet.
func New(settings Settings) *State {
	return &State{settings: settings, buckets: map[gossiper.IDHash]*bucket{}, peers: map[sd.HostID]*peer{}}
}

// SetHostCounts sets the number of hosts that may be admitting and the number of those that
// are reachable, both including this host.
func (s *State) SetHostCounts(now sd.Instant, hosts, reachable int) {
	if hosts == s.hosts && reachable == s.reachable {
		return
	}
	s.fillAll(now)
	s.hosts, s.reachable = max(hosts, 1), max(reachable, 1)
}

// SetSuspended sets whether this host admits no requests of limited workspaces, as the others may
// use its share. Its buckets are empty when it begins again.
func (s *State) SetSuspended(now sd.Instant, suspended bool) {
	if suspended == s.suspended {
		return
	}
	s.fillAll(now)
	s.suspended = suspended
}

// Configure sets the workspaces of a fleet configuration. A workspace without a rate is not
// limited.
func (s *State) Configure(now sd.Instant, workspaces []sd.Workspace) {
	s.fillAll(now)
	previous := s.buckets
	s.buckets = make(map[gossiper.IDHash]*bucket, len(workspaces))
	for _, w := range workspaces {
		code := gossiper.HashID(w.ID)
		b := previous[code]
		if b == nil {
			b = &bucket{filledAt: now}
		}
		b.rate, b.burst = float64(w.Rate), float64(w.Burst)
		b.tokens = min(b.tokens, b.capacity())
		s.buckets[code] = b
	}
}

// capacity returns the burst, but at least one request.
func (b *bucket) capacity() float64 { return max(b.burst, 1) }

// reachableShare returns the share of the fleet's rate that this host may use.
func (s *State) reachableShare() float64 {
	if s.hosts == 0 || s.suspended {
		return 0
	}
	return min(float64(s.reachable)/float64(s.hosts), 1)
}

func (s *State) fillAll(now sd.Instant) {
	for _, b := range s.buckets {
		b.fill(now, s.reachableShare())
	}
}

func (b *bucket) fill(now sd.Instant, share float64) {
	if now > b.filledAt {
		b.tokens = min(b.tokens+b.rate*share*float64(now-b.filledAt)/float64(sd.Second), b.capacity()*share)
		b.filledAt = now
	}
}

// reserveFraction is the fraction of a workspace's bucket that requests which start a program
// leave to running programs. The requests of a program that stops halfway are wasted.
const reserveFraction = 0.35

// reserveDuration is how long the reserve is kept after a running program found too few tokens:
// about as long as a program runs.
const reserveDuration = 3 * sd.Second

// peerRateWindow is the time constant of the average of the other hosts' admissions: one round
// of reports in a large fleet, so that a flood shows in the average with the first reports.
const peerRateWindow = sd.Second

// maxUnreportedFraction limits the fraction of a bucket that is kept for admissions not yet
// reported.
const maxUnreportedFraction = 0.9

// unknownHostsRetry is the retry delay given by a host that does not know the other hosts yet;
// it reads them when it starts.
const unknownHostsRetry = 300 * sd.Millisecond

// beatIntervalWeight is the weight of a new interval between reports in the moving average.
const beatIntervalWeight = 0.05

// reportDelayFraction is the average age of the other hosts' reports, as a fraction of the
// interval between two reports: half an interval, and half as much again until a report has been
// relayed from another zone.
const reportDelayFraction = 0.75

// unreportedSlackFraction is the fraction of the allowed slack that admissions not yet reported
// may use. Without it, a few of them would exhaust the bucket of a workspace with a low rate,
// whose requests would be refused.
const unreportedSlackFraction = 0.3

// unreportedAdmissions estimates how many tokens to keep for requests that the other hosts have
// admitted but not yet reported.
func (s *State) unreportedAdmissions(now sd.Instant, b *bucket, share float64) float64 {
	rate := b.peerRate * math.Exp(-float64(now.Since(b.peerRateAt))/float64(peerRateWindow))
	estimate := min(rate*s.beatInterval*reportDelayFraction/float64(sd.Second), b.capacity()*share*maxUnreportedFraction)
	return max(0, estimate-unreportedSlackFraction*s.settings.Slack*share)
}

// recordPeerAdmissions adds admissions of another host to the average rate.
func (b *bucket) recordPeerAdmissions(now sd.Instant, count float64) {
	b.peerRate = b.peerRate*math.Exp(-float64(now.Since(b.peerRateAt))/float64(peerRateWindow)) + count*float64(sd.Second)/float64(peerRateWindow)
	b.peerRateAt = now
}

// borrowFraction is the fraction of the allowed excess that requests of running programs may
// borrow from the workspace's next seconds. The rest covers admissions that the hosts do not
// know of one another (TestFloodOfALargeFleetStaysWithinTheRate), which grow with the interval
// between two reports.
const borrowFraction = 0.3

// borrowLimit returns how far a bucket may go below zero for a running program, whose earlier
// requests would be wasted if it stopped halfway. New programs wait until the debt is repaid.
func (s *State) borrowLimit(b *bucket, share float64) float64 {
	window := float64(s.settings.Window) / float64(sd.Second)
	known := max(0, 1-s.beatInterval/float64(unreachableAfter))
	return borrowFraction * known * share * (s.settings.ExcessFraction*(b.rate*window+b.burst) + s.settings.Slack)
}

// Decision tells whether a request is admitted, and the values that decided it.
type Decision struct {
	Admitted bool
	// RetryAfter is when to retry a refused request.
	RetryAfter sd.Millis
	// Tokens is the content of the bucket before the request, Required what the request needed
	// to find there.
	Tokens, Required float64
	Rate             sd.Rate
	// ReachableShare is the share of the fleet that is reachable.
	ReachableShare sd.Share
}

// Admit decides on a request of a workspace and, if it is admitted, takes a token. begins is
// set on the first request of a program.
func (s *State) Admit(now sd.Instant, workspace sd.WorkspaceID, begins bool) Decision {
	b := s.buckets[gossiper.HashID(workspace)]
	if b == nil || b.rate == 0 {
		return Decision{Admitted: true}
	}
	share := s.reachableShare()
	b.fill(now, share)
	if share == 0 {
		// Hosts that do not know of one another would use more than the whole rate.
		return Decision{RetryAfter: unknownHostsRetry, Tokens: b.tokens, Rate: sd.Rate(b.rate)}
	}
	need := min(1, b.capacity()*share)
	if begins && b.exhaustedAt > 0 && now.Since(b.exhaustedAt) < reserveDuration {
		need = max(need, b.capacity()*share*reserveFraction)
	}
	need += s.unreportedAdmissions(now, b, share)
	if !begins {
		if b.tokens < need {
			b.exhaustedAt = now
		}
		need -= s.borrowLimit(b, share)
	}
	v := Decision{Admitted: b.tokens >= need, Tokens: b.tokens, Required: need, Rate: sd.Rate(b.rate), ReachableShare: sd.Share(share)}
	if !v.Admitted {
		v.RetryAfter = sd.Millis((need - b.tokens) / (b.rate * share) * float64(sd.Second))
		return v
	}
	b.tokens--
	b.admitted++
	b.changedAt = now
	return v
}

// Refund takes back an admission whose request was not sent to any target.
func (s *State) Refund(now sd.Instant, workspace sd.WorkspaceID) {
	if b := s.buckets[gossiper.HashID(workspace)]; b != nil && b.rate > 0 && b.admitted > 0 {
		b.admitted--
		b.changedAt = now
		b.tokens = min(b.tokens+1, b.capacity())
	}
}

// AdmissionCounts returns this host's admissions since it started, for the workspaces whose
// count changed within the given time. That time should span several reports, so that a change
// still arrives if one of them is lost.
func (s *State) AdmissionCounts(now sd.Instant, within sd.Millis) map[gossiper.IDHash]uint64 {
	counts := map[gossiper.IDHash]uint64{}
	for code, b := range s.buckets {
		if b.admitted > 0 && now.Since(b.changedAt) <= within {
			counts[code] = b.admitted
		}
	}
	return counts
}

// ApplyPeerCounts applies the counts reported by another host. A new incarnation of that host
// counts from zero.
func (s *State) ApplyPeerCounts(now sd.Instant, host sd.HostID, incarnation sd.Incarnation, number uint64, counts map[gossiper.IDHash]uint64) {
	p := s.peers[host]
	if p == nil || p.incarnation != incarnation {
		p = &peer{incarnation: incarnation, admitted: map[gossiper.IDHash]uint64{}, heardFromStart: number <= startupBeats}
		s.peers[host] = p
	}
	if p.lastHeard > 0 && now.Since(p.lastHeard) > unreachableAfter {
		p.admitted, p.countsBeforeOutage = map[gossiper.IDHash]uint64{}, p.admitted
	}
	if p.lastHeard > 0 && now.Since(p.lastHeard) <= unreachableAfter {
		s.beatInterval += beatIntervalWeight * (float64(now.Since(p.lastHeard)) - s.beatInterval)
	}
	p.lastHeard = now
	for code, count := range counts {
		previous, known := p.admitted[code]
		p.admitted[code] = count
		floor := math.Inf(-1)
		if last, interrupted := p.countsBeforeOutage[code]; interrupted && !known {
			// Most of the increase came from the share of the rate that was withheld from this
			// host's bucket meanwhile, so it may empty the bucket but leaves no debt.
			previous, known, floor = last, true, 0
		}
		if count == previous || (!known && !p.heardFromStart) {
			// Requests admitted before this host started to listen do not count.
			continue
		}
		if b := s.buckets[code]; b != nil {
			b.fill(now, s.reachableShare())
			b.recordPeerAdmissions(now, float64(int64(count-previous)))
			b.tokens = max(min(b.tokens-float64(int64(count-previous)), b.capacity()), min(b.tokens, floor))
		}
	}
}

// RemoveHost removes a host that has left the fleet for good.
func (s *State) RemoveHost(host sd.HostID) { delete(s.peers, host) }

// Tokens returns the tokens left in a workspace's bucket, as seen by this host.
func (s *State) Tokens(workspace sd.WorkspaceID) float64 {
	if b := s.buckets[gossiper.HashID(workspace)]; b != nil {
		return b.tokens
	}
	return 0
}
