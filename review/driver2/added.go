package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// tries are those of a client for one turn: an attempt and a retry, and the turn sent again
	// twice.
	tries = 6
	// retryPause is the time between two tries.
	retryPause = 300 * time.Millisecond

	// The programs of the case: each turn generates 98 tokens, 280 at most, as in the pages'
	// example.
	budgetPrograms = 24
	budgetTurns    = 16
	budget         = "2240"
	budgetUsage    = "1840,280"
)

// addedCase adds a machine, and then programs run that need more than three fifths of their
// budgets. With HOW=remove a machine is removed for good instead, with SIGTERM.
func addedCase() {
	removes := os.Getenv("HOW") == "remove"
	w := newWorld(plan(4000))
	w.addRunners(6, 7)
	if w.addHosts(3, 154); removes {
		w.addHosts(1, 154)
	}
	time.Sleep(9 * time.Second)
	serving := w.hosts[:3]
	switch {
	case trouble && removes:
		note("f3 gets SIGTERM and is removed for good")
		w.hosts[3].signal(syscall.SIGTERM, true)
	case trouble:
		note("a machine is added")
		w.addHosts(1, 154)
	}
	time.Sleep(5 * time.Second)
	note("the machines are in touch")
	var group sync.WaitGroup
	var lock sync.Mutex
	lost, firsts := 0, 0
	for p := range budgetPrograms {
		group.Go(func() {
			whole := w.runProgram(serving, p)
			lock.Lock()
			defer lock.Unlock()
			if whole > 0 {
				firsts++
			}
			if whole < budgetTurns {
				lost++
				note("program %d: its turn %d, after %d of %s tokens, reached no runner in %d tries", p, whole+1, 98*whole, budget, tries)
			}
		})
	}
	group.Wait()
	note("%d of %d programs had such a turn; %d first turns reached a runner", lost, budgetPrograms, firsts)
	w.judge(lost > 0 && 10*firsts >= 9*budgetPrograms)
}

// runProgram runs the turns of a program one after the other. It returns how many were answered
// whole before one that reached no runner.
func (w *world) runProgram(serving []*host, p int) int {
	previous := ""
	for i := range budgetTurns {
		whole := false
		for try := 0; try < tries && !whole; try++ {
			t := turn{
				id: fmt.Sprintf("p%d-%d-%d", p, i, try), key: key(p), program: fmt.Sprint("p", p), previous: previous, usage: budgetUsage, budget: budget,
				body: []byte("go on\n"), limit: 4 * time.Second, aim: 30 * time.Second,
			}
			// A client's channel stays with its machine, retries reach other ones.
			o := send(serving[(p+try)%len(serving)], t)
			if whole = o.status == 200; whole {
				previous = t.id
			} else if w.ran(t.id) {
				fail("turn %s has run: %v", t.id, o)
			} else {
				time.Sleep(retryPause)
			}
		}
		if !whole {
			return i
		}
	}
	return budgetTurns
}

// ran reports whether a runner has run a request.
func (w *world) ran(id string) bool {
	for _, g := range w.runners {
		for _, r := range g.ran() {
			if r.request == id {
				return true
			}
		}
	}
	return false
}
