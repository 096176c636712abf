package keeper

import root "sapphiredrum.example/sapphiredrum"

// IsSafe reports whether a record of a tree under the given owner is safe.
func (s *Shelf) IsSafe(id root.ProgramID, epoch root.Epoch, number uint64) bool {
	h, t := s.tree(id)
	return t != nil && h.epoch == epoch && t.safe >= number
}

// AllSafe reports whether every record of a kept shard is safe.
func (s *Shelf) AllSafe(shard root.ShardID) bool {
	h := s.shards[shard]
	if h == nil {
		return true
	}
	for _, t := range h.trees {
		if t.safe < t.number {
			return false
		}
	}
	return true
}

// Keeps reports whether the shelf keeps a shard.
func (s *Shelf) Keeps(shard root.ShardID) bool {
	return s.shards[shard] != nil
}

// Reopen ends a hand-over that did not take place: new calls are accepted again.
func (s *Shelf) Reopen(shard root.ShardID) {
	if h := s.shards[shard]; h != nil {
		h.closing = false
	}
}

// Empty reports whether every record added is durable.
func (o *Outbox) Empty() bool {
	return len(o.records) == 0
}
