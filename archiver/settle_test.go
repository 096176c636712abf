package archiver_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
)

// Hosts that are partitioned from each other around a store outage, and may not have
// noticed it, do not exceed the budget when the store recovers.
func TestBudgetHoldsAsTheStoreComesBack(t *testing.T) {
	f := newFleet(t, 5)
	f.must(f.turn(0, "p", "t0", ""))
	// Leaves time for the turn to reach the cacher, which no turn waits for.
	time.Sleep(100 * time.Millisecond)
	f.lock.Lock()
	f.hosts[3].cut, f.hosts[4].cut = true, true
	f.lock.Unlock()
	f.setStoreUp(false)
	const asked = 12
	ends := make(chan error, asked)
	for i := range asked {
		go func() { ends <- f.turn(i%5, "p", fmt.Sprint("o", i), "t0") }()
	}
	f.lock.Lock()
	f.hosts[3].cut, f.hosts[4].cut = false, false
	f.lock.Unlock()
	f.setStoreUp(true)
	served := 0
	for range asked {
		switch err := <-ends; {
		case err == nil:
			served++
		case !errorx.IsOfType(err, archiver.BudgetExhausted):
			t.Errorf("got %v, want Exhausted", err)
		}
	}
	// Each turn reserves 100 and uses 50, and 50 are spent: at most six turns may end.
	if got := f.spent("p"); got != sd.Tokens(50*(served+1)) || got > 350 || served < 3 {
		t.Fatalf("%d turns ended, %d spent of 350", served, got)
	}
}

// A turn that runs during a store outage stays reserved, and is charged once when it ends.
func TestTurnsThatOutlastAnOutageStayReserved(t *testing.T) {
	f := newFleet(t, 3)
	f.must(f.turn(0, "p", "t0", ""))
	program, turn := archiver.ProgramKey("w", "p"), archiver.TurnKey("w", "slow")
	hold, err := f.hosts[0].Reserve(t.Context(), program, turn, archiver.NewDemand(100, 1), 350)
	f.must(err)
	account := func() archiver.Account {
		row := f.rows.Row(accountKeyOf("p"))
		got, err := archiver.DecodeAccount(row.Value)
		f.must(err)
		return got
	}
	if a := account(); a.Reserved() != 100 {
		t.Fatalf("reserved %d before the turn runs, want 100", a.Reserved())
	}
	f.setStoreUp(false)
	ended := make(chan error, 1)
	go func() {
		err := f.hosts[0].Settle(t.Context(), program, hold, 40, &archiver.Turn{Program: program, Key: turn, Input: []byte("in"), Output: []byte("out\n")})
		ended <- err
	}()
	f.kill(1)
	if a := account(); a.Reserved() != 100 {
		t.Fatalf("reserved %d during the outage, want 100", a.Reserved())
	}
	f.setStoreUp(true)
	f.must(<-ended)
	f.eventually("the turn is charged once", func() bool { a := account(); return a.Reserved() == 0 && a.Spent == 90 })
}
