package leaser

import (
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// takes reports whether the reply answers the lane's request, and ends that.
func (l *lane) takes(reply Reply) bool {
	if !l.busy || l.id != reply.ID {
		return false
	}
	l.busy = false
	return true
}

// start records a request as in flight and returns its id.
func (s *State) start(now sapphiredrum.Instant, l *lane) RequestID {
	s.lastID++
	*l = lane{id: s.lastID, busy: true, sent: now}
	return l.id
}

// expire gives up the requests whose answers are overdue.
func (s *State) expire(now sapphiredrum.Instant) {
	for _, c := range []*scan{&s.view.hostScan, &s.view.shardScan} {
		if c.lane.busy && now.Since(c.lane.sent) > s.gap() {
			c.lane.busy = false
			s.scanned(now, c, Reply{Status: Uncertain})
		}
	}
	if l := &s.writer.lane; l.busy && now.Since(l.sent) > s.gap() {
		l.busy = false
		s.answered(now, Reply{Status: Uncertain})
	}
}

// scanDue adds the scan's next request when it is time.
func (s *State) scanDue(now sapphiredrum.Instant, c *scan, requests []Request) []Request {
	if c.lane.busy || now < c.next {
		return requests
	}
	c.next = now.Add(s.settings.Scan)
	return append(requests, ChangesRequest{ID: s.start(now, &c.lane), Prefix: c.prefix, After: c.reached})
}

// scanned takes the answer of a scan.
func (s *State) scanned(now sapphiredrum.Instant, c *scan, reply Reply) {
	if reply.Status != Done {
		s.reach.fails()
		return
	}
	s.reach.answers(now, s.gap())
	for _, row := range reply.Rows {
		if row.Sequence == 0 {
			row.Sequence = reply.Sequence
		}
		if c == &s.view.hostScan {
			s.view.takeHost(now, row)
		} else {
			s.view.takeShard(row)
		}
	}
	c.reached, c.complete = max(c.reached, reply.Sequence), true
	if c.lane.sent >= s.writer.conflict {
		c.fresh = true
	}
	if c == &s.view.hostScan {
		s.met = false
		s.checkOwn(now)
	}
}

func sortedPeers(peers map[sapphiredrum.HostID]*peer) []sapphiredrum.HostID {
	names := make([]sapphiredrum.HostID, 0, len(peers))
	for name := range peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
