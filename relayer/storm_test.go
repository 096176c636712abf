package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/relayer"
)

// rationed answers so many reads in a second, and refuses the others for load.
type rationed struct {
	sd.Store
	rate  int
	lock  sync.Mutex
	since time.Time
	reads int
	all   atomic.Int64
}

func (s *rationed) List(ctx context.Context, table, part, from, to string) (sd.Page, error) {
	time.Sleep(4 * time.Millisecond)
	s.all.Add(1)
	s.lock.Lock()
	if now := time.Now(); now.Sub(s.since) > time.Second {
		s.since, s.reads = now, 0
	}
	s.reads++
	refused := s.reads > s.rate
	s.lock.Unlock()
	if refused {
		return sd.Page{}, sd.Busy.New("too many reads")
	}
	return s.Store.List(ctx, table, part, from, to)
}

// Thundering probes: the store has refused calls of hundreds of hosts for a moment, each of
// which tells the others that it has lost it, and again that it is back. That alone must not keep
// the store busy: a second later the hosts make little more than their usual calls.
func TestProbesOfALargeFleetEnd(t *testing.T) {
	const hosts, usual = 295, 2
	rows := faker.NewRows(1)
	store := &rationed{Store: rows, rate: 16000}
	all := make([]gossiper.Peer, hosts)
	for i := range all {
		all[i] = gossiper.Peer{Host: sd.HostID(fmt.Sprint("h", i))}
	}
	relays := make([]*relayer.Relay, hosts)
	// news are what hosts tell one another.
	news := make(chan int, hosts*hosts)
	for i := range relays {
		relays[i] = relayer.New(store, func(bool) []gossiper.Peer { return all[1:] }, "z", messenger.NewClient(nil), sd.NewClock(), zap.NewNop())
		relays[i].Changed = func() { news <- i }
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, r := range relays {
		running.Go(func() {
			time.Sleep(rand.N(time.Second))
			for ctx.Err() == nil {
				// What comes of it is the relay's to note.
				_, _ = r.List(ctx, "t", "", "", "")
				time.Sleep(time.Second / usual)
			}
		})
	}
	running.Go(func() {
		for ctx.Err() == nil {
			select {
			case i := <-news:
				lost := !relays[i].Reaches()
				time.Sleep(time.Millisecond)
				for j, r := range relays {
					if lost && j != i {
						r.Suspect()
					}
				}
			case <-ctx.Done():
			}
		}
	})
	time.Sleep(time.Second)
	rows.Trouble(faker.RowsTrouble{Crowded: true})
	time.Sleep(time.Second)
	rows.Trouble(faker.RowsTrouble{})
	time.Sleep(time.Second)
	before := store.all.Load()
	const watched = 2
	time.Sleep(watched * time.Second)
	perHost := float64(store.all.Load()-before) / hosts / watched
	cancel()
	running.Wait()
	t.Logf("%.1f calls a second from each host", perHost)
	if perHost > 2*usual {
		t.Errorf("%.1f calls a second from each host, %d are usual", perHost, usual)
	}
}
