package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// framings write the head and body of a stream, each with another mark of its end.
var framings = map[string]func(w *bufio.Writer, id, body string) (keepOpen bool){
	"connection": func(w *bufio.Writer, id, body string) bool {
		_, _ = fmt.Fprint(w, responseHead(id, "Content-Type: text/event-stream"), "\r\n", body)
		_ = w.Flush()
		return false
	},
	"chunks": func(w *bufio.Writer, id, body string) bool {
		_, _ = fmt.Fprint(w, streamHead(id))
		if body != "" {
			_, _ = w.WriteString(encodeChunk(body))
		}
		_, _ = w.WriteString("0\r\n\r\n")
		return true
	},
	"length": func(w *bufio.Writer, id, body string) bool {
		_, _ = fmt.Fprint(w, responseHead(id, "Content-Type: text/event-stream", "Content-Length: "+strconv.Itoa(len(body))), "\r\n", body)
		return true
	},
}

// brokenTails are what may follow the last complete event of a stream that broke off
// inside the next one.
var brokenTails = map[string]string{
	"in the first line":       "id: 3",
	"after the first line":    "id: 3\n",
	"in the data":             "id: 3\ndata: thr",
	"before the blank line":   "id: 3\ndata: three\n",
	"in a CRLF blank line":    "id: 3\r\ndata: three\r\n\r",
	"in a comment":            ": keep-al",
	"in data after a comment": ": keep-alive\ndata: th",
}

// Guards against a stream that breaks off inside an event and reaches its caller as
// complete, and is kept: its target's response ended with its connection.
func TestStreamCutInsideAnEventIsNotWhole(t *testing.T) {
	whole := event(1, "one") + event(2, "two")
	for framing, write := range framings {
		for where, tail := range brokenTails {
			t.Run(framing+"/"+where, func(t *testing.T) {
				option, logs := captureWarnings()
				b := newBench(t, option)
				b.replaceTargets("engines", 2, func(w *bufio.Writer, id string) bool { return write(w, id, whole+tail) })
				status, text, complete := b.turn("t1", "", "x")
				if status == 200 && complete {
					t.Error("interrupted stream looks complete")
				}
				if text != whole {
					t.Errorf("caller got %q, want the complete events %q", text, whole)
				}
				if !hasAttemptLog(logs, "t1") {
					t.Error("no line of event 642 names the target and the error")
				}
				if status, _, _ := b.turn("t2", "t1", "x"); status != 404 {
					t.Errorf("turn after an interrupted turn: status %d, want 404", status)
				}
			})
		}
	}
}

// Guards against an empty response taken for a complete stream: nothing tells a target
// that closed its connection before the first event from one that had nothing to say.
func TestStreamThatEndsBeforeItsFirstEventIsNotWhole(t *testing.T) {
	for name, body := range map[string]string{"nothing": "", "a comment": ": keep-alive\n\n"} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.replaceTargets("engines", 2, func(w *bufio.Writer, id string) bool { return framings["connection"](w, id, body) })
			if status, text, complete := b.turn("t1", "", "x"); status == 200 && complete {
				t.Errorf("empty stream looks complete: %q", text)
			}
			if status, _, _ := b.turn("t2", "t1", "x"); status != 404 {
				t.Errorf("turn after an interrupted turn: status %d, want 404", status)
			}
		})
	}
}

// A stream that breaks off inside an event is resumed after its last complete event.
func TestStreamCutInsideAnEventIsResumed(t *testing.T) {
	for framing, write := range framings {
		t.Run(framing, func(t *testing.T) {
			b := newBench(t)
			var runs atomic.Int32
			targets := b.replaceTargets("engines", 2, func(w *bufio.Writer, id string) bool {
				if runs.Add(1) == 1 {
					return write(w, id, event(1, "one")+"id: 2\ndata: tw")
				}
				return write(w, id, event(2, "two"))
			})
			status, _, text, complete := b.ask("POST", "/ask/x", "a1", "x")
			if status != 200 || !complete || text != event(1, "one")+event(2, "two") {
				t.Errorf("%d, complete %t: %q", status, complete, text)
			}
			for n, target := range targets {
				if times, _ := countRuns([]*rawTarget{target}, "a1"); times != 1 {
					t.Errorf("ran %d times on target %d, want 1", times, n)
				}
			}
		})
	}
}

