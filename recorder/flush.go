package recorder

import (
	"slices"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// flush stores a group: it puts one object and commits its name.
type flush struct {
	step        step
	group       group
	operation   root.OperationID
	name        string
	segment     Segment
	value       []byte
	whole       bool
	kind        kind
	replaces    []string
	row         LogRow
	transaction root.Transaction
	// rebased are the shards that this flush stores whole for the first time.
	rebased []root.ShardID
}

// kind is what a flush's object is to the log.
type kind int

const (
	plain kind = iota
	merger
	checkpoint
)

// step is what a flush or a take does next.
type step int

const (
	stepImage step = iota
	stepPut
	stepCommit
	stepRead
)

// startFlush takes the group over. A checkpoint needs the shards' images first.
func (s *State) startFlush() {
	s.flush = &flush{group: s.group, whole: s.whole}
	s.group, s.whole, s.bytes = make(group), false, 0
	if !s.flush.whole {
		s.plan()
	}
}

func (f *flush) action(s *State) Action {
	switch f.step {
	case stepImage:
		return Image{Shards: s.imageable()}
	case stepPut:
		return Put{Name: f.name, Value: f.value}
	case stepCommit:
		return Commit{Transaction: f.transaction}
	}
	return Read{Keys: []root.RowKey{s.key}}
}

// imageable returns the shards whose images a checkpoint asks for. A shard that
// is not stored whole yet comes with its own Rebase.
func (s *State) imageable() []root.ShardID {
	return slices.DeleteFunc(s.sortedShards(), func(shard root.ShardID) bool { return !s.shards[shard].based })
}

func (f *flush) report(s *State, now root.Instant, answer Answer) []Event {
	switch f.step {
	case stepImage:
		f.picture(s, now, answer.Pictures)
	case stepPut:
		if answer.Error != nil {
			return s.fail(now, answer.Error)
		}
		f.step = stepCommit
	case stepCommit:
		switch effectOf(answer.Error) {
		case done:
			return f.committed(s, now)
		case none:
			return s.fail(now, answer.Error)
		case unsure, conflict:
			f.step = stepRead
		}
	case stepRead:
		if answer.Error != nil {
			return s.fail(now, answer.Error)
		}
		return f.settle(s, now, answer.Rows[0])
	}
	return nil
}

// picture adds the shards' images to the group.
func (f *flush) picture(s *State, now root.Instant, pictures []Picture) {
	for _, p := range pictures {
		t := s.shards[p.Shard]
		if t == nil || !t.based || t.epoch != p.Epoch {
			continue
		}
		b := f.group[p.Shard]
		if b == nil {
			b = &batch{epoch: p.Epoch}
			f.group[p.Shard] = b
		}
		b.whole, b.images = true, p.Records
	}
	s.nextWhole = now.Add(wholeEvery * s.rules.Interval(s.hosts))
	s.plan()
}

// settle decides from the log's row what became of a commit whose answer was
// lost or which conflicted.
func (f *flush) settle(s *State, now root.Instant, row root.Row) []Event {
	if row.Version < s.version {
		// A reading from before the last known write tells nothing.
		return s.fail(now, root.Unavailable.New("stale row %s", s.key))
	}
	if row.Version == s.version {
		f.step = stepCommit
		s.resume = now.Add(s.rules.Interval(s.hosts))
		return nil
	}
	value, err := decode[LogRow](row.Value)
	if err != nil {
		return s.fail(now, err)
	}
	if row.Operation == f.operation || value.Base == f.name || slices.Contains(value.Segments, f.name) {
		events := f.committed(s, now)
		more, _ := s.observe(row)
		return append(events, more...)
	}
	events, _ := s.observe(row)
	f.again(s)
	return events
}

// again plans the flush anew after its transaction has become impossible.
func (f *flush) again(s *State) {
	s.trash = append(s.trash, f.name)
	for shard, b := range f.group {
		if t := s.shards[shard]; t == nil || t.epoch != b.epoch {
			delete(f.group, shard)
		}
	}
	s.plan()
}

// committed takes the flush's effect into the state.
func (f *flush) committed(s *State, now root.Instant) []Event {
	s.flush, s.failing = nil, 0
	s.version++
	s.row = f.row
	s.placed(f)
	s.trash = append(s.trash, f.replaces...)
	events := []Event{Named{Peers: f.row.Peers}}
	for _, shard := range f.rebased {
		t := s.shards[shard]
		t.based = true
		t.index++
		events = append(events, Based{Tenure: Tenure{Shard: shard, Epoch: t.epoch}})
	}
	for _, shard := range f.group.shards() {
		events = append(events, f.stored(s, now, shard)...)
	}
	return events
}

// stored tells what of a shard became durable.
func (f *flush) stored(s *State, now root.Instant, shard root.ShardID) []Event {
	b := f.group[shard]
	last := make(map[root.ProgramID]uint64)
	var trees []root.ProgramID
	for _, records := range [][]keeper.Record{b.images, b.records} {
		for i := range records {
			r := &records[i]
			if _, found := last[r.Tree]; !found {
				trees = append(trees, r.Tree)
			}
			last[r.Tree] = max(last[r.Tree], r.Number)
		}
	}
	var events []Event
	for _, tree := range trees {
		events = append(events, Recorded{Shard: shard, Tree: tree, Epoch: b.epoch, Number: last[tree]})
	}
	if t := s.shards[shard]; t != nil {
		events = append(events, s.open(now, t, shard, b.marks)...)
	}
	return events
}

// open lets the intents run whose marks are stored.
func (s *State) open(now root.Instant, t *tenancy, shard root.ShardID, marks []Mark) []Event {
	var events []Event
	for _, m := range marks {
		i := t.intents[m.Key]
		if m.Kind != MarkIntended || i == nil || i.ticket != m.Ticket {
			continue
		}
		if i.stage == queued {
			i.stage, i.since = open, now
			events = append(events, Decided{Ticket: i.ticket, Intended: Intended{Fresh: true, Ticket: i.ticket}})
			continue
		}
		if i.free() {
			// Withdrawn while its record was on the way: say so in the log.
			b := s.batch(shard, t.epoch)
			b.marks = append(b.marks, i.settlement(m.Key))
		}
	}
	return events
}

// wholeEvery is the least number of intervals between two checkpoints.
const wholeEvery = 8
