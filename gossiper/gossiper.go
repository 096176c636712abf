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

// Events of this package; docs/EVENTS.md lists them.
const (
	eventPeerFound = 620
	eventPeerLost  = 621
	eventPeerGone  = 622
	eventUnheard   = 623
)

const (
	// sendRate bounds the datagrams in which a host tells of itself in a second, so that the
	// work does not grow with the fleet.
	sendRate = 90
	// shortest is the least time between two rounds.
	shortest = 100 * sd.Millisecond
	// jitterLeast and jitterSpan spread the rounds around their interval.
	jitterLeast = 0.6
	jitterSpan  = 0.8
	// silentRounds is the number of rounds without a word after which a peer counts
	// as cut off; two lost datagrams in a row are rare.
	silentRounds = 3
	// silentLeast bounds that time from below.
	silentLeast = 350 * sd.Millisecond
	// cutLeast is the silence after which a zone's hosts no longer count as heard: twice
	// as long, as more hangs on it.
	cutLeast = 2 * silentLeast
	// zoneRelays is the number of hosts of another zone that pass a beat on there, so
	// that it crosses between zones a few times only; one of them may be lost.
	zoneRelays = 2
	// zoneTries is the number of hosts that a beat is sent to in a zone of which none is heard,
	// each of which passes it on there: some may be lost.
	zoneTries = 8
	// strongRelay is the part of the strongest host's power that such a host must have.
	strongRelay = 0.7
	// passWithin is how long a relay gathers beats to pass on together, as a part of a round.
	passWithin = 0.5
	// datagramBytes bounds a datagram, passedBytes one of several beats.
	datagramBytes = 32 << 10
	// unheardPause bounds how often a socket that fails is read: as rarely as rounds come.
	unheardPause = 50 * sd.Millisecond
	passedBytes  = 8 << 10
)

// Peer is another host.
type Peer struct {
	Host        sd.HostID
	Zone        sd.ZoneName
	Address     sd.Address
	Incarnation sd.Incarnation
	// Power is the host's processor share, in cores.
	Power float64
	// Leaving hosts take no new duties.
	Leaving bool
}

// Gossiper sends and receives beats. It is safe for concurrent use.
type Gossiper struct {
	// Self is this host.
	Self Peer
	// Fill completes a beat that is about to be sent.
	Fill func(*Beat)
	// Heard is told of each beat received.
	Heard func(Beat)
	// Troubled, if set, is told when a peer no longer reaches the store.
	Troubled func()
	Clock    sd.Clock
	Log      *zap.Logger

	lock  sync.Mutex
	peers map[sd.HostID]*state
	// addresses are those of the peers, resolved.
	addresses map[sd.Address]*net.UDPAddr
	hasten    chan struct{}
	// interval is the time between two rounds; zero before there are peers.
	interval sd.Millis
	// gathered are beats of other zones that are to be passed on in the own one.
	gathered [][]byte
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
	if old := g.peers[p.Host]; old != nil && old.Incarnation == p.Incarnation && old.Address == p.Address {
		return
	}
	g.peers[p.Host] = &state{Peer: p, heard: g.Clock.Now(), lost: true}
	g.interval = g.round()
}

// Remove forgets a peer that has left.
func (g *Gossiper) Remove(host sd.HostID) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.peers[host] != nil {
		delete(g.peers, host)
		g.interval = g.round()
		g.Log.Info("peer left", zap.Int("event", eventPeerGone), zap.String("peer", string(host)))
	}
}

// Hosts returns the number of hosts known, this one included.
func (g *Gossiper) Hosts() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return len(g.peers) + 1
}

// Reach returns the number of hosts in reach, this one included; hosts of silent
// zones count as cut off at once.
func (g *Gossiper) Reach(silent []sd.ZoneName) int {
	reach := 1
	for _, p := range g.Alive(false) {
		if !slices.Contains(silent, p.Zone) {
			reach++
		}
	}
	return reach
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
	g.lock.Lock()
	defer g.lock.Unlock()
	return max(shortest, g.interval)
}

