package launcher_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/connector"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/launcher"
	"sapphiredrum.example/sapphiredrum/loader"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// secret is the callers' key in these tests.
const secret = "key-potrdilo-1"

// rig is a platform, targets and hosts on loopback sockets.
type rig struct {
	t        testing.TB
	clock    sd.Clock
	platform *faker.Platform
	engines  map[sd.TargetID]*faker.Engine
	service  *faker.Service
	leaks    chan string
	sheet    sd.Config
	table    sd.Address
	hosts    []*running
	network  *network
}

// running is a host that runs.
type running struct {
	host     *launcher.Host
	settings loader.Settings
	stop     context.CancelFunc
	ended    chan error
}

// keyWatch notes requests that carry the callers' key.
type keyWatch struct {
	next http.Handler
	leak chan string
}

func (k *keyWatch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	if strings.Contains(r.URL.String()+string(body)+fmt.Sprint(r.Header), secret) {
		select {
		case k.leak <- r.URL.Path:
		default:
		}
	}
	k.next.ServeHTTP(w, r)
}

func newRig(t testing.TB) *rig {
	r := &rig{t: t, clock: sd.NewClock(), engines: make(map[sd.TargetID]*faker.Engine), service: &faker.Service{}, leaks: make(chan string, 100), network: newNetwork()}
	r.platform = faker.NewPlatform(r.clock)
	r.table = r.serve(faker.PlatformHandler(r.platform))
	r.sheet = sd.Config{
		Workspaces: []sd.Workspace{{ID: "desk", Tier: 1, Rate: 100_000, Burst: 100_000, Budget: 100_000}, {ID: "other", Rate: 50, Burst: 50, Budget: 1000}},
		Keys: []sd.APIKey{
			{ID: "k1", Workspace: "desk", Digest: follower.Digest(secret)},
			{ID: "k2", Workspace: "other", Digest: follower.Digest("key-other")},
		},
		Routes: []sd.Route{
			{Name: "chat", Path: "/v1/chat/completions", Kind: sd.ModelRoute, Group: "models", Model: "m1", Timeout: 20 * sd.Second},
			{Name: "courier", Path: "/courier", Kind: sd.ServiceRoute, Group: "desk", Timeout: 10 * sd.Second, Cost: 10},
			{Name: "prices", Path: "/prices", Kind: sd.ServiceRoute, Group: "prices", Public: true, Idempotent: true, Timeout: 5 * sd.Second},
		},
		Zones: []sd.Zone{{Name: "z1", Region: "r"}, {Name: "z2", Region: "r"}},
	}
	for i, zone := range []sd.ZoneName{"z1", "z2"} {
		id := sd.TargetID(fmt.Sprintf("e%d", i+1))
		r.engines[id] = faker.NewEngine(r.clock, faker.EngineSettings{Target: id, Slots: 8, Cold: 4, Ramp: 100, Words: 12, Token: 1, Fenced: true})
		r.addTarget(sd.Target{ID: id, Zone: zone, Group: "models", Fenced: true, Slots: 8, ColdSlots: 4, WarmUp: 100, CacheCapacity: 100_000}, faker.EngineHandler(r.engines[id]))
	}
	r.addTarget(sd.Target{ID: "s1", Zone: "z1", Group: "desk", Slots: 8, ColdSlots: 8}, faker.ServiceHandler(r.service))
	r.addTarget(sd.Target{ID: "s2", Zone: "z1", Group: "prices", Slots: 64, ColdSlots: 64}, faker.ServiceHandler(&faker.Service{}))
	r.commit("first")
	return r
}

func (r *rig) addTarget(target sd.Target, handler http.Handler) {
	target.Address = r.serve(&keyWatch{next: handler, leak: r.leaks})
	r.sheet.Targets = append(r.sheet.Targets, target)
}

func (r *rig) serve(handler http.Handler) sd.Address {
	server := httptest.NewServer(handler)
	r.t.Cleanup(server.Close)
	return sd.Address(strings.TrimPrefix(server.URL, "http://"))
}

