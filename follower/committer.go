package follower

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
)

// Change describes an accepted revision for operators.
type Change struct {
	Revision  sd.Revision
	Operation sd.OperationID
	Author    string
	Note      string
	Date      sd.WallTime
}

// Edit changes a sheet in place. It returns an error to give the change up.
type Edit func(sheet *sd.Config) error

// Committer writes revisions to the platform.
type Committer struct {
	Table   sd.Table
	Objects sd.ObjectStore
	Clock   sd.Clock
}

// Head returns the highest accepted revision and its sheet; revision 0 with an
// empty sheet where none was accepted yet.
func (c *Committer) Head(ctx context.Context) (Change, sd.Config, error) {
	_, stored, err := c.read(ctx)
	if err != nil || stored.Revision == 0 {
		return Change{}, sd.Config{}, err
	}
	sheet, err := fetch(ctx, c.Objects, stored.Object)
	return stored.change(), sheet, err
}

// Commit stores sheet as the revision after basis. It returns a Conflict error
// that names the other change when another revision came in between, and an
// Uncertain error when the platform could not tell whether it took effect.
func (c *Committer) Commit(ctx context.Context, basis sd.Revision, sheet sd.Config, author, note string) (Change, error) {
	row, stored, err := c.read(ctx)
	if err != nil {
		return Change{}, err
	}
	if stored.Revision != basis {
		return Change{}, raced(basis, stored)
	}
	next := head{
		Revision: basis + 1, Operation: sd.OperationID(sd.RandomID()),
		Author: author, Note: note, Date: c.Clock.WallNow(),
	}
	next.Object = fmt.Sprintf("sheet/%d-%s", next.Revision, next.Operation)
	if err := c.store(ctx, next.Object, sheet); err != nil {
		return Change{}, err
	}
	return c.advance(ctx, row, next)
}

// Update applies an edit to the highest revision and commits it, again on the
// newer revision when another operator's change came in between.
func (c *Committer) Update(ctx context.Context, author, note string, edit Edit) (Change, error) {
	for attempt := 1; ; attempt++ {
		basis, sheet, err := c.Head(ctx)
		if err != nil {
			return Change{}, err
		}
		if err := edit(&sheet); err != nil {
			return Change{}, err
		}
		change, err := c.Commit(ctx, basis.Revision, sheet, author, note)
		if err == nil || attempt == maxUpdates || !errorx.IsOfType(err, sd.Conflict) {
			return change, err
		}
	}
}

// advance writes the head row and settles a lost answer by reading it back.
func (c *Committer) advance(ctx context.Context, row sd.Row, next head) (Change, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Change{}, sd.BrokenResponse.Wrap(err, "encode the head row")
	}
	_, err = c.Table.Commit(ctx, sd.Transaction{
		Operation: next.Operation,
		Writes: []sd.Write{
			{Key: headKey, Expect: row.Version, Value: value},
			{Key: changeKey(next.Revision), Value: value},
		},
	})
	switch {
	case err == nil:
		return next.change(), nil
	case errorx.IsOfType(err, sd.Uncertain), errorx.IsOfType(err, sd.Conflict):
		return c.settle(ctx, row, next, err)
	}
	return Change{}, err
}

// settle finds out what became of a commit that ended with cause, from the row of
// its own revision, which later revisions do not overwrite. Where that row is
// absent the commit may still be on its way, so settle rewrites the head row: a
// commit that expects the former version cannot take effect any more.
func (c *Committer) settle(ctx context.Context, row sd.Row, next head, cause error) (Change, error) {
	for range maxSettles {
		rows, err := c.Table.Read(ctx, headKey, changeKey(next.Revision))
		if err != nil {
			return Change{}, cause
		}
		if rows[1].Version > 0 {
			return decide(rows[1], next)
		}
		if rows[0].Version > row.Version {
			return Change{}, sd.Unavailable.Wrap(cause, "revision %d was not accepted", next.Revision)
		}
		// After a conflict an unchanged head row can only be a stale read.
		if errorx.IsOfType(cause, sd.Uncertain) && c.fence(ctx, row) == nil {
			return Change{}, sd.Unavailable.Wrap(cause, "revision %d was not accepted", next.Revision)
		}
	}
	return Change{}, cause
}

