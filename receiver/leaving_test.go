package receiver_test

import (
	"bufio"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

const leavingHeader = "Server-Leaving: 1"

// Guards against a target that says in its answers that it leaves being used on: whatever
// kind of answer says so, and whatever its registration says meanwhile.
func TestTargetThatSaysThatItLeavesIsUsedNoMore(t *testing.T) {
	for _, test := range []struct {
		name, path, pool string
		// answer writes the answer that bears the header, and reports whether the connection goes on.
		answer func(w *bufio.Writer, id string) bool
	}{
		{"whole", "/pay/x", "desk", func(w *bufio.Writer, id string) bool {
			fmt.Fprint(w, responseHead(id, leavingHeader, "Content-Length: 2"), "\r\nok")
			return true
		}},
		{"refused", "/pay/x", "desk", func(w *bufio.Writer, id string) bool {
			fmt.Fprint(w, "HTTP/1.1 503 Busy\r\nRequest-Id: ", id, "\r\nNot-Executed: 1\r\n", leavingHeader, "\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
		{"another instance", "/look/x", "desk", func(w *bufio.Writer, id string) bool {
			fmt.Fprint(w, "HTTP/1.1 421 Not Here\r\nRequest-Id: ", id, "\r\n", leavingHeader, "\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
		{"failure", "/look/x", "desk", func(w *bufio.Writer, id string) bool {
			fmt.Fprint(w, "HTTP/1.1 500 Failed\r\nRequest-Id: ", id, "\r\nServer-Stamp: s\r\n", leavingHeader, "\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
		{"answer to another request", "/pay/x", "desk", func(w *bufio.Writer, id string) bool {
			fmt.Fprint(w, responseHead("other", leavingHeader, "Content-Length: 2"), "\r\nno")
			fmt.Fprint(w, responseHead(id, "Content-Length: 2"), "\r\nok")
			return true
		}},
		{"broken off", "/look/x", "desk", func(w *bufio.Writer, id string) bool {
			fmt.Fprint(w, responseHead(id, leavingHeader, "Content-Length: 20"), "\r\nhalf")
			return w.Flush() != nil
		}},
		{"stream", "/ask/x", "engines", func(w *bufio.Writer, id string) bool {
			fmt.Fprint(w, responseHead(id, leavingHeader, "Transfer-Encoding: chunked"), "\r\nb\r\ndata: one\n\n\r\n0\r\n\r\n")
			return true
		}},
		{"kept turn", "/talk/x", "engines", func(w *bufio.Writer, id string) bool {
			fmt.Fprint(w, responseHead(id, leavingHeader, "Transfer-Encoding: chunked"), "\r\nb\r\ndata: one\n\n\r\n0\r\n\r\n")
			return true
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			var leaves atomic.Bool
			targets := b.replaceTargets(test.pool, 1, func(w *bufio.Writer, id string) bool {
				if leaves.Load() {
					return test.answer(w, id)
				}
				fmt.Fprint(w, responseHead(id, "Content-Length: 12"), "\r\ndata: done\n\n")
				return true
			})
			registration := sd.TargetRegistration{ID: "raw-0", Pool: sd.GroupName(test.pool), Address: targets[0].address, Zone: "z", Slots: 60}
			if status, _, _, _ := b.ask("POST", test.path, "before", "x", "Program-Id", "p"); status != 200 {
				t.Fatalf("before it leaves: status %d", status)
			}
			leaves.Store(true)
			b.ask("POST", test.path, "told", "x", "Program-Id", "p")
			if times, _ := countRuns(targets, "told"); times != 1 {
				t.Errorf("sent %d times to the target that leaves", times)
			}
			leaves.Store(false)
			for n := range 4 {
				if n == 2 {
					b.queue.Update(func(s *balancer.State, _ sd.Instant) {
						s.Remove(registration.ID)
						s.Register(registration)
					})
				}
				id, began := fmt.Sprint("after", n), time.Now()
				status, h, _, _ := b.ask("POST", test.path, id, "x", "Program-Id", "p")
				if times, _ := countRuns(targets, id); times != 0 || status != 503 || h.Get("Retry-After") == "" {
					t.Errorf("request %d: sent %d times, status %d, Retry-After %q", n, times, status, h.Get("Retry-After"))
				}
				if took := time.Since(began); took > time.Second {
					t.Errorf("request %d refused after %v", n, took)
				}
			}
			registration.Incarnation = 7
			b.queue.Update(func(s *balancer.State, _ sd.Instant) { s.Register(registration) })
			if status, _, _, _ := b.ask("POST", test.path, "next start", "x", "Program-Id", "p"); status != 200 {
				t.Errorf("after its next start: status %d", status)
			}
		})
	}
}

// Guards against other values of the header being taken for an announcement.
func TestOtherValuesDoNotSayThatATargetLeaves(t *testing.T) {
	b := newBench(t)
	b.replaceTargets("desk", 1, func(w *bufio.Writer, id string) bool {
		fmt.Fprint(w, responseHead(id, strings.Replace(leavingHeader, "1", "0", 1), "Content-Length: 2"), "\r\nok")
		return true
	})
	for n := range 3 {
		if status, _, _, _ := b.ask("POST", "/pay/x", fmt.Sprint("r", n), "x"); status != 200 {
			t.Errorf("request %d: status %d", n, status)
		}
	}
}
