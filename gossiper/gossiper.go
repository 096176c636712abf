package gossiper

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// Log events of this package, listed in docs/EVENTS.md.
const (
	eventPeerFound  = 620
	eventPeerLost   = 621
	eventPeerLeft   = 622
	eventReadFailed = 623
)

const (
	// maxSendsPerSecond bounds the datagrams in which a host reports its own state, so
	// that the load of a host does not grow with the fleet.
	maxSendsPerSecond = 90
	// minInterval is the minimum time between two rounds of heartbeats.
	minInterval = 100 * sd.Millisecond
	// jitterMin and jitterRange randomize the time between rounds, as parts of the interval.
	jitterMin   = 0.6
	jitterRange = 0.8
	// silentRounds is the number of rounds without a heartbeat after which a peer counts
	// as unreachable; two lost datagrams in a row are rare.
	silentRounds = 3
	// minSilence is the lower bound of that time.
	minSilence = 350 * sd.Millisecond
	// minZoneSilence is the minimum silence after which a zone's hosts no longer count as
	// alive: twice minSilence, as the consequences are larger.
	minZoneSilence = 2 * minSilence
	// relaysPerZone is the number of hosts that relay a heartbeat within another zone. It
	// keeps traffic between zones low; one of the relays may be lost.
	relaysPerZone = 2
	// relaysToSilentZone is the number of relays used for a zone from which no host, or
	// only a few, are heard: some of them may be down.
	relaysToSilentZone = 8
	// relayMinCapacity is the part of the largest host's cores that a relay must have.
	relayMinCapacity = 0.7
	// batchDelay is how long a relay batches heartbeats before forwarding them, as a part of the interval.
	batchDelay = 0.5
	// maxDatagramBytes bounds a datagram, maxBatchBytes a batch of relayed heartbeats.
	maxDatagramBytes = 32 << 10
	maxBatchBytes    = 8 << 10
	// readRetryDelay is the pause after a failed read, so that a failing socket is read
	// about as rarely as rounds come.
	readRetryDelay = 50 * sd.Millisecond
)

// Peer is another host.
type Peer struct {
	Host        sd.HostID
	Zone        sd.ZoneName
	Address     sd.Address
	Incarnation sd.Incarnation
	// Cores is the host's CPU share, in cores.
	Cores float64
	// Leaving hosts are given no new work.
	Leaving bool
	// Detached hosts do not reach the targets.
	Detached bool
}

// Gossiper sends and receives heartbeats. It is safe for concurrent use.
type Gossiper struct {
	// Self describes this host.
	Self Peer
	// Fill completes a heartbeat before it is sent.
	Fill func(*Heartbeat)
	// OnHeartbeat is called for each new heartbeat of a known peer.
	OnHeartbeat func(Heartbeat)
	// OnStoreUnreachable, if set, is called when a peer no longer reaches the store.
	OnStoreUnreachable func()
	Clock              sd.Clock
	Log                *zap.Logger

	lock  sync.Mutex
	peers map[sd.HostID]*peerState
	// addresses caches the resolved addresses of the peers.
	addresses map[sd.Address]*net.UDPAddr
	sendSoon  chan struct{}
	// interval is the time between two rounds; zero before there are peers.
	interval sd.Millis
	// relayQueue holds heartbeats of other zones to be relayed within this host's zone, each
	// followed by its sections if it has any.
	relayQueue [][]byte
}

type peerState struct {
	Peer
	number    uint64
	lastHeard sd.Instant
	reaches   bool
	lost      bool
}

// Set adds a peer, or replaces it if its incarnation or address has changed.
func (g *Gossiper) Set(p Peer) {
	if p.Host == g.Self.Host {
		return
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.peers == nil {
		g.peers = map[sd.HostID]*peerState{}
	}
	if old := g.peers[p.Host]; old != nil && old.Incarnation == p.Incarnation && old.Address == p.Address {
		return
	}
	g.peers[p.Host] = &peerState{Peer: p, lastHeard: g.Clock.Now(), lost: true}
	g.interval = g.computeInterval()
}

// Remove deletes a peer that has left.
func (g *Gossiper) Remove(host sd.HostID) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.peers[host] != nil {
		delete(g.peers, host)
		g.interval = g.computeInterval()
		g.Log.Info("peer left", zap.Int("event", eventPeerLeft), zap.String("peer", string(host)))
	}
}

