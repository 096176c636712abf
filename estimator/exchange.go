package estimator

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"sapphiredrum.example/sapphiredrum/messenger"
)

// note is a message of a given length.
type note struct{ Text string }

// pipes is a listener whose connections are pipes in memory.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept returns the next connection.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr returns an address that names nothing.
func (p *pipes) Addr() net.Addr { return &net.IPAddr{} }

// dial opens a connection to the listener.
func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.accepted <- far:
		return near, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// peer is a server of messages in memory and a client of it.
type peer struct {
	client *messenger.Client
	server *http.Server
	done   chan error
}

// newPeer serves a router's messages.
func newPeer(router *echo.Echo) *peer {
	listener := &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}
	p := &peer{
		client: messenger.NewClient(&http.Transport{DialContext: listener.dial, DisableCompression: true}),
		server: &http.Server{Handler: router, ReadHeaderTimeout: targetTTL.Duration()}, done: make(chan error, 1),
	}
	go func() { p.done <- p.server.Serve(listener) }()
	return p
}

// close ends the server and waits for it.
func (p *peer) close() {
	p.client.Close()
	_ = p.server.Close()
	<-p.done
}

// streamMemory returns the memory of open answers, both sides together.
func streamMemory(answers int) float64 {
	before := occupied()
	router, release := echo.New(), make(chan struct{})
	messenger.Stream(router, "answer", func(_ context.Context, n note, send func(note) error) error {
		if err := send(n); err != nil {
			return err
		}
		<-release
		return nil
	})
	p := newPeer(router)
	ctx := context.Background()
	var ended sync.WaitGroup
	first := make(chan struct{}, answers)
	for range answers {
		ended.Go(func() {
			_ = messenger.Follow[note, note](ctx, p.client, "peer:1", "answer", note{}, func(note) error {
				first <- struct{}{}
				return nil
			})
		})
	}
	for range answers {
		<-first
	}
	after := occupied()
	close(release)
	ended.Wait()
	p.close()
	return max(0, after-before)
}

// exchangeCost returns the processor time of one message with its answer, of
// both sides together.
func exchangeCost(bytes int) float64 {
	router := echo.New()
	messenger.Handle(router, "note", func(_ context.Context, n note) (note, error) { return n, nil })
	p := newPeer(router)
	message := note{Text: text(bytes, 1)}
	took := cost(func(int) {
		_, _ = messenger.Ask[note, note](context.Background(), p.client, "peer:1", "note", message)
	})
	p.close()
	return took
}

// messages measures the messenger and counts all roles' exchanges.
func messages(all []Role) Role {
	r := Role{
		Name:       "messenger",
		State:      "kept-alive connections",
		Mechanism:  "HTTP with JSON on kept-alive connections between the hosts that speak with each other",
		Unmeasured: "the kernel's part: connections are pipes in memory; the memory of connections (each host speaks with most hosts of its zone)",
	}
	each := r.measure("exchange, both sides together", "us", "bytes of the message and of its answer", []int{200, 800, 3200}, exchangeCost)
	const typical = 400
	for _, class := range []Class{Standing, PerCall, Payload} {
		if n := Sum(all, Exchanges, class); n > 0 {
			r.add(Processor, class, n*each.At(typical), "%.1f exchanges/s of all roles x %.0f us; their JSON is counted twice", n, each.At(typical))
		}
	}
	return r
}
