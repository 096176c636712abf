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

// maxWait is far above the time in which a limit is reached on loopback, and below the
// 3 s timeout of the rules.
const maxWait = 2500 * time.Millisecond

// rawTarget is a target whose responses a test writes byte by byte.
type rawTarget struct {
	address  sd.Address
	listener net.Listener
	lock     sync.Mutex
	// ran counts the requests by ID, connections those accepted.
	ran         map[string]int
	connections int
	bodies      map[string]string
	// unused are the connections that no request came on.
	unused map[*net.TCPConn]bool
}

func (g *rawTarget) body(id string) string {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.bodies[id]
}

// replaceTargets replaces the bench's targets of a pool by count raw targets that answer
// with serve, which returns false to close the connection.
func (b *bench) replaceTargets(pool string, count int, serve func(w *bufio.Writer, id string) bool) []*rawTarget {
	b.t.Helper()
	remove, ids := b.desks, []sd.TargetID{"d1", "d2"}
	if pool == "engines" {
		remove, ids = b.engines, []sd.TargetID{"e1", "e2"}
	}
	b.queue.Update(func(s *balancer.State, _ sd.Instant) {
		for i := range remove {
			s.Remove(ids[i])
		}
	})
	var list []*rawTarget
	for n := range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			b.t.Fatal(err)
		}
		g := &rawTarget{address: sd.Address(listener.Addr().String()), listener: listener, ran: map[string]int{}, bodies: map[string]string{}, unused: map[*net.TCPConn]bool{}}
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
		b.queue.Update(func(s *balancer.State, _ sd.Instant) {
			s.Register(sd.TargetRegistration{
				ID: sd.TargetID("raw-" + strconv.Itoa(n)), Pool: sd.GroupName(pool), Address: g.address, Zone: "z", Slots: 60,
			})
		})
		list = append(list, g)
	}
	return list
}

// die stops listening and resets the connections that no request came on.
func (g *rawTarget) die() {
	_ = g.listener.Close()
	g.lock.Lock()
	defer g.lock.Unlock()
	for conn := range g.unused {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

func (g *rawTarget) serve(conn net.Conn, serve func(w *bufio.Writer, id string) bool) {
	defer func() { _ = conn.Close() }()
	tcp := conn.(*net.TCPConn)
	g.lock.Lock()
	g.connections++
	g.unused[tcp] = true
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
		delete(g.unused, tcp)
		g.ran[id]++
		g.bodies[id] = string(body)
		g.lock.Unlock()
		if !serve(w, id) || w.Flush() != nil {
			return
		}
	}
}

// countRuns returns how often a request ran on the targets, and the number of their
// connections.
func countRuns(list []*rawTarget, id string) (times, connections int) {
	for _, g := range list {
		g.lock.Lock()
		times += g.ran[id]
		connections += g.connections
		g.lock.Unlock()
	}
	return times, connections
}

// responseHead returns a target's response header without the final blank line.
func responseHead(id string, lines ...string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\n" + strings.Join(append(lines, ""), "\r\n")
}

// writeUntilClosed writes text repeatedly until the peer closes the connection.
func writeUntilClosed(w *bufio.Writer, piece string) bool {
	for {
		if _, err := w.WriteString(piece); err != nil {
			return false
		}
	}
}

// captureLog returns an option that records all that the receiver logs.
func captureLog() (func(*receiver.Config), *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.InfoLevel)
	return func(p *receiver.Config) { p.Log = zap.New(core) }, logs
}

// captureWarnings returns an option that records the receiver's warnings.
func captureWarnings() (func(*receiver.Config), *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.WarnLevel)
	return func(p *receiver.Config) { p.Log = zap.New(core) }, logs
}

