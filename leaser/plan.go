package leaser

import "sapphiredrum.example/sapphiredrum"

// movesAtOnce bounds the shards that an owner is giving up to preferred hosts.
const movesAtOnce = 4

// plan returns the transaction that is due: the own row and, with it, releases,
// marks of lapsed hosts and claims.
func (s *State) plan(now sapphiredrum.Instant) (attempt, bool) {
	if !s.view.hostScan.complete {
		return attempt{}, false
	}
	if !s.lease.registered {
		return s.planRegistration(now)
	}
	s.place.update(s.fresh(now))
	s.ask(now)
	extra := s.releases(now)
	extra = append(extra, s.claims(now)...)
	entry := s.view.hosts[s.settings.Host]
	due := len(extra) > 0 || s.lease.stopped || entry.row.Leaving != s.leaving ||
		now.Since(s.lease.sent) >= s.settings.TTL/3
	removes := s.leaving && !s.owning()
	if !due && !removes {
		return attempt{}, false
	}
	return s.attempt(now, s.lease.version, s.lease.epoch, removes, extra), true
}

// planRegistration returns the transaction that registers this process, once no
// earlier process can hold a lease under this host's name.
func (s *State) planRegistration(now sapphiredrum.Instant) (attempt, bool) {
	if s.leaving {
		s.drained = true
		return attempt{}, false
	}
	entry, found := s.view.hosts[s.settings.Host]
	if !found {
		return s.attempt(now, 0, 1, false, nil), true
	}
	if !entry.row.Lapsed && s.watched(now, entry) < s.watch() {
		return attempt{}, false
	}
	return s.attempt(now, entry.version, entry.row.Epoch+1, false, nil), true
}

// attempt builds a transaction around the own row.
func (s *State) attempt(now sapphiredrum.Instant, expect uint64, epoch sapphiredrum.Epoch, removes bool, extra []sapphiredrum.Write) attempt {
	operation := s.operation()
	row := HostRow{
		Host: s.settings.Host, Zone: s.settings.Zone, Address: s.settings.Address,
		Incarnation: s.settings.Incarnation, Epoch: epoch, Counter: s.writer.counter, Leaving: s.leaving,
	}
	own := sapphiredrum.Write{Key: hostKey(s.settings.Zone, s.settings.Host), Expect: expect, Delete: removes}
	if !removes {
		own.Value = encode(row)
	}
	writes := append([]sapphiredrum.Write{own}, extra...)
	transaction := sapphiredrum.Transaction{Operation: operation, Writes: writes}
	return attempt{transaction: transaction, row: row, sent: now, removes: removes}
}

// watched returns how long the row has been seen unchanged with the table
// answering.
func (s *State) watched(now sapphiredrum.Instant, entry *hostEntry) sapphiredrum.Millis {
	if !s.reach.unbroken || !s.Reaches(now) {
		return 0
	}
	return now.Since(max(entry.changed, s.reach.since))
}

// fresh returns the hosts that shards may be placed on, in order.
func (s *State) fresh(now sapphiredrum.Instant) []sapphiredrum.HostID {
	var fresh []sapphiredrum.HostID
	for _, name := range s.view.names() {
		entry := s.view.hosts[name]
		live := name == s.settings.Host || !entry.row.Leaving && s.watched(now, entry) < 2*s.gap()
		if live && !entry.row.Lapsed && (name != s.settings.Host || !s.leaving) {
			fresh = append(fresh, name)
		}
	}
	return fresh
}

// ask tells the process of shards that are to move.
func (s *State) ask(now sapphiredrum.Instant) {
	moving := 0
	for n := range s.holds {
		if s.holds[n].asked {
			moving++
		}
	}
	for n := range s.holds {
		h := &s.holds[n]
		elsewhere := s.place.chosen[n] != s.settings.Host && moving < movesAtOnce && s.Reaches(now)
		if !h.told || h.asked || !s.leaving && !elsewhere {
			continue
		}
		moving++
		h.asked, h.askedAt = true, now
		s.events = append(s.events, Asked{Shard: s.shard(n)})
	}
}

// releases returns the writes that give up the shards that are ready to move.
func (s *State) releases(now sapphiredrum.Instant) []sapphiredrum.Write {
	var writes []sapphiredrum.Write
	for n := range s.holds {
		h := &s.holds[n]
		if !s.mine(n) || !s.leaving && (!h.asked || !s.Reaches(now)) {
			continue
		}
		ready := h.ready || !h.told || now >= h.askedAt.Add(s.settings.Grace)
		if !h.releasing && !ready {
			continue
		}
		h.releasing = true
		entry := s.view.shards[s.shard(n)]
		value := encode(ShardRow{Epoch: entry.row.Epoch})
		writes = append(writes, sapphiredrum.Write{Key: shardKey(s.shard(n)), Expect: entry.version, Value: value})
	}
	return writes
}

// claims returns the writes that mark lapsed hosts and claim ownerless shards.
func (s *State) claims(now sapphiredrum.Instant) []sapphiredrum.Write {
	if s.leaving || s.lease.stopped || !s.Reaches(now) || !s.view.hostScan.fresh || !s.view.shardScan.fresh {
		return nil
	}
	var writes []sapphiredrum.Write
	marked := map[sapphiredrum.HostID]bool{}
	for _, name := range s.view.names() {
		entry := s.view.hosts[name]
		if name == s.settings.Host || entry.row.Lapsed || s.watched(now, entry) < s.watch()+s.patience(name) {
			continue
		}
		marked[name] = true
		row := entry.row
		row.Lapsed = true
		writes = append(writes, sapphiredrum.Write{Key: hostKey(s.settings.Zone, name), Expect: entry.version, Value: encode(row)})
	}
	for n, chosen := range s.place.chosen {
		entry := s.view.shards[s.shard(n)]
		old := entry.sequence > s.view.hostScan.reached
		if chosen != s.settings.Host || old || !marked[entry.row.Host] && !s.view.ownerless(entry.row) {
			continue
		}
		writes = append(writes, sapphiredrum.Write{Key: shardKey(s.shard(n)), Expect: entry.version, Value: encode(s.claim(entry))})
	}
	return writes
}

// claim returns the row that makes this host the shard's next owner.
func (s *State) claim(entry shardEntry) ShardRow {
	return ShardRow{
		Host: s.settings.Host, Address: s.settings.Address, Incarnation: s.settings.Incarnation,
		Lease: s.lease.epoch, Epoch: entry.row.Epoch + 1,
	}
}

// patience spreads the marks of a lapsed host, so that its peers don't all
// write at once: the first in its ranking waits least.
func (s *State) patience(lapsed sapphiredrum.HostID) sapphiredrum.Millis {
	for turn, name := range ranking(string(lapsed), s.place.hosts) {
		if name == s.settings.Host {
			return sapphiredrum.Millis(turn) * s.settings.Scan
		}
	}
	return 0
}

// owning reports whether the table still names this registration as an owner.
func (s *State) owning() bool {
	for n := range s.holds {
		if s.mine(n) {
			return true
		}
	}
	return false
}
