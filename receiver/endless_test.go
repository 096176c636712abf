package receiver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/receiver"
)

// patience is far above the time in which a bound is reached on loopback, and under
// the 3 s that the plan's rules allow.
const patience = 2500 * time.Millisecond

// raw is a target whose answers a test writes byte by byte.
type raw struct {
	address sd.Address
	lock    sync.Mutex
	// ran counts the requests by id, connections those that were opened.
	ran         map[string]int
	connections int
}

// raws replaces the bench's targets of a pool by count that answer with serve,
// which returns false to close.
func (b *bench) raws(pool string, count int, serve func(w *bufio.Writer, id string) bool) []*raw {
	b.t.Helper()
	remove, ids := b.desks, []sd.TargetID{"d1", "d2"}
	if pool == "engines" {
		remove, ids = b.engines, []sd.TargetID{"e1", "e2"}
	}
	b.gate.Update(func(s *balancer.State, _ sd.Instant) {
		for i := range remove {
			s.Remove(ids[i])
		}
	})
	var list []*raw
	for n := range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			b.t.Fatal(err)
		}
		g := &raw{address: sd.Address(listener.Addr().String()), ran: map[string]int{}}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go g.serve(conn, serve)
			}
		}()
		b.t.Cleanup(func() {
			_ = listener.Close()
			<-ended
		})
		b.gate.Update(func(s *balancer.State, _ sd.Instant) {
			s.Register(sd.Registration{
				ID: sd.TargetID("raw-" + strconv.Itoa(n)), Pool: sd.GroupName(pool), Address: g.address, Zone: "z", Slots: 60,
			})
		})
		list = append(list, g)
	}
	return list
}

func (g *raw) serve(conn net.Conn, serve func(w *bufio.Writer, id string) bool) {
	defer func() { _ = conn.Close() }()
	g.lock.Lock()
	g.connections++
	g.lock.Unlock()
	r, w := bufio.NewReader(conn), bufio.NewWriter(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		g.lock.Lock()
		g.ran[id]++
		g.lock.Unlock()
		if !serve(w, id) || w.Flush() != nil {
			return
		}
	}
}

// ranAt returns how often a request ran at the targets, and their connections.
func ranAt(list []*raw, id string) (times, connections int) {
	for _, g := range list {
		g.lock.Lock()
		times += g.ran[id]
		connections += g.connections
		g.lock.Unlock()
	}
	return times, connections
}

// head is the head of a target's own answer, without its blank line.
func head(id string, lines ...string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\n" + strings.Join(append(lines, ""), "\r\n")
}

// pour writes a piece until the other side closes.
func pour(w *bufio.Writer, piece string) bool {
	for {
		if _, err := w.WriteString(piece); err != nil {
			return false
		}
	}
}

// logged collects the receiver's warnings.
func logged() (func(*receiver.Parts), *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.WarnLevel)
	return func(p *receiver.Parts) { p.Log = zap.New(core) }, logs
}

// names reports whether a line of event 642 names a target and a reason.
func names(logs *observer.ObservedLogs, id string) bool {
	for _, line := range logs.FilterField(zap.Int("event", 642)).FilterField(zap.String("request", id)).All() {
		fields := line.ContextMap()
		target, _ := fields["target"].(string)
		reason, _ := fields["error"].(string)
		if strings.HasPrefix(target, "raw-") && reason != "" {
			return true
		}
	}
	return false
}

const piece = "32 bytes that never are the end\n"

var chunk = "1000\r\n" + strings.Repeat(piece, 128) + "\r\n"

// endlessBodies are plain answers that are longer than any that is passed on.
var endlessBodies = map[string]func(w *bufio.Writer, id string) bool{
	"chunks": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(head(id, "Transfer-Encoding: chunked") + "\r\n")
		return pour(w, chunk)
	},
	"until it closes": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(head(id) + "\r\n")
		return pour(w, piece)
	},
	"a terabyte": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(head(id, "Content-Length: 1099511627776") + "\r\n")
		return pour(w, piece)
	},
	"too long by one byte": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(head(id, "Transfer-Encoding: chunked") + "\r\n")
		for range 4096 {
			_, _ = w.WriteString(chunk)
		}
		_, _ = w.WriteString("1\r\nx\r\n0\r\n\r\n")
		return true
	},
	"error": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(strings.Replace(head(id, "Transfer-Encoding: chunked"), "200 OK", "500 Failed", 1) + "\r\n")
		return pour(w, chunk)
	},
	"head": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(head(id))
		return pour(w, "X-More: and more\r\n")
	},
}

// Guards against an answer longer than what is read of it: its first 16 MB were
// passed on as the whole, and its connection was used again.
func TestEndlessAnswerIsNotWhole(t *testing.T) {
	for name, serve := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			option, logs := logged()
			b := newBench(t, option)
			targets := b.raws("desk", 2, serve)
			for n, c := range []struct {
				path string
				runs int
			}{{"/pay/x", 1}, {"/look/x", 2}, {"/pay/y", 1}} {
				id := "r" + strconv.Itoa(n)
				method := "POST"
				if c.runs > 1 {
					method = "GET"
				}
				start := time.Now()
				status, h, _, whole := b.ask(method, c.path, id, "", "Deadline-Ms", "3000")
				if status != http.StatusBadGateway || !whole || h.Get("Server-Stamp") != "" {
					t.Errorf("%s: status %d, whole %v", c.path, status, whole)
				}
				if took := time.Since(start); took > patience {
					t.Errorf("%s: answered after %v", c.path, took)
				}
				if runs, _ := ranAt(targets, id); runs != c.runs {
					t.Errorf("%s: ran %d times, want %d", c.path, runs, c.runs)
				}
				if !names(logs, id) {
					t.Errorf("%s: no line names the target and the reason", c.path)
				}
			}
			if _, connections := ranAt(targets, ""); connections != 4 {
				t.Errorf("%d connections for 4 sends", connections)
			}
		})
	}
}