// Streams that end between events are complete, whatever marks their end, and are kept.
func TestStreamsEndWithTheirFrameOrConnection(t *testing.T) {
	whole := event(1, "one") + event(2, "two")
	for framing, write := range framings {
		for _, tail := range []string{"", "\n", ": bye\n", ": bye\r\n\r\n"} {
			t.Run(framing+"/"+strconv.Quote(tail), func(t *testing.T) {
				b := newBench(t)
				targets := b.replaceTargets("engines", 2, func(w *bufio.Writer, id string) bool { return write(w, id, whole+tail) })
				status, text, complete := b.turn("t1", "", "x")
				if status != 200 || !complete || !strings.HasPrefix(text, whole) {
					t.Fatalf("%d, complete %t: %q", status, complete, text)
				}
				if status, _, _ := b.turn("t2", "t1", "y"); status != 200 {
					t.Errorf("next turn: status %d", status)
				}
				if got := targets[0].body("t2") + targets[1].body("t2"); got != "xone\ntwo\ny" {
					t.Errorf("next turn's target got %q", got)
				}
			})
		}
	}
}

// Guards against the failure of a second target that ends a resumed stream as if it were
// complete.
func TestFailureDoesNotEndAResumedStream(t *testing.T) {
	for _, status := range []string{"500 Internal Server Error", "504 Gateway Timeout", "404 Not Found", "302 Found"} {
		for _, body := range []string{"", event(2, "two")} {
			t.Run(fmt.Sprintf("%.3s/%d bytes", status, len(body)), func(t *testing.T) {
				b := newBench(t)
				var runs atomic.Int32
				b.replaceTargets("engines", 2, func(w *bufio.Writer, id string) bool {
					if runs.Add(1) == 1 {
						_, _ = w.WriteString(streamHead(id))
						writeChunk(w, event(1, "one"))
						return false
					}
					head := strings.Replace(responseHead(id, "Content-Length: "+strconv.Itoa(len(body))), "200 OK", status, 1)
					_, _ = fmt.Fprint(w, head, "\r\n", body)
					return true
				})
				_, _, text, complete := b.ask("POST", "/ask/x", "a1", "x")
				if complete || text != event(1, "one") {
					t.Errorf("caller got %q, complete %t", text, complete)
				}
			})
		}
	}
}

// Guards against a broken stream that an HTTP/1.0 caller takes for complete: the end of
// the connection is the only end that it knows.
func TestBrokenStreamIsResetForCallersWithoutChunks(t *testing.T) {
	b := newBench(t)
	b.replaceTargets("engines", 2, func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(streamHead(id))
		writeChunk(w, event(1, "one"))
		return false
	})
	for n := range 20 {
		conn := b.dial(fmt.Sprintf("POST /talk/x HTTP/1.0\r\nHost: h.example\r\nRequest-Id: t%d\r\nKey: k1\r\nProgram-Id: p%d\r\nToken-Usage: 1,56\r\nContent-Length: 1\r\n\r\nx", n, n))
		if text, err := io.ReadAll(conn); err == nil {
			t.Fatalf("try %d: interrupted stream looks complete: %q", n, text)
		}
	}
}

// Guards against a whole stream that an HTTP/1.0 caller takes for broken, as its connection is reset.
func TestWholeStreamEndsInOrderForCallersWithoutChunks(t *testing.T) {
	b := newBench(t)
	for n := range 20 {
		conn := b.dial(fmt.Sprintf("POST /talk/x HTTP/1.0\r\nHost: h.example\r\nRequest-Id: t%d\r\nKey: k1\r\nProgram-Id: p%d\r\nToken-Usage: 1,56\r\nContent-Length: 1\r\n\r\nx", n, n))
		if text, err := io.ReadAll(conn); err != nil || strings.Count(string(text), "data:") != 4 {
			t.Fatalf("try %d: %q, %v", n, text, err)
		}
	}
}
