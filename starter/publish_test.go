package starter

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/relayer"
)

// busyPart is a store whose only part does so many transactions in a second, one after another,
// and refuses those for which more than a second's would wait.
type busyPart struct {
	*faker.Rows
	rate    int
	waiting atomic.Int64
	turn    sync.Mutex
	commits atomic.Int64
}

func (s *busyPart) Commit(ctx context.Context, update sd.Update) (sd.Page, error) {
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > int64(s.rate) {
		return sd.Page{}, sd.Busy.New("too many transactions")
	}
	s.turn.Lock()
	time.Sleep(time.Second / time.Duration(s.rate))
	s.turn.Unlock()
	s.commits.Add(1)
	// A caller that has gone does not stop it.
	return s.Rows.Commit(context.WithoutCancel(ctx), update)
}

// Start of all hosts: 295 write their rows into a part that has time for 100 of them in a
// second. All are soon written, and hardly any twice.
func TestHundredsOfHostsPublishThemselves(t *testing.T) {
	const hosts = 295
	store := &busyPart{Rows: faker.NewRows(1), rate: 100}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var writing, running sync.WaitGroup
	start := time.Now()
	for i := range hosts {
		relay := relayer.New(store, func(bool) []gossiper.Peer { return nil }, "z", nil, sd.NewClock(), zap.NewNop())
		p := newPublisher(relay, "status", platform.PeerRow{Host: sd.HostID(fmt.Sprint("h", i)), Incarnation: 1}, zap.NewNop())
		p.markListed()
		running.Go(func() {
			if err := p.run(ctx); err != nil {
				t.Error(err)
			}
		})
		writing.Go(func() {
			for store.Row(p.key).Version == 0 && ctx.Err() == nil {
				// The tables are followed meanwhile, and tell that the store is well.
				if _, err := relay.List(ctx, "t", "", "", ""); err != nil && ctx.Err() == nil {
					t.Error(err)
				}
				time.Sleep(peerPace.Duration())
			}
			p.observe(store.Row(p.key))
		})
	}
	writing.Wait()
	took := time.Since(start)
	// Writes that were not waited for are counted as well.
	time.Sleep(time.Second)
	cancel()
	running.Wait()
	t.Logf("%d writes, %v", store.commits.Load(), took)
	if n := store.commits.Load(); n > hosts*3/2 {
		t.Errorf("%d writes of %d rows", n, hosts)
	}
	if took > 15*time.Second {
		t.Errorf("the last host is known after %v, recovery has 15 s", took)
	}
}
