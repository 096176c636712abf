package keeper

import (
	"maps"
	"slices"

	root "sapphiredrum.example/sapphiredrum"
)

// Creation asks for a new program.
type Creation struct {
	// Program is a fresh identifier, made for the shard that is to keep it.
	Program   root.ProgramID
	Workspace root.WorkspaceID
	// Parent is empty or a program of the same workspace and shard; the budget
	// then comes out of the parent's.
	Parent root.ProgramID
	Budget root.Tokens
	// TTL is how long the program may rest; zero takes the shelf's rule.
	TTL root.Millis
}

// Status describes a program.
type Status struct {
	Program  root.ProgramID
	Tree     root.ProgramID
	State    Condition
	Head     Head
	Budget   root.Tokens
	Spent    root.Tokens
	Attained root.Tokens
	// Left is what calls and children may still use.
	Left    root.Tokens
	Running root.CallID
	Queued  int
	// Epoch and Number name the record to wait for before the status is shown.
	Epoch  root.Epoch
	Number uint64
}

// Create opens a program. Repeating it for the same program is harmless.
func (s *Shelf) Create(now root.Instant, creation Creation) (Status, error) {
	shard, err := creation.Program.Shard()
	if err != nil {
		return Status{}, root.NewRefusal(root.BadRequest, 0, "the program's identifier names no shard")
	}
	h := s.shards[shard]
	if h == nil || h.closing {
		return Status{}, root.NewRefusal(root.KeeperMoving, s.rules.Retry, "another host keeps the shard")
	}
	if _, t := s.tree(creation.Program); t != nil {
		return s.Status(creation.Program, creation.Workspace)
	}
	if creation.Budget <= 0 {
		return Status{}, root.NewRefusal(root.BadRequest, 0, "the budget is not above zero")
	}
	t := newTree(creation.Program)
	t.epoch = h.epoch
	if creation.Parent != "" {
		parent, err := s.parent(creation, shard)
		if err != nil {
			return Status{}, err
		}
		t = parent.tree
	}
	r := Record{
		Program: creation.Program, Kind: Created, Workspace: creation.Workspace, Parent: creation.Parent,
		Budget: creation.Budget, TTL: creation.TTL, Allotted: min(creation.Budget, s.rules.Chunk),
	}
	if r.TTL <= 0 {
		r.TTL = s.rules.TTL
	}
	if err := s.emit(t, r); err != nil {
		return Status{}, err
	}
	h.trees[t.id], h.roots[r.Program] = t, t.id
	p := t.programs[r.Program]
	p.touched = now
	p.raises = append(p.raises, raise{number: t.number, amount: r.Allotted})
	return p.status(), nil
}

// parent returns the parent of a new program, with room for its budget.
func (s *Shelf) parent(creation Creation, shard root.ShardID) (*program, error) {
	if other, err := creation.Parent.Shard(); err != nil || other != shard {
		return nil, root.NewRefusal(root.BadRequest, 0, "a child is kept on its parent's shard")
	}
	_, p, err := s.lookup(creation.Parent, creation.Workspace)
	if err != nil {
		return nil, err
	}
	if p.State != Open {
		return nil, root.NewRefusal(root.ProgramEnded, 0, "the parent is "+string(p.State))
	}
	idle := p.Allotted - p.Spent
	if p.current != nil {
		idle -= p.current.reserve
	}
	if p.free()+max(0, idle) < creation.Budget {
		return nil, root.NewRefusal(root.BudgetExhausted, 0, "the parent's budget does not bear the child's")
	}
	if short := creation.Budget - p.free(); short > 0 {
		s.allot(p.tree, p, p.Allotted-short)
	}
	return p, nil
}

// Status describes a program for its workspace, or returns a refusal.
func (s *Shelf) Status(id root.ProgramID, workspace root.WorkspaceID) (Status, error) {
	_, p, err := s.lookup(id, workspace)
	if err != nil {
		return Status{}, err
	}
	return p.status(), nil
}

func (p *program) status() Status {
	status := Status{
		Program: p.ID, Tree: p.tree.id, State: p.State, Head: p.Head, Budget: p.Budget,
		Spent: p.Spent, Attained: p.tree.attained(), Left: p.left(), Queued: len(p.queue),
		Epoch: p.tree.epoch, Number: p.tree.number,
	}
	if p.current != nil {
		status.Running = p.current.call.ID
	}
	return status
}

