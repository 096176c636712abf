package recorder

import (
	"maps"
	"slices"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// plan names the flush's object and makes its transaction from the row as known.
func (s *State) plan() {
	f := s.flush
	f.operation = s.operation()
	f.name = "segment/" + string(s.host) + "/" + s.inc.String() + "/" + itoa(s.counter)
	f.segment = s.segment(f.group)
	f.row = s.row
	f.row.Peers = union(s.peers, s.row.Peers)
	if slices.Equal(f.row.Peers, s.row.Peers) {
		f.row.Peers = slices.Clone(s.peers)
	}
	s.place()
	f.transaction = root.Transaction{Operation: f.operation, Writes: []root.Write{
		{Key: s.key, Expect: s.version, Value: encode(f.row)},
	}}
	f.rebased = nil
	for _, shard := range f.group.shards() {
		t := s.shards[shard]
		if !f.group[shard].whole || t == nil || t.based {
			continue
		}
		f.rebased = append(f.rebased, shard)
		f.transaction.Writes = append(f.transaction.Writes, root.Write{
			Key: IndexKey(shard), Expect: t.index, Value: encode(IndexRow{Epoch: t.epoch, Log: s.key}),
		})
	}
	f.step = stepPut
}

// place decides what the flush's object is and enters its name into the row: a
// checkpoint, a merger of the recent segments, or one more segment.
func (s *State) place() {
	f := s.flush
	content, merged := f.segment, len(s.row.Segments)-len(s.recent)
	f.kind, f.replaces = plain, nil
	switch {
	case f.whole && s.complete(f.group):
		f.kind, f.replaces = checkpoint, s.row.names()
		f.row.Base, f.row.Segments = f.name, nil
	case len(s.recent) >= s.rules.Segments:
		f.kind, f.replaces = merger, slices.Clone(s.row.Segments[merged:])
		f.row.Segments = append(slices.Clone(s.row.Segments[:merged]), f.name)
		content.Sections = nil
		for _, earlier := range s.recent {
			content.Sections = append(content.Sections, earlier.Sections...)
		}
		content.Sections = append(content.Sections, f.segment.Sections...)
	default:
		f.row.Segments = append(slices.Clone(s.row.Segments), f.name)
	}
	f.value = encode(content)
}

// placed notes the size and the content of what the log now lists.
func (s *State) placed(f *flush) {
	size := root.Bytes(len(f.value))
	switch f.kind {
	case checkpoint:
		s.recent, s.base, s.delta = nil, size, 0
	case merger:
		s.recent = nil
	default:
		s.recent = append(s.recent, f.segment)
		s.delta += size
	}
}

// due reports whether a checkpoint is worth its size: the log holds as much after
// the last one as in it, or lists too many objects.
func (s *State) due(now root.Instant) bool {
	listed := len(s.row.Segments) - len(s.recent)
	return now >= s.nextWhole && (s.delta >= max(s.base, s.rules.Delta) || listed >= s.rules.Segments)
}

// complete reports whether the group holds every shard of the row whole.
func (s *State) complete(g group) bool {
	for _, t := range s.row.Shards {
		if b := g[t.Shard]; b == nil || !b.whole || b.epoch != t.Epoch {
			return false
		}
	}
	return true
}

// segment makes the content of the flush's object.
func (s *State) segment(g group) Segment {
	var segment Segment
	for _, shard := range g.shards() {
		b := g[shard]
		section := Section{Shard: shard, Epoch: b.epoch, Whole: b.whole}
		section.Records = slices.Concat(b.images, b.records)
		if t := s.shards[shard]; b.whole && t != nil {
			for _, key := range sortedKeys(t.intents) {
				section.Marks = append(section.Marks, t.intents[key].marks(key)...)
			}
		} else {
			section.Marks = b.marks
		}
		segment.Sections = append(segment.Sections, section)
	}
	return segment
}

// shards returns the group's shards in order.
func (g group) shards() []root.ShardID {
	return slices.SortedFunc(maps.Keys(g), compareShards)
}

// union returns a with those of b that it lacks.
func union(a, b []keeper.Peer) []keeper.Peer {
	all := slices.Clone(a)
	for _, p := range b {
		if !slices.Contains(all, p) {
			all = append(all, p)
		}
	}
	return all
}
