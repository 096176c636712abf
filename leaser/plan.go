package leaser

import (
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// movesAtOnce bounds the shards that an owner is giving up to preferred hosts.
const movesAtOnce = 4

// forgetAfter is the number of TTLs after which a lapsed host's row is deleted.
const forgetAfter = 40

// plan returns the transaction that is due: the own row and, with it, releases,
// marks of lapsed hosts and claims.
func (s *State) plan(now sapphiredrum.Instant) (attempt, bool) {
	if !s.view.hostScan.complete {
		return attempt{}, false
	}
	if !s.lease.registered {
		return s.planRegistration(now)
	}
	extra, marked := s.marks(now)
	s.place.update(s.staying(marked))
	s.ask(now)
	extra = append(extra, s.claims(now, marked)...)
	extra = append(extra, s.releases(now)...)
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
	epoch := sapphiredrum.Epoch(s.view.hostScan.reached) + 1
	if !found {
		return s.attempt(now, 0, epoch, false, nil), true
	}
	if !entry.row.Lapsed && s.watched(now, entry) < s.watch() {
		return attempt{}, false
	}
	return s.attempt(now, entry.version, max(epoch, entry.row.Epoch+1), false, nil), true
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

// fresh reports whether the host was lately seen to renew.
func (s *State) fresh(now sapphiredrum.Instant, host sapphiredrum.HostID) bool {
	entry, found := s.view.hosts[host]
	return found && s.watched(now, entry) < 2*s.gap()
}

// staying returns the hosts that shards are placed on, in order: all that are
// registered and neither leave nor are being marked.
func (s *State) staying(marked map[sapphiredrum.HostID]bool) []sapphiredrum.HostID {
	return slices.DeleteFunc(s.view.names(), func(name sapphiredrum.HostID) bool {
		row := s.view.hosts[name].row
		return row.Lapsed || row.Leaving || marked[name] || name == s.settings.Host && s.leaving
	})
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
		chosen := s.place.chosen[n]
		elsewhere := chosen != s.settings.Host && moving < movesAtOnce && s.Reaches(now) && s.fresh(now, chosen)
		if !h.told || h.asked || !s.leaving && !elsewhere {
			continue
		}
		moving++
		h.asked, h.askedAt = true, now
		s.events = append(s.events, Asked{Shard: s.shard(n)})
	}
}

// releases returns the writes that give up the shards that are ready to move.
// While the table is out of reach, the host keeps them.
func (s *State) releases(now sapphiredrum.Instant) []sapphiredrum.Write {
	var writes []sapphiredrum.Write
	_, relays := s.relayPeer(now, 0)
	if !s.Reaches(now) && !relays {
		return nil
	}
	for n := range s.holds {
		h := &s.holds[n]
		if !s.mine(n) || !s.leaving && !h.asked {
			continue
		}
		ready := h.ready || !h.told || now >= h.askedAt.Add(s.settings.Grace)
		if !h.releasing && !ready {
			continue
		}
		h.releasing = true
		entry := s.view.own[n]
		value := encode(ShardRow{Epoch: entry.row.Epoch})
		writes = append(writes, sapphiredrum.Write{Key: shardKey(s.shard(n)), Expect: entry.version, Value: value})
	}
	return writes
}

// mayClaim reports whether this host may take shards over now.
func (s *State) mayClaim(now sapphiredrum.Instant) bool {
	return !s.leaving && !s.lease.stopped && s.Reaches(now) && s.view.hostScan.fresh && s.view.shardScan.fresh
}

// claims returns the writes that claim the ownerless shards that are placed on
// this host, those of the marked hosts among them.
func (s *State) claims(now sapphiredrum.Instant, marked map[sapphiredrum.HostID]bool) []sapphiredrum.Write {
	var writes []sapphiredrum.Write
	if !s.mayClaim(now) {
		return writes
	}
	for n, chosen := range s.place.chosen {
		entry := s.view.own[n]
		old := entry.sequence > s.view.hostScan.reached
		if chosen != s.settings.Host || old || !marked[entry.row.Host] && !s.view.ownerless(entry.row) {
			continue
		}
		writes = append(writes, sapphiredrum.Write{Key: shardKey(s.shard(n)), Expect: entry.version, Value: encode(s.claim(entry))})
	}
	return writes
}

// marks returns the writes that mark lapsed hosts, and those hosts. Rows that
// were marked long ago and own nothing are deleted.
func (s *State) marks(now sapphiredrum.Instant) ([]sapphiredrum.Write, map[sapphiredrum.HostID]bool) {
	var writes []sapphiredrum.Write
	marked := map[sapphiredrum.HostID]bool{}
	if !s.mayClaim(now) {
		return writes, marked
	}
	for _, name := range s.view.names() {
		entry := s.view.hosts[name]
		write := sapphiredrum.Write{Key: hostKey(s.settings.Zone, name), Expect: entry.version}
		seen := s.watched(now, entry)
		if seen >= s.watch() {
			seen -= s.patience(now, name)
		}
		switch {
		case name == s.settings.Host:
			continue
		case !entry.row.Lapsed && seen >= s.watch():
			row := entry.row
			row.Lapsed, marked[name] = true, true
			write.Value = encode(row)
		case entry.row.Lapsed && seen >= forgetAfter*s.settings.TTL && !s.named(name):
			write.Delete = true
		default:
			continue
		}
		writes = append(writes, write)
	}
	return writes, marked
}

// named reports whether a shard row of the zone names the host.
func (s *State) named(host sapphiredrum.HostID) bool {
	for n := range s.holds {
		if s.view.own[n].row.Host == host {
			return true
		}
	}
	return false
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
func (s *State) patience(now sapphiredrum.Instant, lapsed sapphiredrum.HostID) sapphiredrum.Millis {
	turn := 0
	for _, name := range ranking(string(lapsed), s.view.names()) {
		if name == s.settings.Host {
			break
		}
		if s.fresh(now, name) {
			turn++
		}
	}
	return sapphiredrum.Millis(turn) * s.settings.Scan
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
