package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	// lineCount is the number of short lines of turns of the program that loops, and of the other
	// programs.
	lineCount = 20
	// agentTurns is the number of turns of its sub-agents, agentBytes the input of each.
	agentTurns, agentBytes = 160, 300_000
	// agentsAtOnce is how many of these are under way at a time.
	agentsAtOnce = 8
	// downTime is how long the processes are down in the final fault.
	downTime = 1500 * time.Millisecond
	// usualMachine is the memory of the site's machines, in megabytes.
	usualMachine = 304
	// recoverTime is the bound of RECOVER, lastTime the span before it in which others are counted.
	recoverTime, lastTime = 12 * time.Second, 4 * time.Second
	// tryPause is the pause between two tries of a turn.
	tryPause = 400 * time.Millisecond
	// firstTries bounds the tries of a turn before the fault.
	firstTries = 20
)

// playLines has a program say more in its sub-agents than a machine holds of one request, kills all
// processes, and goes on from the program's short lines.
func playLines(w *world, trouble bool) (int, error) {
	if err := w.addMachines("z", usualMachine, 3); err != nil {
		return couldNot, err
	}
	if err := w.awaitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(settleTime)
	mine, others := make([]string, lineCount), make([]string, lineCount)
	for i := range lineCount {
		mine[i] = w.first(i, turn{id: fmt.Sprintf("line-%d", i), program: "loop", session: fmt.Sprintf("line-%d", i)}, usualBytes)
		others[i] = w.first(i, turn{id: fmt.Sprintf("other-%d", i), program: fmt.Sprintf("other-%d", i), session: "line"}, usualBytes)
		if mine[i] == "" || others[i] == "" {
			return couldNot, fmt.Errorf("%w: a first turn was not served", errSetup)
		}
	}
	began, served := time.Now(), w.agents()
	w.say("%d of %d turns of sub-agents with %d bytes each were answered whole in %.1f s", served, agentTurns, agentBytes, time.Since(began).Seconds())
	if served < agentTurns {
		return couldNot, fmt.Errorf("%w: turns of sub-agents were not served", errSetup)
	}
	if trouble {
		if err := w.killAll(); err != nil {
			return couldNot, err
		}
	}
	lost, lostOthers, othersLate := w.goOnAll(mine, others)
	w.say("%d of %d turns of the program that loops reached no runner in %v, %d of %d of the others; in the last %v %d of %d tries of other turns were served",
		lost, lineCount, recoverTime, lostOthers, lineCount, lastTime, othersLate.served, othersLate.asked)
	if lost > 0 && lostOthers == 0 && 5*othersLate.served >= 4*othersLate.asked {
		return broken, nil
	}
	return held, nil
}

// first sends a first turn until it is served, and returns the id under which it was.
func (w *world) first(n int, t turn, size int) string {
	id := t.id
	t.key, t.limit, t.input = "k1", 4*time.Second, bytes.Repeat([]byte("a"), size)
	for try := range firstTries {
		t.id = fmt.Sprintf("%s-%d", id, try)
		if t.send(w.machines[(n+try)%len(w.machines)]).served() {
			return t.id
		}
		time.Sleep(tryPause)
	}
	return ""
}

// agents sends the turns of the sub-agents and returns how many were served.
func (w *world) agents() int {
	work := make(chan int, agentTurns)
	for i := range agentTurns {
		work <- i
	}
	close(work)
	var group sync.WaitGroup
	var lock sync.Mutex
	served := 0
	for range agentsAtOnce {
		group.Go(func() {
			for i := range work {
				if w.first(i, turn{id: fmt.Sprintf("agent-%d", i), program: "loop", session: fmt.Sprintf("agent-%d", i)}, agentBytes) != "" {
					lock.Lock()
					served++
					lock.Unlock()
				}
			}
		})
	}
	group.Wait()
	return served
}

// killAll is the final fault.
func (w *world) killAll() error {
	for _, m := range w.machines {
		if process, _ := m.current(); process != nil {
			_ = process.Kill()
		}
	}
	for _, m := range w.machines {
		m.kill()
	}
	w.say("all processes are killed")
	time.Sleep(downTime)
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	w.say("all processes are started again")
	return w.awaitReady()
}

// share counts tries and those that were served.
type share struct{ asked, served int }

// goOnAll goes on from all lines. It returns how many turns of each kind reached no runner, and the
// tries of new turns of other programs in the last seconds.
func (w *world) goOnAll(mine, others []string) (lost, lostOthers int, late share) {
	back := time.Now()
	var group sync.WaitGroup
	var lock sync.Mutex
	for i := range lineCount {
		group.Go(func() {
			reached := w.goOn(back, i, turn{id: fmt.Sprintf("line-%d-on", i), program: "loop", session: fmt.Sprintf("line-%d", i), previous: mine[i]})
			lock.Lock()
			defer lock.Unlock()
			if !reached {
				lost++
			}
		})
		group.Go(func() {
			reached := w.goOn(back, i, turn{id: fmt.Sprintf("other-%d-on", i), program: fmt.Sprintf("other-%d", i), session: "line", previous: others[i]})
			lock.Lock()
			defer lock.Unlock()
			if !reached {
				lostOthers++
			}
		})
	}
	group.Go(func() {
		time.Sleep(time.Until(back.Add(recoverTime - lastTime)))
		for n := 0; time.Since(back) < recoverTime; n++ {
			t := turn{id: fmt.Sprintf("late-%d", n), key: "k1", program: fmt.Sprintf("late-%d", n), session: "line", limit: 4 * time.Second, input: []byte("a")}
			a := t.send(w.machines[n%len(w.machines)])
			late.asked++
			if a.served() {
				late.served++
			}
			time.Sleep(tryPause / 4)
		}
	})
	group.Wait()
	return lost, lostOthers, late
}

// goOn sends a turn until it reaches a runner, or recoverTime has passed.
func (w *world) goOn(back time.Time, n int, t turn) bool {
	id := t.id
	t.key, t.limit, t.input = "k1", 4*time.Second, bytes.Repeat([]byte("a"), usualBytes)
	var answers tally
	for try := 0; time.Since(back) < recoverTime; try++ {
		t.id = fmt.Sprintf("%s-%d", id, try)
		answers.add(t.send(w.machines[(n+try)%len(w.machines)]))
		if w.runs(t.id) > 0 {
			w.say("%s, going on from %s, reached a runner at try %d, %.1f s after the machines were back: %v", id, t.previous, try+1, time.Since(back).Seconds(), &answers)
			return true
		}
		time.Sleep(tryPause)
	}
	w.say("%s, going on from %s, reached no runner: %v", id, t.previous, &answers)
	return false
}
