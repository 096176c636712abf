package worker_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/worker"
)

func ExampleGroup() {
	group := worker.NewGroup(context.Background())
	group.Go("poll", func(ctx context.Context) error {
		<-ctx.Done()
		return sd.Unavailable.New("stopped in mid-poll")
	})
	for _, end := range group.Close() {
		fmt.Println(end.Name, end.Err)
	}
	fmt.Println(group.Go("late", func(context.Context) error { return nil }))
	// Output:
	// poll sapphiredrum.unavailable: stopped in mid-poll
	// false
}

// job is what one goroutine of the test does.
type job struct {
	name string
	// waits is for the end of its context, fails for a reported end, child for a
	// goroutine that it starts before it returns.
	waits, fails bool
	child        *job
}

// drawJob draws a job with up to depth descendants.
func drawJob(t *rapid.T, name string, depth int) *job {
	j := &job{name: name, waits: rapid.Bool().Draw(t, "waits"), fails: rapid.Bool().Draw(t, "fails")}
	if depth > 0 && rapid.Bool().Draw(t, "child") {
		j.child = drawJob(t, name+"'", depth-1)
	}
	return j
}

// ledger counts what the group accepted and what ran.
type ledger struct {
	group         *worker.Group
	running, ran  atomic.Int64
	mu            sync.Mutex
	failed        []string
	accepted, all int64
}

// start gives a job to the group and notes whether it was accepted.
func (l *ledger) start(j *job) {
	taken := l.group.Go(j.name, func(ctx context.Context) error {
		l.running.Add(1)
		defer l.running.Add(-1)
		defer l.ran.Add(1)
		if j.waits {
			<-ctx.Done()
		}
		if j.child != nil {
			l.start(j.child)
		}
		if j.fails {
			return sd.Unavailable.New("%s fails", j.name)
		}
		return nil
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all++
	if taken {
		l.accepted++
		if j.fails {
			l.failed = append(l.failed, j.name)
		}
	}
}

// Close returns once all that was accepted has ended, with every failure, and
// nothing is accepted or left behind afterwards.
func TestGroupOwnsItsGoroutines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := runtime.NumGoroutine()
		outer, cancel := context.WithCancel(context.Background())
		defer cancel()
		l := &ledger{group: worker.NewGroup(outer)}
		var starters sync.WaitGroup
		for i := range rapid.IntRange(0, 12).Draw(t, "jobs") {
			j := drawJob(t, fmt.Sprint("job-", i), 2)
			starters.Add(1)
			go func() { defer starters.Done(); l.start(j) }()
		}
		switch rapid.SampledFrom([]string{"race", "settle", "cancel"}).Draw(t, "end") {
		case "settle":
			starters.Wait()
		case "cancel":
			cancel()
		}
		ends := l.group.Close()
		if left := l.running.Load(); left != 0 {
			t.Fatalf("%d goroutines run on after Close", left)
		}
		starters.Wait()
		l.check(t, ends)
		if !returnsTo(before) {
			t.Fatalf("%d goroutines before, %d after", before, runtime.NumGoroutine())
		}
	})
}

// check compares what Close reported with what was accepted.
func (l *ledger) check(t *rapid.T, ends []worker.End) {
	if l.group.Go("late", func(context.Context) error { return nil }) || l.group.Close() != nil {
		t.Fatal("a closed group goes on")
	}
	var reported []string
	for _, end := range ends {
		reported = append(reported, end.Name)
	}
	sorted := cmpopts.SortSlices(func(a, b string) bool { return a < b })
	if diff := cmp.Diff(l.failed, reported, sorted, cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("ends with an error: %s", diff)
	}
	if l.ran.Load() != l.accepted || l.group.Context().Err() == nil {
		t.Fatalf("%d of %d accepted ran, %d were offered", l.ran.Load(), l.accepted, l.all)
	}
}

// returnsTo reports whether the number of goroutines comes down to count.
func returnsTo(count int) bool {
	for range 5000 {
		if runtime.NumGoroutine() <= count {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// Two owners that close at once both wait.
func TestEveryCloseWaits(t *testing.T) {
	group := worker.NewGroup(context.Background())
	release := make(chan struct{})
	var ended atomic.Bool
	group.Go("slow", func(context.Context) error { <-release; ended.Store(true); return nil })
	closed := make(chan bool, 2)
	for range 2 {
		go func() { group.Close(); closed <- ended.Load() }()
	}
	<-group.Context().Done()
	time.AfterFunc(20*time.Millisecond, func() { close(release) })
	for range 2 {
		if !<-closed {
			t.Error("a Close returned while a goroutine ran")
		}
	}
}