// hasAttemptLog reports whether a log line of event 642 gives the target and the error
// of a request.
func hasAttemptLog(logs *observer.ObservedLogs, id string) bool {
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

const bodyLine = "32 bytes that never are the end\n"

var chunk = "1000\r\n" + strings.Repeat(bodyLine, 128) + "\r\n"

// endlessBodies write responses longer than any that is forwarded.
var endlessBodies = map[string]func(w *bufio.Writer, id string) bool{
	"chunks": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(responseHead(id, "Transfer-Encoding: chunked") + "\r\n")
		return writeUntilClosed(w, chunk)
	},
	"until it closes": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(responseHead(id) + "\r\n")
		return writeUntilClosed(w, bodyLine)
	},
	"a terabyte": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(responseHead(id, "Content-Length: 1099511627776") + "\r\n")
		return writeUntilClosed(w, bodyLine)
	},
	"too long by one byte": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(responseHead(id, "Transfer-Encoding: chunked") + "\r\n")
		for range 4096 {
			_, _ = w.WriteString(chunk)
		}
		_, _ = w.WriteString("1\r\nx\r\n0\r\n\r\n")
		return true
	},
	"error": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(strings.Replace(responseHead(id, "Transfer-Encoding: chunked"), "200 OK", "500 Failed", 1) + "\r\n")
		return writeUntilClosed(w, chunk)
	},
	"head": func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(responseHead(id))
		return writeUntilClosed(w, "X-More: and more\r\n")
	},
}

// Guards against forwarding the first 16 MB of an overlong response as if it were
// complete, and reusing its connection.
func TestEndlessAnswerIsNotWhole(t *testing.T) {
	for name, serve := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			option, logs := captureWarnings()
			b := newBench(t, option)
			targets := b.replaceTargets("desk", 2, serve)
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
				if took := time.Since(start); took > maxWait {
					t.Errorf("%s: answered after %v", c.path, took)
				}
				if runs, _ := countRuns(targets, id); runs != c.runs {
					t.Errorf("%s: ran %d times, want %d", c.path, runs, c.runs)
				}
				if !hasAttemptLog(logs, id) {
					t.Errorf("%s: no log line gives the target and the error", c.path)
				}
			}
			if _, connections := countRuns(targets, ""); connections != 4 {
				t.Errorf("%d connections for 4 attempts, want 4", connections)
			}
		})
	}
}

// Responses of the maximum size are forwarded, however they mark their end.
func TestLongAnswersPass(t *testing.T) {
	const length = 16 << 20
	text := strings.Repeat(bodyLine, length/len(bodyLine))
	for name, serve := range map[string]func(w *bufio.Writer, id string) bool{
		"length": func(w *bufio.Writer, id string) bool {
			_, _ = w.WriteString(responseHead(id, "Content-Length: "+strconv.Itoa(length)) + "\r\n" + text)
			return true
		},
		"chunks": func(w *bufio.Writer, id string) bool {
			_, _ = w.WriteString(responseHead(id, "Transfer-Encoding: chunked") + "\r\n")
			for range length / 4096 {
				_, _ = w.WriteString(chunk)
			}
			_, _ = w.WriteString("0\r\n\r\n")
			return true
		},
		"close": func(w *bufio.Writer, id string) bool {
			_, _ = w.WriteString(responseHead(id) + "\r\n" + text)
			return w.Flush() != nil
		},
	} {
		b := newBench(t)
		targets := b.replaceTargets("desk", 1, serve)
		for _, id := range []string{"a", "b"} {
			if status, _, got, whole := b.ask("POST", "/pay/x", id, "", "Deadline-Ms", "3000"); status != 200 || !whole || got != text {
				t.Errorf("%s: status %d, %d bytes, whole %v", name, status, len(got), whole)
			}
		}
		if _, connections := countRuns(targets, ""); (connections == 1) != (name != "close") {
			t.Errorf("%s: %d connections", name, connections)
		}
	}
}

