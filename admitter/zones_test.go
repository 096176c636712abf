package admitter_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/labstack/echo/v4"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/admitter"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/limiter"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/worker"
)

const (
	workspace            = sd.WorkspaceID("desk")
	rate                 = sd.Rate(60)
	burst                = sd.Burst(30)
	far       sd.Instant = 1 << 50
)

// host is one host of the test, the only one of its zone. It is its own locator
// and its own link to the others.
type host struct {
	*admitter.Admitter
	zone  sd.ZoneName
	world *world
	// cut takes all messages to and from the host; bare makes it hold no shard.
	cut, bare atomic.Bool
	address   sd.Address
	// asked counts questions that were sent to this host.
	asked atomic.Int64
}

// world is three hosts in three zones on loopback.
type world struct {
	hosts  []*host
	clock  sd.Clock
	config *follower.Config
}

// newWorld starts the hosts; the first one is the workspace's home.
func newWorld(t *testing.T) *world {
	zones := []sd.Zone{{Name: "zone-1"}, {Name: "zone-2"}, {Name: "zone-3"}}
	sheet := sd.Config{Zones: zones, Workspaces: []sd.Workspace{{ID: workspace, Rate: rate, Burst: burst}}}
	w := &world{clock: sd.NewClock(), config: follower.NewConfig(1, sheet)}
	group := worker.NewGroup(context.Background())
	t.Cleanup(func() { group.Close() })
	for i, account := range limiter.Accounts(workspace, zones) {
		h := &host{zone: account.Zone, world: w}
		client := messenger.NewClient(h)
		h.Admitter = admitter.New(admitter.Parts{
			Locator: h, Client: client, Clock: w.clock,
			Config: func() *follower.Config { return w.config },
		}, limiter.Settings{}, sd.Incarnation(i+1))
		router := echo.New()
		h.Register(router)
		server := httptest.NewServer(router)
		t.Cleanup(server.Close)
		h.address = sd.Address(strings.TrimPrefix(server.URL, "http://"))
		w.hosts = append(w.hosts, h)
		h.Renew(far)
		h.Gain(account, 1)
		h.Configure(w.config)
	}
	for _, h := range w.hosts {
		group.Go("admitter", h.Run)
	}
	return w
}

// Owns tells that a host holds its zone's shards, unless it is bare.
func (h *host) Owns(shard sd.ShardID) (sd.Epoch, bool) {
	return 1, shard.Zone == h.zone && !h.bare.Load()
}

// Locate names the zone's host, whether it can be reached or not.
func (h *host) Locate(shard sd.ShardID) (sd.Address, bool) {
	for _, other := range h.world.hosts {
		if other.zone == shard.Zone {
			return other.address, true
		}
	}
	return "", false
}

// RoundTrip carries a message; over a cut link it hangs until its sender gives up.
func (h *host) RoundTrip(request *http.Request) (*http.Response, error) {
	for _, other := range h.world.hosts {
		if string(other.address) != request.URL.Host {
			continue
		}
		if strings.HasSuffix(request.URL.Path, "/admit") {
			other.asked.Add(1)
		}
		if h.cut.Load() || other.cut.Load() {
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
			return nil, request.Context().Err()
		}
	}
	return http.DefaultTransport.RoundTrip(request)
}

// span is a request that was admitted somewhere between two instants.
type span struct{ from, to sd.Instant }

// load is a stream of requests to one host and what came of them.
type load struct {
	mu       sync.Mutex
	admitted map[*host][]span
	refused  map[sd.Reason]int
}

// ask sends one request through a host.
func (l *load) ask(ctx context.Context, h *host) *sd.Refusal {
	from := h.world.clock.Now()
	refusal := h.Admit(ctx, workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	if refusal == nil {
		l.admitted[h] = append(l.admitted[h], span{from, h.world.clock.Now()})
	} else {
		l.refused[refusal.Reason]++
	}
	return refusal
}

func newLoad() *load {
	return &load{admitted: make(map[*host][]span), refused: make(map[sd.Reason]int)}
}

// capped fails if, over any window, more was admitted within it than rate and
// burst allow.
func (l *load) capped(t *testing.T) {
	t.Helper()
	var all []span
	for _, spans := range l.admitted {
		all = append(all, spans...)
	}
	for _, first := range all {
		for _, last := range all {
			if last.to < first.from {
				continue
			}
			count := 0
			for _, s := range all {
				if s.from >= first.from && s.to <= last.to {
					count++
				}
			}
			// Clocks are read to a millisecond at either end.
			window := float64(last.to.Since(first.from)+1) / float64(sd.Second)
			if allowed := float64(rate)*window + float64(burst); float64(count) > allowed {
				t.Fatalf("%d admitted in %.3f s, allowed are %.1f", count, window, allowed)
			}
		}
	}
}
