package launcher_test

import (
	"context"
	"net/http"
	"sync"

	sd "sapphiredrum.example/sapphiredrum"
)

// network decides which zones hear each other and which reach the platform.
type network struct {
	mu    sync.Mutex
	zones map[sd.Address]sd.ZoneName
	// cut holds pairs of zones that do not hear each other, in both orders, and
	// pairs of a zone and "platform".
	cut map[[2]sd.ZoneName]bool
	// alone is a host that hears nobody and reaches no platform.
	alone sd.Address
	// lose makes every n-th answer between hosts get lost; zero loses none.
	lose  int
	count int
}

const platformZone sd.ZoneName = "platform"

func newNetwork() *network {
	return &network{zones: make(map[sd.Address]sd.ZoneName), cut: make(map[[2]sd.ZoneName]bool)}
}

func (n *network) set(a, b sd.ZoneName, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]sd.ZoneName{a, b}], n.cut[[2]sd.ZoneName{b, a}] = cut, cut
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	n.lose, n.alone = 0, ""
}

func (n *network) loseEach(every int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose = every
}

func (n *network) broken(from, to sd.ZoneName) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]sd.ZoneName{from, to}]
}

func (n *network) isolate(host sd.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.alone = host
}

func (n *network) isAlone(host sd.Address) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.alone == host
}

func (n *network) zoneOf(address sd.Address) sd.ZoneName {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zones[address]
}

func (n *network) loses() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.count++
	return n.lose > 0 && n.count%n.lose == 0
}

// carrier is the transport of one host's messages to peers.
type carrier struct {
	network *network
	self    sd.Address
	zone    sd.ZoneName
	next    http.RoundTripper
}

func (c *carrier) RoundTrip(request *http.Request) (*http.Response, error) {
	peer := sd.Address(request.URL.Host)
	to := c.network.zoneOf(peer)
	if c.network.broken(c.zone, to) || c.network.isAlone(c.self) || c.network.isAlone(peer) {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	response, err := c.next.RoundTrip(request)
	if err == nil && c.network.loses() {
		_ = response.Body.Close()
		return nil, sd.Uncertain.New("the answer was lost on its way")
	}
	return response, err
}

// gate is one zone's way to the platform.
type gate struct {
	network *network
	self    sd.Address
	zone    sd.ZoneName
	table   sd.Table
	objects sd.ObjectStore
	roster  sd.MemberList
}

func (g *gate) shut() error {
	if g.network.broken(g.zone, platformZone) || g.network.isAlone(g.self) {
		return sd.Unavailable.New("the zone is cut off from the platform")
	}
	return nil
}

func (g *gate) Read(ctx context.Context, keys ...sd.RowKey) ([]sd.Row, error) {
	if err := g.shut(); err != nil {
		return nil, err
	}
	return g.table.Read(ctx, keys...)
}

func (g *gate) Changes(ctx context.Context, prefix sd.RowKey, after sd.Sequence) ([]sd.Row, sd.Sequence, error) {
	if err := g.shut(); err != nil {
		return nil, 0, err
	}
	return g.table.Changes(ctx, prefix, after)
}

func (g *gate) Commit(ctx context.Context, transaction sd.Transaction) (sd.Sequence, error) {
	if err := g.shut(); err != nil {
		return 0, err
	}
	return g.table.Commit(ctx, transaction)
}

func (g *gate) Put(ctx context.Context, name string, value []byte) error {
	if err := g.shut(); err != nil {
		return err
	}
	return g.objects.Put(ctx, name, value)
}

func (g *gate) Get(ctx context.Context, name string) ([]byte, error) {
	if err := g.shut(); err != nil {
		return nil, err
	}
	return g.objects.Get(ctx, name)
}

func (g *gate) Delete(ctx context.Context, name string) error {
	if err := g.shut(); err != nil {
		return err
	}
	return g.objects.Delete(ctx, name)
}

func (g *gate) Members(ctx context.Context) ([]sd.Member, error) {
	if err := g.shut(); err != nil {
		return nil, err
	}
	return g.roster.Members(ctx)
}
