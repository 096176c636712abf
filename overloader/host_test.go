package overloader_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

const (
	// memoryBound is the memory that the settings allow the host, which is that of the smallest
	// hosts in service, and the bound on its resident memory.
	memoryBound = 112 << 20
	// descriptorBound is the number of descriptors that the settings allow the host.
	descriptorBound = 500
	// patience only guards against a test that hangs. No test depends on it otherwise.
	patience = 60 * time.Second
	// samplePause is the pause between two counts of the host's descriptors.
	samplePause = 5 * time.Millisecond
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "overloader")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "sapphiredrum")
	build := exec.Command("go", "build", "-o", binary, "sapphiredrum.example/sapphiredrum/cmd/sapphiredrum")
	if text, err := build.CombinedOutput(); err != nil {
		panic(string(text))
	}
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// plan has the plan's limits of the deployments in service, and timeouts that a busy machine
// does not reach before the crowd has sent what it sends.
const plan = `{"version":1,"routes":[
{"name":"talk","host":"h.example","prefix":"/talk/","routeKind":"streaming","timeoutMs":30000,"service":"desk","maxAttempts":2,"retained":true,"retentionS":60},
{"name":"ask","host":"h.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":30000,"service":"desk","maxAttempts":2},
{"name":"look","host":"h.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":30000,"service":"desk","maxAttempts":2},
{"name":"open","host":"h.example","prefix":"/open/","routeKind":"idempotent","timeoutMs":30000,"service":"desk","maxAttempts":2,"public":true}],
"services":[{"name":"desk","healthPath":"/healthz","maxConns":4000}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"w-1","apiKeys":["k1"],"priority":1,"ratePerS":0,"burst":0},{"name":"w-2","apiKeys":["k2"],"priority":1,"ratePerS":0,"burst":0}]}`

const maxBody = 4 << 20

// host is a host process over a store and a target in the test's process.
type host struct {
	t       *testing.T
	process *os.Process
	ended   chan struct{}
	// callers and peers are the addresses of its ports for callers and other hosts.
	callers, peers string
	ids            atomic.Int64
	// descriptors is the largest number of open descriptors seen.
	descriptors atomic.Int64
}

// start starts a host whose target answers with serve, and with "answer" to ordinary requests.
func start(t *testing.T, serve http.HandlerFunc) *host {
	t.Helper()
	rows := faker.NewRows(1)
	store := httptest.NewServer(emulator.Store(rows))
	t.Cleanup(store.Close)
	rows.Write(sd.RecordKey{Table: platform.OperatorTable, Key: "config"}, []byte(plan))
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "stamp")
		if serve != nil && !strings.HasSuffix(r.URL.Path, "/ordinary") {
			serve(w, r)
			return
		}
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(target.Close)
	t.Cleanup(target.CloseClientConnections)
	at := sd.Address(strings.TrimPrefix(target.URL, "http://"))
	rows.Write(sd.RecordKey{Table: platform.TargetTable, Key: "i-0"}, (&emulator.Target{ID: "i-0"}).Registration("desk", "z", at, 2000, "ready"))

	p := freePorts(t, 3)
	settings := fmt.Sprintf("[host]\nname = h1\nzone = z\nip = 127.0.0.1\nmemory = %d\ncores = 1\ndescriptors = %d\n[listen]\ncallers = 127.0.0.1:%d\nready = 127.0.0.1:%d\nports = %d\n[store]\naddress = %s\n",
		memoryBound>>20, descriptorBound, p[0], p[1], p[2], strings.TrimPrefix(store.URL, "http://"))
	path := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(path + ".log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(binary, "entry", "--config", path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	h := &host{t: t, process: command.Process, ended: make(chan struct{}), callers: fmt.Sprintf("127.0.0.1:%d", p[0]), peers: fmt.Sprintf("127.0.0.1:%d", p[2])}
	go func() {
		// How the process ended does not matter: it must not end before the test has.
		_ = command.Wait()
		close(h.ended)
	}()
	t.Cleanup(func() {
		_ = h.process.Kill()
		<-h.ended
		if text, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("log ends: %s", text[max(0, len(text)-2000):])
		}
	})
	ready := fmt.Sprintf("http://127.0.0.1:%d%s", p[1], platform.ReadyPath)
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		if answer, err := http.Get(ready); err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return h
			}
		}
		if time.Now().After(end) {
			t.Fatal("the host was never ready")
		}
	}
}

