package screener_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/observer"
	"sapphiredrum.example/sapphiredrum/screener"
)

const table = "crashes"

// start returns a Screener of a host of its own that runs and follows the table.
func start(t *testing.T, rows *faker.Rows) *screener.Screener {
	t.Helper()
	clock := sd.NewClock()
	s := screener.New(screener.Config{Store: rows, Table: table, Sweeps: func() bool { return true }, Clock: clock, Log: zap.NewNop()})
	f := &observer.Follower{Store: rows, Table: table, Wait: 200, Changed: s.Change, Clock: clock, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(t.Context())
	ends := make(chan error, 2)
	go func() { ends <- s.Run(ctx) }()
	go func() { ends <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ends
		<-ends
	})
	return s
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not in time: " + what)
}

func signature(end string) screener.Signature {
	return screener.NewSignature("w", "POST", "host/path", []byte(strings.Repeat("x", 1000)+end))
}

// Crashes that different hosts see refuse the request at all of them, also at one that
// starts later; a survivor clears the count everywhere.
func TestHostsCountTogether(t *testing.T) {
	rows := faker.NewRows(1)
	hosts := []*screener.Screener{start(t, rows), start(t, rows), start(t, rows)}
	q := signature("a")
	for n, h := range hosts {
		eventually(t, "host knows the crashes before", func() bool { return h.Crashes(q).Whole == n })
		h.ReportCrash(q, h.Crashes(q), "t")
	}
	hosts = append(hosts, start(t, rows))
	for _, h := range hosts {
		eventually(t, "host refuses the request", func() bool { return h.RefusedFor(q) > 0 && h.Refused() == 1 })
		if h.RefusedFor(signature("b")) > 0 {
			t.Error("a request that only starts the same is refused")
		}
	}
	other := signature("b")
	hosts[0].ReportCrash(other, hosts[0].Crashes(other), "t")
	eventually(t, "requests with the same start are refused", func() bool { return hosts[3].RefusedFor(signature("c")) > 0 })
	for _, seen := range []screener.Signature{q, other} {
		hosts[1].ReportSurvived(seen)
	}
	for _, h := range hosts {
		eventually(t, "counts are cleared", h.Idle)
	}
}

// Counts of one crash are not added up, and those of a store that was away are written
// once it is back.
func TestCountsSurviveAnOutage(t *testing.T) {
	rows := faker.NewRows(1)
	first, second := start(t, rows), start(t, rows)
	q := signature("a")
	rows.Trouble(faker.RowsTrouble{Down: true})
	for _, h := range []*screener.Screener{first, first, second, second, second} {
		h.ReportCrash(q, h.Crashes(q), "t")
	}
	if first.RefusedFor(q) > 0 || second.RefusedFor(q) == 0 {
		t.Fatal("without the store, a host must count for itself")
	}
	time.Sleep(300 * time.Millisecond)
	rows.Trouble(faker.RowsTrouble{Lost: 0.5})
	eventually(t, "all hosts refuse the request", func() bool { return first.RefusedFor(q) > 0 && second.RefusedFor(q) > 0 })
	rows.Trouble(faker.RowsTrouble{})
	rows.Forget()
	late := start(t, rows)
	eventually(t, "a new host refuses the request", func() bool { return late.RefusedFor(q) > 0 })
}

// A row that another writer spoiled names no count.
func TestSpoiledRowIsIgnored(t *testing.T) {
	rows := faker.NewRows(1)
	rows.Write(sd.RecordKey{Table: table, Key: signature("a").Whole.String()}, []byte("spoiled"))
	rows.Write(sd.RecordKey{Table: table, Key: "no fingerprint"}, []byte(`{"crashes":3}`))
	rows.Write(sd.RecordKey{Table: table, Key: signature("b").Whole.String()}, []byte(`{"crashes":3}`))
	s := start(t, rows)
	eventually(t, "the sound row is read", func() bool { return s.RefusedFor(signature("b")) > 0 })
	if s.Refused() != 1 {
		t.Errorf("%d requests are refused, want 1", s.Refused())
	}
}

// Guards against copies that come together at several hosts crashing a target each, time after
// time: three hosts' copies may crash two more targets after the first crash of all three.
func TestCopiesAtSeveralHostsCrashFewTargets(t *testing.T) {
	rows := faker.NewRows(1)
	hosts := []*screener.Screener{start(t, rows), start(t, rows), start(t, rows)}
	q := signature("a")
	for n, h := range hosts {
		h.ReportCrash(q, screener.Crashes{}, sd.TargetID(fmt.Sprint("first-", n)))
	}
	eventually(t, "all hosts know of the first crashes", func() bool {
		for _, h := range hosts {
			if h.Crashes(q).Whole != 1 {
				return false
			}
		}
		return true
	})
	time.Sleep(300 * time.Millisecond)
	var crashed, refused atomic.Int32
	var all sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for n := range 9 {
		h := hosts[n%len(hosts)]
		all.Go(func() {
			if _, ok := h.Await(ctx, q, ""); !ok || h.RefusedFor(q) > 0 {
				refused.Add(1)
				return
			}
			known := h.Crashes(q)
			time.Sleep(20 * time.Millisecond)
			crashed.Add(1)
			h.ReportCrash(q, known, sd.TargetID(fmt.Sprint("second-", n)))
		})
	}
	all.Wait()
	if crashed.Load() != 2 || refused.Load() != 7 {
		t.Errorf("%d targets crashed, %d copies refused; want 2 and 7", crashed.Load(), refused.Load())
	}
}

// Guards against more copies waiting on a host than its memory allows: those beyond the bound are
// refused at once.
func TestWaitingCopiesAreBounded(t *testing.T) {
	const waiting, beyond = 64, 6
	h, q := start(t, faker.NewRows(1)), signature("a")
	h.ReportCrash(q, screener.Crashes{}, "one")
	h.ReportCrash(q, screener.Crashes{}, "two")
	if _, ok := h.Await(t.Context(), q, ""); !ok {
		t.Fatal("no copy is sent")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	results := make(chan bool, waiting+beyond)
	for range waiting + beyond {
		go func() {
			_, ok := h.Await(ctx, q, "")
			results <- ok
		}()
	}
	for n := range waiting + beyond {
		if n == beyond {
			cancel()
		}
		if <-results {
			t.Errorf("result %d: a copy is sent beside another", n)
		}
	}
}

// Guards against copies being sent together, or waiting for good, while the store is away.
func TestCopiesWithoutTheStore(t *testing.T) {
	rows := faker.NewRows(1)
	h, q := start(t, rows), signature("a")
	rows.Trouble(faker.RowsTrouble{Down: true})
	h.ReportCrash(q, screener.Crashes{}, "one")
	h.ReportCrash(q, screener.Crashes{}, "two")
	name, ok := h.Await(t.Context(), q, "")
	if name == "" || !ok {
		t.Fatal("no copy is sent")
	}
	if again, ok := h.Await(t.Context(), q, name); again != name || !ok {
		t.Error("the next attempt of the copy waits for itself")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, ok := h.Await(ctx, q, ""); ok {
		t.Error("another copy is sent beside it")
	}
	h.ReportSurvived(q)
	if _, ok := h.Await(t.Context(), q, ""); !ok {
		t.Error("a copy waits after a survival")
	}
}