// fence writes the head row again as it is, on condition that it has not changed.
func (c *Committer) fence(ctx context.Context, row sd.Row) error {
	value := row.Value
	if row.Version == 0 {
		value = []byte("{}")
	}
	_, err := c.Table.Commit(ctx, sd.Transaction{
		Operation: sd.OperationID(sd.RandomID()),
		Writes:    []sd.Write{{Key: headKey, Expect: row.Version, Value: value}},
	})
	return err
}

// decide tells from the row of a revision whose change it is.
func decide(row sd.Row, next head) (Change, error) {
	var stored head
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return Change{}, sd.BrokenResponse.Wrap(err, "row %s does not parse", row.Key)
	}
	if stored.Operation != next.Operation {
		return Change{}, raced(next.Revision-1, stored)
	}
	return stored.change(), nil
}

// read returns the head row and its content.
func (c *Committer) read(ctx context.Context) (sd.Row, head, error) {
	return readHead(ctx, c.Table)
}

// store puts a sheet, again after a lost answer: its name is its own.
func (c *Committer) store(ctx context.Context, object string, sheet sd.Config) error {
	value, err := json.Marshal(sheet)
	if err != nil {
		return sd.BrokenResponse.Wrap(err, "encode the sheet")
	}
	err = c.Objects.Put(ctx, object, value)
	if err != nil && errorx.IsOfType(err, sd.Uncertain) {
		err = c.Objects.Put(ctx, object, value)
	}
	if err != nil {
		return sd.Unavailable.Wrap(err, "the sheet could not be stored")
	}
	return nil
}

// head is the content of the row "config/head" and of each "change/N" row.
type head struct {
	Revision  sd.Revision
	Object    string
	Operation sd.OperationID
	Author    string
	Note      string
	Date      sd.WallTime
}

// change returns what operators see of a head row.
func (h head) change() Change {
	return Change{Revision: h.Revision, Operation: h.Operation, Author: h.Author, Note: h.Note, Date: h.Date}
}

const (
	headKey    sd.RowKey = "config/head"
	maxUpdates           = 8
	maxSettles           = 4
)

// changeKey names the row that keeps one revision's description.
func changeKey(revision sd.Revision) sd.RowKey {
	return sd.RowKey(fmt.Sprintf("change/%d", revision))
}

// readHead reads the head row; an absent one has revision 0.
func readHead(ctx context.Context, table sd.Table) (sd.Row, head, error) {
	rows, err := table.Read(ctx, headKey)
	if err != nil {
		return sd.Row{}, head{}, err
	}
	var stored head
	if rows[0].Version == 0 {
		return rows[0], stored, nil
	}
	if err := json.Unmarshal(rows[0].Value, &stored); err != nil {
		return sd.Row{}, head{}, sd.BrokenResponse.Wrap(err, "the head row does not parse")
	}
	return rows[0], stored, nil
}

// fetch reads a sheet from the object store.
func fetch(ctx context.Context, objects sd.ObjectStore, object string) (sd.Config, error) {
	value, err := objects.Get(ctx, object)
	if err != nil {
		return sd.Config{}, err
	}
	var sheet sd.Config
	if err := json.Unmarshal(value, &sheet); err != nil {
		return sd.Config{}, sd.BrokenResponse.Wrap(err, "object %s does not parse", object)
	}
	return sheet, nil
}

// raced returns the error of an operator whose basis is no longer in force.
func raced(basis sd.Revision, other head) error {
	return sd.Conflict.New("revision %d is in force, not %d: %s changed it (%q, operation %s)",
		other.Revision, basis, other.Author, other.Note, other.Operation)
}