// round returns the time between two rounds for the peers that there are: a beat goes to all
// of the own zone and to some of each other one.
func (g *Gossiper) round() sd.Millis {
	zones := map[sd.ZoneName]int{}
	for _, p := range g.peers {
		zones[p.Zone]++
	}
	sends := 0
	for zone, peers := range zones {
		if zone != g.Self.Zone {
			peers = min(peers, zoneRelays)
		}
		sends += peers
	}
	return sd.Millis((int(sd.Second)*sends + sendRate - 1) / sendRate)
}

// Silence returns how long a peer may say nothing before it counts as cut off.
func (g *Gossiper) Silence() sd.Millis { return max(silentLeast, silentRounds*g.Interval()) }

// Alive returns the peers that were heard lately, but for those of zones that have
// been silent for a while; reaching selects those that reach the store.
func (g *Gossiper) Alive(reaching bool) []Peer {
	limit := g.Silence()
	interval := g.Interval()
	now := g.Clock.Now()
	g.lock.Lock()
	defer g.lock.Unlock()
	quiet := g.quiet(now, cutLeast, interval)
	var list []Peer
	for _, p := range g.peers {
		if !p.lost && now.Since(p.heard) <= limit && (p.reaches || !reaching) && !slices.Contains(quiet, p.Zone) {
			list = append(list, p.Peer)
		}
	}
	return list
}

// Silent returns the other availability zones of which no peer was heard lately.
// Where a zone has many hosts one of them is heard often, so that a cut shows sooner
// than the silence of a single host.
func (g *Gossiper) Silent() []sd.ZoneName {
	interval := g.Interval()
	now := g.Clock.Now()
	g.lock.Lock()
	defer g.lock.Unlock()
	return slices.DeleteFunc(g.quiet(now, silentLeast, interval), func(zone sd.ZoneName) bool { return zone == g.Self.Zone })
}

