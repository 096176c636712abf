package main_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	soakBudget = 400
	// soakEvents is the number of events of a turn, soakMost its most: events of 14 tokens.
	soakEvents = 4
	soakMost   = soakEvents * 14
	// soakAttempts is the number of targets that a resumable stream may run on: the plan's.
	soakAttempts = 2
	// soakAgents is the number of sub-agents of a program that has any.
	soakAgents = 3
	// recovery is how long after a loss of power turns may be without success: the
	// target recoveryS of the platform's sheets.
	recovery = 12 * time.Second
)

// soakCaller sends requests to one host for a while, on connections it keeps, and
// moves to another when one fails.
type soakCaller struct {
	*soak
	random *rand.Rand
	client *http.Client
	host   *soakHost
	// left is the number of requests before it moves.
	left int
	// path is that of the turns.
	path string
}

// Paths of turns: what is said on the first is kept; streams on the second may be resumed.
// Calls on the third may be repeated, those on the last run once.
const (
	keptTurns       = "/talk/x"
	resumableTurns  = "/ask/x"
	repeatableCalls = "/look/x"
	singleCalls     = "/pay/x"
)

func (s *soak) caller(random *rand.Rand) *soakCaller {
	return &soakCaller{soak: s, random: random, client: &http.Client{Transport: &http.Transport{}}, path: keptTurns}
}

// soakTurn is a turn that was answered whole.
type soakTurn struct{ id, program, line string }

// program runs one program, some with sub-agents whose turns come to other hosts at the
// same time. Some go on from another program's turn.
func (c *soakCaller) program(ctx context.Context, program string) {
	previous := ""
	c.path = keptTurns
	switch c.random.IntN(5) {
	case 0:
		previous = c.earlier()
	case 1:
		c.path = resumableTurns
	}
	var agents sync.WaitGroup
	if c.random.IntN(3) == 0 {
		for i := range soakAgents {
			agent := c.caller(rand.New(rand.NewPCG(c.random.Uint64(), 1)))
			agent.path = c.path
			agents.Go(func() { agent.line(ctx, program, fmt.Sprintf("%s-s%d", program, i), previous) })
		}
	}
	c.line(ctx, program, program, previous)
	agents.Wait()
}

// earlier returns a turn that was answered whole, or nothing.
func (c *soakCaller) earlier() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.turns) == 0 {
		return ""
	}
	return c.turns[c.random.IntN(len(c.turns))].id
}

// line runs turns of one line of a program, and calls, until the budget is spent.
func (c *soakCaller) line(ctx context.Context, program, line, previous string) {
	// Some give up after three failures, as the platform's clients do, others go on.
	patience := []int{3, 10}[c.random.IntN(2)]
	for n := 0; n < 10 && patience > 0 && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-t%d", line, n)
		status, whole := c.ask(c.path, id, program, previous)
		if whole && c.path == keptTurns {
			c.kept(soakTurn{id, program, line})
		}
		switch {
		case status == http.StatusNotFound && previous != "":
			c.note("LOST: turn %s was answered whole and is unknown to %s", previous, id)
			return
		case status == http.StatusPaymentRequired:
			return
		case whole && c.path == keptTurns:
			previous = id
		case whole:
		default:
			patience--
			c.pause()
		}
		if c.random.IntN(3) == 0 {
			c.ask(singleCalls, id+"-pay", program, "")
		}
		time.Sleep(upTo(c.random, 0, 20))
	}
}

// kept takes note of a turn that was answered whole.
func (c *soakCaller) kept(turn soakTurn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.turns = append(c.turns, turn)
}

// pause is what clients wait before they send a turn that has failed again.
func (c *soakCaller) pause() { time.Sleep(upTo(c.random, 100, 400)) }

// goOn continues from a turn that was answered whole, in its own program if that may
// go on, else in a new one.
func (c *soakCaller) goOn(turn soakTurn, own bool, until time.Time) {
	var seen []string
	for n := 0; time.Now().Before(until); n++ {
		id := fmt.Sprintf("%s-on%d", turn.id, n)
		program := id
		if own {
			program = turn.program
		}
		status, whole := c.ask("/talk/x", id, program, turn.id)
		switch {
		case whole:
			return
		case status == http.StatusNotFound, status == http.StatusGone:
			c.note("LOST: turn %s was answered whole and is unknown to %s afterwards: %d", turn.id, id, status)
			return
		case status == http.StatusPaymentRequired && own:
			own = false
			continue
		}
		seen = append(seen, strconv.Itoa(status))
		c.pause()
	}
	c.note("LOST: turn %s was answered whole, none that goes on from it was in %v: %v", turn.id, recovery, seen)
}

// choose moves to another host when it is time.
func (c *soakCaller) choose() {
	if c.left == 0 {
		c.host, c.left = c.hosts[c.random.IntN(len(c.hosts))], 1+c.random.IntN(12)
	}
	c.left--
}

// ask sends one request and notes what its answer promises. It reports whether the
// answer was a success and whole; status 0 stands for none.
func (c *soakCaller) ask(path, id, program, previous string) (status int, whole bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c.choose()
	input := "in " + id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.host.callers+path, bytes.NewReader([]byte(input)))
	if err != nil {
		c.t.Error(err)
		return 0, false
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Key": "k1", "Deadline-Ms": "2000", "Program-Id": program, "Previous-Turn": previous,
		"Token-Budget": strconv.Itoa(soakBudget), "Token-Usage": "10," + strconv.Itoa(soakMost),
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	sent := time.Now()
	c.lock.Lock()
	text := c.text[previous] + input
	c.sent[id], c.most[id] = text, 1
	if path == resumableTurns || path == repeatableCalls {
		c.most[id] = soakAttempts
	}
	c.lock.Unlock()
	answer, err := c.client.Do(req)
	if err != nil {
		c.left = 0
		c.lock.Lock()
		defer c.lock.Unlock()
		c.asked(sent, false)
		return 0, false
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	whole = answer.StatusCode == http.StatusOK && err == nil
	if !whole {
		c.left = 0
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.asked(sent, whole)
	if path == singleCalls || path == repeatableCalls {
		if whole && string(body) != "answer of "+id {
			c.wrong = append(c.wrong, fmt.Sprintf("ORDER: %s was ended as whole after %q", id, body))
		}
	} else {
		events := strings.Count(string(body), "data:")
		c.handed[program] += events * soakMost / soakEvents
		if whole {
			if events != soakEvents {
				c.wrong = append(c.wrong, fmt.Sprintf("%s was ended as whole after %d events", id, events))
			}
			n := 0
			for line := range strings.Lines(string(body)) {
				if data, ok := strings.CutPrefix(line, "data: "); ok {
					if data != fmt.Sprintf("%s.%d\n", id, n) {
						c.wrong = append(c.wrong, fmt.Sprintf("ORDER: event %d of %s is %q", n, id, data))
					}
					text += data
					n++
				}
			}
			c.text[id] = text
		}
	}
	switch answer.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired:
		c.promise[id] = answer.Status
	}
	return answer.StatusCode, whole
}
