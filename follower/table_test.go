package follower_test

import (
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
)

// table passes a platform's table on with further faults: reads of an earlier
// moment, commits that arrive late, and steps of others just before and after a commit.
type table struct {
	*faker.Platform
	// stale is the number of next reads served from a moment past ago.
	stale, past int
	moments     []map[sd.RowKey]sd.Row
	// lose loses the next commit's answer; hold makes it arrive late; late are those on their way.
	lose, hold bool
	late       []sd.Transaction
	// before and after run once, around the next commit.
	before, after func()
	landed        func()
	// sent and aged count commits sent and stale reads served.
	sent, aged int
}

// newTable returns a table whose landed runs after every commit that reached it.
func newTable(landed func()) *table {
	return &table{
		Platform: faker.NewPlatform(sd.Clock{}), landed: landed,
		moments: []map[sd.RowKey]sd.Row{{}},
	}
}

func (b *table) Read(ctx context.Context, keys ...sd.RowKey) ([]sd.Row, error) {
	rows, err := b.Platform.Read(ctx, keys...)
	if err != nil || b.stale == 0 {
		return rows, err
	}
	b.stale--
	b.aged++
	moment := b.moments[max(len(b.moments)-1-b.past, 0)]
	for i, key := range keys {
		rows[i] = moment[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (b *table) Commit(ctx context.Context, transaction sd.Transaction) (sd.Sequence, error) {
	after := b.after
	b.after = nil
	once(&b.before)
	defer once(&after)
	b.sent++
	if b.hold {
		b.hold = false
		b.late = append(b.late, transaction)
		return 0, sd.Uncertain.New("the commit is on its way")
	}
	sequence, err := b.Platform.Commit(ctx, transaction)
	b.note()
	if b.lose && err == nil {
		b.lose = false
		return 0, sd.Uncertain.New("the answer was lost")
	}
	return sequence, err
}

// once runs a step and forgets it.
func once(step *func()) {
	if run := *step; run != nil {
		*step = nil
		run()
	}
}

// arrive lets the first late commit reach the platform.
func (b *table) arrive() {
	if len(b.late) > 0 {
		_, _ = b.Platform.Commit(context.Background(), b.late[0])
		b.late = b.late[1:]
		b.note()
	}
}

// note records the table as it is now.
func (b *table) note() {
	b.calm(func() {
		rows, _, _ := b.Changes(context.Background(), "", 0)
		moment := make(map[sd.RowKey]sd.Row, len(rows))
		for _, row := range rows {
			moment[row.Key] = row
		}
		b.moments = append(b.moments, moment)
		b.landed()
	})
}

// calm runs look without the platform's faults.
func (b *table) calm(look func()) {
	faults := b.Faults()
	b.SetFaults(faker.PlatformFaults{})
	look()
	b.SetFaults(faults)
}

// entry is an accepted revision as the oracle reads it from the table.
type entry struct {
	Revision  sd.Revision
	Object    string
	Operation sd.OperationID
	Author    string
	Note      string
}

// entry reads a row of the table; an absent one is zero.
func (b *table) entry(key sd.RowKey) entry {
	var found entry
	rows, _ := b.Platform.Read(context.Background(), key)
	_ = json.Unmarshal(rows[0].Value, &found)
	return found
}

// sheet reads an entry's sheet.
func (b *table) sheet(e entry) sd.Config {
	var found sd.Config
	value, _ := b.Get(context.Background(), e.Object)
	_ = json.Unmarshal(value, &found)
	return found
}

// is reports whether err has one of the types.
func is(err error, kinds ...*errorx.Type) bool {
	for _, kind := range kinds {
		if errorx.IsOfType(err, kind) {
			return true
		}
	}
	return false
}
