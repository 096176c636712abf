package relayer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/relayer"
)

// alone is a host without peers.
func alone(store sd.Store) *relayer.Relay {
	none := func(bool) []gossiper.Peer { return nil }
	return relayer.New(store, none, "z", nil, sd.NewClock(), zap.NewNop())
}

// eventually waits until holds; what names the condition. It returns how long that took.
func eventually(t *testing.T, within time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > within {
			t.Fatalf("%s: not after %v", what, within)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// Outage of the store: calls that it never answered held their callers for up to 1.6 s
// after its return.
func TestCallsEndOnceTheStoreIsBack(t *testing.T) {
	calls := map[string]func(r *relayer.Relay) error{
		"commit": func(r *relayer.Relay) error { _, err := r.Commit(t.Context(), put("a")); return err },
		"list":   func(r *relayer.Relay) error { _, err := r.List(t.Context(), "t", "", "", ""); return err },
		"watch":  func(r *relayer.Relay) error { _, err := r.Watch(t.Context(), "t", 0, 3*sd.Second); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			rows := faker.NewRows(1)
			r := alone(rows)
			rows.Trouble(faker.RowsTrouble{Silent: true})
			ended := make(chan error, 1)
			go func() { ended <- call(r) }()
			// The host finds the store lost by any call.
			_, _ = commitWithin(r, 350*time.Millisecond)
			if r.Reaches() {
				t.Fatal("the store does not count as lost")
			}
			rows.Trouble(faker.RowsTrouble{})
			back := time.Now()
			err := <-ended
			took := time.Since(back)
			t.Logf("ended %v after the return: %v", took, err)
			if !errorx.IsOfType(err, sd.Uncertain) {
				t.Fatalf("ended with %v", err)
			}
			if took > 650*time.Millisecond {
				t.Fatalf("held for %v after the return", took)
			}
			if _, err := r.Commit(t.Context(), put("a")); err != nil {
				t.Fatalf("sent again: %v", err)
			}
		})
	}
}

func commitWithin(r *relayer.Relay, length time.Duration) (sd.Page, error) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	return r.Commit(ctx, put("probe"))
}

// Outage of the store: a host whose only calls were watches, or that waited between two
// calls, did not look whether the store was back.
func TestReturnIsNoticedWithoutCalls(t *testing.T) {
	for name, trouble := range map[string]faker.RowsTrouble{"silent": {Silent: true}, "refusing": {Down: true}} {
		t.Run(name, func(t *testing.T) {
			rows := faker.NewRows(1)
			r := alone(rows)
			rows.Trouble(trouble)
			eventually(t, 2*time.Second, "the store counts as lost", func() bool {
				_, _ = commitWithin(r, 300*time.Millisecond)
				return !r.Reaches()
			})
			rows.Trouble(faker.RowsTrouble{})
			t.Logf("noticed after %v", eventually(t, 450*time.Millisecond, "the return is noticed", r.Reaches))
		})
	}
}

// mute is a store whose commits to one part take effect and are never answered.
type mute struct {
	*faker.Rows
	part string
}

func (m mute) Commit(ctx context.Context, u sd.Update) (sd.Page, error) {
	page, err := m.Rows.Commit(ctx, u)
	if u.Expect[0].Part != m.part {
		return page, err
	}
	<-ctx.Done()
	return sd.Page{}, sd.Uncertain.Wrap(ctx.Err(), "answer lost")
}

func putIn(part, key string) sd.Update {
	cell := sd.RecordKey{Table: "t", Part: part, Key: key}
	return sd.Update{Expect: []sd.Record{{RecordKey: cell}}, Put: []sd.Record{{RecordKey: cell, Value: []byte(key)}}}
}

