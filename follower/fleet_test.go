package follower_test

import (
	"context"
	"fmt"
	"strings"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/follower"
)

const (
	operators = 2
	hosts     = 4
	keys      = 4
)

// desk is an operator and the revision that it last looked at.
type desk struct {
	basis sd.Revision
	sheet sd.Config
}

// host is a follower and what its watcher saw.
type host struct {
	*follower.Follower
	seen []sd.Revision
	// checked is the configuration that was compared last; none changes.
	checked *follower.Config
}

// fleet is the world of the test and its oracle.
type fleet struct {
	table     *table
	committer *follower.Committer
	desks     [operators]desk
	hosts     []*host
	serial    int

	// ledger holds every revision by number from 1 and the sheet that its
	// operator meant, by note; withdrawn the first revision without a key.
	ledger    []entry
	meant     map[string]sd.Config
	withdrawn map[sd.KeyID]sd.Revision
	acked     map[sd.Revision]sd.OperationID
	// dead are the notes of changes whose operator was told of no effect.
	dead map[string]bool
	fail func(format string, values ...any)
}

func newFleet() *fleet {
	f := &fleet{
		meant: make(map[string]sd.Config), withdrawn: make(map[sd.KeyID]sd.Revision),
		acked: make(map[sd.Revision]sd.OperationID), dead: make(map[string]bool),
	}
	f.table = newTable(f.land)
	f.committer = &follower.Committer{Table: f.table, Objects: f.table}
	f.start()
	return f
}

// start adds a host.
func (f *fleet) start() {
	h := &host{Follower: follower.New(follower.Settings{}, f.table, f.table, sd.Clock{}, zap.NewNop())}
	h.Watch(func(c *follower.Config) { h.seen = append(h.seen, c.Revision) })
	f.hosts = append(f.hosts, h)
}

// land checks the table after a commit reached it.
func (f *fleet) land() {
	top := f.table.entry("config/head")
	switch int(top.Revision) {
	case len(f.ledger):
	case len(f.ledger) + 1:
		f.ledger = append(f.ledger, top)
		f.compare(top)
		for _, k := range f.meant[top.Note].Keys {
			if _, found := f.withdrawn[k.ID]; k.Revoked && !found {
				f.withdrawn[k.ID] = top.Revision
			}
		}
	default:
		f.fail("the head went from %d to %d", len(f.ledger), top.Revision)
	}
}

// compare fails unless the stored sheet of a revision is what its operator meant.
func (f *fleet) compare(e entry) {
	if diff := cmp.Diff(f.meant[e.Note], f.table.sheet(e), cmpopts.EquateEmpty()); diff != "" {
		f.fail("the sheet of revision %d: %s", e.Revision, diff)
	}
}

// next returns a fresh note and the sheet that follows from an older one: a new
// workspace, and perhaps a key withdrawn.
func (f *fleet) next(t *rapid.T, sheet sd.Config) (string, sd.Config) {
	f.serial++
	note := fmt.Sprintf("change-%d.", f.serial)
	following := sd.Config{
		Workspaces: append(append([]sd.Workspace(nil), sheet.Workspaces...), sd.Workspace{ID: sd.WorkspaceID(note)}),
		Keys:       append([]sd.APIKey(nil), sheet.Keys...),
	}
	for i := len(following.Keys); i < keys; i++ {
		secret := fmt.Sprint("secret-", i)
		following.Keys = append(following.Keys, sd.APIKey{ID: sd.KeyID(secret), Digest: follower.Digest(secret)})
	}
	if i := rapid.IntRange(0, 3*keys).Draw(t, "withdraw"); i < keys {
		following.Keys[i].Revoked = true
	}
	return note, following
}

// commit lets an operator commit on the revision that it looked at.
func (f *fleet) commit(t *rapid.T, number int) {
	d := &f.desks[number]
	note, sheet := f.next(t, d.sheet)
	f.meant[note] = sheet
	sent, aged, accepted := f.table.sent, f.table.aged, len(f.ledger)
	change, err := f.committer.Commit(context.Background(), d.basis, sheet, fmt.Sprint("operator-", number), note)
	f.judge(note, change, err, f.table.sent > sent)
	switch {
	case err == nil:
		if change.Revision != d.basis+1 {
			t.Fatalf("revision %d follows %d", change.Revision, d.basis)
		}
		d.basis, d.sheet = change.Revision, sheet
	case is(err, sd.Conflict) && aged == f.table.aged && int(d.basis) <= accepted:
		f.named(t, d.basis, err)
	}
}

