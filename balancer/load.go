package balancer

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// peerLoad is the last load report of another host.
type peerLoad struct {
	host    sd.HostID
	heardAt sd.Instant
	// codes are the targets that the report names.
	codes []gossiper.IDHash
	// reportsTokens is set once the host has reported tokens.
	reportsTokens bool
}

// peerShare is the part of a host's load report that concerns one target.
type peerShare struct {
	peer           *peerLoad
	inflight, sent int
	unread, tokens int
}

// utilization returns a target's estimated load per slot.
func (s *State) utilization(now sd.Instant, t *target) float64 {
	return float64(s.load(now, t)) / float64(t.Slots)
}

// load estimates the number of requests that run or queue at a target: this host's own
// requests plus those of other hosts. The latter are taken from the hosts' reports and, with
// a weight that falls to zero over targetLoadTTL, from the load that the target itself reported.
func (s *State) load(now sd.Instant, t *target) int {
	others := 0.0
	for _, share := range s.shares[t.code] {
		if now.Since(share.peer.heardAt) < peerLoadTTL {
			others += float64(share.inflight)
		}
	}
	if age := now.Since(t.reportedAt); age < targetLoadTTL && t.reportedAt != 0 {
		weight := 1 - float64(age)/float64(targetLoadTTL)
		others += weight * (float64(t.reportedLoad-t.ownAtReport) - others)
	}
	return t.inflight + int(others+0.5)
}

// saturated reports whether to refuse a request that starts a program: so many of the pool's
// slots are taken that the turns of running programs would have to queue. The threshold is
// lower for less urgent tiers and falls with the age of the other hosts' load reports.
func (s *State) saturated(now sd.Instant, req *Request) bool {
	p := s.pool(req.Pool)
	i, seen := slices.BinarySearch(p.tiers, req.Tier)
	if !seen {
		p.tiers = slices.Insert(p.tiers, i, req.Tier)
	}
	running, slots := 0, 0
	for _, t := range p.members {
		if s.accepts(t) {
			running += t.inflight
			slots += s.openSlots(p, t)
		}
		for _, share := range s.shares[t.code] {
			if now.Since(share.peer.heardAt) < peerLoadTTL {
				running += share.inflight
			}
		}
	}
	var reports, age float64
	for _, r := range s.peers {
		if now.Since(r.heardAt) < peerLoadTTL {
			reports++
			age += float64(now.Since(r.heardAt))
		}
	}
	limit := saturationLimit
	if reports > 0 {
		limit = max(limit-saturationAgePenalty*age/reports/p.serviceTime, minSaturationLimit)
	}
	if n := len(p.tiers); n > 1 {
		limit += saturationTierSpread * float64(n-1-i) / float64(n-1)
	}
	req.PoolRunning, req.RunningLimit = running, limit*float64(slots)
	return float64(running) > req.RunningLimit
}

// hasRoom reports whether a target can accept a request now. heard is the number of hosts whose
// load report is in use.
func (s *State) hasRoom(now sd.Instant, p *pool, t *target, heard int) bool {
	return s.load(now, t) < int(t.Slots) && s.withinColdLimit(now, p, t, heard)
}

// SetHostCount sets the number of hosts that share the rate limit of cold targets.
func (s *State) SetHostCount(count int) { s.hosts = max(count, 1) }

// MarkFleetRunning records that another host has been running for longer than the window of
// the cold limit, so that this host did not start together with all others.
func (s *State) MarkFleetRunning() { s.fleetRunning = true }

// withinColdLimit reports whether one more request keeps a cold target within its rate limit.
// Each host may always use its even share of coldGuaranteedFraction of the limit. Beyond that
// it may send as many requests as it has announced to the other hosts, plus its share of what
// they leave unused, less a reserve.
func (s *State) withinColdLimit(now sd.Instant, p *pool, t *target, heard int) bool {
	if p.settings.ColdRate == 0 || s.settings.ColdUnlimited {
		return true
	}
	if s.hosts == 0 || (!s.fleetRunning && now.Since(s.countingSince) < startupHold) {
		// The hosts may have used their shares just before all of them were lost together.
		return false
	}
	limit := float64(p.settings.ColdRate)*s.settings.ColdRateFactor + s.settings.ColdSlack
	guaranteed := math.Floor(limit * coldGuaranteedFraction / float64(s.hosts))
	sent := float64(t.sentInWindow(now))
	if sent+1 <= guaranteed {
		return true
	}
	unheard := max(s.hosts-1-heard, 0)
	others := float64(heard) * guaranteed
	for _, share := range s.shares[t.code] {
		if now.Since(share.peer.heardAt) < peerLoadTTL {
			others += max(float64(share.sent)-guaranteed, 0)
		}
	}
	// Hosts of a zone that does not hear this one use other targets than its own, except for
	// a few requests.
	absent := 0
	if t.Zone == s.settings.Zone {
		absent = min(unheard, s.unreachableHosts)
	}
	others += float64(unheard-absent)*limit/float64(s.hosts) + float64(absent)*guaranteed
	announced := max(float64(t.announcedSent), guaranteed)
	if sent+others+1 > limit*(1-coldReserveFraction) {
		return false
	}
	return sent+1 <= announced || sent+1-announced <= s.extraAllowance(t, s.hosts-absent, limit*(1-coldReserveFraction)-others-announced)
}

