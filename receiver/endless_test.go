package receiver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
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
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
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
	bodies      map[string]string
}

func (g *raw) body(id string) string {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.bodies[id]
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
		g := &raw{address: sd.Address(listener.Addr().String()), ran: map[string]int{}, bodies: map[string]string{}}
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
			s.Register(sd.TargetRegistration{
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
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		g.lock.Lock()
		g.ran[id]++
		g.bodies[id] = string(body)
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

// small gives the receiver the memory of the smallest host.
func small(p *receiver.Parts) { p.Memory = 112 << 20 }

// crowd is the number of requests at once.
const crowd = 60

// fitsSmallest runs do under the runtime's limit of the smallest host, and fails
// the test if the process, with its callers and targets, takes more than that host has.
// Held is the most that buffers took.
func fitsSmallest(t *testing.T, b *bench, name string, do func()) (held int64) {
	t.Helper()
	const memory, limit = 112 << 20, 78 << 20
	before := debug.SetMemoryLimit(limit)
	defer debug.SetMemoryLimit(before)
	debug.FreeOSMemory()
	taken := uint64(0)
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			taken, held = max(taken, m.Sys-m.HeapReleased), max(held, b.held())
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	do()
	close(stop)
	<-watched
	t.Logf("%s: %d at once, buffers took %d KB, the process %d KB", name, crowd, held>>10, taken>>10)
	if taken > memory {
		t.Errorf("%s: the process took over %d KB", name, memory>>10)
	}
	if most := int64(memory * 15 / 100); held > most {
		t.Errorf("%s: buffers took %d KB, over %d", name, held>>10, most>>10)
	}
	if left := b.left(); left != 0 {
		t.Errorf("%s: buffers keep %d bytes", name, left)
	}
	return held
}

// held returns what the receiver's buffers take.
func (b *bench) held() int64 {
	return int64(b.measures.Set.GetOrCreateGauge("answer_buffer_bytes", nil).Get())
}

// left returns what the buffers take once the last handler has ended, which may be
// a little after its caller has the answer.
func (b *bench) left() int64 {
	for start := time.Now(); b.held() != 0 && time.Since(start) < patience; {
		time.Sleep(time.Millisecond)
	}
	return b.held()
}

// patient gives each request 20 s, so that a busy machine's deadline ends none of them.
func (b *bench) patient() {
	text := strings.ReplaceAll(string(emulator.Plan(2, 0, "k1", "k2")), `"timeoutMs":3000`, `"timeoutMs":20000`)
	plan, err := platform.DecodePlan([]byte(text))
	if err != nil {
		b.t.Fatal(err)
	}
	b.receiver.SetPlan(receiver.NewTable(plan))
}

// skim sends a request and counts the answer's bytes without keeping them.
func (b *bench) skim(path, id string) (status int, length int64, whole bool) {
	req, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, b.server.URL+path, strings.NewReader("x"))
	if err != nil {
		b.t.Error(err)
		return 0, 0, false
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Key": "k1", "Deadline-Ms": "20000", "Program-Id": "p-" + id, "Token-Budget": "100000", "Token-Usage": "1,50000",
	} {
		req.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = answer.Body.Close() }()
	length, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, length, err == nil
}

// Guards against many long answers at once, which took more memory than a small
// host has: endless ones end, sound ones pass, and usual ones are never in the way.
func TestLongAnswersFitTheSmallestHost(t *testing.T) {
	const long = 3 << 20
	b := newBench(t, small)
	b.patient()
	b.raws("desk", 4, func(w *bufio.Writer, id string) bool {
		kind, _, _ := strings.Cut(id, "-")
		switch kind {
		case "usual":
			_, _ = w.WriteString(head(id, "Content-Length: 4096") + "\r\n" + strings.Repeat(piece, 4096/len(piece)))
			return true
		case "length":
			_, _ = w.WriteString(head(id, "Content-Length: "+strconv.Itoa(long)) + "\r\n")
			for range long / len(piece) {
				_, _ = w.WriteString(piece)
			}
			return true
		case "chunked":
			_, _ = w.WriteString(head(id, "Transfer-Encoding: chunked") + "\r\n")
			for range long / 4096 {
				_, _ = w.WriteString(chunk)
			}
			_, _ = w.WriteString("0\r\n\r\n")
			return true
		}
		return endlessBodies["chunks"](w, id)
	})
	for _, kind := range []string{"endless", "length", "chunked"} {
		held := fitsSmallest(t, b, kind, func() {
			var all sync.WaitGroup
			for n := range crowd {
				all.Go(func() {
					status, length, whole := b.skim("/pay/x", kind+"-"+strconv.Itoa(n))
					switch {
					case kind == "endless" && whole && status != http.StatusBadGateway:
						t.Errorf("%s: status %d, %d bytes as whole", kind, status, length)
					case kind != "endless" && (status != http.StatusOK || !whole || length != long):
						t.Errorf("%s: status %d, %d bytes, whole %v", kind, status, length, whole)
					}
				})
				all.Go(func() {
					if status, length, whole := b.skim("/pay/x", "usual-"+kind+strconv.Itoa(n)); status != http.StatusOK || !whole || length != 4096 {
						t.Errorf("usual among %s: status %d, %d bytes, whole %v", kind, status, length, whole)
					}
				})
			}
			all.Wait()
		})
		if held == 0 {
			t.Errorf("%s: buffers took nothing", kind)
		}
	}
}

// A sound answer for which there is no room is passed on as it arrives; one that
// goes on without end is broken off, and does not look whole to any caller.
func TestAnswerBeyondTheBuffersIsPassedOn(t *testing.T) {
	const long = 3 << 20
	option, logs := logged()
	b := newBench(t, option, func(p *receiver.Parts) { p.Memory = 1 << 20 })
	sound := func(w *bufio.Writer, id, status, line, start, end string) bool {
		_, _ = w.WriteString(strings.Replace(head(id, line), "200 OK", status, 1) + "\r\n" + start)
		for range long / 4096 {
			_, _ = w.WriteString(strings.Repeat(piece, 128))
		}
		_, _ = w.WriteString(end)
		return true
	}
	targets := b.raws("desk", 2, func(w *bufio.Writer, id string) bool {
		switch kind, _, _ := strings.Cut(id, "-"); kind {
		case "length":
			return sound(w, id, "200 OK", "Content-Length: "+strconv.Itoa(long), "", "")
		case "chunked":
			return sound(w, id, "200 OK", "Transfer-Encoding: chunked", "300000\r\n", "\r\n0\r\n\r\n")
		case "failed":
			return sound(w, id, "500 Failed", "Content-Length: "+strconv.Itoa(long), "", "")
		case "short":
			return sound(w, id, "200 OK", "Content-Length: "+strconv.Itoa(long+1), "", "") && w.Flush() != nil
		case "endless":
			return endlessBodies["chunks"](w, id)
		}
		return false
	})
	for _, c := range []struct {
		id     string
		status int
		whole  bool
	}{{"length", 200, true}, {"chunked", 200, true}, {"failed", 500, true}, {"short", 200, false}, {"endless", 200, false}} {
		start := time.Now()
		status, length, whole := b.skim("/pay/x", c.id)
		if status != c.status || whole != c.whole || (whole && length != long) {
			t.Errorf("%s: status %d, %d bytes, whole %v", c.id, status, length, whole)
		}
		if took := time.Since(start); took > patience {
			t.Errorf("%s: ended after %v", c.id, took)
		}
		if runs, _ := ranAt(targets, c.id); runs != 1 {
			t.Errorf("%s: ran %d times", c.id, runs)
		}
		if !c.whole && !names(logs, c.id) {
			t.Errorf("%s: no line names the target and the reason", c.id)
		}
	}
	if _, _, _, whole := b.ask("GET", "/look/x", "failed-look", ""); !whole {
		t.Error("an answer of 500 broke off")
	}
	if runs, _ := ranAt(targets, "failed-look"); runs != 2 {
		t.Errorf("a repeatable call that failed ran %d times", runs)
	}
	for id, want := range map[string]string{"length-old": "200", "endless-old": "502", "chunked-old": "502"} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "POST /pay/x HTTP/1.0\r\nHost: h.example\r\nRequest-Id: "+id+"\r\nKey: k1\r\n\r\n")
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || !strings.HasPrefix(answer.Status, want) {
			t.Errorf("%s: %v, %v, want %s", id, answer, err, want)
		}
		_ = conn.Close()
	}
	if held := b.left(); held != 0 {
		t.Errorf("buffers keep %d bytes", held)
	}
}

