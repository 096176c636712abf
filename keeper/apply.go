package keeper

import (
	"cmp"
	"slices"

	root "sapphiredrum.example/sapphiredrum"
)

// BadRecord marks a record that does not fit the tree that it names.
var BadRecord = root.Errors.NewSubNamespace("keeper").NewType("bad_record")

// rebuild makes the trees that the records describe. Order and repetition do not
// matter. Of several records with one number the one of the highest epoch that
// follows the record before counts; epochs never fall along a tree. A gap ends
// its tree's records.
func rebuild(records []Record) (map[root.ProgramID]*tree, error) {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Tree, b.Tree), cmp.Compare(a.Number, b.Number),
			cmp.Compare(b.Epoch, a.Epoch), cmp.Compare(imagesFirst(a), imagesFirst(b)))
	})
	trees := make(map[root.ProgramID]*tree)
	start := latestImages(sorted)
	for i := range sorted {
		r := &sorted[i]
		t := trees[r.Tree]
		if t == nil {
			t = newTree(r.Tree)
			trees[r.Tree] = t
		}
		if r.Number < start[r.Tree] || r.Number <= t.number {
			continue
		}
		if !t.follows(r) {
			continue
		}
		if err := t.apply(r); err != nil {
			return nil, err
		}
	}
	return trees, nil
}

// follows reports whether the record is the tree's next one. It names the epoch
// of the record before it, so the records of two owners who went on from one
// place can't be mixed.
func (t *tree) follows(r *Record) bool {
	if r.Kind == Imaged {
		return r.Epoch >= t.epoch
	}
	return r.Number == t.number+1 && r.Epoch >= t.epoch && r.After == t.last
}

// latestImages returns the number of each tree's latest image.
func latestImages(records []Record) map[root.ProgramID]uint64 {
	latest := make(map[root.ProgramID]uint64)
	for i := range records {
		if r := &records[i]; r.Kind == Imaged {
			latest[r.Tree] = max(latest[r.Tree], r.Number)
		}
	}
	return latest
}

func imagesFirst(r Record) int {
	if r.Kind == Imaged {
		return 0
	}
	return 1
}

func newTree(id root.ProgramID) *tree {
	return &tree{id: id, programs: make(map[root.ProgramID]*program)}
}

// apply changes the tree as the record says. It is the only place that changes
// recorded state.
func (t *tree) apply(r *Record) error {
	t.number, t.epoch, t.last = r.Number, r.Epoch, r.Epoch
	switch r.Kind {
	case Imaged:
		t.last = r.After
		t.applyImages(r.Images)
		return nil
	case Created:
		t.applyCreated(r)
		return nil
	}
	p := t.programs[r.Program]
	if p == nil {
		return BadRecord.New("record %d of %s: no program %s", r.Number, r.Tree, r.Program)
	}
	switch r.Kind {
	case Allotted:
		p.Allotted = r.Allotted
	case Turned:
		return p.applyTurned(r)
	case Noted:
		p.spend(r.Spent)
		p.remember(r, 0)
	case Closed:
		t.applyClosed(p, r)
	case Refunded:
		t.applyRefund(p, r.Refund)
	case Forgotten:
		delete(t.programs, r.Program)
		t.order = slices.DeleteFunc(t.order, func(id root.ProgramID) bool { return id == r.Program })
	default:
		return BadRecord.New("record %d of %s: kind %q", r.Number, r.Tree, r.Kind)
	}
	return nil
}

func (t *tree) applyImages(images []Image) {
	clear(t.programs)
	t.order = t.order[:0]
	for i := range images {
		image := images[i]
		image.History = slices.Clone(image.History)
		image.Calls = slices.Clone(image.Calls)
		t.programs[image.ID] = &program{Image: image, tree: t}
		t.order = append(t.order, image.ID)
	}
}

func (t *tree) applyCreated(r *Record) {
	t.programs[r.Program] = &program{tree: t, Image: Image{
		ID: r.Program, Workspace: r.Workspace, Parent: r.Parent, Budget: r.Budget,
		TTL: r.TTL, State: Open, Allotted: r.Allotted,
	}}
	t.order = append(t.order, r.Program)
	if parent := t.programs[r.Parent]; parent != nil {
		parent.Carved += r.Budget
	}
}

func (p *program) applyTurned(r *Record) error {
	if head := p.Head.next(r.Call, r.Digest, r.Messages, r.Answer); head != r.Head {
		return BadRecord.New("record %d of %s: head of turn %d does not follow", r.Number, r.Tree, r.Head.Turn)
	}
	p.Head = r.Head
	p.spend(r.Spent)
	if !r.Model {
		p.remember(r, 0)
		return nil
	}
	p.History = append(p.History, r.Messages...)
	p.History = append(p.History, root.Message{Role: answerRole, Content: r.Answer})
	if r.Known > 0 {
		p.Known, p.Counted = r.Known, len(p.History)
	}
	p.remember(r, len(p.History))
	return nil
}

// spend sets what is spent; a target that used too much raises the allotment.
func (p *program) spend(amount root.Tokens) {
	p.Spent, p.Allotted = amount, max(amount, p.Allotted)
}

// remember keeps the result of a call for callers who ask again.
func (p *program) remember(r *Record, place int) {
	if r.Call == "" {
		return
	}
	d := Done{Call: r.Call, Digest: r.Digest, Outcome: r.Outcome, Head: p.Head, Place: place}
	if place == 0 {
		d.Answer, d.Dropped = r.Answer, r.Kind == Noted || len(r.Answer) > maxKeptAnswer
		if d.Dropped {
			d.Answer = ""
		}
	}
	p.Calls = append(p.Calls, d)
	if over := len(p.Calls) - maxKeptCalls; over > 0 {
		p.Calls = slices.Delete(p.Calls, 0, over)
	}
}

func (t *tree) applyClosed(p *program, r *Record) {
	p.State, p.Spent = r.State, r.Spent
	p.Allotted = p.Spent
	for i := range p.Calls {
		if p.Calls[i].Place > 0 {
			p.Calls[i].Place, p.Calls[i].Dropped = 0, true
		}
	}
	p.History, p.Counted = nil, 0
	if parent := t.programs[p.Parent]; parent != nil {
		parent.Carved -= p.left()
	}
}

// applyRefund lowers what a closed program spent. The amount goes up to the
// first ancestor that is open; closed ones pass it on.
func (t *tree) applyRefund(p *program, amount root.Tokens) {
	p.Spent -= amount
	p.Allotted = p.Spent
	for q := t.programs[p.Parent]; q != nil; q = t.programs[q.Parent] {
		q.Carved -= amount
		if q.State == Open {
			return
		}
	}
}

const (
	answerRole = "assistant"
	// maxKeptAnswer bounds a service's answer that is kept for repetition, in bytes.
	maxKeptAnswer = 64 << 10
	// maxKeptCalls bounds the results that a program keeps for repetition.
	maxKeptCalls = 256
)