// quiet returns the zones of which no peer was heard for the time in which a zone of
// their size would be, and least at least.
func (g *Gossiper) quiet(now sd.Instant, least, interval sd.Millis) []sd.ZoneName {
	last := map[sd.ZoneName]sd.Instant{}
	hosts := map[sd.ZoneName]sd.Millis{}
	for _, p := range g.peers {
		last[p.Zone] = max(last[p.Zone], p.heard)
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

// Hasten has the next beat sent at once, as it tells something new.
func (g *Gossiper) Hasten() {
	select {
	case g.hastened() <- struct{}{}:
	default:
	}
}

func (g *Gossiper) hastened() chan struct{} {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.hasten == nil {
		g.hasten = make(chan struct{}, 1)
	}
	return g.hasten
}

// pause draws the time until the next round. Hosts that start together must not go on
// speaking together: a zone would seem silent between the rounds.
func (g *Gossiper) pause() time.Duration {
	return time.Duration((jitterLeast + rand.Float64()*jitterSpan) * float64(g.Interval().Duration()))
}

// Run sends and receives beats until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", string(g.Self.Address))
	if err != nil {
		return sd.Unavailable.Wrap(err, "port of the beats")
	}
	received := make(chan error, 1)
	gathered := make(chan struct{}, 1)
	go func() { received <- g.receive(conn, gathered) }()
	number, hurried := uint64(0), false
	round, pass := time.NewTimer(g.pause()), time.NewTimer(0)
	defer round.Stop()
	defer pass.Stop()
	for {
		select {
		case <-g.hastened():
			if !hurried {
				// All hosts may have the same to tell, which also bounds how often they do.
				hurried = true
				round.Reset(time.Duration(rand.Float64() * float64(shortest.Duration())))
			}
		case <-round.C:
			number++
			g.send(conn, number)
			hurried = false
			round.Reset(g.pause())
		case <-gathered:
			pass.Reset(time.Duration(passWithin * float64(g.Interval().Duration())))
		case <-pass.C:
			g.pass(conn)
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
	beat := Beat{Host: g.Self.Host, Incarnation: g.Self.Incarnation, Number: number}
	g.Fill(&beat)
	body := beat.Encode()
	direct, relays := g.recipients()
	g.write(conn, body, direct)
	g.write(conn, relayed(body, true), relays)
}

// write sends a datagram to some addresses.
func (g *Gossiper) write(conn net.PacketConn, body []byte, to []*net.UDPAddr) {
	for _, address := range to {
		// A datagram that cannot be sent counts as lost.
		_, _ = conn.WriteTo(body, address)
	}
}

// recipients returns the peers to which a beat is sent, and those that are to pass
// it on in their zone.
func (g *Gossiper) recipients() (direct, relays []*net.UDPAddr) {
	limit := g.Silence()
	now := g.Clock.Now()
	g.lock.Lock()
	defer g.lock.Unlock()
	strongest := map[sd.ZoneName]float64{}
	for _, p := range g.peers {
		strongest[p.Zone] = max(strongest[p.Zone], p.Power)
	}
	all, heard, strong := map[sd.ZoneName][]*net.UDPAddr{}, map[sd.ZoneName][]*net.UDPAddr{}, map[sd.ZoneName][]*net.UDPAddr{}
	for _, p := range g.peers {
		silent := now.Since(p.heard) > limit
		if to := g.resolve(p.Address); to != nil {
			all[p.Zone] = append(all[p.Zone], to)
			if !p.lost && !silent && !p.Leaving {
				heard[p.Zone] = append(heard[p.Zone], to)
				if p.Power >= strongRelay*strongest[p.Zone] {
					strong[p.Zone] = append(strong[p.Zone], to)
				}
			}
		}
		if !p.lost && silent {
			p.lost = true
			g.Log.Warn("peer is silent", zap.Int("event", eventPeerLost), zap.String("peer", string(p.Host)),
				zap.Int64("silent_ms", int64(now.Since(p.heard))))
		}
	}
	for zone, addresses := range all {
		from, most := strong[zone], zoneRelays
		switch {
		case zone == g.Self.Zone || (len(heard[zone]) <= zoneRelays && len(addresses) <= zoneTries):
			direct = append(direct, addresses...)
			continue
		case len(heard[zone]) <= zoneRelays:
			from, most = addresses, zoneTries
		case len(from) < zoneRelays:
			from = heard[zone]
		}
		rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
		relays = append(relays, from[:most]...)
	}
	return direct, relays
}

// gather keeps a beat of another zone to be passed on. It reports whether it is the first.
func (g *Gossiper) gather(body []byte) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.gathered = append(g.gathered, relayed(body, false))
	return len(g.gathered) == 1
}

// pass sends the beats that were gathered to the peers of the own zone.
func (g *Gossiper) pass(conn net.PacketConn) {
	var to []*net.UDPAddr
	g.lock.Lock()
	beats := g.gathered
	g.gathered = nil
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
		for ; n < len(beats) && (n == 0 || size+len(beats[n]) <= passedBytes); n++ {
			size += len(beats[n])
		}
		g.write(conn, join(beats[:n]), to)
		beats = beats[n:]
	}
}

// resolve returns the socket address of an IP number and port, or nil.
func (g *Gossiper) resolve(address sd.Address) *net.UDPAddr {
	if to, known := g.addresses[address]; known {
		return to
	}
	if g.addresses == nil {
		g.addresses = map[sd.Address]*net.UDPAddr{}
	}
	to, err := net.ResolveUDPAddr("udp4", string(address))
	if err != nil {
		g.Log.Error("address of a peer cannot be used", zap.Int("event", eventPeerLost), zap.String("address", string(address)), zap.Error(err))
	}
	g.addresses[address] = to
	return to
}

func (g *Gossiper) receive(conn net.PacketConn, gathered chan<- struct{}) error {
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return sd.Unavailable.Wrap(err, "beats cannot be received")
		}
		if err != nil {
			// One datagram failed; the host serves on without it.
			g.Log.Warn("beat cannot be received", zap.Int("event", eventUnheard), zap.Error(err))
			time.Sleep(unheardPause.Duration())
			continue
		}
		for _, body := range split(buffer[:n]) {
			beat, ok := DecodeBeat(body)
			if !ok || !g.take(beat) {
				continue
			}
			if beat.relay && g.gather(body) {
				select {
				case gathered <- struct{}{}:
				default:
				}
			}
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
	if p.reaches && !beat.Reaches && g.Troubled != nil {
		g.Troubled()
	}
	p.number, p.reaches, p.heard, p.Leaving = beat.Number, beat.Reaches, g.Clock.Now(), beat.Leaving
	if p.lost {
		p.lost = false
		g.Log.Info("peer is heard", zap.Int("event", eventPeerFound), zap.String("peer", string(p.Host)),
			zap.Bool("reaches_store", p.reaches))
	}
	return true
}
