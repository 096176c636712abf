package leaser

import (
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// State decides for one host which shards it owns and what to write to the
// table. It is pure; callers serialize their calls. Use New.
type State struct {
	settings Settings
	view     view
	place    placement
	// lastID is the last request's id.
	lastID RequestID
	// last is the time of the last call, resumed that of the last pause's end.
	last    sapphiredrum.Instant
	resumed sapphiredrum.Instant

	reach  reach
	lease  lease
	writer writer
	peers  map[sapphiredrum.HostID]*peer
	// met is set by a beat since the last host scan.
	met bool

	holds  [sapphiredrum.ShardsPerZone]hold
	events []Event
	// released is the last commit that released a shard, told that of the last beat.
	released sapphiredrum.Sequence
	told     sapphiredrum.Sequence
	beats    uint64
	leaving  bool
	drained  bool
}

// hold is what was told to the process about one shard of the zone.
type hold struct {
	// told and epoch are what the last Gained said; told is unset by Lost.
	told  bool
	epoch sapphiredrum.Epoch
	// asked and askedAt tell of Asked; ready is set by Release.
	asked   bool
	askedAt sapphiredrum.Instant
	ready   bool
	// releasing is set while the release is being written.
	releasing bool
}

// New returns the state of a host that has just started and owns nothing.
func New(settings Settings, now sapphiredrum.Instant) *State {
	s := &State{settings: settings, last: now, peers: map[sapphiredrum.HostID]*peer{}}
	s.view.hosts = map[sapphiredrum.HostID]*hostEntry{}
	s.view.zone = settings.Zone
	s.view.shards = map[sapphiredrum.ShardID]*shardEntry{}
	s.view.hostScan.prefix = hostKey(settings.Zone, "")
	s.view.shardScan.prefix = shardPrefix
	return s
}

// Tick returns the table work that is due. Call it a few times a second and
// after each Handle.
func (s *State) Tick(now sapphiredrum.Instant) []Request {
	s.advance(now)
	s.expire(now)
	var requests []Request
	requests = s.scanDue(now, &s.view.hostScan, requests)
	requests = s.scanDue(now, &s.view.shardScan, requests)
	requests = s.tableDue(now, requests)
	s.reconcile()
	return requests
}

// Handle takes the answer to a request. Answers to requests given up, and
// repeated ones, are ignored.
func (s *State) Handle(now sapphiredrum.Instant, reply Reply) {
	s.advance(now)
	s.expire(now)
	switch {
	case s.view.hostScan.lane.takes(reply):
		s.scanned(now, &s.view.hostScan, reply)
	case s.view.shardScan.lane.takes(reply):
		s.scanned(now, &s.view.shardScan, reply)
	case s.writer.lane.takes(reply):
		s.answered(now, reply)
	}
	s.advance(now)
	s.reconcile()
}

// Events returns and forgets what happened since the last call, in order.
func (s *State) Events() []Event {
	events := s.events
	s.events = nil
	return events
}

// Holds reports whether the host may act for the shard now, and under which
// fencing number. It checks the lease against the clock.
func (s *State) Holds(now sapphiredrum.Instant, shard sapphiredrum.ShardID) (sapphiredrum.Epoch, bool) {
	s.advance(now)
	if shard.Zone != s.settings.Zone || s.view.entry(shard) == nil || !s.effective(shard.Number) {
		return 0, false
	}
	return s.view.own[shard.Number].row.Epoch, true
}

// Owner returns the shard's last known owner, to forward to. It returns false
// while nobody owns the shard.
func (s *State) Owner(shard sapphiredrum.ShardID) (Owner, bool) {
	entry := s.view.entry(shard)
	if entry == nil {
		return Owner{}, false
	}
	row := entry.row
	if row.Host == "" || shard.Zone == s.settings.Zone && s.view.ownerless(row) {
		return Owner{}, false
	}
	return Owner{Host: row.Host, Address: row.Address, Incarnation: row.Incarnation, Epoch: row.Epoch}, true
}

// Members returns the registered zone peers, live and leaving, in order.
func (s *State) Members() []HostRow {
	var members []HostRow
	for _, name := range s.view.names() {
		if row := s.view.hosts[name].row; name != s.settings.Host && !row.Lapsed {
			members = append(members, row)
		}
	}
	return members
}

// Release tells that the process has finished with a shard it was Asked for.
func (s *State) Release(shard sapphiredrum.ShardID) {
	if shard.Zone == s.settings.Zone && s.view.entry(shard) != nil && s.mine(shard.Number) && s.holds[shard.Number].asked {
		s.holds[shard.Number].ready = true
	}
}

// Leave starts the hand-over of all shards; it can't be taken back.
func (s *State) Leave(now sapphiredrum.Instant) {
	s.advance(now)
	s.leaving = true
	s.writer.retry = now
}

// Drained reports whether the host that leaves has nothing left to hand over.
func (s *State) Drained() bool {
	return s.drained
}

// shard returns the zone's shard with the given number.
func (s *State) shard(number int) sapphiredrum.ShardID {
	return sapphiredrum.ShardID{Zone: s.settings.Zone, Number: number}
}

// mine reports whether the table, as far as known, names this registration as
// the shard's owner.
func (s *State) mine(number int) bool {
	row := &s.view.own[number].row
	return s.lease.registered && row.Host == s.settings.Host &&
		row.Incarnation == s.settings.Incarnation && row.Lease == s.lease.epoch
}

// effective reports whether the host may act for the shard.
func (s *State) effective(number int) bool {
	return !s.lease.stopped && !s.holds[number].releasing && s.mine(number)
}

// reconcile turns what changed into events.
func (s *State) reconcile() {
	for n := range s.holds {
		h := &s.holds[n]
		entry := &s.view.own[n]
		effective := s.effective(n)
		if h.told && (!effective || h.epoch != entry.row.Epoch) {
			h.told = false
			s.events = append(s.events, Lost{Shard: s.shard(n)})
		}
		if !s.mine(n) {
			*h = hold{}
		}
		if effective && !h.told {
			h.told, h.epoch = true, entry.row.Epoch
			s.events = append(s.events, Gained{Shard: s.shard(n), Epoch: entry.row.Epoch, Clean: entry.clean})
		}
	}
}

// Settings returns the settings the state was made with.
func (s *State) Settings() Settings {
	return s.settings
}

// HeldShards returns the shards the host may act for now, in order.
func (s *State) HeldShards(now sapphiredrum.Instant) []sapphiredrum.ShardID {
	var held []sapphiredrum.ShardID
	for n := range s.holds {
		if _, holds := s.Holds(now, s.shard(n)); holds {
			held = append(held, s.shard(n))
		}
	}
	return slices.Clip(held)
}

// Owners returns the known owners of all shards of all zones.
func (s *State) Owners() map[sapphiredrum.ShardID]Owner {
	owners := make(map[sapphiredrum.ShardID]Owner, len(s.view.shards)+len(s.view.own))
	note := func(shard sapphiredrum.ShardID) {
		if owner, found := s.Owner(shard); found {
			owners[shard] = owner
		}
	}
	for shard := range s.view.shards {
		note(shard)
	}
	for n := range s.view.own {
		note(s.shard(n))
	}
	return owners
}
