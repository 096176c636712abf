package receiver_test

import (
	"bufio"
	"fmt"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
)

// replaceByMortals replaces the targets of a pool by count others. The one that gets the first
// request writes what answer returns and dies, as the kernel ends a process that is killed: it
// stops listening and its connections are closed in order. The others answer with next.
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
				_ = g.listener.Close()
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
