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
	farFuture sd.Instant = 1 << 50
)

// host is the only host of its zone. It serves as its own locator and as the transport to the
// other hosts.
type host struct {
	*admitter.Admitter
	zone    sd.ZoneName
	cluster *cluster
	// cut drops all messages to and from the host; shardless makes it own no shard.
	cut, shardless atomic.Bool
	address        sd.Address
	// asked counts the admission calls sent to this host.
	asked atomic.Int64
}

// cluster is three hosts in three zones on loopback.
type cluster struct {
	hosts  []*host
	clock  sd.Clock
	config *follower.Config
}

// newCluster starts the hosts; the first one is the workspace's home.
func newCluster(t *testing.T) *cluster {
	zones := []sd.Zone{{Name: "zone-1"}, {Name: "zone-2"}, {Name: "zone-3"}}
	sheet := sd.Config{Zones: zones, Workspaces: []sd.Workspace{{ID: workspace, Rate: rate, Burst: burst}}}
	w := &cluster{clock: sd.NewClock(), config: follower.NewConfig(1, sheet)}
	group := worker.NewGroup(context.Background())
	t.Cleanup(func() { group.Close() })
	for i, account := range limiter.Accounts(workspace, zones) {
		h := &host{zone: account.Zone, cluster: w}
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
		h.RenewLease(farFuture)
		h.AcquireShard(account, 1)
		h.Configure(w.config)
	}
	for _, h := range w.hosts {
		group.Go("admitter", h.Run)
	}
	return w
}

// Owns reports that a host owns its zone's shards, unless it is shardless.
func (h *host) Owns(shard sd.ShardID) (sd.Epoch, bool) {
	return 1, shard.Zone == h.zone && !h.shardless.Load()
}

// Locate returns the address of the zone's host, whether it is reachable or not.
func (h *host) Locate(shard sd.ShardID) (sd.Address, bool) {
	for _, other := range h.cluster.hosts {
		if other.zone == shard.Zone {
			return other.address, true
		}
	}
	return "", false
}

// RoundTrip delivers a message; over a partitioned link it blocks until the sender gives up.
func (h *host) RoundTrip(request *http.Request) (*http.Response, error) {
	for _, other := range h.cluster.hosts {
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

// span is the interval in which a request was admitted.
type span struct{ from, to sd.Instant }

// load collects the results of requests sent to the hosts.
type load struct {
	mu       sync.Mutex
	admitted map[*host][]span
	refused  map[sd.Reason]int
}

// ask sends one request through a host.
func (l *load) ask(ctx context.Context, h *host) *sd.Refusal {
	from := h.cluster.clock.Now()
	refusal := h.Admit(ctx, workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	if refusal == nil {
		l.admitted[h] = append(l.admitted[h], span{from, h.cluster.clock.Now()})
	} else {
		l.refused[refusal.Reason]++
	}
	return refusal
}

func newLoad() *load {
	return &load{admitted: make(map[*host][]span), refused: make(map[sd.Reason]int)}
}

// checkLimit fails the test if more requests were admitted within any window than rate and burst
// allow.
func (l *load) checkLimit(t *testing.T) {
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
			// Both clock readings are truncated to a millisecond.
			window := float64(last.to.Since(first.from)+1) / float64(sd.Second)
			if allowed := float64(rate)*window + float64(burst); float64(count) > allowed {
				t.Fatalf("%d admitted in %.3f s, want at most %.1f", count, window, allowed)
			}
		}
	}
}