// Guards against faults with a long refusal body: 16 MB of it were read, the connection
// was reused with the rest of it unread, and a body that did not arrive held the request
// until its deadline.
func TestEndlessRefusalIsARefusal(t *testing.T) {
	const refused = "HTTP/1.1 503 Full\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n"
	for name, c := range map[string]struct {
		serve       func(w *bufio.Writer) bool
		connections int
	}{
		"chunks": {func(w *bufio.Writer) bool {
			_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
			return writeUntilClosed(w, chunk)
		}, 2},
		"until it closes": {func(w *bufio.Writer) bool {
			_, _ = w.WriteString("\r\n")
			return writeUntilClosed(w, bodyLine)
		}, 2},
		"a terabyte": {func(w *bufio.Writer) bool {
			_, _ = w.WriteString("Content-Length: 1099511627776\r\n\r\n")
			return writeUntilClosed(w, bodyLine)
		}, 2},
		"rest later": {func(w *bufio.Writer) bool {
			forged := responseHead("next", "Content-Length: 6") + "\r\nforged"
			_, _ = w.WriteString("Content-Length: " + strconv.Itoa(16<<20+len(forged)) + "\r\n\r\n")
			for range 16 << 20 / len(bodyLine) {
				_, _ = w.WriteString(bodyLine)
			}
			_ = w.Flush()
			time.Sleep(300 * time.Millisecond)
			_, _ = w.WriteString(forged)
			return true
		}, 2},
		"no body": {func(w *bufio.Writer) bool {
			_, _ = w.WriteString("Content-Length: 5\r\n\r\n")
			_ = w.Flush()
			time.Sleep(maxWait)
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
			targets := b.replaceTargets("desk", 1, func(w *bufio.Writer, id string) bool {
				if id == "refused" {
					_, _ = w.WriteString(strings.ReplaceAll(refused, "ID", id))
					return c.serve(w)
				}
				_, _ = w.WriteString(responseHead(id, "Content-Length: 2") + "\r\nok")
				return true
			})
			start := time.Now()
			status, h, _, whole := b.ask("POST", "/pay/x", "refused", "")
			if status != http.StatusServiceUnavailable || !whole || h.Get("Retry-After") == "" {
				t.Errorf("status %d, whole %v", status, whole)
			}
			if took := time.Since(start); took > maxWait/2 {
				t.Errorf("answered after %v", took)
			}
			time.Sleep(100 * time.Millisecond)
			if status, _, text, _ := b.ask("POST", "/pay/x", "next", ""); status != http.StatusOK || text != "ok" {
				t.Errorf("next request: status %d, %q", status, text)
			}
			if _, connections := countRuns(targets, ""); connections != c.connections {
				t.Errorf("%d connections, want %d", connections, c.connections)
			}
		})
	}
}

// smallestHost sets the receiver's memory to that of the smallest host.
func smallestHost(p *receiver.Config) { p.Memory = 112 << 20 }

// concurrentRequests is the number of long responses at once.
const concurrentRequests = 60

// checkMemory runs do under the Go memory limit of the smallest host. It fails the test
// if the process, including callers and targets, takes more memory than that host has.
// Held is the peak memory taken by buffers.
func checkMemory(t *testing.T, b *bench, name string, do func()) (held int64) {
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
			taken, held = max(taken, m.Sys-m.HeapReleased), max(held, b.bufferedBytes())
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
	t.Logf("%s: %d at once, buffers took %d KB, the process %d KB", name, concurrentRequests, held>>10, taken>>10)
	if taken > memory {
		t.Errorf("%s: the process took more than %d KB", name, memory>>10)
	}
	if most := int64(memory * 15 / 100); held > most {
		t.Errorf("%s: buffers took %d KB, more than %d", name, held>>10, most>>10)
	}
	if left := b.bufferedBytesAtEnd(); left != 0 {
		t.Errorf("%s: buffers still take %d bytes", name, left)
	}
	return held
}

// bufferedBytes returns the memory taken by the receiver's buffers.
func (b *bench) bufferedBytes() int64 {
	return int64(b.metrics.Set.GetOrCreateGauge("answer_buffer_bytes", nil).Get())
}

// bufferedBytesAtEnd returns the memory taken by buffers after the last handler ended,
// which may be shortly after its caller has the response.
func (b *bench) bufferedBytesAtEnd() int64 {
	for start := time.Now(); b.bufferedBytes() != 0 && time.Since(start) < maxWait; {
		time.Sleep(time.Millisecond)
	}
	return b.bufferedBytes()
}

// extendTimeouts sets a timeout of 20 s, so that no request expires on a busy machine.
func (b *bench) extendTimeouts() {
	text := strings.ReplaceAll(string(emulator.Plan(2, 0, "k1", "k2")), `"timeoutMs":3000`, `"timeoutMs":20000`)
	plan, err := platform.DecodePlan([]byte(text))
	if err != nil {
		b.t.Fatal(err)
	}
	b.receiver.SetRoutingTable(receiver.NewRoutingTable(plan))
}

