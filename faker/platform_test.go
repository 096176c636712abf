package faker_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
)

func ExamplePlatform() {
	platform := faker.NewPlatform(sapphiredrum.NewClock())
	platform.SetFaults(faker.PlatformFaults{LoseAnswers: 1})
	write := sapphiredrum.Write{Key: "a", Value: []byte("1")}
	_, err := platform.Commit(context.Background(), sapphiredrum.Transaction{Operation: "o1", Writes: []sapphiredrum.Write{write}})
	rows, _ := platform.Read(context.Background(), "a")
	fmt.Println(errorx.IsOfType(err, sapphiredrum.Uncertain), rows[0].Version, rows[0].Operation)
	// Output: true 1 o1
}

// naive is the table as a plain log: every question is answered by replaying it.
type naive struct {
	log []sapphiredrum.Transaction
}

// replay returns the rows of a key's history after the given commits.
func (n *naive) row(key sapphiredrum.RowKey) sapphiredrum.Row {
	row, writes := sapphiredrum.Row{Key: key}, uint64(0)
	for i, t := range n.log {
		for _, w := range t.Writes {
			if w.Key != key {
				continue
			}
			writes++
			row = sapphiredrum.Row{Key: key, Sequence: sapphiredrum.Sequence(i + 1), Operation: t.Operation}
			if !w.Delete {
				row.Version, row.Value = writes, w.Value
			}
		}
	}
	return row
}

// holds reports whether all conditions of a transaction hold.
func (n *naive) holds(t sapphiredrum.Transaction) bool {
	for _, c := range t.Checks {
		if n.row(c.Key).Version != c.Expect {
			return false
		}
	}
	for _, w := range t.Writes {
		if n.row(w.Key).Version != w.Expect {
			return false
		}
	}
	return true
}

var tableKeys = []sapphiredrum.RowKey{"a/1", "a/2", "b/1", "b/2"}

// The table equals a log that is replayed for every question, also while
// answers and requests get lost and the platform is away.
func TestPlatformAgainstLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		platform := faker.NewPlatform(sapphiredrum.Clock{})
		model := &naive{}
		var faults faker.PlatformFaults
		t.Repeat(map[string]func(*rapid.T){
			"fault": func(t *rapid.T) {
				faults = faker.PlatformFaults{
					Away:         rapid.IntRange(0, 4).Draw(t, "away") == 0,
					LoseAnswers:  rapid.IntRange(0, 2).Draw(t, "answers"),
					LoseRequests: rapid.IntRange(0, 2).Draw(t, "requests"),
				}
				platform.SetFaults(faults)
			},
			"commit": func(t *rapid.T) {
				transaction := drawTransaction(t, model)
				sequence, err := platform.Commit(ctx, transaction)
				switch {
				case faults.Away:
					expectType(t, err, sapphiredrum.Unavailable)
				case faults.LoseRequests > 0:
					faults.LoseRequests--
					expectType(t, err, sapphiredrum.Uncertain)
				case !model.holds(transaction):
					expectType(t, err, sapphiredrum.Conflict)
				case faults.LoseAnswers > 0:
					faults.LoseAnswers--
					model.log = append(model.log, transaction)
					expectType(t, err, sapphiredrum.Uncertain)
				default:
					model.log = append(model.log, transaction)
					if err != nil || int(sequence) != len(model.log) {
						t.Fatalf("commit %d: %d, %v", len(model.log), sequence, err)
					}
				}
			},
			"": func(t *rapid.T) { compareTable(t, platform, model, faults.Away) },
		})
	})
}

// drawTransaction draws writes and checks whose versions mostly hold.
func drawTransaction(t *rapid.T, model *naive) sapphiredrum.Transaction {
	operation := sapphiredrum.OperationID(rapid.StringMatching(`[a-z]{8}`).Draw(t, "operation"))
	transaction := sapphiredrum.Transaction{Operation: operation}
	version := func(key sapphiredrum.RowKey) uint64 {
		if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
			return rapid.Uint64Range(0, 3).Draw(t, "version")
		}
		return model.row(key).Version
	}
	for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(tableKeys), 1, 3, rapid.ID).Draw(t, "keys") {
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			transaction.Checks = append(transaction.Checks, sapphiredrum.Precondition{Key: key, Expect: version(key)})
		case 1:
			transaction.Writes = append(transaction.Writes, sapphiredrum.Write{Key: key, Expect: version(key), Delete: true})
		default:
			value := rapid.SliceOf(rapid.Byte()).Draw(t, "value")
			transaction.Writes = append(transaction.Writes, sapphiredrum.Write{Key: key, Expect: version(key), Value: value})
		}
	}
	return transaction
}

// compareTable compares reads and changes with the model's.
func compareTable(t *rapid.T, platform *faker.Platform, model *naive, away bool) {
	rows, err := platform.Read(context.Background(), tableKeys...)
	if away {
		expectType(t, err, sapphiredrum.Unavailable)
		return
	}
	prefix := rapid.SampledFrom([]sapphiredrum.RowKey{"", "a/", "b/1"}).Draw(t, "prefix")
	after := sapphiredrum.Sequence(rapid.IntRange(0, len(model.log)).Draw(t, "after"))
	changed, reached, _ := platform.Changes(context.Background(), prefix, after)
	var want, wantChanged []sapphiredrum.Row
	for _, key := range tableKeys {
		row := model.row(key)
		want = append(want, row)
		if row.Sequence > after && (row.Version > 0 || after > 0) && string(key[:len(prefix)]) == string(prefix) {
			wantChanged = append(wantChanged, row)
		}
	}
	order := cmpopts.SortSlices(func(a, b sapphiredrum.Row) bool { return a.Key < b.Key })
	if diff := cmp.Diff(want, rows, cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("read: %s", diff)
	}
	if diff := cmp.Diff(wantChanged, changed, cmpopts.EquateEmpty(), order); diff != "" || int(reached) != len(model.log) {
		t.Fatalf("changes after %d reached %d: %s", after, reached, diff)
	}
}

// expectType fails unless err has the given type.
func expectType(t rapid.TB, err error, kind *errorx.Type) {
	t.Helper()
	if !errorx.IsOfType(err, kind) {
		t.Fatalf("got error %v, want %s", err, kind)
	}
}

// The list is as old as its lag, and rows beyond the limit are refused.
func TestPlatformLagAndLimit(t *testing.T) {
	now := sapphiredrum.Instant(sapphiredrum.Hour)
	platform := faker.NewPlatform(sapphiredrum.Clock{Source: func() sapphiredrum.Instant { return now }})
	ctx := context.Background()
	platform.SetFaults(faker.PlatformFaults{Lag: sapphiredrum.Second, Writes: 1})
	platform.SetMembers([]sapphiredrum.Member{{Address: "127.0.0.1:1"}})
	if members, _ := platform.Members(ctx); len(members) != 0 {
		t.Fatalf("the list does not lag: %v", members)
	}
	if err := platform.Put(ctx, "a", nil); err != nil {
		t.Fatal(err)
	}
	expectType(t, platform.Put(ctx, "b", nil), sapphiredrum.Unavailable)
	now = now.Add(sapphiredrum.Second)
	if members, _ := platform.Members(ctx); len(members) != 1 {
		t.Fatalf("the list stays behind: %v", members)
	}
	if err := platform.Put(ctx, "b", nil); err != nil {
		t.Fatal(err)
	}
}
