package main_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"sapphiredrum.example/sapphiredrum/faker"
)

// outageOverPowerLoss has programs go on while the store is down, then all hosts lose
// power, the store comes back and the hosts start again.
func outageOverPowerLoss(t *testing.T) *soak {
	t.Helper()
	const outage = 2500 * time.Millisecond
	s := newSoak(t, 1, 4)
	calling, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range 8 {
		c := s.caller(rand.New(rand.NewPCG(1, uint64(i))))
		callers.Go(func() {
			for n := 0; calling.Err() == nil; n++ {
				c.program(calling, fmt.Sprintf("p%d-%d", i, n))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	s.rows.Trouble(faker.RowsTrouble{Down: true})
	s.tell("store: down")
	time.Sleep(outage)
	powerOff(s.hosts)
	s.tell("all hosts: off")
	stop()
	s.well()
	powerOn(s.hosts)
	callers.Wait()
	if len(s.turns) == 0 {
		t.Fatal("no turn was answered whole")
	}
	return s
}

// LOST: turns answered whole during an outage of the store were unknown after all hosts lost
// power.
func TestTurnsOutliveAllHostsInAnOutage(t *testing.T) {
	s := outageOverPowerLoss(t)
	s.goOn(rand.New(rand.NewPCG(1, 99)))
	s.judge()
}

// BUDGET: what programs spent during an outage of the store was forgotten when all hosts lost
// power, and spent again.
func TestBudgetsOutliveAllHostsInAnOutage(t *testing.T) {
	s := outageOverPowerLoss(t)
	for _, h := range s.hosts {
		h.await()
	}
	var callers sync.WaitGroup
	for program := range s.handed {
		c := s.caller(rand.New(rand.NewPCG(2, 1)))
		callers.Go(func() {
			for n := range 2 * soakBudget / soakMost {
				status, _ := c.ask("/talk/x", fmt.Sprintf("%s-again%d", program, n), program, "")
				if status == http.StatusPaymentRequired {
					return
				}
			}
		})
	}
	callers.Wait()
	s.judge()
}