// named fails unless a conflict names a change after basis and its author.
func (f *fleet) named(t *rapid.T, basis sd.Revision, err error) {
	for _, e := range f.ledger[basis:] {
		if strings.Contains(err.Error(), e.Note) && strings.Contains(err.Error(), e.Author) {
			return
		}
	}
	t.Fatalf("the conflict on %d names no later change: %v", basis, err)
}

// update lets an operator change whatever is in force.
func (f *fleet) update(t *rapid.T) {
	note := ""
	sent := f.table.sent
	change, err := f.committer.Update(context.Background(), "updater", "", func(sheet *sd.Config) error {
		if note == "" {
			note, *sheet = f.next(t, *sheet)
		}
		return sd.NotFound.New("looked only")
	})
	if note == "" || !is(err, sd.NotFound) || change.Revision != 0 || f.table.sent > sent {
		if note != "" || !is(err, sd.Unavailable) {
			t.Fatalf("an edit that was given up: %+v, %v", change, err)
		}
		return
	}
	change, err = f.committer.Update(context.Background(), "updater", note, func(sheet *sd.Config) error {
		sheet.Workspaces = append(sheet.Workspaces, sd.Workspace{ID: sd.WorkspaceID(note)})
		f.meant[note] = *sheet
		return nil
	})
	f.judge(note, change, err, f.table.sent > sent)
}

// judge compares an operator's verdict with the table.
func (f *fleet) judge(note string, change follower.Change, err error, sent bool) {
	switch {
	case err == nil:
		if int(change.Revision) > len(f.ledger) || f.ledger[change.Revision-1].Note != note {
			f.fail("%s was acknowledged as %d but is not in the table", note, change.Revision)
		}
		f.acked[change.Revision] = change.Operation
	case is(err, sd.Conflict, sd.Unavailable):
		f.dead[note] = true
	case !is(err, sd.Uncertain) || !sent:
		f.fail("%s ended with %v, sent: %v", note, err, sent)
	}
}

// check is the oracle's view of everything at once.
func (f *fleet) check(t *rapid.T) {
	times := make(map[string]int)
	for i, e := range f.ledger {
		times[e.Note]++
		stored := f.table.entry(sd.RowKey(fmt.Sprint("change/", i+1)))
		if times[e.Note] > 1 || f.dead[e.Note] || stored != e || int(e.Revision) != i+1 {
			t.Fatalf("revision %d is %+v in the table, %+v in the ledger; refused: %v", i+1, stored, e, f.dead[e.Note])
		}
	}
	for revision, operation := range f.acked {
		if f.ledger[revision-1].Operation != operation {
			t.Fatalf("the acknowledged revision %d was lost", revision)
		}
	}
	for i, h := range f.hosts {
		f.checkHost(t, i, h)
	}
}

// checkHost checks one follower: its revisions only grow, its sheet is that of
// its revision, and a withdrawn key does not resolve.
func (f *fleet) checkHost(t *rapid.T, i int, h *host) {
	last := sd.Revision(0)
	for _, revision := range h.seen {
		if revision <= last {
			t.Fatalf("host %d saw the revisions %v", i, h.seen)
		}
		last = revision
	}
	config := h.Current()
	if config.Revision != last || int(last) > len(f.ledger) {
		t.Fatalf("host %d holds %d, saw %v, accepted are %d", i, config.Revision, h.seen, len(f.ledger))
	}
	if config == h.checked {
		return
	}
	h.checked = config
	want := sd.Config{}
	if last > 0 {
		want = f.meant[f.ledger[last-1].Note]
	}
	if diff := cmp.Diff(want, config.Sheet, cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("host %d at %d: %s", i, last, diff)
	}
	for _, k := range want.Keys {
		since, gone := f.withdrawn[k.ID]
		gone = gone && last >= since
		if _, refusal := config.Credential(string(k.ID)); (refusal == nil) == gone || config.Valid(k.ID) == gone {
			t.Fatalf("host %d at %d: key %s withdrawn in %d: %v", i, last, k.ID, since, refusal)
		}
	}
}

// quiet heals everything; every host then holds the last accepted revision.
func (f *fleet) quiet(t *rapid.T) {
	f.table.SetFaults(faker.PlatformFaults{})
	f.table.stale = 0
	for len(f.table.late) > 0 {
		f.table.arrive()
	}
	for _, e := range f.ledger {
		f.compare(e)
	}
	for i, h := range f.hosts {
		if err := h.Poll(context.Background()); err != nil || int(h.Current().Revision) != len(f.ledger) {
			t.Fatalf("after a quiet spell host %d holds %d of %d: %v", i, h.Current().Revision, len(f.ledger), err)
		}
	}
}
