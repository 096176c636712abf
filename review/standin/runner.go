package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of a runner, as on the users' sheets.
const (
	runnerSlots = 6
	runnerQueue = 24
)

// arrival is a request that began to run at a runner.
type arrival struct {
	request, runner string
	at              time.Duration
}

// runner is a plain service: it runs requests in slots, queues a few more, and registers
// itself in the store.
type runner struct {
	fleet         *fleet
	zone, address string
	number        int
	work          time.Duration
	// quiet leaves what runs here out of the record.
	quiet bool
	// before is called with each request that may run, before it does; the runner does
	// nothing more with it if that returns false. It may be nil.
	before func(g *runner, w http.ResponseWriter, r *http.Request) bool

	lock     sync.Mutex
	id       string
	boot     int
	born     int64
	seq      int
	leaving  bool
	silent   bool
	running  int
	slots    chan struct{}
	server   *http.Server
	open     map[net.Conn]bool
	arrivals []arrival
	stop     context.CancelFunc
}

// addRunner starts a runner of the service desk.
func (f *fleet) addRunner(zone string, work time.Duration) (*runner, error) {
	g := &runner{
		fleet: f, zone: zone, number: len(f.runners) + 1, work: work,
		address: fmt.Sprintf("%s.8:%d", f.net, firstRunnerPort+len(f.runners)),
	}
	f.runners = append(f.runners, g)
	return g, g.start()
}

// start begins a boot with a new id.
func (g *runner) start() error {
	listener, err := listen(g.address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	g.lock.Lock()
	g.boot++
	g.id = fmt.Sprintf("i-%d-%d", g.number, g.boot)
	g.born, g.seq, g.leaving, g.silent, g.running = time.Now().UnixMilli(), 0, false, false, 0
	g.slots, g.open, g.stop = make(chan struct{}, runnerSlots), map[net.Conn]bool{}, stop
	g.server = &http.Server{Handler: http.HandlerFunc(g.handle), ReadHeaderTimeout: time.Minute, ConnState: g.track}
	server := g.server
	g.lock.Unlock()
	go func() { _ = server.Serve(listener) }()
	g.register()
	go g.beat(ctx)
	return nil
}

// beat registers the runner again and again.
func (g *runner) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.register()
		}
	}
}

// register writes the runner's entry, unless it says nothing any more.
func (g *runner) register() {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.silent {
		return
	}
	g.seq++
	state := "ready"
	if g.leaving {
		state = "draining"
	}
	g.fleet.store.put("servers", g.id, fmt.Appendf(nil,
		`{"service":"desk","address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldLeftMs":0,"seq":%d,"born":%d}`,
		g.address, g.zone, runnerSlots, state, g.seq, g.born))
}

func (g *runner) track(conn net.Conn, state http.ConnState) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(g.open, conn)
	} else {
		g.open[conn] = true
	}
}

// crash ends the boot as a crash does: all connections are reset, new ones are refused, and
// nothing is said to the store.
func (g *runner) crash() {
	g.lock.Lock()
	defer g.lock.Unlock()
	for conn := range g.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	g.silent = true
	g.stop()
	_ = g.server.Close()
}

// exit ends the boot of a runner that leaves.
func (g *runner) exit() {
	g.fleet.write("runner %s exits", g.id)
	g.crash()
}

func (g *runner) close() {
	g.stop()
	_ = g.server.Close()
}

// ran returns what began to run here.
func (g *runner) ran() []arrival {
	g.lock.Lock()
	defer g.lock.Unlock()
	return append([]arrival(nil), g.arrivals...)
}

func (g *runner) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	g.lock.Lock()
	h := w.Header()
	h.Set("Request-Id", id)
	if g.leaving {
		h.Set("Server-Leaving", "1")
	}
	switch {
	case r.Header.Get("Expect-Instance") != g.id:
		g.lock.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case g.running >= runnerSlots+runnerQueue:
		g.lock.Unlock()
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.running++
	slots, name := g.slots, g.id
	g.lock.Unlock()
	slots <- struct{}{}
	defer func() {
		<-slots
		g.lock.Lock()
		g.running--
		g.lock.Unlock()
	}()
	if g.before != nil && !g.before(g, w, r) {
		return
	}
	g.begin(id, name)
	time.Sleep(g.work)
	g.lock.Lock()
	h.Set("Server-Load", strconv.Itoa(min(g.running, runnerSlots))+","+strconv.Itoa(max(g.running-runnerSlots, 0))+","+strconv.Itoa(runnerSlots))
	if g.leaving {
		h.Set("Server-Leaving", "1")
	}
	g.lock.Unlock()
	h.Set("Server-Stamp", "stamp."+name+"."+id)
	if strings.HasPrefix(r.URL.Path, "/talk/") {
		h.Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: 1\ndata: answer to %s\n\nid: 2\ndata: of %d bytes\n\n", id, len(body))
		return
	}
	_, _ = fmt.Fprintf(w, "answer to %s of %d bytes\n", id, len(body))
}

// begin records that a request begins to run.
func (g *runner) begin(request, name string) {
	a := arrival{request: request, runner: name, at: g.fleet.now()}
	g.lock.Lock()
	g.arrivals = append(g.arrivals, a)
	g.lock.Unlock()
	if !g.quiet {
		g.fleet.write("runner %s runs %s", name, request)
	}
}