// Lost answers of the store, or one of its parts silent: a call held its caller, and all
// that waited for the same part, for 1.6 s while the store answered others within
// milliseconds.
func TestUnansweredCallEndsWhileOthersAreAnswered(t *testing.T) {
	lost, silent := faker.NewRows(1), faker.NewRows(1)
	silent.Trouble(faker.RowsTrouble{Silent: true, Parts: []string{"p0"}})
	list := func(r *relayer.Relay) error { _, err := r.List(t.Context(), "t", "p0", "", ""); return err }
	commit := func(r *relayer.Relay) error { _, err := r.Commit(t.Context(), putIn("p0", "a")); return err }
	for name, c := range map[string]struct {
		store sd.Store
		call  func(r *relayer.Relay) error
	}{
		"lost answer":           {mute{lost, "p0"}, commit},
		"commit to silent part": {silent, commit},
		"list of silent part":   {silent, list},
	} {
		t.Run(name, func(t *testing.T) {
			r := alone(c.store)
			start := time.Now()
			err := c.call(r)
			took := time.Since(start)
			t.Logf("ended after %v: %v", took, err)
			if !errorx.IsOfType(err, sd.Uncertain) {
				t.Fatalf("ended with %v", err)
			}
			if took > 700*time.Millisecond {
				t.Fatalf("held for %v", took)
			}
			if !r.Reaches() {
				t.Fatal("the store counts as lost")
			}
			if _, err := r.Commit(t.Context(), putIn("p1", name)); err != nil {
				t.Fatalf("another part: %v", err)
			}
		})
	}
}

// As above, for a call that a peer makes for a host that does not reach the store.
func TestUnansweredRelayedCallEnds(t *testing.T) {
	r, mine, peers := pair(t)
	mine.set(faker.RowsTrouble{Down: true})
	if _, err := r.Commit(t.Context(), putIn("p1", "a")); err != nil {
		t.Fatal(err)
	}
	peers.store.Trouble(faker.RowsTrouble{Silent: true, Parts: []string{"p0"}})
	start := time.Now()
	_, err := r.Commit(t.Context(), putIn("p0", "b"))
	took := time.Since(start)
	t.Logf("ended after %v: %v", took, err)
	if !errorx.IsOfType(err, sd.Uncertain) || took > 700*time.Millisecond {
		t.Fatalf("held for %v: %v", took, err)
	}
}

// A watch waits as long as it was asked to, however quickly others are answered, and a
// call to a store that is slow for all is waited for.
func TestLongCallsAreWaitedFor(t *testing.T) {
	t.Run("watch", func(t *testing.T) {
		r := alone(faker.NewRows(1))
		ended := make(chan error, 1)
		go func() { _, err := r.Watch(t.Context(), "t", 0, sd.Second); ended <- err }()
		for start := time.Now(); time.Since(start) < 900*time.Millisecond; time.Sleep(20 * time.Millisecond) {
			if _, err := r.List(t.Context(), "t", "p0", "", ""); err != nil {
				t.Fatal(err)
			}
		}
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	})
	t.Run("slow", func(t *testing.T) {
		// Transactions of a part wait for one another, reads do not.
		rows := faker.NewRows(1)
		r := alone(queue{rows, 3 * 300 * sd.Millisecond})
		rows.Trouble(faker.RowsTrouble{Delay: 250 * sd.Millisecond})
		for _, key := range []string{"a", "b", "c"} {
			if _, err := r.Commit(t.Context(), put(key)); err != nil {
				t.Fatalf("%s: %v", key, err)
			}
		}
		if rows.Commits() != 3 {
			t.Fatalf("%d transactions for 3", rows.Commits())
		}
	})
}

// queue is a store whose transactions wait for others before they begin.
type queue struct {
	*faker.Rows
	wait sd.Millis
}

func (q queue) Commit(ctx context.Context, u sd.Update) (sd.Page, error) {
	select {
	case <-ctx.Done():
		return sd.Page{}, sd.Uncertain.Wrap(ctx.Err(), "waits for others")
	case <-time.After(q.wait.Duration()):
		return q.Rows.Commit(ctx, u)
	}
}

