package main_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	// Many lines of one program at once: what they spend is beyond its budget together.
	for i := range 16 {
		c := s.caller(rand.New(rand.NewPCG(2, uint64(i))))
		c.path = []string{keptTurns, resumableTurns}[i%2]
		program := "crowd" + strings.ReplaceAll(c.path, "/", "-")
		callers.Go(func() { c.line(calling, program, fmt.Sprintf("%s-%d", program, i), "") })
	}
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
	for _, program := range slices.Collect(maps.Keys(s.handed)) {
		c := s.caller(rand.New(rand.NewPCG(2, 1)))
		callers.Go(func() {
			for n := range 2 * soakBudget / soakMost {
				status, _ := c.ask([]string{keptTurns, resumableTurns}[n%2], fmt.Sprintf("%s-again%d", program, n), program, "")
				if status == http.StatusPaymentRequired {
					return
				}
			}
		})
	}
	callers.Wait()
	s.judge()
}

// LOST: a turn whose part of the store was away after a loss of power could be taken for
// one that does not exist.
func TestTurnsOfAPartThatIsAwayAreNotUnknown(t *testing.T) {
	s := newSoak(t, 1, 4)
	c := s.caller(rand.New(rand.NewPCG(1, 1)))
	for i := range 24 {
		id := fmt.Sprint("p", i)
		if _, whole := c.ask("/talk/x", id, id, ""); whole {
			c.kept(soakTurn{id, id, id})
		}
	}
	powerOff(s.hosts)
	s.rows.Trouble(faker.RowsTrouble{Down: true, Parts: []string{"p1"}})
	powerOn(s.hosts)
	for _, h := range s.hosts {
		h.await()
	}
	// The hosts learn of one another meanwhile.
	const away = 2 * time.Second
	until := time.Now().Add(away)
	var served, refused atomic.Int64
	var callers sync.WaitGroup
	for i, turn := range s.turns {
		other := s.caller(rand.New(rand.NewPCG(2, uint64(i))))
		callers.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("%s-new%d", turn.id, n)
				switch status, _ := other.ask("/talk/x", id, id, turn.id); status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					s.note("LOST: going on from %s was answered %d", turn.id, status)
				}
				other.pause()
			}
		})
	}
	callers.Wait()
	if served.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d were served and %d refused: the part was not away, or all were", served.Load(), refused.Load())
	}
	s.tell("%d served, %d refused", served.Load(), refused.Load())
	s.well()
	s.goOn(rand.New(rand.NewPCG(1, 99)))
	s.judge()
}
