package starter_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

// deadly is the body of requests that crash the target that begins to run them.
const deadly = "deadly"

// restartTime is how long a crashed target is down.
const restartTime = 200 * time.Millisecond

// crashingTarget is a target process that ends when it begins to run a deadly request, and
// starts again at the same address.
type crashingTarget struct {
	*emulator.Target
	t       *testing.T
	address string

	lock    sync.Mutex
	server  *http.Server
	crashes int
	ended   bool
	running sync.WaitGroup
}

func (c *crashingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if strings.Contains(string(body), deadly) {
		if c.Events > 0 {
			// A stream breaks off after its first event.
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Server-Stamp", "stamp")
			_, _ = io.WriteString(w, "id: 1\ndata: one\n\nid: 2\nda")
			if err := http.NewResponseController(w).Flush(); err != nil {
				c.t.Error(err)
			}
		}
		c.crash()
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	c.Target.ServeHTTP(w, r)
}

// start opens the target's port; port 0 selects a free one.
func (c *crashingTarget) start() {
	listener, err := net.Listen("tcp4", c.address)
	for try := 0; err != nil && try < 100; try++ {
		// Another connection may have the port for a moment.
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp4", c.address)
	}
	if err != nil {
		c.t.Error(err)
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.ended {
		_ = listener.Close()
		return
	}
	c.address = listener.Addr().String()
	server := &http.Server{Handler: c}
	c.server = server
	c.running.Go(func() { _ = server.Serve(listener) })
}

// crash closes the port and all connections, and opens the port again later.
func (c *crashingTarget) crash() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.crashes++
	if c.server == nil || c.ended {
		return
	}
	_ = c.server.Close()
	c.server = nil
	c.running.Go(func() {
		time.Sleep(restartTime)
		c.start()
	})
}

func (c *crashingTarget) close() {
	c.lock.Lock()
	c.ended = true
	if c.server != nil {
		_ = c.server.Close()
	}
	c.lock.Unlock()
	c.running.Wait()
}

// crashingSite is a site whose targets crash when they begin to run a deadly request.
type crashingSite struct {
	*site
	targets []*crashingTarget
	sent    int
}

func newCrashingSite(t *testing.T) *crashingSite {
	s := &crashingSite{site: newSite(t)}
	for i, pool := range []string{"engines", "engines", "engines", "engines", "desk", "desk", "desk", "desk"} {
		c := &crashingTarget{t: t, address: "127.0.0.1:0", Target: &emulator.Target{ID: sd.TargetID(fmt.Sprintf("c-%d", i)), Pause: 5}}
		if pool == "engines" {
			c.Events = 4
		}
		c.start()
		t.Cleanup(c.close)
		s.rows.Write(sd.RecordKey{Table: platform.TargetTable, Key: string(c.ID)}, c.Registration(pool, "z", sd.Address(c.address), 8, "ready"))
		s.targets = append(s.targets, c)
	}
	for i := range 4 {
		s.rows.Remove(sd.RecordKey{Table: platform.TargetTable, Key: fmt.Sprintf("i-%d", i)})
	}
	return s
}

// crashes returns how often a target has begun to run a deadly request.
func (s *crashingSite) crashes() int {
	sum := 0
	for _, c := range s.targets {
		c.lock.Lock()
		sum += c.crashes
		c.lock.Unlock()
	}
	return sum
}

// ask sends a request of a program of its own and returns the status and how long the
// answer took; 0 stands for a connection that ended.
func (s *crashingSite) ask(callers, path, body string) (int, time.Duration) {
	s.t.Helper()
	s.sent++
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, callers+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"Request-Id": fmt.Sprintf("r%d", s.sent), "Key": "k1", "Deadline-Ms": "1500", "Program-Id": fmt.Sprintf("p%d", s.sent), "Token-Budget": "1000", "Token-Usage": "10,56",
	} {
		req.Header.Set(name, value)
	}
	start := time.Now()
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, time.Since(start)
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, time.Since(start)
	}
	return answer.StatusCode, time.Since(start)
}

// Guards against a request that crashes one target after another: it comes again and again,
// with other ids and at other hosts, and each of its runs ends a target.
func TestRequestThatCrashesItsTargetsIsRefused(t *testing.T) {
	for _, path := range []string{"/talk/x", "/ask/x", "/look/x", "/pay/x"} {
		t.Run(path[1:len(path)-2], func(t *testing.T) {
			s := newCrashingSite(t)
			var hosts []string
			for n := range 3 {
				callers, _, _ := s.host(fmt.Sprintf("h%d", n))
				hosts = append(hosts, callers)
			}
			served := 0
			for n := range 30 {
				if status, _ := s.ask(hosts[n%3], path, deadly); status == 200 {
					t.Fatal("a request that crashes its targets was answered 200")
				}
				if status, _ := s.ask(hosts[n%3], path, fmt.Sprint("sound ", n)); status == 200 {
					served++
				}
				time.Sleep(50 * time.Millisecond)
			}
			// Three crashes tell that it is the request; three more runs are allowed.
			if n := s.crashes(); n > 6 {
				t.Errorf("crashed %d targets, want at most 6", n)
			}
			before := s.crashes()
			late, _, _ := s.host("late")
			for _, host := range append(hosts, late) {
				if status, took := s.ask(host, path, deadly); status != 503 || took > 300*time.Millisecond {
					t.Errorf("answered %d after %v, want 503 at once", status, took)
				}
			}
			if n := s.crashes(); n != before {
				t.Errorf("%d more runs by hosts that know, or have just started", n-before)
			}
			if served < 20 {
				t.Errorf("%d of 30 other requests were served", served)
			}
		})
	}
}
