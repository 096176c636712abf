package gossiper

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// Events of this package; docs/EVENTS.md lists them.
const (
	eventPeerFound = 620
	eventPeerLost  = 621
	eventPeerGone  = 622
)

const (
	// sendRate bounds the datagrams that a host sends in a second, so that the work
	// does not grow with the fleet.
	sendRate = 90
	// shortest is the least time between two rounds.
	shortest = 100 * sd.Millisecond
	// silentRounds is the number of rounds without a word after which a peer counts
	// as cut off.
	silentRounds = 4
	// datagramBytes bounds a datagram; a beat of a large fleet takes some 4 KB.
	datagramBytes = 48 << 10
)

// Peer is another host.
type Peer struct {
	Host        sd.HostID
	Zone        sd.ZoneName
	Address     sd.Address
	Incarnation sd.Incarnation
}

// Beat is what a host tells the others.
type Beat struct {
	Host        sd.HostID      `json:"h"`
	Incarnation sd.Incarnation `json:"i"`
	Number      uint64         `json:"n"`
	Revision    sd.Revision    `json:"r"`
	// Reaches tells that the host reaches the store itself.
	Reaches  bool                      `json:"s"`
	Inflight map[sd.TargetID]int       `json:"f,omitempty"`
	Sent     map[sd.TargetID]int       `json:"t,omitempty"`
	Admitted map[sd.WorkspaceID]uint64 `json:"a,omitempty"`
}

// Gossiper sends and receives beats. It is safe for concurrent use.
type Gossiper struct {
	// Self is this host.
	Self Peer
	// Fill completes a beat that is about to be sent.
	Fill func(*Beat)
	// Heard is told of each beat received.
	Heard func(Beat)
	Clock sd.Clock
	Log   *zap.Logger

	lock  sync.Mutex
	peers map[sd.HostID]*state
}

type state struct {
	Peer
	number  uint64
	heard   sd.Instant
	reaches bool
	lost    bool
}

// Set adds a peer or changes what is known of it.
func (g *Gossiper) Set(p Peer) {
	if p.Host == g.Self.Host {
		return
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.peers == nil {
		g.peers = map[sd.HostID]*state{}
	}
	if old := g.peers[p.Host]; old != nil && old.Peer == p {
		return
	}
	g.peers[p.Host] = &state{Peer: p, heard: g.Clock.Now(), lost: true}
}

// Remove forgets a peer that has left.
func (g *Gossiper) Remove(host sd.HostID) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.peers[host] != nil {
		delete(g.peers, host)
		g.Log.Info("peer left", zap.Int("event", eventPeerGone), zap.String("peer", string(host)))
	}
}

// Hosts returns the number of hosts known, this one included.
func (g *Gossiper) Hosts() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return len(g.peers) + 1
}

// Lost returns the peers that were not heard for at least the given time.
func (g *Gossiper) Lost(silent sd.Millis) []sd.HostID {
	now := g.Clock.Now()
	g.lock.Lock()
	defer g.lock.Unlock()
	var list []sd.HostID
	for _, p := range g.peers {
		if now.Since(p.heard) >= silent {
			list = append(list, p.Host)
		}
	}
	return list
}

// Interval returns the time between two rounds.
func (g *Gossiper) Interval() sd.Millis {
	return max(shortest, sd.Millis(int(sd.Second)*g.Hosts()/sendRate))
}

// Alive returns the peers that were heard lately; reaching selects those that
// reach the store.
func (g *Gossiper) Alive(reaching bool) []Peer {
	limit := silentRounds * g.Interval()
	now := g.Clock.Now()
	g.lock.Lock()
	defer g.lock.Unlock()
	var list []Peer
	for _, p := range g.peers {
		if !p.lost && now.Since(p.heard) <= limit && (p.reaches || !reaching) {
			list = append(list, p.Peer)
		}
	}
	return list
}

// Silent returns the availability zones of which no peer was heard lately.
func (g *Gossiper) Silent() []sd.ZoneName {
	limit := silentRounds * g.Interval()
	now := g.Clock.Now()
	g.lock.Lock()
	defer g.lock.Unlock()
	heard := map[sd.ZoneName]bool{}
	for _, p := range g.peers {
		heard[p.Zone] = heard[p.Zone] || (!p.lost && now.Since(p.heard) <= limit)
	}
	var silent []sd.ZoneName
	for zone, alive := range heard {
		if !alive && zone != g.Self.Zone {
			silent = append(silent, zone)
		}
	}
	return silent
}

// Run sends and receives beats until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", string(g.Self.Address))
	if err != nil {
		return sd.Unavailable.Wrap(err, "port of the beats")
	}
	received := make(chan error, 1)
	go func() { received <- g.receive(conn) }()
	number := uint64(0)
	for {
		timer := time.NewTimer(g.Interval().Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			_ = conn.Close()
			<-received
			return ctx.Err()
		case err := <-received:
			timer.Stop()
			return err
		case <-timer.C:
			number++
			g.send(conn, number)
		}
	}
}

func (g *Gossiper) send(conn net.PacketConn, number uint64) {
	beat := Beat{Host: g.Self.Host, Incarnation: g.Self.Incarnation, Number: number}
	g.Fill(&beat)
	body, err := json.Marshal(beat)
	if err != nil {
		g.Log.Error("beat cannot be encoded", zap.Int("event", eventPeerLost), zap.Error(err))
		return
	}
	limit := silentRounds * g.Interval()
	now := g.Clock.Now()
	g.lock.Lock()
	addresses := make([]sd.Address, 0, len(g.peers))
	for _, p := range g.peers {
		addresses = append(addresses, p.Address)
		if !p.lost && now.Since(p.heard) > limit {
			p.lost = true
			g.Log.Warn("peer is silent", zap.Int("event", eventPeerLost), zap.String("peer", string(p.Host)),
				zap.Int64("silent_ms", int64(now.Since(p.heard))))
		}
	}
	g.lock.Unlock()
	for _, address := range addresses {
		if to, err := net.ResolveUDPAddr("udp4", string(address)); err == nil {
			// A datagram that cannot be sent counts as lost.
			_, _ = conn.WriteTo(body, to)
		}
	}
}

func (g *Gossiper) receive(conn net.PacketConn) error {
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			return sd.Unavailable.Wrap(err, "beats cannot be received")
		}
		var beat Beat
		if json.Unmarshal(buffer[:n], &beat) == nil && g.take(beat) {
			g.Heard(beat)
		}
	}
}

// take notes that a peer lives. It reports whether the beat is a new one of a
// known peer.
func (g *Gossiper) take(beat Beat) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	p := g.peers[beat.Host]
	if p == nil || p.Incarnation != beat.Incarnation || p.number >= beat.Number {
		return false
	}
	p.number, p.reaches, p.heard = beat.Number, beat.Reaches, g.Clock.Now()
	if p.lost {
		p.lost = false
		g.Log.Info("peer is heard", zap.Int("event", eventPeerFound), zap.String("peer", string(p.Host)),
			zap.Bool("reaches_store", p.reaches))
	}
	return true
}
