package leaser

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"sapphiredrum.example/sapphiredrum"
)

// lockedTable makes the fake table safe for several runners.
type lockedTable struct {
	mutex sync.Mutex
	table *fakeTable
}

func (l *lockedTable) Read(ctx context.Context, keys ...sapphiredrum.RowKey) ([]sapphiredrum.Row, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.table.Read(ctx, keys...)
}

func (l *lockedTable) Changes(ctx context.Context, prefix sapphiredrum.RowKey, after sapphiredrum.Sequence) ([]sapphiredrum.Row, sapphiredrum.Sequence, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.table.Changes(ctx, prefix, after)
}

func (l *lockedTable) Commit(ctx context.Context, transaction sapphiredrum.Transaction) (sapphiredrum.Sequence, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.table.Commit(ctx, transaction)
}

// launch starts a runner and counts the shards that its events give it.
func launch(table sapphiredrum.Table, host sapphiredrum.HostID) (*Runner, chan int, chan error) {
	settings := Settings{
		Host: host, Zone: "z", Address: "127.0.0.1:1", Incarnation: sapphiredrum.NewIncarnation(),
		TTL: 3 * sapphiredrum.Second, Drift: 100, Scan: 100, Grace: 60 * sapphiredrum.Second,
	}
	runner := NewRunner(settings, table, sapphiredrum.NewClock(), zap.NewNop(), nil)
	counts, ended := make(chan int, 1000), make(chan error, 1)
	go func() {
		held := map[sapphiredrum.ShardID]bool{}
		for event := range runner.Events() {
			switch e := event.(type) {
			case Gained:
				held[e.Shard] = true
			case Lost:
				delete(held, e.Shard)
			case Asked:
				runner.Release(e.Shard)
			}
			counts <- len(held)
		}
		close(counts)
	}()
	go func() { ended <- runner.Run(context.Background()) }()
	return runner, counts, ended
}

// A first host takes all shards, a second one gets its half, and a host that
// leaves hands all of its shards over.
func TestRunner(t *testing.T) {
	table := &lockedTable{table: newFakeTable()}
	first, counts, ended := launch(table, "h1")
	wait := func(counts chan int, wanted int) {
		for deadline := time.After(time.Minute); ; {
			select {
			case count := <-counts:
				if count == wanted {
					return
				}
			case <-deadline:
				t.Fatalf("never held %d shards", wanted)
			}
		}
	}
	wait(counts, sapphiredrum.ShardsPerZone)
	second, counts2, ended2 := launch(table, "h2")
	wait(counts2, sapphiredrum.ShardsPerZone/2)
	wait(counts, sapphiredrum.ShardsPerZone/2)
	if len(first.Owners()) == 0 || len(second.Members()) != 1 {
		t.Fatalf("owners %v, members %v", first.Owners(), second.Members())
	}
	first.Leave()
	wait(counts2, sapphiredrum.ShardsPerZone)
	for !first.Drained() {
		time.Sleep(10 * time.Millisecond)
	}
	first.Close()
	second.Close()
	for _, channel := range []chan error{ended, ended2} {
		if err := <-channel; err != nil {
			t.Fatal(err)
		}
	}
}

// abroad fills the table with the shards of six other zones.
func abroad(w *world) *world {
	for n := range 6 * sapphiredrum.ShardsPerZone {
		row := ShardRow{Host: "abroad", Address: "10.0.0.1:8443", Incarnation: 1 << 60, Lease: 1, Epoch: 9}
		zone := sapphiredrum.ZoneName(fmt.Sprint("y", n%6))
		key := shardKey(sapphiredrum.ShardID{Zone: zone, Number: n / 6})
		_, _ = w.table.Commit(context.Background(), sapphiredrum.Transaction{
			Writes: []sapphiredrum.Write{{Key: key, Value: encode(row)}},
		})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

// TestTraffic measures the table work of a host in a calm half minute, with the
// shards of 7 zones in the table.
func TestTraffic(t *testing.T) {
	for _, hosts := range []int{12, 59} {
		w := abroad(newWorld(1, hosts))
		for range 240 {
			w.step()
		}
		f := *w.table
		for range 120 {
			w.step()
		}
		each := float64(hosts) * 120 * float64(w.pace) / 1000
		writes := float64(w.table.writes-f.writes) / each
		t.Logf("%d hosts in the zone, per host: %.3f writes/s, %.3f reads/s, %.2f rows/s, %.0f B/s of rows", hosts, writes,
			float64(w.table.reads-f.reads)/each, float64(w.table.rowsRead-f.rowsRead)/each, float64(w.table.bytesRead-f.bytesRead)/each)
		if writes > 0.25 {
			t.Errorf("%d hosts: %f writes/s", hosts, writes)
		}
	}
}

// BenchmarkTick measures one tick, and the memory, of one of 59 hosts.
func BenchmarkTick(b *testing.B) {
	w := abroad(newWorld(1, 59))
	for range 200 {
		w.step()
	}
	hosts, _, _ := w.table.Changes(b.Context(), "host/", 0)
	shards, _, _ := w.table.Changes(b.Context(), "shard/", 0)
	states := make([]*State, 100)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range states {
		states[i] = New(Settings{Host: "x", Zone: "z", TTL: testTTL, Scan: testScan}, 1)
		states[i].Tick(1)
		states[i].Handle(1, Reply{ID: 1, Rows: hosts, Sequence: 1})
		states[i].Handle(1, Reply{ID: 2, Rows: shards, Sequence: 1})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := float64(after.HeapAlloc-before.HeapAlloc) / float64(len(states))
	for b.Loop() {
		w.nodes[0].state.Tick(w.now(w.nodes[0]))
	}
	b.ReportMetric(bytes, "state-bytes")
	runtime.KeepAlive(states)
}
