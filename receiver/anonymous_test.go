package receiver_test

import (
	"bufio"
	"fmt"
	"sync"
	"testing"
)

// Guards against a request that must not be repeated running twice because bytes behind an
// earlier answer, which bear no id, are taken for its target's refusal. Refusals that can be told
// from such bytes are still believed: the request goes on to another target.
func TestRefusalsThatMayBelongToNoRequestAreNotBelieved(t *testing.T) {
	const anonymous, named = "HTTP/1.1 503 Busy\r\n", "HTTP/1.1 503 Busy\r\nRequest-Id: pay\r\n"
	for _, test := range []struct {
		name string
		// kept tells that the connections have been used before.
		kept    bool
		refusal string
		// answered tells that the target's answer follows the refusal; the connection is closed if not.
		answered     bool
		status, runs int
	}{
		{"late bytes, then the answer", true, anonymous + "Not-Executed: 1\r\n", true, 200, 1},
		{"late bytes, then the end", true, anonymous + "Not-Executed: 1\r\n", false, 502, 1},
		{"late bytes of another instance", true, "HTTP/1.1 421 Not Here\r\n", true, 200, 1},
		{"refusal on a kept connection", true, named + "Not-Executed: 1\r\n", false, 200, 2},
		{"another instance on a kept connection", true, "HTTP/1.1 421 Not Here\r\nRequest-Id: pay\r\n", false, 200, 2},
		{"refusal on a new connection", false, named + "Not-Executed: 1\r\n", false, 200, 2},
		{"bytes without an id on a new connection, then the answer", false, anonymous + "Not-Executed: 1\r\n", true, 200, 1},
		{"bytes without an id on a new connection, then the end", false, anonymous + "Not-Executed: 1\r\n", false, 502, 1},
		{"bytes of another instance without an id on a new connection", false, "HTTP/1.1 421 Not Here\r\n", true, 200, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			var lock sync.Mutex
			refused := false
			targets := b.replaceTargets("desk", 2, func(w *bufio.Writer, id string) bool {
				lock.Lock()
				defer lock.Unlock()
				if id == "pay" && !refused {
					refused = true
					_, _ = fmt.Fprint(w, test.refusal, "Content-Length: 0\r\n\r\n")
					if !test.answered {
						return w.Flush() != nil
					}
				}
				_, _ = fmt.Fprint(w, responseHead(id, "Content-Length: 2"), "\r\nok")
				return true
			})
			for n := 0; test.kept && (targets[0].used() == 0 || targets[1].used() == 0); n++ {
				if status, _, _, _ := b.ask("POST", "/pay/x", fmt.Sprint("before", n), "x"); status != 200 || n > 50 {
					t.Fatalf("request %d before: status %d", n, status)
				}
			}
			status, _, _, _ := b.ask("POST", "/pay/x", "pay", "x")
			if runs, _ := countRuns(targets, "pay"); status != test.status || runs != test.runs {
				t.Errorf("status %d, sent %d times; want %d and %d", status, runs, test.status, test.runs)
			}
		})
	}
}

// Guards against late bytes being taken for the answer to a request that has no id itself, so that
// nothing tells them from its answer: it goes on a connection of its own.
func TestRequestsWithoutAnIDShareNoConnection(t *testing.T) {
	b := newBench(t)
	targets := b.replaceTargets("desk", 1, func(w *bufio.Writer, _ string) bool {
		_, _ = fmt.Fprint(w, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	for range 3 {
		if status, _, text, _ := b.ask("POST", "/pay/x", "", "x"); status != 200 || text != "ok" {
			t.Fatalf("%d %q", status, text)
		}
	}
	if _, connections := countRuns(targets, ""); connections != 3 {
		t.Errorf("%d connections for three requests", connections)
	}
}

// used returns the number of requests that came.
func (g *rawTarget) used() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return len(g.ran)
}