// Stopped tells what the end of a program leaves to do.
type Stopped struct {
	// Running are the attempts to cancel; each one's end is reported with Finish.
	Running []Running
	// Closed are the programs that ended, children before their parents.
	Closed []root.ProgramID
	Events []Event
	Tree   root.ProgramID
	Epoch  root.Epoch
	Number uint64
}

// Running names an attempt that was handed out.
type Running struct {
	Program root.ProgramID
	Call    root.CallID
	Attempt Attempt
}

// End closes a program and its children regularly.
func (s *Shelf) End(id root.ProgramID, workspace root.WorkspaceID) (Stopped, error) {
	return s.stop(id, workspace, Ended)
}

// Cancel closes a program and its children before their time.
func (s *Shelf) Cancel(id root.ProgramID, workspace root.WorkspaceID) (Stopped, error) {
	return s.stop(id, workspace, Cancelled)
}

func (s *Shelf) stop(id root.ProgramID, workspace root.WorkspaceID, state Condition) (Stopped, error) {
	_, p, err := s.lookup(id, workspace)
	if err != nil {
		return Stopped{}, err
	}
	var stopped Stopped
	s.close(p, state, &stopped)
	stopped.Tree, stopped.Epoch, stopped.Number = p.tree.id, p.tree.epoch, p.tree.number
	return stopped, nil
}

// close closes the children, then the program. A call that runs is charged with
// its worst case until its end is known.
func (s *Shelf) close(p *program, state Condition, stopped *Stopped) {
	if p.State != Open {
		return
	}
	for _, id := range slices.Clone(p.tree.order) {
		if child := p.tree.programs[id]; child.Parent == p.ID {
			s.close(child, state, stopped)
		}
	}
	spent := p.Spent
	if c := p.current; c != nil && c.started {
		spent += c.reserve
		stopped.Running = append(stopped.Running, Running{Program: p.ID, Call: c.call.ID, Attempt: c.id})
	}
	stopped.Events = append(stopped.Events, s.refuseWaiting(p, root.ProgramEnded, "the program was closed")...)
	if s.emit(p.tree, Record{Program: p.ID, Kind: Closed, State: state, Spent: spent}) == nil {
		p.usable, p.raises = p.Spent, nil
		stopped.Closed = append(stopped.Closed, p.ID)
	}
}

// Expire closes the programs that have rested for longer than their time and
// forgets those that were closed long enough ago. Number is not set.
func (s *Shelf) Expire(now root.Instant) Stopped {
	var stopped Stopped
	shards := slices.SortedFunc(maps.Keys(s.shards), compareShards)
	for _, shard := range shards {
		if h := s.shards[shard]; !h.closing {
			for _, id := range slices.Sorted(maps.Keys(h.trees)) {
				s.expireTree(now, h, h.trees[id], &stopped)
			}
		}
	}
	return stopped
}

func (s *Shelf) expireTree(now root.Instant, h *holding, t *tree, stopped *Stopped) {
	for _, id := range slices.Clone(t.order) {
		p := t.programs[id]
		switch {
		case p.State == Open && p.resting(now):
			s.close(p, Ended, stopped)
		case p.State != Open && p.current == nil && now.Since(p.touched) > s.rules.Retention && t.childless(id):
			if s.emit(t, Record{Program: id, Kind: Forgotten}) == nil {
				delete(h.roots, id)
			}
		}
	}
	if len(t.order) == 0 {
		delete(h.trees, t.id)
	}
}

// resting reports whether the program and all below it have done nothing for
// longer than its time to live.
func (p *program) resting(now root.Instant) bool {
	if p.current != nil || now.Since(p.touched) <= p.TTL {
		return false
	}
	for _, id := range p.tree.order {
		if child := p.tree.programs[id]; child.Parent == p.ID && child.State == Open && !child.resting(now) {
			return false
		}
	}
	return true
}

func (t *tree) childless(id root.ProgramID) bool {
	for _, other := range t.order {
		if t.programs[other].Parent == id {
			return false
		}
	}
	return true
}

// Life tells whether a program may still need what an engine holds for it.
type Life int

// What a shelf knows about a program's life.
const (
	// Unheard is the answer for programs of shards that the shelf does not keep.
	Unheard Life = iota
	Living
	Gone
)

// Living tells whether the program is open. Programs of a kept shard that the
// shelf does not know are gone.
func (s *Shelf) Living(id root.ProgramID) Life {
	h, t := s.tree(id)
	switch {
	case h == nil:
		return Unheard
	case t == nil || t.programs[id].State != Open:
		return Gone
	}
	return Living
}