// heardHosts returns the number of hosts whose load report is in use.
func (s *State) heardHosts(now sd.Instant) int {
	heard := 0
	for _, r := range s.peers {
		if now.Since(r.heardAt) < peerLoadTTL {
			heard++
		}
	}
	return heard
}

// extraAllowance returns how many of a target's unused requests a host may take before the
// others learn of it: an even share among the given number of hosts, plus one of the
// remainder if its rank among them is low enough.
func (s *State) extraAllowance(t *target, hosts int, unused float64) float64 {
	n := math.Floor(max(unused, 0))
	even := math.Floor(n / float64(hosts))
	if float64(t.hostsBefore) < n-even*float64(hosts) {
		even++
	}
	return even
}

// housekeep records when this host began to count the requests it sends, and drops the send
// times of removed targets once they are older than the window of the cold limit.
func (s *State) housekeep(now sd.Instant) {
	if s.countingSince == 0 {
		s.countingSince = now
	}
	for id, sent := range s.removedSent {
		if len(sent) == 0 || now.Since(sent[len(sent)-1]) > coldWindow {
			delete(s.removedSent, id)
		}
	}
}

// sentInWindow returns the number of requests sent within the window of the cold limit.
func (t *target) sentInWindow(now sd.Instant) int { return t.sentWithin(now, coldWindow) }

// sentWithin returns the number of requests sent within the last span.
func (t *target) sentWithin(now sd.Instant, span sd.Millis) int {
	n := 0
	for n < len(t.sent) && now.Since(t.sent[len(t.sent)-1-n]) <= span {
		n++
	}
	return n
}

// ReportTargetLoad records the load that a target reports with its response.
func (s *State) ReportTargetLoad(now sd.Instant, id sd.TargetID, running, waiting sd.Slots) {
	if t := s.targets[id]; t != nil {
		s.reports++
		t.reportedLoad, t.reportedAt, t.ownAtReport = int(running+waiting), now, t.inflight
	}
}

// LocalLoad returns what this host reports to the others, by target: its requests in flight
// and those sent within the window of the cold limit.
func (s *State) LocalLoad(now sd.Instant) (inflight, sent map[gossiper.IDHash]int) {
	s.housekeep(now)
	s.forgetAnnounced(now)
	inflight, sent = map[gossiper.IDHash]int{}, map[gossiper.IDHash]int{}
	for _, t := range s.targets {
		t.announcedSent, t.hostsBefore = t.sentInWindow(now), s.hostsRankedBefore(now.Add(-peerLoadTTL), t)
		if t.inflight > 0 {
			inflight[t.code] = t.inflight
		}
		if t.announcedSent > 0 {
			sent[t.code] = t.announcedSent
		}
	}
	return inflight, sent
}

// hostsRankedBefore counts the hosts heard from since an instant that precede this one in a
// target's rendezvous order.
func (s *State) hostsRankedBefore(since sd.Instant, t *target) int {
	for _, r := range s.peerList[len(t.precededBy):] {
		t.precededBy = append(t.precededBy, rank(r.host, t.ID) < t.rank)
	}
	n := 0
	for i, r := range s.peerList {
		if t.precededBy[i] && r.heardAt > since {
			n++
		}
	}
	return n
}

// rank returns the rendezvous hash of a host and a target. It orders the hosts of a target and
// the targets of a host.
func rank(host sd.HostID, id sd.TargetID) uint64 {
	return xxhash.Sum64String(string(host) + "|" + string(id))
}

// ReportPeerLoad records the load report of another host. Reports are kept by target, as a
// host has requests at few targets at once, and decisions look at all targets.
func (s *State) ReportPeerLoad(now sd.Instant, host sd.HostID, inflight, sent map[gossiper.IDHash]int) {
	r := s.peers[host]
	if r == nil {
		r = &peerLoad{host: host}
		s.peers[host], s.peerList = r, append(s.peerList, r)
	}
	for _, code := range r.codes {
		s.shares[code] = slices.DeleteFunc(s.shares[code], func(share peerShare) bool { return share.peer == r })
		if len(s.shares[code]) == 0 {
			delete(s.shares, code)
		}
	}
	s.reports++
	r.heardAt, r.codes = now, r.codes[:0]
	add := func(code gossiper.IDHash) {
		r.codes = append(r.codes, code)
		s.shares[code] = append(s.shares[code], peerShare{peer: r, inflight: inflight[code], sent: sent[code]})
	}
	for code := range inflight {
		add(code)
	}
	for code := range sent {
		if _, added := inflight[code]; !added {
			add(code)
		}
	}
}
