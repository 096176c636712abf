package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// parallelPrograms programs run, parallelAtOnce of them at the same time. Each starts
	// parallelAgents sub-agents after its first turn; its budget holds the turns of all of them
	// at their most.
	parallelPrograms = 96
	parallelAtOnce   = 4
	parallelAgents   = 7
	// startGap is the most time between the starts of two sub-agents.
	startGap = 8 * time.Millisecond
)

// parallelCase has programs start sub-agents that run in parallel, with no disruption. With
// TROUBLE=0 the sub-agents run one after the other.
func parallelCase() {
	w := newWorld(plan(4000))
	w.addRunners(6, 7)
	w.addHosts(3, 154)
	time.Sleep(9 * time.Second)
	note("the machines are in touch")
	var lock sync.Mutex
	sent, denied := 0, 0
	run := func(t turn, h *host) bool {
		o := send(h, t)
		lock.Lock()
		defer lock.Unlock()
		sent++
		if o.status == 402 {
			denied++
		}
		return o.status == 200
	}
	places := make(chan struct{}, parallelAtOnce)
	var programs sync.WaitGroup
	for p := range parallelPrograms {
		programs.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			h := w.hosts[p%len(w.hosts)]
			first := budgetTurn(p, 0, "")
			if !run(first, h) {
				return
			}
			var agents sync.WaitGroup
			for i := range parallelAgents {
				t := budgetTurn(p, 1+i, first.id)
				if !trouble {
					run(t, h)
					continue
				}
				agents.Go(func() { run(t, h) })
				time.Sleep(rand.N(startGap))
			}
			agents.Wait()
		})
	}
	programs.Wait()
	note("%d of %d requests were answered 402, though each program's budget of %s tokens holds all its turns at their most", denied, sent, budget)
	w.judge(denied > 5+sent/500)
}
