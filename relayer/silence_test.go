package relayer_test

import (
	"context"
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