func (r *rig) committer() *follower.Committer {
	return &follower.Committer{Table: r.platform, Objects: r.platform, Clock: r.clock}
}

func (r *rig) commit(note string) {
	r.t.Helper()
	if _, err := r.committer().Update(context.Background(), "test", note, func(s *sd.Config) error { *s = r.sheet; return nil }); err != nil {
		r.t.Fatal(err)
	}
}

// start runs a host and waits until it is ready.
func (r *rig) start(name sd.HostID, zone sd.ZoneName) *running {
	r.t.Helper()
	settings := loader.Settings{
		Name: name, Zone: zone, Caller: freePort(r.t), Peer: freePort(r.t), Operator: freePort(r.t),
		TTL: 1500, Poll: 200, Linger: sd.Second, Drain: 10 * sd.Second, Writes: 200,
	}
	pool := connector.NewPool(connector.Options{})
	remote := &connector.Platform{Pool: pool, Address: r.table, Timeout: sd.Second}
	platform := &gate{network: r.network, self: settings.Peer, zone: zone, table: remote, objects: remote, roster: remote}
	r.network.zones[settings.Peer] = zone
	client := messenger.NewClient(&carrier{network: r.network, self: settings.Peer, zone: zone, next: &http.Transport{MaxIdleConnsPerHost: 64}})
	host := launcher.New(settings, launcher.Outside{
		Table: platform, Objects: platform, Roster: platform,
		Targets: launcher.Connections{Pool: pool}, Clock: sd.NewClock(), Log: zap.NewNop(), Client: client,
	})
	ctx, stop := context.WithCancel(context.Background())
	run := &running{host: host, settings: settings, stop: stop, ended: make(chan error, 1)}
	go func() { run.ended <- host.Run(ctx) }()
	r.hosts = append(r.hosts, run)
	r.t.Cleanup(func() { stop(); <-run.ended; pool.Close() })
	return run
}

// settle waits until every host is ready, all shards of their zones are held and
// none has moved for a second.
func (r *rig) settle() {
	r.t.Helper()
	before, since, latest := "", time.Now(), ""
	defer func() {
		if r.t.Failed() {
			r.t.Log(latest)
		}
	}()
	r.eventually("all hosts ready and all shards at rest", func() bool {
		held, now := map[sd.ZoneName]int{}, ""
		for _, h := range r.hosts {
			status := h.status()
			held[status.Zone] += status.Shards
			now += fmt.Sprintln(status.Host, status.Ready, status.Shards, status.Peers)
		}
		latest = now
		for _, shards := range held {
			if shards != sd.ShardsPerZone {
				now = ""
			}
		}
		if now == "" || now != before || strings.Contains(now, "false") {
			before, since = now, time.Now()
		}
		return time.Since(since) > time.Second
	})
}

func (h *running) status() launcher.Status {
	response, err := http.Get("http://" + string(h.settings.Operator) + "/status")
	if err != nil {
		return launcher.Status{}
	}
	defer response.Body.Close()
	var status launcher.Status
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status
}

func (r *rig) eventually(what string, done func() bool) {
	r.t.Helper()
	for range 1500 {
		if done() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.t.Fatalf("never happened: %s", what)
}

// ports counts the ports given to hosts.
var ports atomic.Int64

func freePort(t testing.TB) sd.Address {
	t.Helper()
	// Ports below the range from which outgoing connections get theirs: none of
	// these takes the port between this check and its use.
	for port := 20000 + int(ports.Add(1)); port < 32000; port = 20000 + int(ports.Add(1)) {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = listener.Close()
			return sd.Address(listener.Addr().String())
		}
	}
	t.Fatal("no port is free")
	return ""
}

// reply is an HTTP answer as a caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
}

// caller sends requests with a key to one host.
type caller struct {
	host *running
	key  string
}

func (c caller) send(method, path, body string, headers ...string) (reply, error) {
	request, err := http.NewRequest(method, "http://"+string(c.host.settings.Caller)+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text)}, err
}

