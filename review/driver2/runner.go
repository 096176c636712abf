package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a runner began to work on.
type run struct {
	request, tenant, digest string
	size                    int
	at                      time.Time
}

// runner is a stand-in of a model runner.
type runner struct {
	id, service, address string
	// events are those of a stream, pause is the time before each.
	events int
	pause  time.Duration
	slots  int

	lock   sync.Mutex
	active int
	runs   []run
}

// start serves.
func (g *runner) start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, g) }()
	return nil
}

// registration returns the runner's entry in the store.
func (g *runner) registration(born int64) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":%d,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`,
		g.service, g.address, g.slots, born)
}

// ServeHTTP runs a request.
func (g *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", g.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != g.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sum := sha256.Sum256(body)
	g.lock.Lock()
	full := g.active >= g.slots
	if !full {
		g.active++
		g.runs = append(g.runs, run{id, r.Header.Get("Tenant"), hex.EncodeToString(sum[:8]), len(body), time.Now()})
	}
	active := g.active
	g.lock.Unlock()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", active, g.slots))
	if full {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		g.lock.Lock()
		g.active--
		g.lock.Unlock()
	}()
	h.Set("Server-Stamp", "s."+g.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range g.events {
		time.Sleep(g.pause)
		if _, err := io.WriteString(w, "id: "+strconv.Itoa(i+1)+"\ndata: "+id+"."+strconv.Itoa(i)+"\n\n"); err != nil || controller.Flush() != nil {
			return
		}
	}
}

// ran returns the runs so far.
func (g *runner) ran() []run {
	g.lock.Lock()
	defer g.lock.Unlock()
	return append([]run(nil), g.runs...)
}
