package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// hostName is the host of all routes, turnPath the path of the route that keeps turns.
	hostName, turnPath = "h.example", "/talk/x"
	// patience is how much longer than its time limit a client waits.
	patience = time.Second
	// usualBytes is the usual size of a turn's input on the sheets.
	usualBytes = 4300
)

// turn is a turn of a program.
type turn struct {
	id, key, program, session string
	// previous is the turn from which this one goes on, or empty.
	previous string
	// path is that of a route; empty stands for the one that keeps turns.
	path  string
	input []byte
	// limit is the client's time limit.
	limit time.Duration
	// budget is the program's budget and most the most of the turn, in tokens; zero stands for
	// plenty.
	budget, most int
}

// answer is what a client saw.
type answer struct {
	// status is zero if the channel ended without an answer; whole tells that the answer did not
	// end early.
	status int
	whole  bool
	body   string
}

func (a answer) served() bool { return a.status == http.StatusOK && a.whole }

// String returns the answer for the record.
func (a answer) String() string {
	switch {
	case a.status == 0:
		return "channel closed without an answer"
	case !a.whole:
		return fmt.Sprintf("%d, broken off", a.status)
	case a.status != http.StatusOK:
		return fmt.Sprintf("%d, %s", a.status, strings.TrimSpace(a.body))
	}
	return fmt.Sprintf("%d, whole", a.status)
}

// send sends a turn to a machine on a new channel and reads the answer.
func (t turn) send(m *machine) answer {
	ctx, cancel := context.WithTimeout(context.Background(), t.limit+patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address(callerPort)+cmp.Or(t.path, turnPath), bytes.NewReader(t.input))
	if err != nil {
		return answer{}
	}
	request.GetBody = nil
	request.Host = hostName
	for name, value := range map[string]string{
		"Request-Id": t.id, "Key": t.key, "Deadline-Ms": fmt.Sprint(t.limit.Milliseconds()), "Program-Id": t.program, "Session-Id": t.session,
		"Program-Deadline-Ms": "30000", "Token-Budget": strconv.Itoa(cmp.Or(t.budget, 1_000_000)),
		"Token-Usage": fmt.Sprintf("1000,%d", cmp.Or(t.most, 140)), "Model": "m", "Previous-Turn": t.previous,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, whole: err == nil, body: string(body)}
}

// tally counts answers.
type tally struct {
	lock   sync.Mutex
	counts map[string]int
}

func (c *tally) add(a answer) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[a.String()]++
}

// String returns the counts for the record.
func (c *tally) String() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	var parts []string
	for text, n := range c.counts {
		parts = append(parts, fmt.Sprintf("%d x %s", n, text))
	}
	sort.Strings(parts)
	return strings.Join(parts, "; ")
}

// keyOf returns the key of one of the four tenants.
func keyOf(n int) string { return fmt.Sprintf("k%d", 1+n%4) }
