package gossiper

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
)

func TestBeatsAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := rapid.MapOf(rapid.Uint32(), rapid.IntRange(0, 1<<20))
		convert := func(m map[uint32]int) map[IDHash]int {
			out := map[IDHash]int{}
			for k, v := range m {
				out[IDHash(k)] = v
			}
			return out
		}
		b := Heartbeat{
			Host: sd.HostID(rapid.StringN(0, 40, 200).Draw(t, "host")), Incarnation: sd.Incarnation(rapid.Uint64().Draw(t, "i")),
			Number: rapid.Uint64().Draw(t, "n"), ReachesStore: rapid.Bool().Draw(t, "reaches"), Leaving: rapid.Bool().Draw(t, "leaving"),
			Detached: rapid.Bool().Draw(t, "detached"),
			Inflight: convert(counts.Draw(t, "inflight")), Sent: convert(counts.Draw(t, "sent")), Admitted: map[IDHash]uint64{7: 9},
		}
		got, ok := DecodeHeartbeat(b.Encode())
		if !ok {
			t.Fatal("an encoded heartbeat does not decode")
		}
		if diff := cmp.Diff(b, got, cmpopts.EquateEmpty(), cmpopts.IgnoreUnexported(Heartbeat{})); diff != "" {
			t.Fatal(diff)
		}
		garbage := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		_, _ = DecodeHeartbeat(garbage)
		if whole := b.Encode(); len(whole) > 0 {
			if _, ok := DecodeHeartbeat(whole[:len(whole)-1]); ok {
				t.Fatal("a truncated heartbeat was decoded")
			}
		}
	})
}

// A large zone counts as silent sooner than a single host would, and the datagrams per
// second stay bounded.
func TestSilentZonesShowSoon(t *testing.T) {
	now := sd.Instant(100000)
	g := &Gossiper{Self: Peer{Host: "self", Zone: "z0"}, Clock: sd.Clock{Source: func() sd.Instant { return now }}, Log: zap.NewNop()}
	for i := range 78 {
		g.Set(Peer{Host: sd.HostID("h" + string(rune('0'+i))), Zone: sd.ZoneName([]string{"z0", "z1", "z2"}[i%3]), Incarnation: 1, Address: sd.Address(fmt.Sprint("127.0.0.1:", 20000+i))})
	}
	for i := range 78 {
		g.accept(Heartbeat{Host: sd.HostID("h" + string(rune('0'+i))), Incarnation: 1, Number: 1})
	}
	if len(g.Alive(false)) != 78 || len(g.SilentZones()) != 0 {
		t.Fatalf("alive %d, silent %v", len(g.Alive(false)), g.SilentZones())
	}
	direct, relays := g.recipients()
	if perSecond := float64(len(direct)+len(relays)) * 1000 / float64(g.Interval()); perSecond > maxSendsPerSecond || len(direct)+len(relays) == 0 {
		t.Fatalf("%.0f datagrams per second", perSecond)
	}
	now += 600
	for i := range 78 {
		if i%3 != 1 {
			g.accept(Heartbeat{Host: sd.HostID("h" + string(rune('0'+i))), Incarnation: 1, Number: 2})
		}
	}
	if got := g.SilentZones(); len(got) != 1 || got[0] != "z1" {
		t.Fatalf("silent after 600 ms: %v", got)
	}
	if len(g.Alive(false)) != 78 || g.ReachableHosts(g.SilentZones()) != 53 {
		t.Fatalf("alive %d, reachable %d", len(g.Alive(false)), g.ReachableHosts(g.SilentZones()))
	}
	now += 200
	if len(g.Alive(false)) != 52 {
		t.Fatalf("alive %d after 800 ms", len(g.Alive(false)))
	}
}

// In a partition, the hosts of a zone in a large fleet stop counting the other zones'
// hosts as alive within a second.
func TestACutZoneKnowsSoonThatItIsAlone(t *testing.T) {
	now := sd.Instant(100000)
	g := &Gossiper{Self: Peer{Host: "self", Zone: "z0"}, Clock: sd.Clock{Source: func() sd.Instant { return now }}, Log: zap.NewNop()}
	name := func(i int) sd.HostID { return sd.HostID("h" + string(rune('0'+i))) }
	for i := range 78 {
		g.Set(Peer{Host: name(i), Zone: sd.ZoneName([]string{"z0", "z1", "z2", "z3"}[i%4]), Incarnation: 1})
		g.accept(Heartbeat{Host: name(i), Incarnation: 1, Number: 1, ReachesStore: true})
	}
	for number := uint64(2); number < 12; number++ {
		now += 90
		for i := range 78 {
			if i%4 == 0 {
				g.accept(Heartbeat{Host: name(i), Incarnation: 1, Number: number})
			}
		}
	}
	if alive, reaching := len(g.Alive(false)), len(g.Alive(true)); alive != 20 || reaching != 0 {
		t.Fatalf("alive %d, of which %d reach the store", alive, reaching)
	}
}

