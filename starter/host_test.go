package starter_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
	"sapphiredrum.example/sapphiredrum/starter"
)

// firstPort and lastPort bound the ports of hosts. They lie apart from those of other packages
// and below the range of outgoing connections, none of which can take a port before its host
// opens it.
const firstPort, lastPort = 17000, 20000

// nextPort is the number of the port to try next, so that none is handed out twice.
var nextPort atomic.Int64

// ports returns ports of the loopback address that are free for TCP and UDP.
func ports(t *testing.T, n int) []int {
	t.Helper()
	var list []int
	for tries := 0; len(list) < n; tries++ {
		if tries == lastPort-firstPort {
			t.Fatal("no ports are free")
		}
		port := firstPort + (os.Getpid()+int(nextPort.Add(1)))%(lastPort-firstPort)
		if isFree(port) {
			list = append(list, port)
		}
	}
	return list
}

func isFree(port int) bool {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}

// Guards against hosts that cannot start as an outgoing connection, or another host, has taken
// a port of theirs.
func TestPortsStayFree(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Fatal(err)
	}
	var first, last int
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil {
		t.Fatal(err)
	}
	seen := map[int]bool{}
	for range 3 {
		for _, port := range ports(t, 4) {
			if port >= first && port <= last {
				t.Errorf("port %d is in the range of outgoing connections, %d to %d", port, first, last)
			}
			if seen[port] {
				t.Errorf("port %d was handed out twice", port)
			}
			seen[port] = true
		}
	}
}

// site is a store with a plan and targets, and hosts over it.
type site struct {
	t     *testing.T
	rows  *faker.Rows
	store string
	// targets are two engines and two desks.
	targets []*emulator.Target
	// held is the store as hosts see it.
	held *heldStore
	// configure, if set, is called with each host before it runs.
	configure func(*starter.Host)
	// settings are added to those of each host.
	settings string
}

func newSite(t *testing.T) *site {
	s := &site{t: t, rows: faker.NewRows(1)}
	s.held = &heldStore{Rows: s.rows}
	server := httptest.NewServer(emulator.Store(s.held))
	t.Cleanup(server.Close)
	s.store = strings.TrimPrefix(server.URL, "http://")
	s.rows.Write(sd.RecordKey{Table: platform.OperatorTable, Key: "config"}, emulator.Plan(1, 0, "k1"))
	for i, pool := range []string{"engines", "engines", "desk", "desk"} {
		target := &emulator.Target{ID: sd.TargetID(fmt.Sprintf("i-%d", i)), Pause: 10}
		if pool == "engines" {
			target.Events = 4
		}
		s.targets = append(s.targets, target)
		at := httptest.NewServer(target)
		t.Cleanup(at.Close)
		s.rows.Write(sd.RecordKey{Table: platform.TargetTable, Key: string(target.ID)},
			target.Registration(pool, "z", sd.Address(strings.TrimPrefix(at.URL, "http://")), 8, "ready"))
	}
	return s
}

// host runs a host and returns its callers' and ready addresses, and what stops it.
func (s *site) host(name string) (callers, ready string, stop func()) {
	s.t.Helper()
	return s.hostOver(name, exchanger.Direct())
}