// A store that was slow for all counted as lost as long as that lasted: reads were refused,
// and calls sent twice, directly and by way of peers that got no quicker answer.
func TestSlowStoreIsNotLost(t *testing.T) {
	r, mine, _ := pair(t)
	var relayed atomic.Int64
	r.Relayed = func() { relayed.Add(1) }
	mine.store.Trouble(faker.RowsTrouble{Delay: 270 * sd.Millisecond})
	for _, key := range []string{"first", "second"} {
		// The host takes note that the store is slow.
		if _, err := r.Commit(t.Context(), put(key)); err != nil && !errorx.IsOfType(err, sd.Conflict) {
			t.Fatal(err)
		}
	}
	direct, first, lost := mine.called(), relayed.Load(), 0
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		if _, err := r.Commit(t.Context(), put(key)); err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		if !r.Reaches() {
			lost++
		}
		if _, err := r.List(t.Context(), "t", "", "", ""); err != nil {
			t.Fatalf("read after %s: %v", key, err)
		}
	}
	t.Logf("12 calls: %d direct, %d through a peer, lost after %d of 6", mine.called()-direct, relayed.Load()-first, lost)
	if lost > 0 || relayed.Load() > first || mine.called()-direct > 14 {
		t.Fatal("a slow store is lost, or called more often than need be")
	}
	mine.set(faker.RowsTrouble{Silent: true})
	eventually(t, 4*time.Second, "silence after slowness is found out", func() bool {
		_, _ = commitWithin(r, time.Second)
		return !r.Reaches()
	})
}

// As above: transactions that wait in line at a slow store are answered after 1.6 s at
// times, and were given up for nothing.
func TestSlowTransactionsAreWaitedFor(t *testing.T) {
	rows := faker.NewRows(1)
	rows.Trouble(faker.RowsTrouble{Delay: 270 * sd.Millisecond})
	r := alone(queue{rows, 1500 * sd.Millisecond})
	if _, err := r.Commit(t.Context(), put("a")); err != nil {
		t.Fatal(err)
	}
}

// Some parts of the store silent: hosts whose probes went to one of them counted the whole
// store as lost, and reads of the other parts were refused.
func TestStoreWithASilentPartIsReached(t *testing.T) {
	for name, c := range map[string]struct {
		trouble faker.RowsTrouble
		lost    time.Duration
	}{
		"silent":     {faker.RowsTrouble{Silent: true, Parts: []string{""}}, 0},
		"refusing":   {faker.RowsTrouble{Down: true, Parts: []string{""}}, 0},
		"two silent": {faker.RowsTrouble{Silent: true, Parts: []string{"", "p0"}}, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			rows := faker.NewRows(1)
			r := alone(rows)
			for _, part := range []string{"p0", "p1"} {
				if _, err := r.List(t.Context(), "t", part, "", ""); err != nil {
					t.Fatal(err)
				}
			}
			rows.Trouble(c.trouble)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = r.Watch(ctx, "t", 0, 50*sd.Millisecond)
			}()
			lost := time.Duration(0)
			for ctx.Err() == nil {
				r.Suspect()
				time.Sleep(10 * time.Millisecond)
				if !r.Reaches() {
					lost += 10 * time.Millisecond
				}
			}
			<-ended
			t.Logf("lost for about %v of 2 s", lost)
			if lost > c.lost {
				t.Fatal("counts as lost")
			}
		})
	}
}

// One part away: a host that had made calls to no other part yet counted the whole store as
// lost.
func TestStoreIsReachedThroughPartsThatAreKnown(t *testing.T) {
	rows := faker.NewRows(1)
	r := alone(rows)
	r.Know("p0", "p1")
	rows.Trouble(faker.RowsTrouble{Silent: true, Parts: []string{""}})
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r.Suspect()
		if !r.Reaches() {
			t.Fatal("counts as lost")
		}
	}
}