func TestBeatsOfAnotherStartAreNotTaken(t *testing.T) {
	g := &Gossiper{Clock: sd.Clock{Source: func() sd.Instant { return 1 }}, Log: zap.NewNop()}
	g.Set(Peer{Host: "h", Incarnation: 2})
	accept := func(beat Heartbeat) bool {
		fresh, _ := g.accept(beat)
		return fresh
	}
	if accept(Heartbeat{Host: "h", Incarnation: 1, Number: 9}) || accept(Heartbeat{Host: "x", Incarnation: 1, Number: 1}) {
		t.Fatal("a heartbeat of an earlier incarnation or an unknown host was accepted")
	}
	if !accept(Heartbeat{Host: "h", Incarnation: 2, Number: 1}) || accept(Heartbeat{Host: "h", Incarnation: 2, Number: 1}) {
		t.Fatal("a heartbeat must be accepted exactly once")
	}
}

// A heartbeat is sent to two relays in another zone, however many hosts it has. While no
// host of the zone is heard it goes to several relays, or to all hosts of a small zone.
func TestBeatsCrossBetweenZonesTwice(t *testing.T) {
	now := sd.Instant(100000)
	g := &Gossiper{Self: Peer{Host: "self", Zone: "z0"}, Clock: sd.Clock{Source: func() sd.Instant { return now }}, Log: zap.NewNop()}
	for i := range 78 {
		p := Peer{Host: sd.HostID(fmt.Sprint("h", i)), Zone: sd.ZoneName(fmt.Sprint("z", i%4)), Incarnation: 1, Address: sd.Address(fmt.Sprint("127.0.0.1:", 20000+i))}
		g.Set(p)
	}
	if direct, relays := g.recipients(); len(direct) != 20 || len(relays) != 3*relaysToSilentZone {
		t.Fatalf("%d direct, %d relays before any peer is heard", len(direct), len(relays))
	}
	for i := range 78 {
		g.accept(Heartbeat{Host: sd.HostID(fmt.Sprint("h", i)), Incarnation: 1, Number: 1})
	}
	if direct, relays := g.recipients(); len(direct) != 20 || len(relays) != 3*relaysPerZone {
		t.Fatalf("%d direct, %d relays", len(direct), len(relays))
	}
}

// At the start of hundreds of hosts, or when a zone of them is partitioned, the datagrams
// that a host sends stay bounded although no peer is heard. Hosts with few cores are not
// used as relays.
func TestSendRateStaysBounded(t *testing.T) {
	for _, hosts := range []int{295, 410} {
		now := sd.Instant(100000)
		g := &Gossiper{Self: Peer{Host: "self", Zone: "z0"}, Clock: sd.Clock{Source: func() sd.Instant { return now }}, Log: zap.NewNop()}
		strong := map[string]bool{}
		for i := range hosts - 1 {
			p := Peer{Host: sd.HostID(fmt.Sprint("h", i)), Zone: sd.ZoneName(fmt.Sprint("z", i%5)), Incarnation: 1, Address: sd.Address(fmt.Sprint("127.0.0.1:", 20000+i)), Cores: 0.192}
			if i/5%6 == 0 {
				p.Cores = 0.8
				strong[string(p.Address)] = true
			}
			g.Set(p)
		}
		if g.Interval() > sd.Second {
			t.Errorf("%d hosts: interval is %d ms, want at most a second", hosts, g.Interval())
		}
		direct, relays := g.recipients()
		if perSecond := float64(len(direct)+len(relays)) * 1000 / float64(g.Interval()); perSecond > 2*maxSendsPerSecond {
			t.Errorf("%.0f datagrams per second before any peer is heard", perSecond)
		}
		for i := range hosts - 1 {
			g.accept(Heartbeat{Host: sd.HostID(fmt.Sprint("h", i)), Incarnation: 1, Number: 1})
		}
		direct, relays = g.recipients()
		if perSecond := float64(len(direct)+len(relays)) * 1000 / float64(g.Interval()); perSecond > maxSendsPerSecond {
			t.Errorf("%.0f datagrams per second", perSecond)
		}
		for _, relay := range relays {
			if !strong[relay.String()] {
				t.Errorf("host %v with few cores is used as a relay", relay)
			}
		}
	}
}

// A batch is split into the same heartbeats again. Arbitrary bytes never cause a panic.
func TestBeatsTravelTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		beats := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 300)).Draw(t, "beats")
		got := splitBatch(encodeBatch(beats))
		if len(got) != len(beats) {
			t.Fatalf("%d heartbeats after splitting, want %d", len(got), len(beats))
		}
		for i := range beats {
			if !bytes.Equal(got[i], beats[i]) {
				t.Fatalf("heartbeat %d changed", i)
			}
		}
		for _, body := range splitBatch(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")) {
			DecodeHeartbeat(body)
		}
		for _, body := range splitBatch(append([]byte{formatBatch}, rapid.SliceOf(rapid.Byte()).Draw(t, "truncated")...)) {
			DecodeHeartbeat(body)
		}
	})
}

