package leaser

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// fakeTable is the platform's table in memory; rows keep deleted ones as tombs.
type fakeTable struct {
	rows     map[sapphiredrum.RowKey]sapphiredrum.Row
	sequence sapphiredrum.Sequence
	// epochs are the highest epochs ever written, kept apart for the oracle.
	epochs map[sapphiredrum.RowKey]sapphiredrum.Epoch
	// broken collects violations; takeovers counts marks of lapsed hosts.
	broken    []string
	takeovers int
	reads     int
	writes    int
	rowsRead  int
	bytesRead int
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[sapphiredrum.RowKey]sapphiredrum.Row{}, epochs: map[sapphiredrum.RowKey]sapphiredrum.Epoch{}}
}

func (f *fakeTable) Read(_ context.Context, keys ...sapphiredrum.RowKey) ([]sapphiredrum.Row, error) {
	f.reads++
	rows := make([]sapphiredrum.Row, len(keys))
	for i, key := range keys {
		rows[i] = f.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (f *fakeTable) Changes(_ context.Context, prefix sapphiredrum.RowKey, after sapphiredrum.Sequence) ([]sapphiredrum.Row, sapphiredrum.Sequence, error) {
	f.reads++
	var rows []sapphiredrum.Row
	for key, row := range f.rows {
		if strings.HasPrefix(string(key), string(prefix)) && row.Sequence > after && (after > 0 || row.Version > 0) {
			rows = append(rows, row)
			f.rowsRead++
			f.bytesRead += len(row.Key) + len(row.Value)
		}
	}
	slices.SortFunc(rows, func(a, b sapphiredrum.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, f.sequence, nil
}

func (f *fakeTable) Commit(_ context.Context, transaction sapphiredrum.Transaction) (sapphiredrum.Sequence, error) {
	for _, write := range transaction.Writes {
		if f.rows[write.Key].Version != write.Expect {
			return 0, sapphiredrum.Conflict.New("row %s", write.Key)
		}
	}
	f.sequence++
	for _, write := range transaction.Writes {
		f.writes++
		f.inspect(write)
		row := sapphiredrum.Row{Key: write.Key, Sequence: f.sequence, Operation: transaction.Operation}
		if !write.Delete {
			row.Version, row.Value = write.Expect+1, write.Value
		}
		f.rows[write.Key] = row
	}
	return f.sequence, nil
}

// inspect checks that epochs grow with owners and counts takeovers.
func (f *fakeTable) inspect(write sapphiredrum.Write) {
	before := f.rows[write.Key].Value
	if strings.HasPrefix(string(write.Key), "host/") {
		var old, row HostRow
		_, _ = json.Unmarshal(before, &old), json.Unmarshal(write.Value, &row)
		if row.Lapsed && !old.Lapsed || old.Host != "" && !old.Lapsed && row.Host != "" && old.Epoch != row.Epoch {
			f.takeovers++
		}
		return
	}
	var old, row ShardRow
	_, _ = json.Unmarshal(before, &old), json.Unmarshal(write.Value, &row)
	grows := row.Epoch > f.epochs[write.Key]
	if row.Host != "" && !grows || row.Host == "" && row.Epoch != f.epochs[write.Key] {
		f.broken = append(f.broken, "epoch of "+string(write.Key)+" doesn't grow")
	}
	f.epochs[write.Key] = max(row.Epoch, f.epochs[write.Key])
}
