package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// The programs of the case: long conversations, of each of which several lines go on at once.
// Together they are 293 turns a machine: the brief's 120,000 programs on 410 machines.
const (
	longPrograms  = 16
	longTurns     = 36
	longTurnBytes = 26000
	longLines     = 55
	longBudget    = "10000000"
	rounds        = 8
	// roundPause is the time between two rounds: machines that have ended are in touch again.
	roundPause = 4500 * time.Millisecond
)

// herdCase has all processes killed at the same moment, and then the lines of programs with long
// conversations go on, several times. The platform kills processes that use more than their memory.
func herdCase() {
	w := newWorld(plan(6000))
	w.addRunners(9, 3)
	w.addHosts(3, 154)
	time.Sleep(2 * time.Second)
	lasts := w.converse()
	note("%d programs with %d turns of %d bytes each are answered", longPrograms, longTurns, longTurnBytes)
	w.killAll()
	time.Sleep(4 * time.Second)
	note("the machines are in touch")
	for _, h := range w.hosts {
		go h.watch(w.done)
	}
	for round := range rounds {
		w.goOn(round, lasts)
		time.Sleep(roundPause)
		for _, h := range w.hosts {
			w.awaitReady(h)
		}
	}
	often := 0
	for _, h := range w.hosts {
		ends, peak := h.figures()
		note("%s: its processes have ended %d times and used %d MB at most, of %d MB", h.name, ends, peak, h.memoryMb)
		if ends >= 3 {
			often++
		}
	}
	w.judge(often >= 2)
}

// converse runs the programs, whose last turns go through each machine once. It returns the last
// long turn of each.
func (w *world) converse() []string {
	var group sync.WaitGroup
	text := []byte(strings.Repeat("0123456789abcde\n", longTurnBytes/16))
	lasts := make([]string, longPrograms)
	for p := range longPrograms {
		group.Go(func() {
			for i := range longTurns + len(w.hosts) {
				h, body := w.hosts[p%len(w.hosts)], text
				if i >= longTurns {
					h, body = w.hosts[i-longTurns], []byte("go on\n")
				}
				o := outcome{}
				id := ""
				for try := 0; try < 10 && o.status != 200; try++ {
					id = fmt.Sprintf("p%d-%d-%d", p, i, try)
					o = send(h, turn{
						id: id, key: key(p), program: fmt.Sprint("p", p), previous: lasts[p], usage: "4000,42", budget: longBudget, body: body, limit: 6 * time.Second, aim: 30 * time.Second,
					})
					if o.status != 200 {
						time.Sleep(retryPause)
					}
				}
				if o.status != 200 {
					fail("turn %d of program %d: %v", i, p, o)
				}
				if i < longTurns {
					lasts[p] = id
				}
			}
		})
	}
	group.Wait()
	return lasts
}

// goOn has all lines of the programs go on from what was said so far.
func (w *world) goOn(round int, lasts []string) {
	note("round %d: %d turns are sent", round, len(lasts)*longLines)
	var group sync.WaitGroup
	for p, last := range lasts {
		for i := range longLines {
			group.Go(func() {
				send(w.hosts[(p+i)%len(w.hosts)], turn{
					id: fmt.Sprintf("r%d-p%d-%d", round, p, i), key: key(p), program: fmt.Sprint("p", p), previous: last, usage: "160000,42", budget: longBudget, body: []byte("sub-agent\n"),
					limit: 6 * time.Second, aim: 30 * time.Second,
				})
			})
		}
	}
	group.Wait()
}
