// Command driver2 plays the scripts of the second review: it starts entry hosts as processes of
// their own, is their store, runners and clients, and judges what these have seen.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

// longest is how long a case may run.
const longest = 116 * time.Second

var (
	recordLock sync.Mutex
	record     *os.File
	began      = time.Now()
	// trouble tells whether the disruption is to happen.
	trouble = os.Getenv("TROUBLE") != "0"
)

// note writes a line of the record.
func note(format string, args ...any) {
	recordLock.Lock()
	defer recordLock.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(began).Seconds()) + strings.TrimSpace(fmt.Sprintf(format, args...)) + "\n"
	if record != nil {
		_, _ = record.WriteString(line)
	}
}

// fail ends a case that could not run. Its processes end with this one.
func fail(format string, args ...any) {
	note("not run: "+format, args...)
	os.Exit(notRun)
}

// world is a small deployment.
type world struct {
	folder  string
	store   *store
	address string
	runners []*runner
	hosts   []*host
	done    chan struct{}
}

// newWorld starts a store with a desired state.
func newWorld(desired []byte) *world {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("folder: %v", err)
	}
	w := &world{folder: folder, store: newStore(), done: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	w.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store) }()
	w.store.put("op", "config", desired)
	time.AfterFunc(longest, func() { w.end(notRun) })
	return w
}

// addRunners starts and registers model runners with some events a stream.
func (w *world) addRunners(count, events int) {
	for i := range count {
		g := &runner{id: fmt.Sprintf("i-%d", i), service: "engines", events: events, pause: 5 * time.Millisecond, slots: 12}
		if err := g.start(); err != nil {
			fail("runner: %v", err)
		}
		w.runners = append(w.runners, g)
		w.store.put("servers", g.id, g.registration(time.Now().UnixMilli()))
	}
}

// addHosts starts hosts, in three zones by turns, and waits until they are ready.
func (w *world) addHosts(count, memoryMb int) {
	first := len(w.hosts)
	for i := first; i < first+count; i++ {
		h := newHost(w.folder, fmt.Sprintf("f%d", i), fmt.Sprintf("z%d", i%3), w.address, memoryMb)
		w.hosts = append(w.hosts, h)
		h.start()
	}
	for _, h := range w.hosts[first:] {
		w.awaitReady(h)
	}
	note("machines f%d to f%d are ready, %d MB each", first, first+count-1, memoryMb)
}

// awaitReady waits until a host is ready.
func (w *world) awaitReady(h *host) {
	for range 400 {
		answer, err := http.Get("http://" + h.ready + "/v1/readyz")
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	fail("host %s is not ready", h.name)
}

// end ends all processes and the case.
func (w *world) end(code int) {
	close(w.done)
	for _, h := range w.hosts {
		h.lock.Lock()
		_ = h.process.Kill()
		h.lock.Unlock()
	}
	for _, g := range w.runners {
		for _, r := range g.ran() {
			note("ran: %s of tenant %s at %s, body of %d bytes (%s), at %.3f", r.request, r.tenant, g.id, r.size, r.digest, r.at.Sub(began).Seconds())
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
	note("the store refused %d calls as malformed or too large; result %d", w.store.refused(), code)
	os.Exit(code)
}

// judge ends the case.
func (w *world) judge(isBroken bool) {
	if isBroken {
		w.end(broken)
	}
	w.end(held)
}

// tenants is the number of tenants, that of the sites.
const tenants = 8

// key returns the API key of a program's tenant.
func key(program int) string { return fmt.Sprintf("key-%04d", program%tenants) }

// plan returns a desired state with a retained route at the service "engines" and all tenants.
func plan(timeoutMs int) []byte { return planOf(timeoutMs, true) }

// planOf is plan with a route that is retained or not.
func planOf(timeoutMs int, retained bool) []byte {
	var keys []string
	for i := range tenants {
		keys = append(keys, fmt.Sprintf(`{"name":"t%d","apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0}`, i, key(i)))
	}
	return fmt.Appendf(nil, `{"version":1,"routes":[{"name":"talk","host":"h.example","prefix":"/talk/","routeKind":"streaming",`+
		`"timeoutMs":%d,"targetLatencyMs":200,"priority":1,"service":"engines","maxAttempts":2,"retained":%v,"retentionS":60,"sticky":true,"targetGapMs":200}],`+
		`"services":[{"name":"engines","healthPath":"/healthz","maxConns":490,"coldStartS":0,"coldPerS":0,"engine":{"slots":12,"kvCapacity":5000000,"chunkTokens":14}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[%s]}`,
		timeoutMs, retained, strings.Join(keys, ","))
}

// turn is a client attempt of a turn.
type turn struct {
	id, key, program, previous, usage, budget string

	body []byte
	// limit is the client's time limit, aim the time in which the program should end.
	limit, aim time.Duration
}

// outcome is what the client got: status 0 means a channel that ended without a whole answer.
type outcome struct {
	status int
	body   string
	err    error
}

func (o outcome) String() string {
	if o.status == http.StatusOK {
		return "200, whole"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s %v", o.status, strings.Join(strings.Fields(o.body[:min(len(o.body), 60)]), " "), o.err))
}

// send sends a turn on a channel of its own.
func send(h *host, t turn) outcome {
	o := exchange(h, t)
	note("%s sent %s of program %s, after %q, %d bytes: %v", h.name, t.id, t.program, t.previous, len(t.body), o)
	return o
}

func exchange(h *host, t turn) outcome {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/talk/x", bytes.NewReader(t.body))
	if err != nil {
		return outcome{err: err}
	}
	request.Host = "h.example"
	for name, value := range map[string]string{
		"Request-Id": t.id, "Key": t.key, "Program-Id": t.program, "Session-Id": t.program, "Previous-Turn": t.previous, "Model": "m", "Token-Usage": t.usage, "Token-Budget": t.budget,
		"Deadline-Ms": strconv.FormatInt(t.limit.Milliseconds(), 10), "Program-Deadline-Ms": strconv.FormatInt(t.aim.Milliseconds(), 10),
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	client := &http.Client{Timeout: t.limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	answer, err := client.Do(request)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return outcome{body: string(body), err: err}
	}
	return outcome{status: answer.StatusCode, body: string(body)}
}

func main() {
	cases := map[string]func(){"added": addedCase, "rolled": rolledCase, "killed": killedCase, "herd": herdCase, "outage": outageCase, "crashed": crashedCase, "charged": chargedCase, "parallel": parallelCase}
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		runUnframed(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE FOLDER")
		os.Exit(notRun)
	}
	var err error
	if record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	cases[os.Args[1]]()
}
