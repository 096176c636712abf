package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// turnsBefore leave 1,162 of a budget's 2,240 tokens.
	turnsBefore = 11
	// judgedFrom is how long after the machines are back the last 4 s of recoveryS, 12 s, begin.
	judgedFrom = 8 * time.Second
)

// killedCase has all processes killed at the same moment, and later killed once more, as the final
// fault. Programs that have begun between the two go on after it. With HOW=one only one process is
// killed, twice.
func killedCase() {
	w := newWorld(plan(4000))
	w.addRunners(6, 7)
	w.addHosts(3, 154)
	time.Sleep(9 * time.Second)
	w.killAll()
	time.Sleep(4 * time.Second)
	lasts := make([]string, budgetPrograms)
	var group sync.WaitGroup
	for p := range budgetPrograms {
		group.Go(func() {
			for i := range turnsBefore {
				t := budgetTurn(p, i, lasts[p])
				if o := send(w.hosts[p%len(w.hosts)], t); o.status != 200 {
					fail("turn %s: %v", t.id, o)
				}
				lasts[p] = t.id
			}
		})
	}
	group.Wait()
	note("%d programs have used %d of %s tokens", budgetPrograms, 98*turnsBefore, budget)
	w.killAll()
	time.Sleep(judgedFrom)
	note("the last 4 s of recoveryS begin")
	lost, denied, firsts := 0, 0, 0
	for p, last := range lasts {
		t := budgetTurn(p, turnsBefore, last)
		o := send(w.hosts[p%len(w.hosts)], t)
		if o.status >= 400 && o.status < 500 && o.status != 429 {
			denied++
		}
		if o.status != 200 && !w.ran(t.id) {
			lost++
		}
		if send(w.hosts[p%len(w.hosts)], budgetTurn(budgetPrograms+p, 0, "")).status == 200 {
			firsts++
		}
	}
	note("%d of %d turns reached no runner, %d were answered 4xx; %d of %d first turns reached one", lost, len(lasts), denied, firsts, len(lasts))
	w.judge(lost > 0 && firsts == len(lasts))
}

// killAll has all processes killed at the same moment, and started again after a second.
func (w *world) killAll() {
	killed := w.hosts
	if os.Getenv("HOW") == "one" {
		killed = w.hosts[:1]
	}
	if trouble {
		note("%d processes are killed", len(killed))
		for _, h := range killed {
			h.signal(syscall.SIGKILL, true)
		}
		time.Sleep(time.Second)
		for _, h := range killed {
			h.start()
		}
	}
	for _, h := range w.hosts {
		w.awaitReady(h)
	}
	note("the machines are ready")
}

// budgetTurn returns a turn of a program, which generates 98 tokens.
func budgetTurn(p, i int, previous string) turn {
	return turn{
		id: fmt.Sprintf("p%d-%d", p, i), key: key(p), program: fmt.Sprint("p", p), previous: previous, usage: budgetUsage, budget: budget,
		body: []byte("go on\n"), limit: 4 * time.Second, aim: 30 * time.Second,
	}
}
