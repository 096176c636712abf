package observer_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/observer"
)

func row(key string, version uint64, removed bool) sd.Record {
	return sd.Record{RecordKey: sd.RecordKey{Table: "t", Key: key}, Version: version, Removed: removed}
}

// A replica that lags brings back neither an old version nor a removed row.
func TestLaggingAnswersChangeNothing(t *testing.T) {
	var v observer.View
	if _, ok := v.List([]sd.Record{row("a", 5, false), row("b", 6, false)}, 6); !ok {
		t.Fatal("first list refused")
	}
	if got := v.Change([]sd.Record{row("a", 4, false)}, 6); len(got) != 0 {
		t.Fatal("an older version counted")
	}
	v.Change([]sd.Record{row("b", 8, true)}, 8)
	if got := v.Change([]sd.Record{row("b", 6, false)}, 8); len(got) != 0 {
		t.Fatal("a removed row came back")
	}
	if _, ok := v.List([]sd.Record{row("a", 5, false), row("b", 6, false)}, 7); ok {
		t.Fatal("a list older than what was seen was taken")
	}
	changed, ok := v.List([]sd.Record{row("c", 9, false)}, 9)
	if !ok || len(changed) != 2 {
		t.Fatalf("list at 9: %v, %v", changed, ok)
	}
	if got := v.Change([]sd.Record{row("a", 5, false)}, 9); len(got) != 0 {
		t.Fatal("a row that a list had not came back at its old version")
	}
}

// Guards against a View that grows with every row that was ever removed. The rows that are
// still there, and those removed last, must not be forgotten.
func TestRemovedRowsAreForgotten(t *testing.T) {
	const rounds = 20_000
	var v observer.View
	if _, ok := v.List([]sd.Record{row("kept", 1, false)}, 1); !ok {
		t.Fatal("first list refused")
	}
	key := func(n int) string { return "k" + strconv.Itoa(n) }
	version := uint64(1)
	for n := range rounds {
		version += 2
		v.Change([]sd.Record{row(key(n), version-1, false)}, version-1)
		v.Change([]sd.Record{row(key(n), version, true)}, version)
	}
	remembered := 0
	for n := range rounds {
		if len(v.Change([]sd.Record{row(key(n), uint64(2*n+2), false)}, version)) == 0 {
			remembered++
		}
	}
	if remembered < 1000 || remembered > 5000 {
		t.Errorf("%d of %d removed rows are remembered", remembered, rounds)
	}
	if got := v.Change([]sd.Record{row(key(rounds-1), version-1, false)}, version); len(got) != 0 {
		t.Error("the row that was removed last came back")
	}
	if got := v.Change([]sd.Record{row("kept", 1, false)}, version); len(got) != 0 {
		t.Error("a row that is there was forgotten")
	}
}

// A follower goes on through lost history, outages and silence, and misses nothing.
func TestFollowerMissesNothing(t *testing.T) {
	store := faker.NewRows(1)
	cell := func(key string) sd.RecordKey { return sd.RecordKey{Table: "t", Key: key} }
	var lock sync.Mutex
	rows := map[string]string{}
	f := observer.Follower{Store: store, Table: "t", Wait: 50, Pace: 5, Log: zap.NewNop(), Changed: func(records []sd.Record) {
		lock.Lock()
		defer lock.Unlock()
		for _, r := range records {
			if r.Removed {
				delete(rows, r.Key)
			} else {
				rows[r.Key] = string(r.Value)
			}
		}
	}}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	eventually := func(key, want string) {
		t.Helper()
		for range 100 {
			lock.Lock()
			got := rows[key]
			lock.Unlock()
			if got == want {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Fatalf("%s is not %q in time", key, want)
	}
	store.Write(cell("a"), []byte("1"))
	eventually("a", "1")
	store.Trouble(faker.RowsTrouble{Down: true})
	store.Write(cell("a"), []byte("2"))
	store.Write(cell("b"), []byte("1"))
	store.Remove(cell("b"))
	store.Forget()
	store.Trouble(faker.RowsTrouble{})
	eventually("a", "2")
	eventually("b", "")
	store.Remove(cell("a"))
	store.Forget()
	eventually("a", "")
	cancel()
	<-ended
}
