package gossiper

import (
	"net"
	"os"
	"runtime/pprof"
	"testing"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// Guards against a host that hangs for good when a peer loses the store: the callback takes the
// lock of a package that calls this one with it held, so this package must hold none.
func TestCallbacksMayCallTheGossiper(t *testing.T) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	called := make(chan string, 4)
	g := &Gossiper{Self: Peer{Host: "self", Zone: "z"}, Clock: sd.NewClock(), Log: zap.NewNop()}
	callAll := func(name string) {
		g.SendSoon()
		g.Set(Peer{Host: "other", Zone: "z", Incarnation: 1, Address: "127.0.0.1:9"})
		g.Remove("nobody")
		_, _, _, _ = g.Alive(true), g.Hosts(), g.SilentZones(), g.SilentPeers(0)
		called <- name
	}
	g.OnStoreUnreachable = func() { callAll("store unreachable") }
	g.OnHeartbeat = func(Heartbeat) { callAll("heartbeat") }
	g.Set(Peer{Host: "peer", Zone: "z", Incarnation: 1, Address: "127.0.0.1:9"})
	ends := make(chan error, 1)
	go func() { ends <- g.receive(conn, make(chan struct{}, 1)) }()
	defer func() {
		_ = conn.Close()
		if !t.Failed() {
			// A callback that does not return keeps the receiver from ending.
			<-ends
		}
	}()
	for number, reaches := range []bool{true, false} {
		beat := Heartbeat{Host: "peer", Incarnation: 1, Number: uint64(number + 1), ReachesStore: reaches}
		if _, err := conn.WriteTo(beat.Encode(), conn.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"heartbeat", "store unreachable", "heartbeat"} {
		select {
		case name := <-called:
			if name != want {
				t.Fatalf("callback %q, want %q", name, want)
			}
		case <-time.After(10 * time.Second):
			_ = pprof.Lookup("goroutine").WriteTo(os.Stderr, 1)
			t.Fatalf("callback %q does not return", want)
		}
	}
}
