package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The program of the case.
const (
	subAgentTurns     = 1100
	subAgentTurnBytes = 26000
	subAgentUsage     = "5000,42"
	subAgentBudget    = "100000"
	// subAgentsAtOnce run at a time.
	subAgentsAtOnce = 12
	// goneOn is how many sub-agents go on, from all parts of the program.
	goneOn = 30
	// retention is retentionS of the route, less what a slow play may take.
	retention = 55 * time.Second
)

// rolledCase stops the machines in turn and starts them again, after a program has started many
// sub-agents. Then some of these go on from what was said.
func rolledCase() {
	w := newWorld(plan(6000))
	w.addRunners(6, 3)
	w.addHosts(3, 154)
	time.Sleep(2 * time.Second)
	answered := w.runSubAgents()
	note("%d turns of %d bytes are answered whole", subAgentTurns, subAgentTurnBytes)
	if trouble {
		for _, h := range w.hosts {
			note("%s gets SIGTERM", h.name)
			h.signal(syscall.SIGTERM, true)
			h.start()
			w.awaitReady(h)
			note("%s is started again and ready", h.name)
		}
	}
	time.Sleep(4 * time.Second)
	note("the machines are in touch")
	lost, firsts, reached := 0, 0, 0
	for n := 0; n < goneOn && lost < 3; n++ {
		i := n * subAgentTurns / goneOn
		firsts++
		if send(w.hosts[n%len(w.hosts)], turn{
			id: fmt.Sprint("first-", i), key: key(1), program: fmt.Sprint("other-", i), usage: "10,42", budget: "1000", body: []byte("hello\n"), limit: 3 * time.Second, aim: 30 * time.Second,
		}).status == 200 {
			reached++
		}
		sent, whole := 0, false
		for sent < tries && !whole && time.Since(answered[i]) < retention {
			t := turn{
				id: fmt.Sprintf("next-%d-%d", i, sent), key: key(0), program: "p", previous: fmt.Sprint("sub-", i), usage: subAgentUsage, budget: subAgentBudget,
				body: []byte("go on\n"), limit: 3 * time.Second, aim: 30 * time.Second,
			}
			o := send(w.hosts[(n+sent)%len(w.hosts)], t)
			sent++
			if whole = o.status == 200; !whole && w.ran(t.id) {
				fail("turn %s has run: %v", t.id, o)
			} else if !whole {
				time.Sleep(retryPause)
			}
		}
		if !whole && sent == tries {
			lost++
			note("the turn after sub-%d, which was answered whole %.1f s ago, reached no runner in %d tries", i, time.Since(answered[i]).Seconds(), tries)
		}
	}
	note("%d turns reached no runner in %d tries; %d of %d first turns reached one", lost, tries, reached, firsts)
	w.judge(lost > 0 && 10*reached >= 9*firsts)
}

// runSubAgents has a program start sub-agents, some at a time. It returns when the turn of each
// was answered whole.
func (w *world) runSubAgents() []time.Time {
	text := strings.Repeat("0123456789abcde\n", subAgentTurnBytes/16)
	answered := make([]time.Time, subAgentTurns)
	lines := make(chan int)
	var group sync.WaitGroup
	for range subAgentsAtOnce {
		group.Go(func() {
			for i := range lines {
				t := turn{
					id: fmt.Sprint("sub-", i), key: key(0), program: "p", usage: subAgentUsage, budget: subAgentBudget, body: []byte(fmt.Sprint(i, "\n", text)),
					limit: 6 * time.Second, aim: 30 * time.Second,
				}
				if o := send(w.hosts[i%len(w.hosts)], t); o.status != 200 {
					fail("sub-agent %d: %v", i, o)
				}
				answered[i] = time.Now()
			}
		})
	}
	for i := range subAgentTurns {
		lines <- i
	}
	close(lines)
	group.Wait()
	return answered
}