// event is one event of a stream with its blank line.
func event(n int, data string) string {
	return "id: " + strconv.Itoa(n) + "\ndata: " + data + "\n\n"
}

// chunked returns text as one chunk of a body.
func chunked(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// streamed sends text as one chunk of a body.
func streamed(w *bufio.Writer, text string) bool {
	_, _ = w.WriteString(chunked(text))
	return w.Flush() == nil
}

func streamHead(id string) string {
	return head(id, "Transfer-Encoding: chunked", "Content-Type: text/event-stream") + "\r\n"
}

// endlessStreams are streams without end, and the most bytes of them that a caller
// who allows 56 tokens, four events, may get.
var endlessStreams = map[string]struct {
	serve func(w *bufio.Writer, id string) bool
	most  int
}{
	"line": {func(w *bufio.Writer, _ string) bool {
		streamed(w, event(1, "one")+"data: ")
		return pour(w, chunked(strings.Repeat("x", 4096)))
	}, 100},
	"first line": {func(w *bufio.Writer, _ string) bool {
		return pour(w, chunked(strings.Repeat("x", 4096)))
	}, 100},
	"events at once": {func(w *bufio.Writer, _ string) bool {
		streamed(w, event(1, "one"))
		return pour(w, chunked(strings.Repeat("data: of event\n\n", 256)))
	}, 4 * 32},
	"long event": {func(w *bufio.Writer, _ string) bool {
		streamed(w, event(1, "one"))
		return pour(w, chunked(strings.Repeat("data: and more \n", 256)))
	}, 100},
	"blank lines": {func(w *bufio.Writer, _ string) bool {
		streamed(w, event(1, "one"))
		return pour(w, chunked(strings.Repeat("\n", 4096)))
	}, 512},
	"comments": {func(w *bufio.Writer, _ string) bool {
		streamed(w, event(1, "one"))
		return pour(w, chunked(strings.Repeat(": keep-alive  \n\n", 256)))
	}, 32 << 10},
	"events": {func(w *bufio.Writer, _ string) bool {
		n := 1
		for streamed(w, event(n, "more")) {
			n++
		}
		return false
	}, 4 * len(event(1, "more"))},
	"long events": {func(w *bufio.Writer, _ string) bool {
		text := strings.Repeat("x", 60_000)
		n := 1
		for streamed(w, event(n, text)) {
			n++
		}
		return false
	}, 4 * (60_000 + 32)},
	"events without data": {func(w *bufio.Writer, _ string) bool {
		return pour(w, chunked(strings.Repeat("event: nothing\n\n", 256)))
	}, 4 * 16},
}

// Guards against a stream without end, which was passed on, counted as spent and
// kept in memory until the caller's deadline.
func TestEndlessStreamBreaksOff(t *testing.T) {
	for name, c := range endlessStreams {
		t.Run(name, func(t *testing.T) {
			option, logs := logged()
			b := newBench(t, option)
			targets := b.raws("engines", 2, func(w *bufio.Writer, id string) bool {
				_, _ = w.WriteString(streamHead(id))
				return c.serve(w, id)
			})
			start := time.Now()
			status, text, whole := b.turn("t1", "", "hello", "Deadline-Ms", "3000")
			if took := time.Since(start); took > patience {
				t.Errorf("ended after %v", took)
			}
			if status == http.StatusOK && whole {
				t.Error("an endless stream looks whole")
			}
			if status != http.StatusOK && status != http.StatusBadGateway {
				t.Errorf("status %d of a turn that has run", status)
			}
			if len(text) > c.most {
				t.Errorf("the caller got %d bytes, want up to %d", len(text), c.most)
			}
			if runs, connections := ranAt(targets, "t1"); runs != 1 || connections != 1 {
				t.Errorf("ran %d times over %d connections", runs, connections)
			}
			if !names(logs, "t1") {
				t.Error("no line names the target and the reason")
			}
			if status, _, _ := b.turn("t2", "t1", "x"); status != http.StatusNotFound {
				t.Errorf("going on from a turn without end: status %d", status)
			}
		})
	}
}

// What may be long in a sound stream: an event, all events together, comments
// before and between them.
func TestLongStreamsPass(t *testing.T) {
	long := strings.Repeat("x", 60_000)
	for name, c := range map[string]struct {
		events []string
		usage  string
		output string
	}{
		"event":    {[]string{event(1, long)}, "1,56", long + "\n"},
		"turn":     {[]string{event(1, long), event(2, long), event(3, long), event(4, long), event(5, long), event(6, long), event(7, long), event(8, long)}, "1,112", strings.Repeat(long+"\n", 8)},
		"comments": {[]string{":" + strings.Repeat(" ", 2048) + "\n\n", event(1, "a"), strings.Repeat(": keep-alive\n\n", 100), event(2, "b"), "\n\n", event(3, "c")}, "1,56", "a\nb\nc\n"},
		// The last event holds what is left of the turn's most.
		"last event": {[]string{event(1, "a"), event(2, "b"), event(3, "c")}, "1,30", "a\nb\nc\n"},
		"no usage":   {[]string{event(1, "a"), event(2, "b"), event(3, "c")}, "", "a\nb\nc\n"},
	} {
		b := newBench(t)
		targets := b.raws("engines", 1, func(w *bufio.Writer, id string) bool {
			_, _ = w.WriteString(streamHead(id))
			if id == "t2" {
				streamed(w, event(1, "end"))
			} else {
				for _, text := range c.events {
					streamed(w, text)
				}
			}
			_, _ = w.WriteString("0\r\n\r\n")
			return true
		})
		want := strings.Join(c.events, "")
		status, text, whole := b.turn("t1", "", "in", "Token-Usage", c.usage, "Token-Budget", "1000")
		if status != http.StatusOK || !whole || text != want {
			t.Errorf("%s: status %d, %d bytes, want %d, whole %v", name, status, len(text), len(want), whole)
		}
		if status, _, whole := b.turn("t2", "t1", "x", "Token-Budget", "1000"); status != http.StatusOK || !whole {
			t.Errorf("%s: going on: status %d, whole %v", name, status, whole)
		}
		if got := targets[0].body("t2"); got != "in"+c.output+"x" {
			t.Errorf("%s: the next turn came with %d bytes, want %d", name, len(got), len(c.output)+3)
		}
	}
}

// Guards against a stream longer than a turn that can be kept, whose end waited for
// a write that the store cannot take.
func TestStreamTooLongToKeepBreaksOff(t *testing.T) {
	option, logs := logged()
	b := newBench(t, option)
	text := strings.Repeat("x", 50_000)
	b.raws("engines", 1, func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(streamHead(id))
		for n := range 30 {
			streamed(w, event(n, text))
		}
		_, _ = w.WriteString("0\r\n\r\n")
		return true
	})
	status, got, whole := b.turn("t1", "", strings.Repeat("y", 100_000), "Token-Usage", "1,1000", "Token-Budget", "10000")
	if status != http.StatusOK || whole || len(got) > 512<<10-100_000 {
		t.Errorf("status %d, %d bytes, whole %v", status, len(got), whole)
	}
	if !names(logs, "t1") {
		t.Error("no line names the target and the reason")
	}
	if status, _, _ := b.turn("t2", "t1", "x"); status != http.StatusNotFound {
		t.Errorf("going on from it: status %d", status)
	}
}

