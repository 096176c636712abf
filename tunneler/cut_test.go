package tunneler_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/tunneler"
)

// Guards against a tunnel through a host that ends, with its connection in order, before it has
// opened it: until then its connection is not reset as its process ends.
func TestTunnelThatIsNotWhollyOpenedIsNone(t *testing.T) {
	const head = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: tunnel\r\n\r\n"
	var cut int
	carrier := listen(t, func(conn *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, head[:cut])
		_ = conn.Close()
	})
	direct := &path{}
	direct.cut.Store(true)
	h := tunneler.New(tunneler.Config{
		Direct: direct, Zone: "z", Targets: func() []sd.Address { return []sd.Address{"127.0.0.1:9"} },
		Peers: func() []gossiper.Peer { return []gossiper.Peer{{Host: "h", Zone: "z", Address: carrier}} },
		Clock: sd.NewClock(), Log: zap.NewNop(),
	})
	defer h.Close()
	for cut = range len(head) + 1 {
		conn, err := h.Dial(t.Context(), "127.0.0.1:9", sd.Second)
		if (err == nil) != (cut == len(head)) {
			t.Errorf("head cut at %d of %d: %v", cut, len(head), err)
		}
		if err == nil {
			_ = conn.Close()
		}
	}
}

// Guards against an answer that came through a tunnel and is taken for whole though its target died:
// the carrier sees its connection end in order. The target is asked through the tunnel's host as well.
func TestAnswerOfADeadTargetThroughATunnelIsNotWhole(t *testing.T) {
	for name, dies := range map[string]bool{"dies": true, "lives": false} {
		t.Run(name, func(t *testing.T) {
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
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf or whole")
						if dies {
							_ = listener.Close()
						}
					}
					_ = conn.Close()
				}
			}()
			// The carrier tells by another target that it reaches targets.
			other := listen(t, func(conn *net.TCPConn) { _ = conn.Close() })
			hosts := newHosts(t, []sd.Address{sd.Address(listener.Addr().String()), other}, "z", "z")
			hosts[0].path.cut.Store(true)
			x := exchanger.New(exchanger.Settings{Clock: sd.NewClock(), Dialer: hosts[0]})
			answer, err := x.Exchange(t.Context(), hosts[0].target, exchanger.Call{
				Method: http.MethodGet, URI: "/", Host: "h", Belongs: func(int, http.Header) bool { return true },
			})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(answer.Body)
			answer.Close(err == nil)
			if string(body) != "half or whole" || (err != nil) != dies || answer.Through() == "" {
				t.Errorf("%q, %v, through %q", body, err, answer.Through())
			}
			// The target waits for a request on the connection that is kept.
			x.Close()
			_ = listener.Close()
			<-ended
		})
	}
}
