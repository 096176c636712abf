package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// spoiledShare is the share of the answers that have bytes behind them; the site's days
	// have 0.03.
	spoiledShare = 0.03
	// strayBytes follow a complete answer, and arrive late. They bear no id.
	strayBytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// playExtra has a third of the runners send bytes behind some of their complete answers, which
// arrive at the point where the next answer is expected.
func playExtra(f *fleet, trouble bool) (bool, error) {
	f.plan(1000, 1000, usualIdle)
	var spoiled atomic.Int64
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		for range 2 {
			g, err := f.addRunner(zone, 50*time.Millisecond)
			if err != nil {
				return false, err
			}
			if i == 0 && trouble {
				g.before = func(g *runner, w http.ResponseWriter, r *http.Request) bool {
					if rand.Float64() >= spoiledShare {
						return true
					}
					spoiled.Add(1)
					g.answerAfterStray(w, r)
					return false
				}
			}
		}
		if _, err := f.addHost("frontend-"+zone, zone); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	c := f.newCallers()
	for _, h := range f.hosts {
		c.press(h, "/pay/1", `{"fee":12}`, 50*time.Millisecond, 3*time.Second, f.now()+20*time.Second)
	}
	attempts := c.wait()
	f.write("%d requests came behind late bytes", spoiled.Load())
	return f.ranTwice(attempts), nil
}

// answerAfterStray runs a request on a connection on which bytes behind the answer before it
// arrive only now.
func (g *runner) answerAfterStray(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	g.lock.Lock()
	name := g.id
	g.lock.Unlock()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	g.fleet.write("runner %s: late bytes behind an earlier answer, before that of %s", name, id)
	_, _ = conn.Write([]byte(strayBytes))
	g.begin(id, name)
	time.Sleep(g.work)
	body := fmt.Sprintf("answer to %s\n", id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, name, id, len(body), body)
}

// ranTwice reports whether a request that may run once ran more often.
func (f *fleet) ranTwice(attempts []attempt) bool {
	ran := map[string][]string{}
	for _, g := range f.runners {
		for _, a := range g.ran() {
			ran[a.request] = append(ran[a.request], a.runner)
		}
	}
	broken := 0
	for _, a := range attempts {
		if len(ran[a.id]) > 1 {
			broken++
			f.write("TWICE: %s ran at %v; the client got %d", a.id, ran[a.id], a.status)
		}
	}
	f.write("TWICE: %d requests ran more than once", broken)
	f.write("answers by status: %v", statuses(attempts))
	return broken > 0
}
