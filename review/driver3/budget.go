package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// budgetPrograms is the number of programs that loop, one after the other.
	budgetPrograms = 6
	// budgetTurns is the number of turns that sub-agents of each begin.
	budgetTurns = 24
	// budgetTokens is the programs' budget, turnTokens the most of one turn and eventTokens what the
	// plan counts for each event (`chunkTokens`).
	budgetTokens, turnTokens, eventTokens = 600, 30, 14
	// budgetEvents is how many events a turn of turnTokens has.
	budgetEvents = (turnTokens + eventTokens - 1) / eventTokens
)

// playBudget has programs start sub-agents until their budget is spent: all at once, or, without
// trouble, one after the other.
func playBudget(w *world, trouble bool) (int, error) {
	if err := w.addMachines("z", usualMachine, 3); err != nil {
		return couldNot, err
	}
	if err := w.awaitReady(); err != nil {
		return couldNot, err
	}
	// After that, hosts may allot tokens as in a deployment that has been up for long.
	time.Sleep(4 * settleTime)
	over := 0
	for p := range budgetPrograms {
		handed, answers := w.loopUntilStopped(p, trouble)
		w.say("%d turns have run", w.ran.Load())
		w.say("program %d with %d tokens, %d at most in a turn: %d events of %d tokens were handed out, %d tokens; %v",
			p, budgetTokens, turnTokens, handed, eventTokens, handed*eventTokens, answers)
		if handed*eventTokens > budgetTokens+max(turnTokens, budgetEvents*eventTokens) {
			over++
		}
	}
	w.say("%d of %d programs were handed more than their budget and the most of one turn", over, budgetPrograms)
	if over > 0 {
		return broken, nil
	}
	return held, nil
}

// loopUntilStopped has a program start its sub-agents. It returns the number of events that clients
// were handed.
func (w *world) loopUntilStopped(p int, atOnce bool) (int, *tally) {
	var group sync.WaitGroup
	var lock sync.Mutex
	var answers tally
	handed := 0
	ask := func(n int) {
		t := turn{
			id: fmt.Sprintf("b-%d-%d", p, n), key: "k1", program: fmt.Sprintf("loop-%d", p), session: fmt.Sprintf("agent-%d", n),
			input: []byte("go on"), limit: 4 * time.Second, budget: budgetTokens, most: turnTokens,
		}
		a := t.send(w.machines[n%len(w.machines)])
		answers.add(a)
		lock.Lock()
		defer lock.Unlock()
		handed += strings.Count(a.body, "data:")
	}
	for n := range budgetTurns {
		if atOnce {
			group.Go(func() { ask(n) })
		} else {
			ask(n)
		}
	}
	group.Wait()
	return handed, &answers
}
