package recorder

import root "sapphiredrum.example/sapphiredrum"

// tenancy is a shard that the log accepts.
type tenancy struct {
	epoch root.Epoch
	// index is the index row's version.
	index uint64
	// loaded is set once the shard's intents are known, rebased once its whole
	// state was queued, based once the log holds that.
	loaded  bool
	rebased bool
	based   bool
	intents map[Key]*intent
	// waiting lists the intents that were queued, by deadline.
	waiting []waiter
}

// waiter is an intent that waits to be recorded.
type waiter struct {
	key    Key
	ticket Ticket
}

// observe takes over a fresh reading of the log's row and returns the shards
// that it no longer accepts.
func (s *State) observe(row root.Row) ([]Event, error) {
	value, err := decode[LogRow](row.Value)
	if err != nil {
		return nil, err
	}
	s.version, s.row = row.Version, value
	s.recent = s.recent[max(0, len(s.recent)-len(value.Segments)):]
	var events []Event
	for _, shard := range s.sortedShards() {
		t := s.shards[shard]
		if epoch, found := value.epoch(shard); found && epoch == t.epoch {
			continue
		}
		events = append(events, s.drop(shard, t)...)
	}
	return events, nil
}

// drop forgets a shard that was lost and refuses its waiting intents.
func (s *State) drop(shard root.ShardID, t *tenancy) []Event {
	var events []Event
	for _, key := range sortedKeys(t.intents) {
		if i := t.intents[key]; i.stage == queued {
			refusal := root.NewRefusal(root.KeeperMoving, s.rules.Retry, "another host has taken the shard over")
			events = append(events, Decided{Ticket: i.ticket, Refusal: refusal})
		}
	}
	delete(s.shards, shard)
	delete(s.group, shard)
	s.given[shard] = t.index
	return append(events, Lost{Tenure: Tenure{Shard: shard, Epoch: t.epoch}})
}
