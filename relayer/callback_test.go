package relayer_test

import (
	"context"
	"os"
	"runtime/pprof"
	"testing"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/relayer"
)

// Guards against a host that hangs for good when it loses the store or finds it again: the
// callback takes the lock of a package that calls this one with it held, so this package must
// hold none.
func TestCallbacksMayCallTheRelay(t *testing.T) {
	store := &way{store: faker.NewRows(1)}
	peers := func(bool) []gossiper.Peer { return nil }
	client := messenger.NewClient(nil)
	defer client.Close()
	r := relayer.New(store, peers, "z", client, sd.NewClock(), zap.NewNop())
	reached := make(chan bool, 8)
	r.Changed = func() {
		r.Suspect()
		r.Know("part")
		_ = r.Away()
		reached <- r.Reaches()
	}
	ctx, cancel := context.WithCancel(t.Context())
	calls := make(chan struct{})
	go func() {
		defer close(calls)
		for ctx.Err() == nil {
			_, _ = r.List(ctx, "table", "", "", "")
		}
	}()
	for _, down := range []bool{true, false} {
		store.set(faker.RowsTrouble{Down: down})
		select {
		case got := <-reached:
			if got == down {
				t.Fatalf("store down %v: reached %v", down, got)
			}
		case <-time.After(10 * time.Second):
			_ = pprof.Lookup("goroutine").WriteTo(os.Stderr, 1)
			t.Fatalf("store down %v: the callback does not return", down)
		}
	}
	cancel()
	<-calls
}
