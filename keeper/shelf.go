package keeper

import (
	"cmp"
	"maps"
	"slices"

	root "sapphiredrum.example/sapphiredrum"
)

// Rules are the limits that a shelf applies.
type Rules struct {
	// Chunk is what an allotment is raised by beyond what a call needs.
	Chunk root.Tokens
	// Turns bounds the finished calls of one program.
	Turns uint64
	// Queue bounds the calls that wait behind a running one.
	Queue int
	// TTL is how long a program may rest if its creation names no time.
	TTL root.Millis
	// Retention is how long a closed program answers for its calls; it is
	// longer than a caller goes on repeating a call.
	Retention root.Millis
	// Retry is the time to come back that refusals name.
	Retry root.Millis
}

// DefaultRules are the rules of a host without settings.
var DefaultRules = Rules{
	Chunk: 20_000, Turns: 1000, Queue: 32, TTL: 30 * root.Minute,
	Retention: 10 * root.Minute, Retry: root.Second,
}

// Shelf holds the programs of the shards that one host keeps.
type Shelf struct {
	rules   Rules
	shards  map[root.ShardID]*holding
	pending []Record
	attempt uint64
}

// holding is one shard that the host keeps.
type holding struct {
	epoch root.Epoch
	// closing is set while the shard is handed over.
	closing bool
	trees   map[root.ProgramID]*tree
	// roots names each program's tree.
	roots map[root.ProgramID]root.ProgramID
}

// NewShelf returns a shelf without shards.
func NewShelf(rules Rules) *Shelf {
	return &Shelf{rules: rules, shards: make(map[root.ShardID]*holding)}
}

// Gain takes over a shard with the records that are durable and those that its
// former owner's peers held. Allotments count as spent. A BadRecord error leaves
// the shelf as it was.
func (s *Shelf) Gain(now root.Instant, shard root.ShardID, epoch root.Epoch, records []Record) error {
	trees, err := rebuild(records)
	if err != nil {
		return err
	}
	h := &holding{epoch: epoch, trees: trees, roots: make(map[root.ProgramID]root.ProgramID)}
	for _, id := range slices.Sorted(maps.Keys(trees)) {
		t := trees[id]
		if len(t.order) == 0 {
			delete(trees, id)
			continue
		}
		t.epoch, t.safe = epoch, t.number
		for _, member := range t.order {
			p := t.programs[member]
			p.Spent, p.usable, p.touched = p.Allotted, p.Allotted, now
			h.roots[member] = id
		}
	}
	s.shards[shard] = h
	return nil
}

// Lose drops a shard at once, with the records of it that were not drained. It
// refuses the calls that wait; what running ones report later is ignored.
func (s *Shelf) Lose(shard root.ShardID) []Event {
	h := s.shards[shard]
	if h == nil {
		return nil
	}
	var events []Event
	for _, id := range slices.Sorted(maps.Keys(h.trees)) {
		for _, member := range h.trees[id].order {
			events = append(events, s.refuseWaiting(h.trees[id].programs[member], root.KeeperMoving, "the program's shard has moved")...)
		}
	}
	delete(s.shards, shard)
	s.pending = slices.DeleteFunc(s.pending, func(r Record) bool {
		kept, err := r.Tree.Shard()
		return err == nil && kept == shard
	})
	return events
}

// Yield prepares a shard's hand-over: new calls are refused, and what resting
// programs hold but have not spent is given back, so that the next owner does
// not count it. It reports whether no call is running; call it again until so.
func (s *Shelf) Yield(shard root.ShardID) bool {
	h := s.shards[shard]
	if h == nil {
		return true
	}
	h.closing = true
	idle := true
	for _, id := range slices.Sorted(maps.Keys(h.trees)) {
		t := h.trees[id]
		for _, member := range t.order {
			p := t.programs[member]
			if p.current != nil {
				idle = false
			} else if p.State == Open && p.Allotted > p.Spent {
				s.allot(t, p, p.Spent)
			}
		}
	}
	return idle
}

