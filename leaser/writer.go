package leaser

import (
	"strconv"

	"sapphiredrum.example/sapphiredrum"
)

// maxDoublings bounds the doubling of the wait before another peer is tried.
const maxDoublings = 4

// writer is the state of the host's transactions; one is in flight at a time.
type writer struct {
	lane lane
	// relayed tells that the request went by way of a peer, reading that it
	// reads the own row.
	relayed bool
	reading bool
	// attempts are the transactions that may have taken effect. All expect the
	// same version of the own row, so at most one has.
	attempts []attempt
	// unsettled is set until the own row has been read.
	unsettled bool
	// counter counts transactions.
	counter uint64
	// conflict is when a transaction last met a conflict.
	conflict sapphiredrum.Instant
	// retry is the earliest time of the next request.
	retry sapphiredrum.Instant
	// turn rotates the relaying peers; peer is the last one.
	turn uint64
	peer sapphiredrum.HostID
	// reroutes counts the requests given up for another way since the last success.
	reroutes int
}

// attempt is a transaction that was sent.
type attempt struct {
	transaction sapphiredrum.Transaction
	row         HostRow
	sent        sapphiredrum.Instant
	removes     bool
}

// tableDue adds the next read or commit when it is time.
func (s *State) tableDue(now sapphiredrum.Instant, requests []Request) []Request {
	w := &s.writer
	s.reroute(now)
	if w.lane.busy || now < w.retry || s.drained {
		return requests
	}
	var work Relayed
	w.reading = w.unsettled
	if w.reading {
		work.Keys = []sapphiredrum.RowKey{hostKey(s.settings.Zone, s.settings.Host)}
	} else {
		planned, due := s.plan(now)
		if !due {
			return requests
		}
		w.attempts = append(w.attempts, planned)
		work.Transaction = planned.transaction
	}
	return append(requests, s.route(now, work))
}

// reroute gives up a request that has no answer yet when another way to the
// table has opened: the table answers since, or another peer could relay. Each
// time in a row doubles the wait, for a table that is slow.
func (s *State) reroute(now sapphiredrum.Instant) {
	w := &s.writer
	wait := s.settings.Scan / 2 << min(w.reroutes, maxDoublings)
	if !w.lane.busy || now.Since(w.lane.sent) < wait {
		return
	}
	beat, found := s.relayPeer(now, w.turn+1)
	other := found && (!w.relayed || beat.Host != w.peer)
	if s.Reaches(now) {
		other = w.relayed || s.reach.since > w.lane.sent
	}
	if other {
		w.lane.busy = false
		w.reroutes++
		s.answered(now, Reply{Status: Uncertain})
		w.retry = now
	}
}

// route sends work straight to the table, or by way of a peer that reaches the
// table when this host doesn't.
func (s *State) route(now sapphiredrum.Instant, work Relayed) Request {
	id := s.start(now, &s.writer.lane)
	beat, found := s.relayPeer(now, s.writer.turn)
	s.writer.relayed = found && !s.Reaches(now)
	s.writer.peer = beat.Host
	switch {
	case s.writer.relayed:
		return RelayRequest{ID: id, Peer: beat.Host, Address: beat.Address, Work: work}
	case len(work.Keys) > 0:
		return ReadRequest{ID: id, Keys: work.Keys}
	}
	return CommitRequest{ID: id, Transaction: work.Transaction}
}

// answered takes the answer of a read or a commit.
func (s *State) answered(now sapphiredrum.Instant, reply Reply) {
	w := &s.writer
	if !w.relayed && (reply.Status == Done || reply.Status == Conflict) {
		s.reach.answers(now, s.gap())
	}
	if reply.Status == Done {
		w.reroutes = 0
	} else {
		w.turn++
		w.retry = now.Add(s.settings.Scan / 4)
	}
	switch {
	case w.reading && reply.Status == Done:
		s.settle(now, reply.Rows)
	case w.reading:
	case reply.Status == Done:
		last := w.attempts[len(w.attempts)-1]
		s.apply(now, last, reply.Sequence)
	case reply.Status == Uncertain:
		w.unsettled = true
	default:
		s.refused(now, reply.Status)
	}
}