// freePorts returns ports below the range of outgoing connections, none of which takes them
// before the host does.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	var list []int
	for port := 12000 + os.Getpid()%2500; len(list) < n && port < 15000; port++ {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		list = append(list, port)
	}
	if len(list) < n {
		t.Fatal("no ports are free")
	}
	return list
}

// head returns the start of a request, without the blank line.
func (h *host) head(method, path, key string, more ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r%d\r\nProgram-Id: p%d\r\nToken-Usage: 10,56\r\n", method, path, h.ids.Add(1), h.ids.Load())
	if key != "" {
		text += "Key: " + key + "\r\n"
	}
	for _, line := range more {
		text += line + "\r\n"
	}
	return text
}

// overload opens connections, has act send on each, and checks the host while the connections
// are held open and after they were closed.
func (h *host) overload(connections int, act func(conn net.Conn)) {
	h.t.Helper()
	h.overloadAt(h.callers, connections, act)
}

// overloadAt is overload on one of the host's ports.
func (h *host) overloadAt(address string, connections int, act func(conn net.Conn)) {
	h.t.Helper()
	h.ordinary("before the crowd")
	sampling, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.Pid)); err == nil && int64(len(list)) > h.descriptors.Load() {
				h.descriptors.Store(int64(len(list)))
			}
			select {
			case <-sampling:
				return
			case <-time.After(samplePause):
			}
		}
	}()
	var lock sync.Mutex
	var held []net.Conn
	var crowd sync.WaitGroup
	for range connections {
		crowd.Go(func() {
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				// The host may refuse connections of a crowd.
				return
			}
			lock.Lock()
			held = append(held, conn)
			lock.Unlock()
			// The host need not read what the crowd sends.
			_ = conn.SetDeadline(time.Now().Add(patience / 2))
			act(conn)
		})
	}
	crowd.Wait()
	h.ordinary("beside the crowd")
	for _, conn := range held {
		_ = conn.Close()
	}
	h.ordinary("after the crowd")
	close(sampling)
	<-sampled
	peak := h.peakMemory()
	h.t.Logf("peak resident memory %d MB of %d, descriptors %d of %d", peak>>20, memoryBound>>20, h.descriptors.Load(), descriptorBound)
	if peak > memoryBound {
		h.t.Errorf("the host took %d MB of memory, it has %d", peak>>20, memoryBound>>20)
	}
	if n := h.descriptors.Load(); n > descriptorBound {
		h.t.Errorf("the host had %d descriptors open, it may have %d", n, descriptorBound)
	}
}

// peakMemory returns the largest resident memory of the process so far.
func (h *host) peakMemory() int {
	h.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			if err != nil {
				h.t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	h.t.Fatal("the process has ended")
	return 0
}

// ordinary sends a small request, again if it was not served, until it is answered.
func (h *host) ordinary(when string) {
	h.t.Helper()
	last := error(nil)
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-h.ended:
			h.t.Fatalf("%s: the process has ended", when)
		default:
		}
		if last = h.ordinaryOnce(); last == nil {
			return
		}
	}
	h.t.Fatalf("%s: no ordinary request was answered: %v", when, last)
}

func (h *host) ordinaryOnce() error {
	conn, err := net.Dial("tcp4", h.callers)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience / 6))
	if _, err := io.WriteString(conn, h.head("POST", "/look/ordinary", "k2", "Content-Length: 5", "Connection: close")+"\r\nhello"); err != nil {
		return err
	}
	text, err := io.ReadAll(conn)
	if err == nil && (!bytes.HasPrefix(text, []byte("HTTP/1.1 200 ")) || !bytes.HasSuffix(text, []byte("answer"))) {
		err = sd.BrokenResponse.New("ordinary request: %q", text[:min(len(text), 200)])
	}
	return err
}