// Hosts returns the number of known hosts, including this one.
func (g *Gossiper) Hosts() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return len(g.peers) + 1
}

// ReachableHosts returns the number of reachable hosts, including this one. Hosts of
// the given silent zones count as unreachable immediately.
func (g *Gossiper) ReachableHosts(silent []sd.ZoneName) int {
	reach := 1
	for _, p := range g.Alive(false) {
		if !slices.Contains(silent, p.Zone) {
			reach++
		}
	}
	return reach
}

// HostsOf returns the number of known hosts in the given zones.
func (g *Gossiper) HostsOf(zones []sd.ZoneName) int {
	g.lock.Lock()
	defer g.lock.Unlock()
	n := 0
	for _, p := range g.peers {
		if slices.Contains(zones, p.Zone) {
			n++
		}
	}
	return n
}

// SilentPeers returns the peers that have not been heard for at least the given time.
func (g *Gossiper) SilentPeers(silent sd.Millis) []sd.HostID {
	now := g.Clock.Now()
	g.lock.Lock()
	defer g.lock.Unlock()
	var list []sd.HostID
	for _, p := range g.peers {
		if now.Since(p.lastHeard) >= silent {
			list = append(list, p.Host)
		}
	}
	return list
}

// Interval returns the time between two rounds of heartbeats.
func (g *Gossiper) Interval() sd.Millis {
	g.lock.Lock()
	defer g.lock.Unlock()
	return max(minInterval, g.interval)
}

// computeInterval returns the interval for the current peers: a heartbeat goes to all
// hosts of this zone and to a few of each other zone.
func (g *Gossiper) computeInterval() sd.Millis {
	zones := map[sd.ZoneName]int{}
	for _, p := range g.peers {
		zones[p.Zone]++
	}
	sends := 0
	for zone, peers := range zones {
		if zone != g.Self.Zone {
			peers = min(peers, relaysPerZone)
		}
		sends += peers
	}
	return sd.Millis((int(sd.Second)*sends + maxSendsPerSecond - 1) / maxSendsPerSecond)
}

// Silence returns how long a peer may be silent before it counts as unreachable.
func (g *Gossiper) Silence() sd.Millis { return max(minSilence, silentRounds*g.Interval()) }

// Alive returns the peers heard recently, except those in zones that have been silent
// for a while. With reaching set, it returns only those that reach the store.
func (g *Gossiper) Alive(reaching bool) []Peer {
	limit := g.Silence()
	interval := g.Interval()
	now := g.Clock.Now()
	g.lock.Lock()
	defer g.lock.Unlock()
	quiet := g.quietZones(now, minZoneSilence, interval)
	var list []Peer
	for _, p := range g.peers {
		if !p.lost && now.Since(p.lastHeard) <= limit && (p.reaches || !reaching) && !slices.Contains(quiet, p.Zone) {
			list = append(list, p.Peer)
		}
	}
	return list
}

// SilentZones returns the other availability zones from which no peer was heard
// recently. In a zone with many hosts some host is heard often, so a partition is
// detected sooner than the silence of a single host.
func (g *Gossiper) SilentZones() []sd.ZoneName {
	interval := g.Interval()
	now := g.Clock.Now()
	g.lock.Lock()
	defer g.lock.Unlock()
	return slices.DeleteFunc(g.quietZones(now, minSilence, interval), func(zone sd.ZoneName) bool { return zone == g.Self.Zone })
}

// quietZones returns the zones from which no peer was heard for the time in which a
// zone of that size normally is, or for least if that is longer.
func (g *Gossiper) quietZones(now sd.Instant, least, interval sd.Millis) []sd.ZoneName {
	last := map[sd.ZoneName]sd.Instant{}
	hosts := map[sd.ZoneName]sd.Millis{}
	for _, p := range g.peers {
		last[p.Zone] = max(last[p.Zone], p.lastHeard)
		hosts[p.Zone]++
	}
	var quiet []sd.ZoneName
	for zone, heard := range last {
		if now.Since(heard) > max(least, 2*silentRounds*interval/hosts[zone]) {
			quiet = append(quiet, zone)
		}
	}
	return quiet
}