// Guards against many long streams at once, which took more memory than a small
// host has.
func TestLongStreamsFitTheSmallestHost(t *testing.T) {
	b := newBench(t, small)
	text := strings.Repeat("x", 50_000)
	b.raws("engines", 4, func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(streamHead(id))
		switch kind, _, _ := strings.Cut(id, "-"); kind {
		case "usual":
			for n := range 8 {
				streamed(w, event(n, strings.Repeat("x", 480)))
			}
			_, _ = w.WriteString("0\r\n\r\n")
			return true
		case "events":
			n := 1
			for streamed(w, event(n, text)) {
				n++
			}
			return false
		case "lines":
			return pour(w, chunked(strings.Repeat("data: of one event that never ends\n", 100)))
		}
		return pour(w, chunked(text))
	})
	for _, kind := range []string{"events", "lines", "line"} {
		fitsSmallest(t, b, kind, func() {
			var all sync.WaitGroup
			for n := range crowd {
				all.Go(func() {
					if status, _, whole := b.skim("/talk/x", kind+"-"+strconv.Itoa(n)); status == http.StatusOK && whole {
						t.Errorf("%s: an endless stream looks whole", kind)
					}
				})
				all.Go(func() {
					if status, _, whole := b.skim("/talk/x", "usual-"+kind+strconv.Itoa(n)); status != http.StatusOK || !whole {
						t.Errorf("usual among %s: status %d, whole %v", kind, status, whole)
					}
				})
			}
			all.Wait()
		})
	}
}
