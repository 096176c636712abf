package main

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fanTokens are those of a turn, also its most.
	fanTokens = 98
	fanUsage  = "1840,98"
	// fanPrograms programs run in the disruption, fanAtOnce of them at the same time. Each starts
	// subAgents sub-agents at once, with fanTurns turns each, and as many turns later.
	fanPrograms = 16
	fanAtOnce   = 4
	subAgents   = 30
	fanTurns    = 2
	// fanBudget holds all these turns and 15 more.
	fanBudget = fanTokens * (1 + 2*fanTurns*subAgents + 15)
	// fanTries are those of a turn until it is answered whole.
	fanTries = 4

	// lostShare of the writes are done and not answered for lostFor. contact after that, the
	// machines are in touch.
	lostShare = 0.35
	lostFor   = 4500 * time.Millisecond
	contact   = 3 * time.Second
)

// fan is a program with many sub-agents.
type fan struct {
	number int
	// whole counts turns that were answered whole, unsure tries that may have generated tokens
	// beside, denied tries that were answered 402.
	whole, unsure, denied atomic.Int64
}

// most returns the tokens that a program has generated at most, and those that were refused.
func (f *fan) most() int64 { return fanTokens * (f.whole.Load() + f.unsure.Load() + f.denied.Load()) }

// chargedCase has answers of the store lost while sub-agents have turns. Later they go on.
func chargedCase() {
	w := newWorld(planOf(4000, false))
	w.addRunners(20, 7)
	w.addHosts(3, 154)
	time.Sleep(9 * time.Second)
	end := time.Now().Add(lostFor)
	if trouble {
		note("%.2f of the writes are done and not answered for %v", lostShare, lostFor)
		w.store.lose(lostShare)
		time.AfterFunc(lostFor, func() {
			w.store.lose(0)
			note("all writes are answered again")
		})
	}
	var fans [fanPrograms]fan
	var group sync.WaitGroup
	places := make(chan struct{}, fanAtOnce)
	for p := range fans {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			f := &fans[p]
			f.number = p
			w.fanRound(f, 0, 1)
			for i := range fanTurns {
				w.fanRound(f, 1+i, subAgents)
			}
		})
	}
	group.Wait()
	time.Sleep(time.Until(end.Add(contact)))
	note("the machines are in touch, and the sub-agents go on")
	sent, denied := int64(0), int64(0)
	for p := range fans {
		f := &fans[p]
		before := f.denied.Load()
		for i := range fanTurns {
			if f.denied.Load() == 0 {
				w.fanRound(f, 1+fanTurns+i, subAgents)
			}
		}
		sent += f.whole.Load() + f.unsure.Load() + f.denied.Load()
		if before == 0 && f.most() <= fanBudget {
			denied += f.denied.Load()
		}
		note("program %d: %d turns whole, %d tries that may have generated more, 402: %d before, %d now; with these it needs %d of %d tokens at most",
			p, f.whole.Load(), f.unsure.Load(), before, f.denied.Load()-before, f.most(), fanBudget)
	}
	for _, value := range w.store.values("programs") {
		if len(value) > 1 && value[0] == 'a' {
			spent, _ := binary.Uvarint(value[1:])
			note("the system's account of a program: %d spent", spent)
		}
	}
	note("%d of %d requests were answered 402 though the budget held them", denied, sent)
	w.judge(denied > 5+sent/500)
}

// fanRound has as many sub-agents of a program run a turn, at the same time.
func (w *world) fanRound(f *fan, round, count int) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			for try := range fanTries {
				o := send(w.hosts[(f.number+try)%len(w.hosts)], turn{
					id: fmt.Sprintf("p%d-%d-%d-%d", f.number, round, i, try), key: key(f.number), program: fmt.Sprint("p", f.number),
					usage: fanUsage, budget: strconv.Itoa(fanBudget), body: []byte("go on\n"), limit: 4 * time.Second, aim: 30 * time.Second,
				})
				switch o.status {
				case 200:
					f.whole.Add(1)
					return
				case 402:
					f.denied.Add(1)
					return
				case 429, 503:
				default:
					f.unsure.Add(1)
				}
				time.Sleep(retryPause)
			}
		})
	}
	group.Wait()
}
