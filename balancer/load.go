package balancer

import (
	"math"

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
	others := 0
	for _, r := range s.peers {
		if now.Since(r.at) < heardFor {
			others += r.inflight[t.code]
		}
	}
	if now.Since(t.toldAt) < toldFor && t.toldAt != 0 {
		others = max(others, t.told-t.ownThen)
	}
	return t.inflight + others
}

// room reports whether a target may get a request now.
func (s *State) room(now sd.Instant, p *pool, t *target) bool {
	return s.load(now, t) < int(t.Slots) && s.bears(now, p, t)
}

// bears reports whether one more request keeps the bound of cold targets. Half of
// the bound is dealt out evenly; of the rest, the unused parts of others and a
// margin stay free.
func (s *State) bears(now sd.Instant, p *pool, t *target) bool {
	if p.settings.ColdRate == 0 {
		return true
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
	if own+others+1 > bound*(1-coldMargin) {
		return false
	}
	// Until the others hear of it, a host takes its even part of what is left.
	fresh := float64(t.within(now, coldUntold))
	return fresh+1 <= max(1, (bound-own-others+fresh)/float64(s.hosts))
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
	inflight, sent = map[gossiper.Code]int{}, map[gossiper.Code]int{}
	for _, t := range s.targets {
		if t.inflight > 0 {
			inflight[t.code] = t.inflight
		}
		if n := t.lately(now); n > 0 {
			sent[t.code] = n
		}
	}
	return inflight, sent
}

// Heard takes what another host told.
func (s *State) Heard(now sd.Instant, host sd.HostID, inflight, sent map[gossiper.Code]int) {
	s.peers[host] = report{at: now, inflight: inflight, sent: sent}
}
