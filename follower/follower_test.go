package follower_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/follower"
)

// actions are the steps of the test.
func (f *fleet) actions() map[string]func(*rapid.T) {
	number := func(t *rapid.T) int { return rapid.IntRange(0, operators-1).Draw(t, "operator") }
	pick := func(t *rapid.T) *host { return rapid.SampledFrom(f.hosts).Draw(t, "host") }
	return map[string]func(*rapid.T){
		"platform": func(t *rapid.T) {
			f.table.SetFaults(faker.PlatformFaults{
				Away:         rapid.IntRange(0, 3).Draw(t, "away") == 0,
				LoseAnswers:  rapid.IntRange(0, 2).Draw(t, "answers"),
				LoseRequests: rapid.IntRange(0, 2).Draw(t, "requests"),
			})
		},
		"stale": func(t *rapid.T) {
			f.table.stale = rapid.IntRange(0, 4).Draw(t, "reads")
			f.table.past = rapid.IntRange(1, 4).Draw(t, "past")
		},
		"hold":   func(*rapid.T) { f.table.hold = true },
		"arrive": func(*rapid.T) { f.table.arrive() },
		"look": func(t *rapid.T) {
			i := number(t)
			if change, sheet, err := f.committer.Head(context.Background()); err == nil {
				f.desks[i] = desk{basis: change.Revision, sheet: sheet}
			}
		},
		"commit": func(t *rapid.T) { f.commit(t, number(t)) },
		"race": func(t *rapid.T) {
			rival := func() { f.commit(t, 1) }
			if rapid.Bool().Draw(t, "anew") {
				rival = func() { f.update(t) }
			}
			if rapid.Bool().Draw(t, "overtakes") {
				f.table.before = rival
			} else {
				f.table.lose = rapid.Bool().Draw(t, "lost")
				f.table.after = rival
			}
			f.commit(t, 0)
			f.table.before, f.table.after = nil, nil
		},
		"outage": func(t *rapid.T) {
			f.table.SetFaults(faker.PlatformFaults{})
			f.table.lose = true
			f.table.hold = rapid.Bool().Draw(t, "late")
			f.table.after = func() { f.table.SetFaults(faker.PlatformFaults{Away: true}) }
			f.commit(t, number(t))
			f.table.after = nil
		},
		"update": func(t *rapid.T) { f.update(t) },
		"poll":   func(t *rapid.T) { _ = pick(t).Poll(context.Background()) },
		"offer": func(t *rapid.T) {
			from, to := pick(t).Current(), pick(t)
			higher := from.Revision > to.Current().Revision
			if to.Offer(from.Revision, from.Sheet) != higher {
				t.Fatalf("an offer of %d at %d", from.Revision, to.Current().Revision)
			}
		},
		"start": func(*rapid.T) {
			if len(f.hosts) < hosts {
				f.start()
			}
		},
		"quiet": f.quiet,
		"":      func(t *rapid.T) { f.table.calm(func() { f.check(t) }) },
	}
}

// Two operators and several hosts against a table that is away, loses answers
// and requests, delays commits and answers from the past.
func TestRevisionsAgainstLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.fail = t.Fatalf
		t.Repeat(f.actions())
		f.quiet(t)
		f.check(t)
	})
}

// Operators who change the sheet all at once lose no change: the sheet in force
// holds exactly what was acknowledged.
func TestOperatorsTogether(t *testing.T) {
	platform := faker.NewPlatform(sd.Clock{})
	committer := &follower.Committer{Table: platform, Objects: platform}
	acknowledged := make(chan sd.WorkspaceID, operators*hosts*keys)
	var all sync.WaitGroup
	for i := range operators * hosts {
		all.Add(1)
		go func() {
			defer all.Done()
			for j := range keys {
				id := sd.WorkspaceID(fmt.Sprint("desk-", i, "-", j))
				_, err := committer.Update(context.Background(), "operator", string(id), func(sheet *sd.Config) error {
					sheet.Workspaces = append(sheet.Workspaces, sd.Workspace{ID: id})
					return nil
				})
				switch {
				case err == nil:
					acknowledged <- id
				case !is(err, sd.Conflict):
					t.Errorf("%s: %v", id, err)
				}
			}
		}()
	}
	all.Wait()
	close(acknowledged)
	var want, got []sd.WorkspaceID
	for id := range acknowledged {
		want = append(want, id)
	}
	head, sheet, err := committer.Head(context.Background())
	for _, w := range sheet.Workspaces {
		got = append(got, w.ID)
	}
	sorted := cmpopts.SortSlices(func(a, b sd.WorkspaceID) bool { return a < b })
	if diff := cmp.Diff(want, got, sorted); diff != "" || err != nil || int(head.Revision) != len(want) {
		t.Fatalf("revision %d, %v: %s", head.Revision, err, diff)
	}
}