// SendSoon sends the next heartbeat within minInterval, because the host's state has changed.
func (g *Gossiper) SendSoon() {
	select {
	case g.sendSoonChan() <- struct{}{}:
	default:
	}
}

func (g *Gossiper) sendSoonChan() chan struct{} {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.sendSoon == nil {
		g.sendSoon = make(chan struct{}, 1)
	}
	return g.sendSoon
}

// nextDelay returns a randomized time until the next round. Hosts that start together
// must not stay synchronized: a zone would seem silent between the rounds.
func (g *Gossiper) nextDelay() time.Duration {
	return time.Duration((jitterMin + rand.Float64()*jitterRange) * float64(g.Interval().Duration()))
}

// Run sends and receives heartbeats until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", string(g.Self.Address))
	if err != nil {
		return sd.Unavailable.Wrap(err, "failed to listen for heartbeats")
	}
	received := make(chan error, 1)
	queued := make(chan struct{}, 1)
	go func() { received <- g.receive(conn, queued) }()
	number, sendingSoon := uint64(0), false
	roundTimer, relayTimer := time.NewTimer(g.nextDelay()), time.NewTimer(0)
	defer roundTimer.Stop()
	defer relayTimer.Stop()
	for {
		select {
		case <-g.sendSoonChan():
			if !sendingSoon {
				// Other hosts may report the same change. The random delay spreads their
				// heartbeats, and sendingSoon bounds how often this host sends early.
				sendingSoon = true
				roundTimer.Reset(time.Duration(rand.Float64() * float64(minInterval.Duration())))
			}
		case <-roundTimer.C:
			number++
			g.send(conn, number)
			sendingSoon = false
			roundTimer.Reset(g.nextDelay())
		case <-queued:
			relayTimer.Reset(time.Duration(batchDelay * float64(g.Interval().Duration())))
		case <-relayTimer.C:
			g.flushRelays(conn)
		case <-ctx.Done():
			_ = conn.Close()
			<-received
			return ctx.Err()
		case err := <-received:
			return err
		}
	}
}

func (g *Gossiper) send(conn net.PacketConn, number uint64) {
	beat := Heartbeat{Host: g.Self.Host, Incarnation: g.Self.Incarnation, Number: number}
	g.Fill(&beat)
	body := beat.Encode()
	direct, relays := g.recipients()
	g.sendTo(conn, beat.encodeWithSections(body), direct)
	g.sendTo(conn, beat.encodeWithSections(withRelay(body, true)), relays)
}

// sendTo sends a datagram to each address.
func (g *Gossiper) sendTo(conn net.PacketConn, body []byte, to []*net.UDPAddr) {
	for _, address := range to {
		// A send error counts as a lost datagram.
		_, _ = conn.WriteTo(body, address)
	}
}

// recipients returns the peers that get a heartbeat directly and those that also relay
// it within their zone. It logs the peers that have become silent.
func (g *Gossiper) recipients() (direct, relays []*net.UDPAddr) {
	limit := g.Silence()
	now := g.Clock.Now()
	g.lock.Lock()
	defer g.lock.Unlock()
	strongest := map[sd.ZoneName]float64{}
	for _, p := range g.peers {
		strongest[p.Zone] = max(strongest[p.Zone], p.Cores)
	}
	all, heard, strong := map[sd.ZoneName][]*net.UDPAddr{}, map[sd.ZoneName][]*net.UDPAddr{}, map[sd.ZoneName][]*net.UDPAddr{}
	for _, p := range g.peers {
		silent := now.Since(p.lastHeard) > limit
		if to := g.resolve(p.Address); to != nil {
			all[p.Zone] = append(all[p.Zone], to)
			if !p.lost && !silent && !p.Leaving {
				heard[p.Zone] = append(heard[p.Zone], to)
				if p.Cores >= relayMinCapacity*strongest[p.Zone] {
					strong[p.Zone] = append(strong[p.Zone], to)
				}
			}
		}
		if !p.lost && silent {
			p.lost = true
			g.Log.Warn("no heartbeats from peer", zap.Int("event", eventPeerLost), zap.String("peer", string(p.Host)),
				zap.Int64("silent_ms", int64(now.Since(p.lastHeard))))
		}
	}
	for zone, addresses := range all {
		from, most := strong[zone], relaysPerZone
		switch {
		case zone == g.Self.Zone || (len(heard[zone]) <= relaysPerZone && len(addresses) <= relaysToSilentZone):
			direct = append(direct, addresses...)
			continue
		case len(heard[zone]) <= relaysPerZone:
			from, most = addresses, relaysToSilentZone
		case len(from) < relaysPerZone:
			from = heard[zone]
		}
		rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
		relays = append(relays, from[:most]...)
	}
	return direct, relays
}