// hostOver runs a host that reaches targets through a dialer.
func (s *site) hostOver(name string, dialer sd.Dialer) (callers, ready string, stop func()) {
	s.t.Helper()
	p := ports(s.t, 4)
	text := fmt.Sprintf(`[host]
name = %s
zone = z
ip = 127.0.0.1
memory = 200
cores = 1
[listen]
callers = 127.0.0.1:%d
ready = 127.0.0.1:%d
ports = %d
metrics = %d
[store]
address = %s
[times]
beat = 1200
drain = 2000
grace = 8
[rate]
window = 5
over = 0.1
slack = 20
[cold]
over = 1.5
slack = 5
%s`, name, p[0], p[1], p[2], p[3], s.store, s.settings)
	path := filepath.Join(s.t.TempDir(), "host.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	ended := make(chan error, 1)
	h := starter.NewOver(settings, path, dialer, s.log(name))
	if s.configure != nil {
		s.configure(h)
	}
	go func() { ended <- h.Run(ctx) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-ended; err != nil {
			s.t.Errorf("host ended with %v", err)
		}
	}
	s.t.Cleanup(stop)
	ready = fmt.Sprintf("http://127.0.0.1:%d/v1/readyz", p[1])
	s.eventually("host is ready", func() bool { return status(ready) == 200 })
	return fmt.Sprintf("http://127.0.0.1:%d", p[0]), ready, stop
}

func status(url string) int {
	answer, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	for range 250 {
		if holds() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatal("not in time: " + what)
}

func turn(client *http.Client, callers, id, previous string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, callers+"/talk/x", bytes.NewReader([]byte("in")))
	if err != nil {
		return 0, err
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Key": "k1", "Deadline-Ms": "3000", "Program-Id": "p", "Token-Budget": "100000", "Token-Usage": "10,56", "Previous-Turn": previous,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	answer, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode, err
}

// A program goes on at another host; a plan, an evacuation and a target that leaves
// are followed; a host that ends finishes what runs.
func TestTwoHostsOnThePlatform(t *testing.T) {
	s := newSite(t)
	first, ready, stop := s.host("h1")
	second, _, _ := s.host("h2")
	client := &http.Client{}
	if got, err := turn(client, first, "t1", ""); got != 200 || err != nil {
		t.Fatal(got, err)
	}
	if got, err := turn(client, second, "t2", "t1"); got != 200 || err != nil {
		t.Fatal(got, err)
	}
	s.rows.Write(sd.RecordKey{Table: platform.OperatorTable, Key: "config"}, emulator.Plan(2, 0, "k2"))
	s.eventually("withdrawn key is refused", func() bool {
		got, err := turn(client, first, "t3", "t2")
		return err == nil && got == 401
	})
	s.rows.Write(sd.RecordKey{Table: platform.OperatorTable, Key: "config"}, emulator.Plan(1, 0, "k1"))
	time.Sleep(100 * time.Millisecond)
	if got, err := turn(client, first, "t4", "t2"); got != 401 || err != nil {
		t.Fatalf("an older plan came back into force: %d, %v", got, err)
	}
	s.rows.Write(sd.RecordKey{Table: platform.OperatorTable, Key: "config"}, emulator.Plan(3, 0, "k1"))
	s.eventually("key is back", func() bool {
		got, err := turn(client, first, "t5", "t2")
		return err == nil && got == 200
	})

	ends := make(chan error, 1)
	failures := make(chan string, 1000)
	go func() {
		// Callers go on using their connections until they are told to stop.
		kept := &http.Client{}
		for i := 0; ; i++ {
			got, err := turn(kept, first, fmt.Sprintf("d%d", i), "")
			if err != nil && strings.Contains(err.Error(), "connection refused") {
				ends <- nil
				return
			}
			if err != nil || (got != 200 && got != 503) {
				failures <- fmt.Sprint(got, err)
			}
		}
	}()
	time.Sleep(200 * time.Millisecond)
	stop()
	<-ends
	close(failures)
	// A request that crosses the close of an idle connection may see it end.
	if n := len(failures); n > 1 {
		t.Errorf("%d requests were cut while the host drained, first: %s", n, <-failures)
	}
	if got := status(ready); got != 0 {
		t.Errorf("ready port answers %d after the end", got)
	}
	if row := s.rows.Row(sd.RecordKey{Table: platform.PeerTable, Key: "h1"}); row.Version != 0 {
		t.Error("the row of a host that left is still there")
	}
}

// A store that is away: no turn ends before the store has it, and callers who come
// back are served once it is there again.
func TestHostThroughAnOutage(t *testing.T) {
	s := newSite(t)
	first, _, _ := s.host("h1")
	second, _, _ := s.host("h2")
	client := &http.Client{}
	if got, err := turn(client, first, "t1", ""); got != 200 || err != nil {
		t.Fatal(got, err)
	}
	// The hosts must have heard of one another.
	time.Sleep(500 * time.Millisecond)
	const callers = 20
	var away atomic.Bool
	served := make(chan bool, callers)
	away.Store(true)
	s.rows.Trouble(faker.RowsTrouble{Down: true})
	for i := range callers {
		go func() {
			at := []string{first, second}[i%2]
			for try := range 8 {
				got, err := turn(client, at, fmt.Sprintf("o%d-%d", i, try), "t1")
				if got == 200 && err == nil {
					if away.Load() {
						t.Error("a turn ended while the store was away")
					}
					served <- true
					return
				}
				if got != 200 && got != 503 {
					t.Errorf("a turn was answered %d %v", got, err)
				}
				time.Sleep(300 * time.Millisecond)
			}
			served <- false
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	away.Store(false)
	s.rows.Trouble(faker.RowsTrouble{})
	for range callers {
		if !<-served {
			t.Error("a caller who came back was not served after the outage")
		}
	}
}

// Start of all hosts: one that has not read yet which others there are would take the
// whole rate of a workspace, and of a cold target, for itself.
func TestAHostServesOnceItKnowsTheOthers(t *testing.T) {
	s := newSite(t)
	var hidden atomic.Bool
	hidden.Store(true)
	store := emulator.Store(s.rows)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A probe of the store reads this table too, from a later key on.
		if q := r.URL.Query(); hidden.Load() && r.URL.Path == "/v1/rows-get" && q.Get("table") == platform.PeerTable && q.Get("from") == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.store = strings.TrimPrefix(server.URL, "http://")
	shows := time.AfterFunc(1500*time.Millisecond, func() { hidden.Store(false) })
	defer shows.Stop()
	callers, _, _ := s.host("h1")
	if !hidden.Load() {
		return
	}
	t.Error("ready before the table of hosts was read")
	if got, err := turn(&http.Client{}, callers, "t1", ""); hidden.Load() && (got != 503 || err != nil) {
		t.Errorf("a turn was answered %d %v, want 503", got, err)
	}
}
