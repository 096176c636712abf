package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"sapphiredrum.example/sapphiredrum/faker"
)

const (
	// chargedPrograms is the number of programs, chargedAgents that of the sub-agents of each.
	chargedPrograms, chargedAgents = 16, 30
	// turnsBefore is how many turns a sub-agent has while answers of the store are lost, one a second,
	// and turnsAfter how many later.
	turnsBefore, turnsAfter = 4, 1
	// spareTurns is the number of turns that each budget holds beyond all that are sent.
	spareTurns = 15
	// chargedEvents is the number of events of a turn, chargedMost the most of one in tokens.
	chargedEvents = 4
	chargedMost   = chargedEvents * eventTokens
	// lostShare is the share of the store's writes that are done and not answered, for lostTime.
	lostShare, lostTime = 0.35, 4500 * time.Millisecond
	// contactTime is how long after that the store and the machines are stable.
	contactTime = 3 * time.Second
	// deniedMost and deniedOneIn are the bound of DENIED: so many, and one in so many requests.
	deniedMost, deniedOneIn = 5, 500
	// plainTurnPath is the path of a route that keeps no turns.
	plainTurnPath = "/ask/x"
)

// playCharged has programs with many sub-agents run while answers of the store are lost, and go on
// once it has been well for a while.
func playCharged(w *world, trouble bool) (int, error) {
	if err := w.addMachines("z", usualMachine, 3); err != nil {
		return couldNot, err
	}
	if err := w.awaitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(4 * settleTime)
	const budget = chargedMost * (chargedAgents*(turnsBefore+turnsAfter) + spareTurns)
	w.say("%d programs of %d sub-agents with budgets of %d tokens: %d turns of %d at most, and %d more",
		chargedPrograms, chargedAgents, budget, chargedAgents*(turnsBefore+turnsAfter), chargedMost, spareTurns)
	if trouble {
		w.rows.Trouble(faker.RowsTrouble{Lost: lostShare})
		w.say("answers of the store are lost")
	}
	began := time.Now()
	var before, after tally
	asked, denied := 0, 0
	for n := range turnsBefore {
		sent, refused := w.sendAgents(budget, n, n+1, true, &before)
		asked, denied = asked+sent, denied+refused
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second)))
	}
	w.say("while answers are lost: %d run; %v", w.ran.Load(), &before)
	time.Sleep(time.Until(began.Add(lostTime)))
	w.rows.Trouble(faker.RowsTrouble{})
	w.say("the store is well")
	time.Sleep(contactTime + settleTime/2)
	more, deniedAfter := w.sendAgents(budget, turnsBefore, turnsBefore+turnsAfter, false, &after)
	asked += more
	w.say("%.1f s later: %d run in all; %v", (contactTime + settleTime/2).Seconds(), w.ran.Load(), &after)
	w.say("%d requests, %d were answered 402 later and %d before; %d may be", asked, deniedAfter, denied, deniedMost+asked/deniedOneIn)
	if deniedAfter > deniedMost+asked/deniedOneIn {
		return broken, nil
	}
	return held, nil
}

// sendAgents sends the turns from one number up to another of all sub-agents, each when the one
// before has ended: those of a program's sub-agents at once, or one sub-agent after the other. It
// returns how many were sent and how many were answered 402.
func (w *world) sendAgents(budget, from, to int, atOnce bool, answers *tally) (asked, denied int) {
	var group sync.WaitGroup
	var lock sync.Mutex
	ask := func(p, agent int) {
		for n := from; n < to; n++ {
			t := turn{
				id: fmt.Sprintf("c-%d-%d-%d", p, agent, n), key: keyOf(p), program: fmt.Sprintf("p-%d", p), session: fmt.Sprintf("agent-%d", agent),
				path: plainTurnPath, input: []byte("go on"), limit: 4 * time.Second, budget: budget, most: chargedMost,
			}
			a := t.send(w.machines[(p+agent+n)%len(w.machines)])
			answers.add(a)
			lock.Lock()
			asked++
			if a.status == http.StatusPaymentRequired {
				denied++
			}
			lock.Unlock()
		}
	}
	for p := range chargedPrograms {
		group.Go(func() {
			var agents sync.WaitGroup
			for agent := range chargedAgents {
				if atOnce {
					agents.Go(func() { ask(p, agent) })
				} else {
					ask(p, agent)
				}
			}
			agents.Wait()
		})
	}
	group.Wait()
	return asked, denied
}
