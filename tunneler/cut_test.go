package tunneler_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
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