// queueRelay queues a heartbeat of another zone for relaying. It reports whether the queue was empty.
func (g *Gossiper) queueRelay(e entry) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	empty := len(g.relayQueue) == 0
	g.relayQueue = append(g.relayQueue, e.relayBodies()...)
	return empty
}

// flushRelays sends the queued heartbeats to the peers of this zone.
func (g *Gossiper) flushRelays(conn net.PacketConn) {
	var to []*net.UDPAddr
	g.lock.Lock()
	beats := g.relayQueue
	g.relayQueue = nil
	for _, p := range g.peers {
		if p.Zone == g.Self.Zone {
			if address := g.resolve(p.Address); address != nil {
				to = append(to, address)
			}
		}
	}
	g.lock.Unlock()
	for len(beats) > 0 {
		n, size := 0, 0
		for ; n < len(beats) && (n == 0 || size+len(beats[n]) <= maxBatchBytes || beats[n][0] == formatSections); n++ {
			size += len(beats[n])
		}
		g.sendTo(conn, encodeBatch(beats[:n]), to)
		beats = beats[n:]
	}
}

// resolve returns the socket address of an IP address and port, or nil.
func (g *Gossiper) resolve(address sd.Address) *net.UDPAddr {
	if to, known := g.addresses[address]; known {
		return to
	}
	if g.addresses == nil {
		g.addresses = map[sd.Address]*net.UDPAddr{}
	}
	to, err := net.ResolveUDPAddr("udp4", string(address))
	if err != nil {
		g.Log.Error("failed to resolve the address of a peer", zap.Int("event", eventPeerLost), zap.String("address", string(address)), zap.Error(err))
	}
	g.addresses[address] = to
	return to
}

func (g *Gossiper) receive(conn net.PacketConn, queued chan<- struct{}) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return sd.Unavailable.Wrap(err, "failed to receive heartbeats")
		}
		if err != nil {
			// A failed read loses one datagram at most; the host keeps receiving.
			g.Log.Warn("failed to receive a heartbeat", zap.Int("event", eventReadFailed), zap.Error(err))
			time.Sleep(readRetryDelay.Duration())
			continue
		}
		for _, e := range entries(buffer[:n]) {
			fresh, storeLost := g.accept(e.beat)
			if storeLost && g.OnStoreUnreachable != nil {
				g.OnStoreUnreachable()
			}
			if !fresh {
				continue
			}
			if e.beat.relay && g.queueRelay(e) {
				select {
				case queued <- struct{}{}:
				default:
				}
			}
			g.OnHeartbeat(e.beat)
		}
	}
}

// accept records that a peer is alive. It reports whether the heartbeat is a new one
// of a known peer, and whether the peer has lost the store since its last one. Callbacks run
// without the lock: they take locks of packages that call this one.
func (g *Gossiper) accept(beat Heartbeat) (fresh, storeLost bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	p := g.peers[beat.Host]
	if p == nil || p.Incarnation != beat.Incarnation || p.number >= beat.Number {
		return false, false
	}
	storeLost = p.reaches && !beat.ReachesStore
	p.number, p.reaches, p.lastHeard, p.Leaving, p.Detached = beat.Number, beat.ReachesStore, g.Clock.Now(), beat.Leaving, beat.Detached
	if p.lost {
		p.lost = false
		g.Log.Info("receiving heartbeats from peer", zap.Int("event", eventPeerFound), zap.String("peer", string(p.Host)),
			zap.Bool("reaches_store", p.reaches))
	}
	return true, storeLost
}