// askDiscarding sends a request and counts the bytes of the response without keeping
// them.
func (b *bench) askDiscarding(path, id string) (status int, length int64, whole bool) {
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

// Guards against many concurrent long responses exceeding the memory of a small host:
// endless ones are aborted, valid ones are forwarded, and those of usual size never fail.
func TestLongAnswersFitTheSmallestHost(t *testing.T) {
	const long = 3 << 20
	b := newBench(t, smallestHost)
	b.extendTimeouts()
	b.replaceTargets("desk", 4, func(w *bufio.Writer, id string) bool {
		kind, _, _ := strings.Cut(id, "-")
		switch kind {
		case "usual":
			_, _ = w.WriteString(responseHead(id, "Content-Length: 4096") + "\r\n" + strings.Repeat(bodyLine, 4096/len(bodyLine)))
			return true
		case "length":
			_, _ = w.WriteString(responseHead(id, "Content-Length: "+strconv.Itoa(long)) + "\r\n")
			for range long / len(bodyLine) {
				_, _ = w.WriteString(bodyLine)
			}
			return true
		case "chunked":
			_, _ = w.WriteString(responseHead(id, "Transfer-Encoding: chunked") + "\r\n")
			for range long / 4096 {
				_, _ = w.WriteString(chunk)
			}
			_, _ = w.WriteString("0\r\n\r\n")
			return true
		}
		return endlessBodies["chunks"](w, id)
	})
	for _, kind := range []string{"endless", "length", "chunked"} {
		held := checkMemory(t, b, kind, func() {
			var all sync.WaitGroup
			for n := range concurrentRequests {
				all.Go(func() {
					status, length, whole := b.askDiscarding("/pay/x", kind+"-"+strconv.Itoa(n))
					switch {
					case kind == "endless" && whole && status != http.StatusBadGateway:
						t.Errorf("%s: status %d, %d bytes as a complete response", kind, status, length)
					case kind != "endless" && (status != http.StatusOK || !whole || length != long):
						t.Errorf("%s: status %d, %d bytes, whole %v", kind, status, length, whole)
					}
				})
				all.Go(func() {
					if status, length, whole := b.askDiscarding("/pay/x", "usual-"+kind+strconv.Itoa(n)); status != http.StatusOK || !whole || length != 4096 {
						t.Errorf("usual among %s: status %d, %d bytes, whole %v", kind, status, length, whole)
					}
				})
			}
			all.Wait()
		})
		if held == 0 {
			t.Errorf("%s: no buffer memory was taken", kind)
		}
	}
}

// A valid response for which there is no buffer memory is forwarded as it arrives. An
// endless one is aborted and does not look complete to any caller.
func TestAnswerBeyondTheBuffersIsPassedOn(t *testing.T) {
	const long = 3 << 20
	option, logs := captureWarnings()
	b := newBench(t, option, func(p *receiver.Config) { p.Memory = 1 << 20 })
	sound := func(w *bufio.Writer, id, status, line, start, end string) bool {
		_, _ = w.WriteString(strings.Replace(responseHead(id, line), "200 OK", status, 1) + "\r\n" + start)
		for range long / 4096 {
			_, _ = w.WriteString(strings.Repeat(bodyLine, 128))
		}
		_, _ = w.WriteString(end)
		return true
	}
	targets := b.replaceTargets("desk", 2, func(w *bufio.Writer, id string) bool {
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
		status, length, whole := b.askDiscarding("/pay/x", c.id)
		if status != c.status || whole != c.whole || (whole && length != long) {
			t.Errorf("%s: status %d, %d bytes, whole %v", c.id, status, length, whole)
		}
		if took := time.Since(start); took > maxWait {
			t.Errorf("%s: ended after %v", c.id, took)
		}
		if runs, _ := countRuns(targets, c.id); runs != 1 {
			t.Errorf("%s: ran %d times", c.id, runs)
		}
		if !c.whole && !hasAttemptLog(logs, c.id) {
			t.Errorf("%s: no log line gives the target and the error", c.id)
		}
	}
	if _, _, _, whole := b.ask("GET", "/look/x", "failed-look", ""); !whole {
		t.Error("response with status 500 was truncated")
	}
	if runs, _ := countRuns(targets, "failed-look"); runs != 2 {
		t.Errorf("idempotent call that failed ran %d times, want 2", runs)
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
	if held := b.bufferedBytesAtEnd(); held != 0 {
		t.Errorf("buffers still take %d bytes", held)
	}
}

// event returns one event of a stream with its blank line.
func event(n int, data string) string {
	return "id: " + strconv.Itoa(n) + "\ndata: " + data + "\n\n"
}

// encodeChunk returns text as one chunk of a chunked body.
func encodeChunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// writeChunk writes and flushes text as one chunk of a chunked body.
func writeChunk(w *bufio.Writer, text string) bool {
	_, _ = w.WriteString(encodeChunk(text))
	return w.Flush() == nil
}

func streamHead(id string) string {
	return responseHead(id, "Transfer-Encoding: chunked", "Content-Type: text/event-stream") + "\r\n"
}

// endlessStreams write streams without end. The field most is the largest number of
// bytes forwarded to a caller with a limit of 56 tokens, that is four events.
var endlessStreams = map[string]struct {
	serve func(w *bufio.Writer, id string) bool
	most  int
}{
	"line": {func(w *bufio.Writer, _ string) bool {
		writeChunk(w, event(1, "one")+"data: ")
		return writeUntilClosed(w, encodeChunk(strings.Repeat("x", 4096)))
	}, 100},
	"first line": {func(w *bufio.Writer, _ string) bool {
		return writeUntilClosed(w, encodeChunk(strings.Repeat("x", 4096)))
	}, 100},
	"events at once": {func(w *bufio.Writer, _ string) bool {
		writeChunk(w, event(1, "one"))
		return writeUntilClosed(w, encodeChunk(strings.Repeat("data: of event\n\n", 256)))
	}, 4 * 32},
	"long event": {func(w *bufio.Writer, _ string) bool {
		writeChunk(w, event(1, "one"))
		return writeUntilClosed(w, encodeChunk(strings.Repeat("data: and more \n", 256)))
	}, 100},
	"blank lines": {func(w *bufio.Writer, _ string) bool {
		writeChunk(w, event(1, "one"))
		return writeUntilClosed(w, encodeChunk(strings.Repeat("\n", 4096)))
	}, 512},
	"comments": {func(w *bufio.Writer, _ string) bool {
		writeChunk(w, event(1, "one"))
		return writeUntilClosed(w, encodeChunk(strings.Repeat(": keep-alive  \n\n", 256)))
	}, 32 << 10},
	"events": {func(w *bufio.Writer, _ string) bool {
		n := 1
		for writeChunk(w, event(n, "more")) {
			n++
		}
		return false
	}, 4 * len(event(1, "more"))},
	"long events": {func(w *bufio.Writer, _ string) bool {
		text := strings.Repeat("x", 60_000)
		n := 1
		for writeChunk(w, event(n, text)) {
			n++
		}
		return false
	}, 4 * (60_000 + 32)},
	"events without data": {func(w *bufio.Writer, _ string) bool {
		return writeUntilClosed(w, encodeChunk(strings.Repeat("event: nothing\n\n", 256)))
	}, 4 * 16},
}

// Guards against endless streams, which were forwarded, charged and kept in memory until
// the caller's deadline.
func TestEndlessStreamBreaksOff(t *testing.T) {
	for name, c := range endlessStreams {
		t.Run(name, func(t *testing.T) {
			option, logs := captureWarnings()
			b := newBench(t, option)
			targets := b.replaceTargets("engines", 2, func(w *bufio.Writer, id string) bool {
				_, _ = w.WriteString(streamHead(id))
				return c.serve(w, id)
			})
			start := time.Now()
			status, text, whole := b.turn("t1", "", "hello", "Deadline-Ms", "3000")
			if took := time.Since(start); took > maxWait {
				t.Errorf("ended after %v", took)
			}
			if status == http.StatusOK && whole {
				t.Error("endless stream looks complete")
			}
			if status != http.StatusOK && status != http.StatusBadGateway {
				t.Errorf("status %d of a turn that ran", status)
			}
			if len(text) > c.most {
				t.Errorf("the caller got %d bytes, want up to %d", len(text), c.most)
			}
			if runs, connections := countRuns(targets, "t1"); runs != 1 || connections != 1 {
				t.Errorf("ran %d times over %d connections", runs, connections)
			}
			if !hasAttemptLog(logs, "t1") {
				t.Error("no log line gives the target and the error")
			}
			if status, _, _ := b.turn("t2", "t1", "x"); status != http.StatusNotFound {
				t.Errorf("turn after an endless turn: status %d, want 404", status)
			}
		})
	}
}

// Valid streams may have a long event, many events that are long together, or comments
// before and between events.
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
		// The last event contains the rest of the turn's token limit.
		"last event": {[]string{event(1, "a"), event(2, "b"), event(3, "c")}, "1,30", "a\nb\nc\n"},
		"no usage":   {[]string{event(1, "a"), event(2, "b"), event(3, "c")}, "", "a\nb\nc\n"},
	} {
		b := newBench(t)
		targets := b.replaceTargets("engines", 1, func(w *bufio.Writer, id string) bool {
			_, _ = w.WriteString(streamHead(id))
			if id == "t2" {
				writeChunk(w, event(1, "end"))
			} else {
				for _, text := range c.events {
					writeChunk(w, text)
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
			t.Errorf("%s: following turn: status %d, whole %v", name, status, whole)
		}
		if got := targets[0].body("t2"); got != "in"+c.output+"x" {
			t.Errorf("%s: the following turn was sent with %d bytes, want %d", name, len(got), len(c.output)+3)
		}
	}
}

// Guards against streams longer than the longest turn that can be stored, whose end
// waited for a write that the store cannot take.
func TestStreamTooLongToKeepBreaksOff(t *testing.T) {
	option, logs := captureWarnings()
	b := newBench(t, option)
	text := strings.Repeat("x", 50_000)
	b.replaceTargets("engines", 1, func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(streamHead(id))
		for n := range 30 {
			writeChunk(w, event(n, text))
		}
		_, _ = w.WriteString("0\r\n\r\n")
		return true
	})
	status, got, whole := b.turn("t1", "", strings.Repeat("y", 100_000), "Token-Usage", "1,1000", "Token-Budget", "10000")
	if status != http.StatusOK || whole || len(got) > 512<<10-100_000 {
		t.Errorf("status %d, %d bytes, whole %v", status, len(got), whole)
	}
	if !hasAttemptLog(logs, "t1") {
		t.Error("no log line gives the target and the error")
	}
	if status, _, _ := b.turn("t2", "t1", "x"); status != http.StatusNotFound {
		t.Errorf("turn after one that was not stored: status %d, want 404", status)
	}
}

// Guards against many concurrent long streams exceeding the memory of a small host.
func TestLongStreamsFitTheSmallestHost(t *testing.T) {
	b := newBench(t, smallestHost)
	text := strings.Repeat("x", 50_000)
	b.replaceTargets("engines", 4, func(w *bufio.Writer, id string) bool {
		_, _ = w.WriteString(streamHead(id))
		switch kind, _, _ := strings.Cut(id, "-"); kind {
		case "usual":
			for n := range 8 {
				writeChunk(w, event(n, strings.Repeat("x", 480)))
			}
			_, _ = w.WriteString("0\r\n\r\n")
			return true
		case "events":
			n := 1
			for writeChunk(w, event(n, text)) {
				n++
			}
			return false
		case "lines":
			return writeUntilClosed(w, encodeChunk(strings.Repeat("data: of one event that never ends\n", 100)))
		}
		return writeUntilClosed(w, encodeChunk(text))
	})
	for _, kind := range []string{"events", "lines", "line"} {
		checkMemory(t, b, kind, func() {
			var all sync.WaitGroup
			for n := range concurrentRequests {
				all.Go(func() {
					if status, _, whole := b.askDiscarding("/talk/x", kind+"-"+strconv.Itoa(n)); status == http.StatusOK && whole {
						t.Errorf("%s: endless stream looks complete", kind)
					}
				})
				all.Go(func() {
					if status, _, whole := b.askDiscarding("/talk/x", "usual-"+kind+strconv.Itoa(n)); status != http.StatusOK || !whole {
						t.Errorf("usual among %s: status %d, whole %v", kind, status, whole)
					}
				})
			}
			all.Wait()
		})
	}
}