// The longest plain answers that are passed on, however they tell their end.
func TestLongAnswersPass(t *testing.T) {
	const length = 16 << 20
	text := strings.Repeat(piece, length/len(piece))
	for name, serve := range map[string]func(w *bufio.Writer, id string) bool{
		"length": func(w *bufio.Writer, id string) bool {
			_, _ = w.WriteString(head(id, "Content-Length: "+strconv.Itoa(length)) + "\r\n" + text)
			return true
		},
		"chunks": func(w *bufio.Writer, id string) bool {
			_, _ = w.WriteString(head(id, "Transfer-Encoding: chunked") + "\r\n")
			for range length / 4096 {
				_, _ = w.WriteString(chunk)
			}
			_, _ = w.WriteString("0\r\n\r\n")
			return true
		},
		"close": func(w *bufio.Writer, id string) bool {
			_, _ = w.WriteString(head(id) + "\r\n" + text)
			return w.Flush() != nil
		},
	} {
		b := newBench(t)
		targets := b.raws("desk", 1, serve)
		for _, id := range []string{"a", "b"} {
			if status, _, got, whole := b.ask("POST", "/pay/x", id, "", "Deadline-Ms", "3000"); status != 200 || !whole || got != text {
				t.Errorf("%s: status %d, %d bytes, whole %v", name, status, len(got), whole)
			}
		}
		if _, connections := ranAt(targets, ""); (connections == 1) != (name != "close") {
			t.Errorf("%s: %d connections", name, connections)
		}
	}
}

// Guards against a refusal with a long body: 16 MB of it were read, its connection
// was used again with the rest of it, and a body that did not come held the request
// until its deadline.
func TestEndlessRefusalIsARefusal(t *testing.T) {
	const refused = "HTTP/1.1 503 Full\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n"
	for name, c := range map[string]struct {
		serve       func(w *bufio.Writer) bool
		connections int
	}{
		"chunks": {func(w *bufio.Writer) bool {
			_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
			return pour(w, chunk)
		}, 2},
		"until it closes": {func(w *bufio.Writer) bool {
			_, _ = w.WriteString("\r\n")
			return pour(w, piece)
		}, 2},
		"a terabyte": {func(w *bufio.Writer) bool {
			_, _ = w.WriteString("Content-Length: 1099511627776\r\n\r\n")
			return pour(w, piece)
		}, 2},
		"rest later": {func(w *bufio.Writer) bool {
			forged := head("next", "Content-Length: 6") + "\r\nforged"
			_, _ = w.WriteString("Content-Length: " + strconv.Itoa(16<<20+len(forged)) + "\r\n\r\n")
			for range 16 << 20 / len(piece) {
				_, _ = w.WriteString(piece)
			}
			_ = w.Flush()
			time.Sleep(300 * time.Millisecond)
			_, _ = w.WriteString(forged)
			return true
		}, 2},
		"no body": {func(w *bufio.Writer) bool {
			_, _ = w.WriteString("Content-Length: 5\r\n\r\n")
			_ = w.Flush()
			time.Sleep(patience)
			return false
		}, 2},
		"short body": {func(w *bufio.Writer) bool {
			_, _ = w.WriteString("Content-Length: 5\r\n\r\nfull\n")
			return true
		}, 1},
		"short body later": {func(w *bufio.Writer) bool {
			_, _ = w.WriteString("Content-Length: 5\r\n\r\n")
			_ = w.Flush()
			time.Sleep(5 * time.Millisecond)
			_, _ = w.WriteString("full\n")
			return true
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			targets := b.raws("desk", 1, func(w *bufio.Writer, id string) bool {
				if id == "refused" {
					_, _ = w.WriteString(strings.ReplaceAll(refused, "ID", id))
					return c.serve(w)
				}
				_, _ = w.WriteString(head(id, "Content-Length: 2") + "\r\nok")
				return true
			})
			start := time.Now()
			status, h, _, whole := b.ask("POST", "/pay/x", "refused", "")
			if status != http.StatusServiceUnavailable || !whole || h.Get("Retry-After") == "" {
				t.Errorf("status %d, whole %v", status, whole)
			}
			if took := time.Since(start); took > patience/2 {
				t.Errorf("answered after %v", took)
			}
			time.Sleep(100 * time.Millisecond)
			if status, _, text, _ := b.ask("POST", "/pay/x", "next", ""); status != http.StatusOK || text != "ok" {
				t.Errorf("next request: status %d, %q", status, text)
			}
			if _, connections := ranAt(targets, ""); connections != c.connections {
				t.Errorf("%d connections, want %d", connections, c.connections)
			}
		})
	}
}