// must sends a request that has to be answered with the given status.
func (c caller) must(t testing.TB, status int, method, path, body string, headers ...string) reply {
	t.Helper()
	answer, err := c.send(method, path, body, headers...)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	if answer.status != status {
		t.Fatalf("%s %s: status %d, want %d: %s", method, path, answer.status, status, answer.body)
	}
	return answer
}

// program opens a program and returns its id and head.
func (c caller) program(t testing.TB, body string) (string, string) {
	t.Helper()
	answer := c.must(t, http.StatusCreated, "POST", "/programs", body)
	var created struct{ Program, Head string }
	if err := json.Unmarshal([]byte(answer.body), &created); err != nil {
		t.Fatal(err)
	}
	return created.Program, created.Head
}

// events reads a stream's text and the head of its last event.
func events(t *testing.T, stream string) (text, head string, done bool) {
	t.Helper()
	lines := bufio.NewScanner(strings.NewReader(stream))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text, head, true
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
			Head    string
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		for _, c := range chunk.Choices {
			text += c.Delta.Content
		}
		head = chunk.Head
	}
	return text, head, false
}

const hello = `{"model":"m1","messages":[{"role":"user","content":"hello"}],"max_tokens":8,"stream":true}`

// A program opened at one host goes on at another: a streamed model call, a call
// that must not be repeated, the end. Its order, history, budget and workspace
// are kept, and no target sees the key.
func TestWholePath(t *testing.T) {
	r := newRig(t)
	one, two := r.start("h1", "z1"), r.start("h2", "z2")
	r.settle()
	first, second := caller{one, secret}, caller{two, secret}

	program, head := first.program(t, `{"budget": 5000}`)
	answer := second.must(t, 200, "POST", "/v1/chat/completions", hello,
		"Sapphiredrum-Program", program, "Sapphiredrum-Head", head, "Sapphiredrum-Call", "c1")
	text, next, done := events(t, answer.body)
	want := faker.Text([]sd.Message{{Role: "user", Content: "hello"}}, 8)
	if !done || text != want || next == "" || next == head {
		t.Fatalf("stream: done %v, text %q want %q, head %q", done, text, want, next)
	}

	repeated := first.must(t, 200, "POST", "/v1/chat/completions", hello,
		"Sapphiredrum-Program", program, "Sapphiredrum-Head", head, "Sapphiredrum-Call", "c1")
	if same, still, whole := events(t, repeated.body); same != text || still != next || !whole {
		t.Fatalf("asked again: %q with head %q, before %q with %q", same, still, text, next)
	}

	booked := second.must(t, 200, "POST", "/courier", `{"to":"Kranj"}`,
		"Sapphiredrum-Program", program, "Sapphiredrum-Head", next, "Sapphiredrum-Call", "c2")
	again := first.must(t, 200, "POST", "/courier", `{"to":"Kranj"}`,
		"Sapphiredrum-Program", program, "Sapphiredrum-Head", next, "Sapphiredrum-Call", "c2")
	if booked.body != again.body || booked.header.Get("Sapphiredrum-Head") == next {
		t.Fatalf("repeated call: %q, then %q", booked.body, again.body)
	}
	if runs := r.service.Counters().Runs; runs != 1 {
		t.Fatalf("the courier was sent %d times", runs)
	}
	stale := first.must(t, 409, "POST", "/v1/chat/completions", hello, "Sapphiredrum-Program", program, "Sapphiredrum-Head", head)
	if stale.header.Get("Sapphiredrum-Outcome") != "not-run" {
		t.Fatalf("a stale head was answered %v", stale.header)
	}
	caller{one, "key-other"}.must(t, 403, "GET", "/programs/"+program, "")
	first.must(t, 200, "DELETE", "/programs/"+program, "")
	second.must(t, 410, "POST", "/v1/chat/completions", hello, "Sapphiredrum-Program", program)
	select {
	case path := <-r.leaks:
		t.Fatalf("a target saw the key at %s", path)
	default:
	}
}
