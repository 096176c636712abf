package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is a client's request and what became of it.
type attempt struct {
	id       string
	host     string
	sent, at time.Duration
	// status is zero if the channel ended without an answer.
	status  int
	leaving bool
	stamp   string
	body    string
}

// callers are clients of one host on kept channels.
type callers struct {
	fleet  *fleet
	client *http.Client
	// quiet leaves the requests out of the record.
	quiet bool

	lock     sync.Mutex
	attempts []attempt
	running  sync.WaitGroup
	stopped  atomic.Bool
}

func (f *fleet) newCallers() *callers {
	return &callers{fleet: f, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 48 * time.Second, DisableCompression: true,
	}}}
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request to a host and waits for the answer. An empty body sends a GET.
func (c *callers) call(h *host, path, body string, limit time.Duration) attempt {
	a := attempt{id: newID(), host: h.name}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	method, content := http.MethodGet, io.Reader(nil)
	if body != "" {
		method, content = http.MethodPost, strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", h.ip, frontPort, path), content)
	if err != nil {
		return a
	}
	request.GetBody = nil
	request.Host = "h.example"
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Key", key)
	if strings.HasPrefix(path, "/talk/") {
		// The only turn of a program.
		for name, value := range map[string]string{
			"Program-Id": a.id[:8], "Session-Id": a.id[8:], "Program-Deadline-Ms": "3000", "Token-Budget": "400",
			"Model": "m", "Token-Usage": "100,40", "Prompt-Prefix": a.id + ":100",
		} {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	a.sent = c.fleet.now()
	if !c.quiet {
		c.fleet.write("client sends %s %s%s to %s", a.id, method, path, h.name)
	}
	response, err := c.client.Do(request)
	if err == nil {
		text, broken := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err = broken; err == nil {
			a.status, a.body = response.StatusCode, string(text)
			a.leaving, a.stamp = response.Header.Get("Server-Leaving") != "", response.Header.Get("Server-Stamp")
		}
	}
	a.at = c.fleet.now()
	if !c.quiet {
		c.fleet.write("client gets %s: status %d, stamp %q, leaving %v, error %v", a.id, a.status, a.stamp, a.leaving, err)
	}
	c.lock.Lock()
	c.attempts = append(c.attempts, a)
	c.lock.Unlock()
	return a
}

// press sends requests to a host at a pace until the given time.
func (c *callers) press(h *host, path, body string, pace time.Duration, limit time.Duration, until time.Duration) {
	c.running.Go(func() {
		ticker := time.NewTicker(pace)
		defer ticker.Stop()
		for c.fleet.now() < until && !c.stopped.Load() {
			c.running.Go(func() { c.call(h, path, body, limit) })
			<-ticker.C
		}
	})
}

// stop ends the pressing and waits for the requests under way.
func (c *callers) stop() {
	c.stopped.Store(true)
	c.running.Wait()
}

// wait waits for all requests and returns what became of them.
func (c *callers) wait() []attempt {
	c.running.Wait()
	c.lock.Lock()
	defer c.lock.Unlock()
	return append([]attempt(nil), c.attempts...)
}

// statuses counts the answers by status.
func statuses(attempts []attempt) map[int]int {
	counts := map[int]int{}
	for _, a := range attempts {
		counts[a.status]++
	}
	return counts
}
