package starter

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// idlers are connections to a server that closes idle ones.
type idlers struct {
	t     *testing.T
	conns *connections
	open  []net.Conn
	// ran counts the requests that the handler was given.
	ran atomic.Int64
}

func newIdlers(t *testing.T, n int, limit sd.Millis) *idlers {
	clock := sd.NewClock()
	i := &idlers{t: t, conns: newConnections(2*n, reserver.New(reserver.Settings{Capacity: 1 << 26}, clock), clock)}
	i.conns.setIdleLimit(limit)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: i.conns.changed, ConnContext: connContext, Handler: i.conns.serving(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		i.ran.Add(1)
		time.Sleep(2 * time.Millisecond)
	}))}
	ctx, cancel := context.WithCancel(t.Context())
	ends := make(chan error, 2)
	go func() { ends <- server.Serve(i.conns.listen(listener)) }()
	go func() { ends <- i.conns.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		<-ends
		<-ends
		for _, conn := range i.open {
			_ = conn.Close()
		}
	})
	for range n {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		i.open = append(i.open, conn)
	}
	return i
}

// ask sends a request on each connection at a random moment within the given time. It returns the
// number of requests that were answered.
func (i *idlers) ask(within time.Duration) int64 {
	var group sync.WaitGroup
	var answered atomic.Int64
	for _, conn := range i.open {
		group.Go(func() {
			time.Sleep(rand.N(within + 1))
			if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return
			}
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_ = response.Body.Close()
				answered.Add(1)
			}
		})
	}
	group.Wait()
	return answered.Load()
}

// Guards against a request that runs and is never answered (LOST): it came on a connection that
// was being closed as idle.
func TestRequestsOfClosedConnectionsDoNotRun(t *testing.T) {
	for range 3 {
		i := newIdlers(t, 800, 100)
		answered := i.ask(0)
		// Connections are closed in a round each idlePoll, in which some requests come.
		answered += i.ask(idlePoll.Duration() + 100*time.Millisecond)
		if ran := i.ran.Load(); ran != answered {
			t.Errorf("%d requests ran, %d were answered", ran, answered)
		}
	}
}

// Guards against a request on a connection that was closed by a lowered limit, of which its caller
// does not know yet (LOST).
func TestLoweredIdleLimitSparesConnections(t *testing.T) {
	i := newIdlers(t, 200, sd.Minute)
	first := i.ask(0)
	time.Sleep(100 * time.Millisecond)
	i.conns.setIdleLimit(50)
	if again := i.ask(2 * idlePoll.Duration()); first != 200 || again != 200 {
		t.Errorf("%d of 200 requests were answered before the change, %d after it", first, again)
	}
}
