package tunneler_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/tunneler"
)

const (
	patience = 5 * time.Second
	// maxIdle is how long hosts use idle tunnels.
	maxIdle = 300 * sd.Millisecond
)

// path is a host's direct way to targets, which a test cuts.
type path struct {
	sd.Dialer
	cut atomic.Bool
	// except holds targets that are cut off by themselves.
	except sync.Map
	dials  atomic.Int64
}

func (p *path) Dial(ctx context.Context, target sd.Address, timeout sd.Millis) (net.Conn, error) {
	p.dials.Add(1)
	if _, cut := p.except.Load(target); cut || p.cut.Load() {
		return nil, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	return p.Dialer.Dial(ctx, target, timeout)
}

// host is a Tunneler that other hosts reach.
type host struct {
	*tunneler.Tunneler
	path   *path
	peer   gossiper.Peer
	target sd.Address
}

// newHosts starts a host in each of the zones; all of them know the targets.
func newHosts(t *testing.T, targets []sd.Address, zones ...sd.ZoneName) []*host {
	t.Helper()
	var hosts []*host
	for i, zone := range zones {
		h := &host{path: &path{Dialer: exchanger.Direct()}, target: targets[0]}
		h.Tunneler = tunneler.New(tunneler.Config{
			Direct: h.path, Zone: zone, Targets: func() []sd.Address { return append([]sd.Address(nil), targets...) },
			Peers: func() []gossiper.Peer {
				var peers []gossiper.Peer
				for _, other := range hosts {
					if other != h {
						peer := other.peer
						peer.Detached = other.Detached()
						peers = append(peers, peer)
					}
				}
				return peers
			},
			MaxIdle: maxIdle, Clock: sd.NewClock(), Log: zap.NewNop(),
		})
		router := echo.New()
		h.RegisterHandlers(router)
		server := httptest.NewServer(router)
		h.peer = gossiper.Peer{Host: sd.HostID(fmt.Sprint("h", i)), Zone: zone, Address: sd.Address(strings.TrimPrefix(server.URL, "http://"))}
		t.Cleanup(func() {
			h.Close()
			server.Close()
		})
		hosts = append(hosts, h)
	}
	return hosts
}

// listen starts a target that hands its connections to serve.
func listen(t *testing.T, serve func(conn *net.TCPConn)) sd.Address {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return sd.Address(listener.Addr().String())
}

func (h *host) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := h.Dial(t.Context(), h.target, sd.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against the end of a tunnel telling less than that of the target's connection: an
// answer without a frame is whole if the target closed in order, and broken if it was reset.
func TestTunnelEndsAsTheTargetEnds(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			target := listen(t, func(conn *net.TCPConn) {
				request := make([]byte, 4)
				_, _ = io.ReadFull(conn, request)
				_, _ = conn.Write(append(request, request...))
				if reset {
					// The bytes arrive before the reset.
					time.Sleep(50 * time.Millisecond)
					_ = conn.SetLinger(0)
				}
				_ = conn.Close()
			})
			h := newHosts(t, []sd.Address{target}, "z", "z")[0]
			h.path.cut.Store(true)
			conn := h.dial(t)
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "ping"); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			if string(got) != "pingping" || (err == nil) == reset || (reset && !errors.Is(err, syscall.ECONNRESET)) {
				t.Errorf("read %q, %v", got, err)
			}
		})
	}
}

// Guards against the end of the host that carries a tunnel looking like an answer's end: half of
// an answer without a frame would be taken for whole.
func TestTunnelIsResetAsItsCarrierEnds(t *testing.T) {
	target := listen(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "half")
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	})
	hosts := newHosts(t, []sd.Address{target}, "z", "z")
	hosts[0].path.cut.Store(true)
	conn := hosts[0].dial(t)
	defer func() { _ = conn.Close() }()
	half := make([]byte, 4)
	if _, err := io.ReadFull(conn, half); err != nil {
		t.Fatal(err)
	}
	hosts[1].Close()
	if rest, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q and %v after the carrier ended", rest, err)
	}
}

// Guards against a target that goes on with a request whose caller has left: the close of
// the host's connection reaches it through the tunnel at once.
func TestClosedTunnelClosesTheTargetsConnection(t *testing.T) {
	left := make(chan struct{})
	target := listen(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		close(left)
	})
	h := newHosts(t, []sd.Address{target}, "z", "z")[0]
	h.path.cut.Store(true)
	conn := h.dial(t)
	if _, err := io.WriteString(conn, "ping"); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	select {
	case <-left:
	case <-time.After(patience):
		t.Error("the target's connection is still open")
	}
}

