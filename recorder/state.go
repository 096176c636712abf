package recorder

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// State decides what a host's recorder does. It is pure; one goroutine at a time
// may use it. Each lane has at most one action under way.
type State struct {
	rules Rules
	host  root.HostID
	inc   root.Incarnation
	key   root.RowKey
	// version and row are the log's row as this host knows it.
	version uint64
	row     LogRow
	// recent are the segments since the last merger, base the size of the last
	// checkpoint and delta that of the segments since.
	recent []Segment
	base   root.Bytes
	delta  root.Bytes
	shards map[root.ShardID]*tenancy
	group  group
	bytes  root.Bytes
	// whole asks for a checkpoint, urgent for a flush without waiting.
	whole  bool
	urgent bool
	hosts  int
	peers  []keeper.Peer
	// counter numbers operations and tickets.
	counter uint64
	// next is when the next flush may begin, resume when the writing lane may go
	// on after a failure, resumeBack the same for the other lane.
	next root.Instant
	// nextWhole is when the next checkpoint may be tried, nextPurge when old
	// intents are dropped.
	nextWhole  root.Instant
	nextPurge  root.Instant
	resume     root.Instant
	resumeBack root.Instant
	// failing is when the platform began to fail; zero while it answers.
	failing root.Instant
	claims  []claim
	take    *take
	flush   *flush
	loads   []*load
	// read holds the objects read while loads wait.
	read map[string]Segment
	// loading tells whom the reading lane's action is for.
	loading bool
	burying bool
	graves  []*grave
	trash   []string
	sweep   *sweep
	// given are shards that others took over, with the index rows' versions before
	// that; their index rows may refer to objects of this log.
	given map[root.ShardID]uint64
}

// group collects what the next flush stores.
type group map[root.ShardID]*batch

// batch is the part of a group for one shard.
type batch struct {
	epoch   root.Epoch
	whole   bool
	images  []keeper.Record
	records []keeper.Record
	marks   []Mark
}

// NewState returns the state of a fresh process. The incarnation must never have
// been used before.
func NewState(rules Rules, host root.HostID, incarnation root.Incarnation) *State {
	return &State{
		rules: rules, host: host, inc: incarnation, key: LogKey(host, incarnation), hosts: 1,
		shards: make(map[root.ShardID]*tenancy), group: make(group), given: make(map[root.ShardID]uint64),
	}
}

// SetLive sets the number of live hosts, from which the flush interval follows.
func (s *State) SetLive(hosts int) { s.hosts = hosts }

// SetPeers sets the peers that the log's row is to name from the next flush on.
func (s *State) SetPeers(peers []keeper.Peer) { s.peers = slices.Clone(peers) }

// CopyTo returns the peer whose copies make records safe: the first wanted one
// that the log's row names. The host asks anew for each copy.
func (s *State) CopyTo() (keeper.Peer, bool) {
	for _, p := range s.peers {
		if slices.Contains(s.row.Peers, p) {
			return p, true
		}
	}
	return keeper.Peer{}, false
}

// Hurry makes the next flush start at once; a host that leaves uses it.
func (s *State) Hurry() { s.urgent = true }

// Idle reports whether everything given to the state is stored.
func (s *State) Idle() bool {
	return len(s.group) == 0 && !s.whole && s.flush == nil && s.take == nil && len(s.claims) == 0
}

// Append queues records for the next flush. Those of shards or epochs that the
// log does not accept are dropped; they can never become durable.
func (s *State) Append(records []keeper.Record) {
	for i := range records {
		r := &records[i]
		shard, err := r.Tree.Shard()
		if err != nil {
			continue
		}
		t := s.shards[shard]
		if t == nil || !t.rebased || t.epoch != r.Epoch {
			continue
		}
		b := s.batch(shard, t.epoch)
		b.records = append(b.records, *r)
		s.bytes += r.Size()
	}
	if s.bytes > s.rules.Group {
		s.overflow()
	}
}

// Rebase queues the whole state of a shard that was loaded. It must come before
// the shard's first records.
func (s *State) Rebase(shard root.ShardID, epoch root.Epoch, images []keeper.Record) {
	t := s.shards[shard]
	if t == nil || !t.loaded || t.epoch != epoch {
		return
	}
	t.rebased = true
	b := s.batch(shard, epoch)
	b.whole, b.images = true, images
}

// Next returns the next action of the writing lane, if one is due.
func (s *State) Next(now root.Instant) (Action, bool) {
	if now < s.resume {
		return nil, false
	}
	if s.flush == nil && s.take == nil {
		s.begin(now)
	}
	switch {
	case s.take != nil:
		return s.take.action(s), true
	case s.flush != nil:
		return s.flush.action(s), true
	}
	return nil, false
}

// Report takes the answer to the action that Next returned.
func (s *State) Report(now root.Instant, answer Answer) []Event {
	switch {
	case s.take != nil:
		return s.take.report(s, now, answer)
	case s.flush != nil:
		return s.flush.report(s, now, answer)
	}
	return nil
}

// begin starts the work that is due, if any.
func (s *State) begin(now root.Instant) {
	if len(s.claims) > 0 {
		s.take = &take{claims: s.claims}
		s.claims = nil
		return
	}
	if !s.urgent && now < s.next || !s.wanted() {
		return
	}
	s.urgent = false
	s.next = now.Add(s.rules.Interval(s.hosts))
	s.whole = s.whole || s.due(now)
	s.startFlush()
}

// wanted reports whether a flush would store anything.
func (s *State) wanted() bool {
	return len(s.group) > 0 || s.whole || (s.version > 0 && !slices.Equal(s.row.Peers, s.peers))
}

// Due returns how long the lanes rest from now on unless something comes in.
func (s *State) Due(now root.Instant) root.Millis {
	at := now.Add(s.rules.Patience)
	busy := s.take != nil || s.flush != nil || len(s.claims) > 0
	if busy || s.wanted() {
		at = min(at, s.next)
		if busy || s.urgent {
			at = now
		}
		at = max(at, s.resume)
	}
	return max(0, at.Since(now))
}

// batch returns the shard's part of the next flush.
func (s *State) batch(shard root.ShardID, epoch root.Epoch) *batch {
	b := s.group[shard]
	if b == nil {
		b = &batch{epoch: epoch}
		s.group[shard] = b
	}
	return b
}

// overflow drops the records that wait and asks for a checkpoint instead.
func (s *State) overflow() {
	for _, b := range s.group {
		b.records = nil
	}
	s.bytes, s.whole = 0, true
}

// operation returns a fresh operation id.
func (s *State) operation() root.OperationID {
	s.counter++
	return root.OperationID(string(s.host) + "." + s.inc.String() + "." + itoa(s.counter))
}

// fail notes a failed action of the writing lane; the lane rests for an interval.
func (s *State) fail(now root.Instant, cause error) []Event {
	s.resume = now.Add(s.rules.Interval(s.hosts))
	if s.failing == 0 {
		s.failing = now
	}
	return []Event{Failing{Cause: cause}}
}

func (s *State) sortedShards() []root.ShardID {
	return slices.SortedFunc(maps.Keys(s.shards), compareShards)
}

func compareShards(a, b root.ShardID) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Number, b.Number))
}

func sortedKeys(intents map[Key]*intent) []Key {
	return slices.SortedFunc(maps.Keys(intents), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Program, b.Program), cmp.Compare(a.Call, b.Call))
	})
}

func itoa(n uint64) string {
	return strconv.FormatUint(n, 10)
}
