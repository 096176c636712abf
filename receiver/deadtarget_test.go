package receiver_test

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/receiver"
)

// listenerOutlasts is how long the listener of a target that dies outlasts its connections, as
// seen on processes with some hundred descriptors.
const listenerOutlasts = 5 * time.Millisecond

// replaceByMortals replaces the targets of a pool by count others. The one that gets the first
// request writes what answer returns and dies, as the kernel ends a process that is killed: its
// connections are closed in order and it stops listening. The others answer with next.
func (b *bench) replaceByMortals(pool string, count int, answer func(id string) string, next func(w *bufio.Writer, id string) bool) []*rawTarget {
	var died atomic.Bool
	var targets []*rawTarget
	targets = b.replaceTargets(pool, count, func(w *bufio.Writer, id string) bool {
		if !died.CompareAndSwap(false, true) {
			return next(w, id)
		}
		_, _ = w.WriteString(answer(id))
		_ = w.Flush()
		for _, g := range targets {
			if times, _ := countRuns([]*rawTarget{g}, id); times > 0 {
				time.AfterFunc(listenerOutlasts, g.die)
			}
		}
		return false
	})
	return targets
}

// unframedStream returns a response without a frame that has the first events of a stream.
func unframedStream(events int) func(id string) string {
	return func(id string) string {
		text := responseHead(id, "Content-Type: text/event-stream") + "\r\n"
		for n := range events {
			text += event(n+1, "part")
		}
		return text
	}
}

func whole(w *bufio.Writer, id string) bool {
	_, _ = fmt.Fprint(w, responseHead(id, "Content-Length: 5"), "\r\n", "whole")
	return true
}

// The end of a response is logged with what tells a target that died from one that has ended its
// answer.
func TestEndsOfResponsesAreLogged(t *testing.T) {
	option, logs := captureLog()
	b := newBench(t, option)
	check := func(id string, want map[string]any) {
		t.Helper()
		for _, line := range logs.FilterField(zap.String("request", id)).All() {
			fields := line.ContextMap()
			if fields["framing"] == nil {
				continue
			}
			for name, value := range want {
				if fields[name] != value {
					t.Errorf("%s: %s is %v, want %v", id, name, fields[name], value)
				}
			}
			return
		}
		t.Errorf("%s: no line tells how the response ended", id)
	}
	b.turn("framed", "", "x")
	check("framed", map[string]any{"framing": "frame", "broken": false, "aftermath": nil})
	b.replaceTargets("engines", 2, func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(unframedStream(2)(id))
		_ = w.Flush()
		return false
	})
	b.turn("closed", "", "x")
	check("closed", map[string]any{"framing": "connection", "broken": false, "aftermath": "accepts"})
	b.replaceByMortals("desk", 1, func(id string) string { return responseHead(id) + "\r\nhalf" }, whole)
	b.ask("POST", "/pay/x", "dead", "1")
	check("dead", map[string]any{"framing": "connection", "aftermath": "refuses"})
}

// Guards against a stream whose target died between two events and that reaches its caller as
// complete, and is kept: the kernel closed the connection, which was the only mark of its end.
func TestStreamOfADeadTargetIsNotWhole(t *testing.T) {
	for events := 1; events <= 3; events++ {
		t.Run(strconv.Itoa(events)+" events", func(t *testing.T) {
			b := newBench(t)
			b.replaceByMortals("engines", 2, unframedStream(events), whole)
			status, text, complete := b.turn("t1", "", "x")
			if status == 200 && complete {
				t.Errorf("stream of a dead target looks complete: %q", text)
			}
			if strings.Count(text, "part") != events {
				t.Errorf("caller got %q, want %d events", text, events)
			}
			if status, _, _ := b.turn("t2", "t1", "x"); status != 404 {
				t.Errorf("turn after an interrupted turn: status %d, want 404", status)
			}
		})
	}
}

// Guards against a resumable stream that ends where its target died.
func TestStreamOfADeadTargetIsResumed(t *testing.T) {
	b := newBench(t)
	b.replaceByMortals("engines", 2, unframedStream(2), func(w *bufio.Writer, id string) bool {
		_, _ = fmt.Fprint(w, streamHead(id), encodeChunk(event(3, "last")), "0\r\n\r\n")
		return true
	})
	status, _, text, complete := b.ask("POST", "/ask/x", "a1", "x")
	if want := event(1, "part") + event(2, "part") + event(3, "last"); status != 200 || !complete || text != want {
		t.Errorf("%d, complete %t: %q, want %q", status, complete, text, want)
	}
}

// Guards against a plain answer without a frame that is taken for whole though its target died:
// one that fits the buffer, one that does not, and an error.
func TestAnswerOfADeadTargetIsNotWhole(t *testing.T) {
	long := strings.Repeat(bodyLine, 1<<16)
	for name, answer := range map[string]func(id string) string{
		"short": func(id string) string { return responseHead(id) + "\r\nhalf" },
		"long":  func(id string) string { return responseHead(id) + "\r\n" + long },
		"error": func(id string) string {
			return strings.Replace(responseHead(id), "200 OK", "404 Not Found", 1) + "\r\nhalf"
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, func(p *receiver.Config) { p.Memory = 1 << 20 })
			targets := b.replaceByMortals("desk", 2, answer, whole)
			if status, _, text, complete := b.ask("POST", "/pay/x", "once", "1"); complete && status != 502 {
				t.Errorf("request that may run once: %d with %d bytes looks complete", status, len(text))
			}
			if times, _ := countRuns(targets, "once"); times != 1 {
				t.Errorf("ran %d times, want 1", times)
			}
			if name == "long" {
				// It has been passed on in part, so it is not tried again.
				return
			}
			b = newBench(t)
			b.replaceByMortals("desk", 2, answer, whole)
			if status, _, text, complete := b.ask("GET", "/look/x", "again", ""); status != 200 || !complete || text != "whole" {
				t.Errorf("request that may be repeated: %d, complete %t: %q", status, complete, text)
			}
		})
	}
}

// Guards against a stream whose target died after its next start had taken over the address, or
// a target of another pool: that process accepts the connection that is to confirm the end.
func TestNextProcessAtTheAddressConfirmsNothing(t *testing.T) {
	for name, next := range map[string]sd.TargetRegistration{
		"next start":     {ID: "raw-0", Pool: "engines", Zone: "z", Slots: 8, Incarnation: 7},
		"another target": {ID: "other", Pool: "desk", Zone: "z", Slots: 8},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			var targets []*rawTarget
			targets = b.replaceTargets("engines", 1, func(w *bufio.Writer, id string) bool {
				_, _ = w.WriteString(unframedStream(2)(id))
				_ = w.Flush()
				next.Address = targets[0].address
				b.queue.Update(func(s *balancer.State, _ sd.Instant) {
					if next.ID != "raw-0" {
						s.Remove("raw-0")
					}
					s.Register(next)
				})
				return false
			})
			if status, text, complete := b.turn("t1", "", "x"); status == 200 && complete {
				t.Errorf("stream of a replaced target looks complete: %q", text)
			}
		})
	}
}