// Guards against a host that connects others to addresses of their choice.
func TestTunnelsLeadToTargetsOnly(t *testing.T) {
	h := newHosts(t, []sd.Address{listen(t, func(conn *net.TCPConn) { _ = conn.Close() })}, "z", "z")[0]
	h.path.cut.Store(true)
	stranger := listen(t, func(conn *net.TCPConn) {
		t.Error("a host connected another one to an address that is no target's")
		_ = conn.Close()
	})
	if conn, err := h.Dial(t.Context(), stranger, sd.Second); err == nil {
		_ = conn.Close()
		t.Error("a tunnel to an unknown address was opened")
	}
}

// Guards against what this host does not reach being taken for down: only if another host
// is refused as well does a target count as down.
func TestTargetIsDownOnlyIfAnotherHostSaysSo(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	down := sd.Address(closed.Addr().String())
	_ = closed.Close()
	h := newHosts(t, []sd.Address{down}, "z", "z")[0]
	if _, err := h.Dial(t.Context(), down, sd.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a target that is down for all: %v", err)
	}
	h = newHosts(t, []sd.Address{listen(t, func(conn *net.TCPConn) { _ = conn.Close() })}, "z", "z")[0]
	h.path.cut.Store(true)
	conn, err := h.Dial(t.Context(), h.target, sd.Second)
	if err != nil {
		t.Fatalf("a target that another host reaches: %v", err)
	}
	_ = conn.Close()
}

// Guards against hosts of a partitioned zone that take one another's word for targets being
// down, as none of them knows yet that it is partitioned.
func TestPartitionedZoneUsesHostsOfOtherZones(t *testing.T) {
	serve := func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }
	targets := []sd.Address{listen(t, serve), listen(t, serve), listen(t, serve)}
	hosts := newHosts(t, targets, "z", "z", "z", "z", "z", "other")
	for _, h := range hosts[:5] {
		h.path.cut.Store(true)
	}
	for _, h := range hosts[:5] {
		_ = h.dial(t).Close()
	}
	for _, h := range hosts[:5] {
		eventually(t, "the host is detached", h.Detached)
	}
}

// Guards against hosts that ask one another without end about a target that is down.
func TestSearchForADownTargetEnds(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	down := sd.Address(closed.Addr().String())
	_ = closed.Close()
	sound := listen(t, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	hosts := newHosts(t, []sd.Address{down, sound}, "z", "z", "z", "z", "z", "z")
	if _, err := hosts[0].Dial(t.Context(), down, sd.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatal(err)
	}
	dials := func() (n int64) {
		for _, h := range hosts {
			n += h.path.dials.Load()
		}
		return n
	}
	time.Sleep(500 * time.Millisecond)
	before := dials()
	time.Sleep(500 * time.Millisecond)
	if n := dials() - before; n > 0 {
		t.Errorf("%d connections tried half a second after the only one that was asked for", n)
	}
}

// Guards against a host that misses some targets leaving the others' good connections.
func TestHostThatMissesSomeTargetsStaysAttached(t *testing.T) {
	serve := func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }
	var targets []sd.Address
	for range 10 {
		targets = append(targets, listen(t, serve))
	}
	h := newHosts(t, targets, "z", "z")[0]
	for _, target := range targets[:3] {
		h.path.except.Store(target, true)
	}
	for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
		h.target = targets[int(time.Since(start).Milliseconds()/20)%3]
		_ = h.dial(t).Close()
		if h.Detached() {
			t.Fatal("detached, though it reaches 7 of 10 targets")
		}
	}
}

// Guards against a host that stays on tunnels after its partition has healed.
func TestHostIsAttachedAgainAfterAPartition(t *testing.T) {
	serve := func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }
	h := newHosts(t, []sd.Address{listen(t, serve), listen(t, serve), listen(t, serve)}, "z", "z")[0]
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	direct := h.dial(t)
	h.path.cut.Store(true)
	through := h.dial(t)
	defer func() { _, _ = direct.Close(), through.Close() }()
	// The other targets are checked without requests to them.
	eventually(t, "the host is detached", h.Detached)
	if h.Usable(direct, h.target) || !h.Usable(through, h.target) {
		t.Error("a detached host uses connections from before the partition, or no tunnels")
	}
	h.path.cut.Store(false)
	eventually(t, "the host is attached again", func() bool { return !h.Detached() })
	eventually(t, "the tunnel is left", func() bool {
		_ = h.dial(t).Close()
		return !h.Usable(through, h.target)
	})
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < patience; time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not in time: " + what)
}