// Seven hosts in two zones receive each other's heartbeats and their sections over sockets, directly
// and through relays.
func TestHostsHearOneAnotherThroughRelays(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var peers []Peer
	for i := range 7 {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, Peer{Host: sd.HostID(fmt.Sprint("h", i)), Zone: sd.ZoneName(fmt.Sprint("z", i%2)), Incarnation: 1, Address: sd.Address(conn.LocalAddr().String())})
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
	}
	var lock sync.Mutex
	heard := map[[2]sd.HostID]int{}
	ends := make(chan error, len(peers))
	for _, self := range peers {
		g := &Gossiper{
			Self: self, Clock: sd.NewClock(), Log: zap.NewNop(), Fill: func(b *Heartbeat) { b.Unread = map[IDHash]int{1: 500} },
			OnHeartbeat: func(b Heartbeat) {
				lock.Lock()
				defer lock.Unlock()
				if b.Unread[1] == 500 {
					heard[[2]sd.HostID{self.Host, b.Host}]++
				}
			},
		}
		for _, p := range peers {
			g.Set(p)
		}
		go func() { ends <- g.Run(ctx) }()
	}
	const rounds = 20
	time.Sleep(rounds * minInterval.Duration())
	cancel()
	for range peers {
		<-ends
	}
	for _, a := range peers {
		for _, b := range peers {
			if n := heard[[2]sd.HostID{a.Host, b.Host}]; a.Host != b.Host && n < rounds/2 {
				t.Errorf("%s heard %s %d times in %d rounds", a.Host, b.Host, n, rounds)
			}
		}
	}
}

// flakyConn is a socket whose first reads fail.
type flakyConn struct {
	net.PacketConn
	failures atomic.Int64
}

func (f *flakyConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	if f.failures.Add(-1) >= 0 {
		return 0, nil, syscall.ECONNREFUSED
	}
	return f.PacketConn.ReadFrom(buffer)
}

// A failed read must stop neither the host nor the reception of heartbeats.
func TestFailedReadsEndNothing(t *testing.T) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	socket := &flakyConn{PacketConn: conn}
	socket.failures.Store(3)
	heard := make(chan Heartbeat, 1)
	g := &Gossiper{Self: Peer{Host: "self"}, Clock: sd.NewClock(), Log: zap.NewNop(), OnHeartbeat: func(b Heartbeat) { heard <- b }}
	g.Set(Peer{Host: "other", Incarnation: 1, Address: "127.0.0.1:1"})
	ended := make(chan error, 1)
	go func() { ended <- g.receive(socket, make(chan struct{}, 1)) }()
	beat := Heartbeat{Host: "other", Incarnation: 1, Number: 1}
	if _, err := conn.WriteTo(beat.Encode(), conn.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	select {
	case <-heard:
	case err := <-ended:
		t.Fatalf("receive stopped: %v", err)
	case <-time.After(2 * time.Second):
		t.Fatal("no heartbeat received")
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	<-ended
}

// In a store outage of a large fleet, SendSoon sends a changed state at once. Waiting
// for the next regular heartbeat would take a second.
func TestNewsAreToldAtOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var reaches atomic.Bool
	reaches.Store(true)
	g := &Gossiper{
		Self: Peer{Host: "self", Zone: "z", Incarnation: 1, Address: "127.0.0.1:0"}, Clock: sd.NewClock(), Log: zap.NewNop(),
		Fill: func(b *Heartbeat) { b.ReachesStore = reaches.Load() }, OnHeartbeat: func(Heartbeat) {},
	}
	for i := range 300 {
		// No socket listens at these addresses.
		g.Set(Peer{Host: sd.HostID(fmt.Sprint("h", i)), Zone: "z", Incarnation: 1, Address: "no address"})
	}
	g.Set(Peer{Host: "other", Zone: "z", Incarnation: 1, Address: sd.Address(listener.LocalAddr().String())})
	ends := make(chan error, 1)
	go func() { ends <- g.Run(ctx) }()
	defer func() {
		cancel()
		<-ends
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	}()
	reaches.Store(false)
	g.SendSoon()
	if err := listener.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, maxDatagramBytes)
	n, _, err := listener.ReadFrom(buffer)
	if err != nil {
		t.Fatalf("no heartbeat within a second, the interval is %d ms: %v", g.Interval(), err)
	}
	if beat, ok := DecodeHeartbeat(buffer[:n]); !ok || beat.ReachesStore {
		t.Fatalf("got heartbeat %+v", beat)
	}
}

// Guards against a datagram that ends the host: the length of a name of 254 or 255 bytes plus that of
// the fields before it does not fit a byte.
func TestLongNamesOfHostsAreRead(t *testing.T) {
	for _, length := range []int{253, 254, 255} {
		b := Heartbeat{Host: sd.HostID(strings.Repeat("h", length)), Incarnation: 1, Number: 2}
		if got, ok := DecodeHeartbeat(b.Encode()); !ok || got.Host != b.Host || got.Number != 2 {
			t.Errorf("name of %d bytes: %v, %v", length, got.Host, ok)
		}
	}
}
