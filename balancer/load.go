package balancer

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// report is what another host last told.
type report struct {
	at       sd.Instant
	inflight map[gossiper.Code]int
	sent     map[gossiper.Code]int
}

func (s *State) relative(now sd.Instant, t *target) float64 {
	return float64(s.load(now, t)) / float64(t.Slots)
}

// load estimates what runs and waits at a target: this host's own requests and
// the larger of what the other hosts and the target tell of others'.
func (s *State) load(now sd.Instant, t *target) int {
	others := 0.0
	for _, r := range s.peers {
		if now.Since(r.at) < heardFor {
			others += float64(r.inflight[t.code])
		}
	}
	if age := now.Since(t.toldAt); age < toldFor && t.toldAt != 0 {
		part := 1 - float64(age)/float64(toldFor)
		others += part * (float64(t.told-t.ownThen) - others)
	}
	return t.inflight + int(others+0.5)
}

// crowded reports whether a program had better not begin: the pool's slots are so
// full that the turns of the programs under way would wait. The less urgent the
// program, and the older what the others told, the sooner.
func (s *State) crowded(now sd.Instant, k *Ticket) bool {
	p := s.pool(k.Pool)
	i, seen := slices.BinarySearch(p.tiers, k.Tier)
	if !seen {
		p.tiers = slices.Insert(p.tiers, i, k.Tier)
	}
	running, slots := 0, 0
	for _, t := range p.members {
		if !t.Leaving && !s.evacuated[t.Zone] {
			running += t.inflight
			slots += int(t.Slots)
		}
	}
	var heard, age float64
	for _, r := range s.peers {
		if now.Since(r.at) < heardFor {
			heard++
			age += float64(now.Since(r.at))
			for _, t := range p.members {
				running += r.inflight[t.code]
			}
		}
	}
	full := crowdFull
	if heard > 0 {
		full = max(full-crowdAge*age/heard/p.service, crowdLeast)
	}
	if n := len(p.tiers); n > 1 {
		full += crowdTiers * float64(n-1-i) / float64(n-1)
	}
	k.Running, k.Bound = running, full*float64(slots)
	return float64(running) > k.Bound
}

// room reports whether a target may get a request now.
func (s *State) room(now sd.Instant, p *pool, t *target) bool {
	return s.load(now, t) < int(t.Slots) && s.bears(now, p, t)
}

// Hosts sets the number of hosts among which the cold bound is shared.
func (s *State) Hosts(count int) { s.hosts = max(count, 1) }

// Join tells that a host is heard which has run for longer than the cold bound counts: this
// one did not start together with all others.
func (s *State) Join() { s.joined = true }

// bears reports whether one more request keeps the bound of cold targets. A host may
// send as many as the others know of; beyond that, its share of what the others leave
// unused, less a margin. A small part of the bound is each host's without a word.
func (s *State) bears(now sd.Instant, p *pool, t *target) bool {
	if p.settings.ColdRate == 0 {
		return true
	}
	if s.hosts == 0 || (!s.joined && now.Since(s.began) < startQuiet) {
		// All hosts may have sent their parts just before they were lost together.
		return false
	}
	bound := float64(p.settings.ColdRate)*s.settings.ColdOver + s.settings.ColdSlack
	part := math.Floor(bound * coldEven / float64(s.hosts))
	own := float64(t.lately(now))
	if own+1 <= part {
		return true
	}
	others, silent := 0.0, s.hosts-1
	for _, r := range s.peers {
		if now.Since(r.at) < heardFor {
			others += max(float64(r.sent[t.code]), part)
			silent--
		}
	}
	others += float64(max(silent, 0)) * bound / float64(s.hosts)
	known := max(float64(t.announced), part)
	if own+others+1 > bound*(1-coldMargin) {
		return false
	}
	return own+1 <= known || own+1-known <= s.share(t, bound*(1-coldMargin)-others-known)
}

// share returns how much of a target's unused requests a host may take before the
// others hear of it: the even part, and one of the remainder if its rank among the
// hosts is low enough.
func (s *State) share(t *target, unused float64) float64 {
	n := math.Floor(max(unused, 0))
	even := math.Floor(n / float64(s.hosts))
	if float64(t.before) < n-even*float64(s.hosts) {
		even++
	}
	return even
}

// begin notes when this host began to count what it sends, and forgets what removed
// targets got too long ago to matter.
func (s *State) begin(now sd.Instant) {
	if s.began == 0 {
		s.began = now
	}
	for id, sent := range s.removed {
		if len(sent) == 0 || now.Since(sent[len(sent)-1]) > coldWindow {
			delete(s.removed, id)
		}
	}
}

func (t *target) lately(now sd.Instant) int { return t.within(now, coldWindow) }

// within returns the number of requests sent in the last span.
func (t *target) within(now sd.Instant, span sd.Millis) int {
	n := 0
	for n < len(t.sent) && now.Since(t.sent[len(t.sent)-1-n]) <= span {
		n++
	}
	return n
}

// Told takes the load that a target tells with its answer.
func (s *State) Told(now sd.Instant, id sd.TargetID, running, waiting sd.Slots) {
	if t := s.targets[id]; t != nil {
		t.told, t.toldAt, t.ownThen = int(running+waiting), now, t.inflight
	}
}

// Beat returns what this host tells the others: its requests under way and those
// sent in the last second.
func (s *State) Beat(now sd.Instant) (inflight, sent map[gossiper.Code]int) {
	s.begin(now)
	inflight, sent = map[gossiper.Code]int{}, map[gossiper.Code]int{}
	for _, t := range s.targets {
		t.announced, t.before = t.lately(now), s.before(now.Add(-heardFor), t)
		if t.inflight > 0 {
			inflight[t.code] = t.inflight
		}
		if t.announced > 0 {
			sent[t.code] = t.announced
		}
	}
	return inflight, sent
}

// before counts the hosts heard of since an instant that come before this one in a
// target's order of hosts.
func (s *State) before(since sd.Instant, t *target) int {
	n := 0
	for host, r := range s.peers {
		if r.at > since && rank(host, t.ID) < t.rank {
			n++
		}
	}
	return n
}

// rank orders the hosts of a target, and the targets of a host.
func rank(host sd.HostID, id sd.TargetID) uint64 {
	return xxhash.Sum64String(string(host) + "|" + string(id))
}

// Heard takes what another host told.
func (s *State) Heard(now sd.Instant, host sd.HostID, inflight, sent map[gossiper.Code]int) {
	s.peers[host] = report{at: now, inflight: inflight, sent: sent}
}