// A host that stops waits for the tunnels that others use, and opens no more.
func TestDrainWaitsForTunnels(t *testing.T) {
	target := listen(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(conn, conn)
		_ = conn.Close()
	})
	hosts := newHosts(t, []sd.Address{target}, "z", "z")
	h := hosts[0]
	h.path.cut.Store(true)
	conn := h.dial(t)
	drained := make(chan error, 1)
	go func() { drained <- hosts[1].Drain(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(conn, "ping"); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 4)
	if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != "ping" {
		t.Fatalf("a tunnel in use was cut: %q, %v", answer, err)
	}
	if late, err := h.Dial(t.Context(), h.target, sd.Second); err == nil {
		_ = late.Close()
		t.Error("a tunnel was opened through a host that stops")
	}
	_ = conn.Close()
	select {
	case err := <-drained:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Error("the host waits for a tunnel that has ended")
	}
}

func ExampleTunneler_RegisterHandlers() {
	t := tunneler.New(tunneler.Config{
		Direct: exchanger.Direct(), Peers: func() []gossiper.Peer { return nil },
		Targets: func() []sd.Address { return nil }, Clock: sd.NewClock(), Log: zap.NewNop(),
	})
	router := echo.New()
	t.RegisterHandlers(router)
	answer := httptest.NewRecorder()
	router.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/peer/tunnel?to=127.0.0.1:9", nil))
	fmt.Println(answer.Code, t.Serving())
	t.Close()
	// Output: 404 0
}

// Guards against a reset of the target that only the copying of a long request notices: the
// tunnel then closed in order, and half of an answer without a frame looked whole.
func TestTunnelIsResetIfTheTargetResetsDuringARequest(t *testing.T) {
	target := listen(t, func(conn *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, conn, 1<<10)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of ")
		// The reset comes while the request is being copied.
		_, _ = io.CopyN(io.Discard, conn, 256<<10)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	h := newHosts(t, []sd.Address{target}, "z", "z")[0]
	h.path.cut.Store(true)
	x := exchanger.New(exchanger.Settings{Clock: sd.NewClock(), Dialer: h})
	t.Cleanup(x.Close)
	body := make([]byte, 4<<20)
	for n := range 1000 {
		answer, err := x.Exchange(t.Context(), target, exchanger.Call{
			Method: http.MethodPost, URI: "/", Host: "h", Body: [][]byte{body}, Belongs: func(int, http.Header) bool { return true },
		})
		if err != nil {
			continue
		}
		text, err := io.ReadAll(answer.Body)
		answer.Close(false)
		if err == nil {
			t.Fatalf("try %d: %q looks whole", n, text)
		}
	}
}

// Guards against requests on tunnels that were idle for long reaching a target that has announced
// meanwhile that it leaves: the host that carries them may have passed that on.
func TestTunnelIsNotUsedAfterItWasIdle(t *testing.T) {
	target := listen(t, func(conn *net.TCPConn) { _, _ = io.Copy(conn, conn) })
	h := newHosts(t, []sd.Address{target}, "z", "z")[0]
	h.path.cut.Store(true)
	conn := h.dial(t)
	defer func() { _ = conn.Close() }()
	for range 3 {
		time.Sleep((maxIdle / 2).Duration())
		if !h.Usable(conn, target) {
			t.Fatal("a tunnel in use is not used on")
		}
		echo := make([]byte, 4)
		if _, err := io.WriteString(conn, "ping"); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(conn, echo); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep((maxIdle + maxIdle/4).Duration())
	if h.Usable(conn, target) {
		t.Error("an idle tunnel is used")
	}
}

// Guards against a host that takes a target for down because another one, which was partitioned a
// moment ago as well, says so: sound answers without a frame then count as broken.
func TestHostThatWasJustPartitionedDoesNotSayThatATargetIsDown(t *testing.T) {
	target := listen(t, func(conn *net.TCPConn) { _ = conn.Close() })
	other := listen(t, func(conn *net.TCPConn) { _ = conn.Close() })
	hosts := newHosts(t, []sd.Address{target, other}, "z", "z")
	_ = hosts[1].dial(t).Close()
	time.Sleep(200 * time.Millisecond)
	for _, h := range hosts {
		h.path.cut.Store(true)
	}
	conn, err := hosts[0].Dial(t.Context(), target, sd.Second)
	if err == nil {
		_ = conn.Close()
	}
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want one that leaves open whether the target is down", err)
	}
}