// Image returns the shard's state as one record a tree, for a checkpoint, and
// the epoch that the shelf keeps it under; epoch 0 means that it does not.
func (s *Shelf) Image(shard root.ShardID) (root.Epoch, []Record) {
	h := s.shards[shard]
	if h == nil {
		return 0, nil
	}
	records := make([]Record, 0, len(h.trees))
	for _, id := range slices.Sorted(maps.Keys(h.trees)) {
		records = append(records, h.trees[id].image())
	}
	return h.epoch, records
}

// image returns the tree's state; it shares the histories, which only grow.
func (t *tree) image() Record {
	images := make([]Image, 0, len(t.order))
	for _, id := range t.order {
		i := t.programs[id].Image
		i.History = slices.Clip(i.History)
		i.Calls = slices.Clone(i.Calls)
		images = append(images, i)
	}
	return Record{Tree: t.id, Number: t.number, Epoch: t.epoch, After: t.last, Program: t.id, Kind: Imaged, Images: images}
}

// Drain returns the records made since the last call, in order. They are to be
// made durable and copied to a peer.
func (s *Shelf) Drain() []Record {
	records := s.pending
	s.pending = nil
	return records
}

// Safe tells that the tree's records up to number are durable or copied. It
// returns the calls that may start now. Reports of another epoch are ignored.
func (s *Shelf) Safe(now root.Instant, id root.ProgramID, epoch root.Epoch, number uint64) []Event {
	h, t := s.tree(id)
	if t == nil || h.epoch != epoch || number <= t.safe || number > t.number {
		return nil
	}
	t.safe = number
	var events []Event
	for _, member := range t.order {
		p := t.programs[member]
		for len(p.raises) > 0 && p.raises[0].number <= number {
			p.usable = max(p.usable, min(p.raises[0].amount, p.Allotted))
			p.raises = p.raises[1:]
		}
		if p.startable() {
			events = append(events, p.start(now))
		}
	}
	return events
}

// emit numbers a record, applies it and keeps it for Drain.
func (s *Shelf) emit(t *tree, r Record) error {
	r.Tree, r.Number, r.Epoch, r.After = t.id, t.number+1, t.epoch, t.last
	if err := t.apply(&r); err != nil {
		return err
	}
	s.pending = append(s.pending, r)
	return nil
}

// allot records a changed allotment. A lower one binds at once, a higher one
// when its record is safe.
func (s *Shelf) allot(t *tree, p *program, amount root.Tokens) {
	if s.emit(t, Record{Program: p.ID, Kind: Allotted, Allotted: amount}) != nil {
		return
	}
	if amount <= p.usable {
		p.usable, p.raises = amount, nil
		return
	}
	p.raises = append(p.raises, raise{number: t.number, amount: amount})
}

// tree returns the tree that a program belongs to and the shard's holding; both
// are nil where the shelf does not have them.
func (s *Shelf) tree(id root.ProgramID) (*holding, *tree) {
	shard, err := id.Shard()
	if err != nil {
		return nil, nil
	}
	h := s.shards[shard]
	if h == nil {
		return nil, nil
	}
	return h, h.trees[h.roots[id]]
}

// lookup returns an existing program for its own workspace, or a refusal.
func (s *Shelf) lookup(id root.ProgramID, workspace root.WorkspaceID) (*holding, *program, error) {
	h, t := s.tree(id)
	if h == nil {
		if _, err := id.Shard(); err != nil {
			return nil, nil, root.NewRefusal(root.ProgramUnknown, 0, "the program's identifier names no shard")
		}
		return nil, nil, root.NewRefusal(root.KeeperMoving, s.rules.Retry, "another host keeps the program's shard")
	}
	if t == nil {
		return nil, nil, root.NewRefusal(root.ProgramUnknown, 0, "no such program")
	}
	p := t.programs[id]
	if p.Workspace != workspace {
		return nil, nil, root.NewRefusal(root.ProgramWrongWorkspace, 0, "the program belongs to another workspace")
	}
	return h, p, nil
}

func compareShards(a, b root.ShardID) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Number, b.Number))
}
