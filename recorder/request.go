package recorder

import (
	"maps"
	"slices"

	root "sapphiredrum.example/sapphiredrum"
)

// Intend asks for permission to send a non-idempotent call. If waiting is set, a
// Decided event with the ticket follows; else the answer is final. Errors are
// *Refusal, all of them not run except the repetition of a call under way.
func (s *State) Intend(now root.Instant, request Intent) (answer Intended, waiting bool, err error) {
	t := s.shards[request.Shard]
	if t == nil || !t.loaded || !t.rebased || (request.Epoch != 0 && request.Epoch != t.epoch) {
		return Intended{}, false, root.NewRefusal(root.KeeperMoving, s.rules.Retry, "another host keeps the shard's intents")
	}
	if i := t.intents[request.Key]; i != nil && !i.free() {
		if i.digest != request.Digest {
			return Intended{}, false, root.NewRefusal(root.CallConflict, 0, "the call's identifier was used for another request")
		}
		if i.stage == queued {
			return Intended{}, false, &root.Refusal{
				Reason: root.CallRepeated, Outcome: root.Unknown, RetryAfter: s.rules.Retry,
				Detail: "the call waits to be recorded",
			}
		}
		return i.intended(), false, nil
	}
	if s.failing != 0 && now.Since(s.failing) >= s.rules.Patience {
		return Intended{}, false, s.away()
	}
	s.counter++
	i := &intent{
		digest: request.Digest, stage: queued, ticket: Ticket{Epoch: t.epoch, Number: s.counter},
		since: now, deadline: now.Add(s.rules.Interval(s.hosts) + s.rules.Patience),
	}
	t.intents[request.Key] = i
	t.waiting = append(t.waiting, waiter{key: request.Key, ticket: i.ticket})
	b := s.batch(request.Shard, t.epoch)
	b.marks = append(b.marks, Mark{Kind: MarkIntended, Key: request.Key, Digest: i.digest, Ticket: i.ticket})
	return Intended{Ticket: i.ticket}, true, nil
}

// Recall returns what is recorded of an earlier submission of the call. A host
// asks before it refuses a non-idempotent call as not run. The error is a
// CallConflict refusal.
func (s *State) Recall(request Intent) (intended Intended, found bool, err error) {
	t := s.shards[request.Shard]
	if t == nil {
		return Intended{}, false, nil
	}
	i := t.intents[request.Key]
	if i == nil || i.stage == queued || i.free() {
		return Intended{}, false, nil
	}
	if i.digest != request.Digest {
		return Intended{}, false, root.NewRefusal(root.CallConflict, 0, "the call's identifier was used for another request")
	}
	return i.intended(), true, nil
}

// Withdraw gives a waiting intent up, or settles a decided one that its caller
// will not send.
func (s *State) Withdraw(request Intent, ticket Ticket) {
	if t := s.shards[request.Shard]; t != nil {
		if i := t.intents[request.Key]; i != nil && i.ticket == ticket && i.stage == queued {
			s.void(t, request.Shard, request.Key, i)
			return
		}
	}
	s.Settle(request, ticket, root.NotRun, "")
}

// void ends a waiting intent: nothing was sent, and its record, if it is not on
// its way already, is not stored.
func (s *State) void(t *tenancy, shard root.ShardID, key Key, i *intent) {
	i.stage, i.outcome = settled, root.NotRun
	b := s.group[shard]
	if b == nil {
		return
	}
	b.marks = slices.DeleteFunc(b.marks, func(m Mark) bool { return m.Key == key && m.Ticket == i.ticket })
	if len(b.marks) == 0 && len(b.records) == 0 && !b.whole {
		delete(s.group, shard)
	}
	if s.flush == nil || s.flush.group[shard] == nil {
		delete(t.intents, key)
	}
}

// Settle records what became of a call that was sent. It may come late, also
// after the shard was lost and taken back.
func (s *State) Settle(request Intent, ticket Ticket, outcome root.Outcome, answer string) {
	t := s.shards[request.Shard]
	if t == nil {
		return
	}
	i := t.intents[request.Key]
	if i == nil || i.ticket != ticket || i.stage != open {
		return
	}
	i.stage, i.outcome = settled, outcome
	if root.Bytes(len(answer)) <= s.rules.Answer {
		i.answer, i.kept = answer, outcome == root.Ran
	}
	if t.rebased {
		b := s.batch(request.Shard, t.epoch)
		b.marks = append(b.marks, i.settlement(request.Key))
	}
}

// Tick refuses the intents that have waited too long and drops the old ones. An
// old one leaves the log with the next checkpoint.
func (s *State) Tick(now root.Instant) []Event {
	var events []Event
	for _, shard := range s.sortedShards() {
		t := s.shards[shard]
		for len(t.waiting) > 0 {
			key := t.waiting[0].key
			i := t.intents[key]
			if i != nil && i.stage == queued && i.ticket == t.waiting[0].ticket {
				if now < i.deadline {
					break
				}
				events = append(events, Decided{Ticket: i.ticket, Refusal: s.away()})
				s.void(t, shard, key, i)
			}
			t.waiting = t.waiting[1:]
		}
		if now >= s.nextPurge {
			t.purge(now, s.rules.Retention)
		}
	}
	if now >= s.nextPurge {
		s.nextPurge = now.Add(s.rules.Retention / purges)
	}
	return events
}

// purge drops the intents that no caller repeats any more.
func (t *tenancy) purge(now root.Instant, retention root.Millis) {
	for key, i := range t.intents {
		if i.stage != queued && now.Since(i.since) > retention {
			delete(t.intents, key)
		}
	}
}

// Held returns the number of intents in memory.
func (s *State) Held() int {
	held := 0
	for t := range maps.Values(s.shards) {
		held += len(t.intents)
	}
	return held
}

func (s *State) away() *root.Refusal {
	return root.NewRefusal(root.PlatformUnavailable, s.rules.Retry, "the platform does not record that the call is made once")
}

// purges divides the retention into the steps at which old intents are dropped.
const purges = 64