// refused takes back the last attempt, which certainly took no effect.
func (s *State) refused(now sapphiredrum.Instant, status Status) {
	w := &s.writer
	w.attempts = w.attempts[:len(w.attempts)-1]
	for n := range s.holds {
		if s.holds[n].releasing && !s.leaving {
			s.holds[n] = hold{told: s.holds[n].told, epoch: s.holds[n].epoch}
		}
	}
	if status == Conflict {
		w.unsettled, w.conflict, w.retry = true, now, now
		s.view.hostScan.fresh, s.view.shardScan.fresh = false, false
		s.view.hostScan.next, s.view.shardScan.next = now, now
	}
}

// settle compares the own row with the attempts whose answers were lost.
func (s *State) settle(now sapphiredrum.Instant, rows []sapphiredrum.Row) {
	s.writer.unsettled = false
	for _, row := range rows {
		if row.Version == 0 {
			delete(s.view.hosts, s.settings.Host)
			continue
		}
		s.view.takeHost(now, row)
	}
	s.checkOwn(now)
}

// checkOwn acts on what the own row says: an attempt took effect, or the row is
// no longer this registration's.
func (s *State) checkOwn(now sapphiredrum.Instant) {
	entry, found := s.view.hosts[s.settings.Host]
	if !found {
		if s.lease.registered {
			s.depose()
		}
		return
	}
	for _, a := range s.writer.attempts {
		if a.transaction.Operation == entry.operation {
			s.apply(now, a, entry.sequence)
			return
		}
	}
	foreign := entry.row.Lapsed || entry.row.Incarnation != s.settings.Incarnation || entry.row.Epoch != s.lease.epoch
	if s.lease.registered && foreign {
		s.depose()
	}
}

// apply records that an attempt took effect in the given commit.
func (s *State) apply(now sapphiredrum.Instant, a attempt, sequence sapphiredrum.Sequence) {
	s.writer.attempts, s.writer.unsettled, s.writer.lane.busy = nil, false, false
	for _, write := range a.transaction.Writes {
		row := sapphiredrum.Row{
			Key: write.Key, Version: write.Expect + 1, Sequence: sequence,
			Operation: a.transaction.Operation, Value: write.Value,
		}
		if write.Delete {
			row.Version = 0
		}
		if _, valid := parseShardKey(write.Key); valid {
			s.view.takeShard(row)
			s.noteRelease(row)
		} else {
			s.view.takeHost(now, row)
		}
	}
	if a.removes {
		s.depose()
		return
	}
	s.lease = lease{
		registered: true, version: a.transaction.Writes[0].Expect + 1, epoch: a.row.Epoch,
		sent: a.sent, stopped: s.lease.stopped || !s.lease.registered,
	}
	if now < a.sent.Add(s.settings.TTL) {
		s.lease.stopped = false
	}
}

// noteRelease remembers the commit of a release for the beats.
func (s *State) noteRelease(row sapphiredrum.Row) {
	if shard, _ := parseShardKey(row.Key); s.view.own[shard.Number].row.Host == "" {
		s.released = max(s.released, row.Sequence)
	}
}

// depose ends the registration: another process wrote the own row, or it is gone.
func (s *State) depose() {
	s.lease = lease{stopped: true}
	s.writer.attempts, s.writer.unsettled, s.writer.lane.busy = nil, false, false
	s.drained = s.leaving
}

// operation returns a fresh operation id.
func (s *State) operation() sapphiredrum.OperationID {
	s.writer.counter++
	return sapphiredrum.OperationID(string(s.settings.Host) + ":" + s.settings.Incarnation.String() +
		":" + strconv.FormatUint(s.writer.counter, 10))
}
