package archiver_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
)

// Guards against lost turns: a turn whose end was reported during a store outage was
// unknown after all hosts lost power.
func TestEndedTurnsOutliveAllHosts(t *testing.T) {
	f := newFleet(t, 5)
	f.must(f.turn(0, "p", "t1", ""))
	f.setStoreUp(false)
	last := "t1"
	for i := range 3 {
		id := fmt.Sprint("o", i)
		if f.turn(i, "p", id, last) != nil {
			break
		}
		last = id
	}
	f.powerOff()
	f.setStoreUp(true)
	f.powerOn()
	if err := f.turn(1, "p", "after", last); err != nil {
		t.Fatalf("cannot continue from turn %s, which had ended: %v", last, err)
	}
}

// Guards against overspending: tokens spent during a store outage were forgotten when all
// hosts lost power, and were spent again.
func TestBudgetOutlivesAllHosts(t *testing.T) {
	const most, budget = 100, 350
	f := newFleet(t, 5)
	program := archiver.ProgramKey("w", "p")
	handed := sd.Tokens(0)
	// A turn delivers its whole limit as soon as it is reserved, before it is settled.
	run := func(at int, id string) error {
		turn := archiver.TurnKey("w", sd.CallID(id))
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		hold, err := f.hosts[at].Reserve(ctx, program, turn, most, budget)
		if err != nil {
			return err
		}
		handed += most
		go func() {
			_ = f.hosts[at].Settle(t.Context(), program, hold, most, &archiver.Turn{Program: program, Key: turn, Input: []byte("in"), Output: []byte("out\n")})
		}()
		return nil
	}
	f.must(run(0, "t0"))
	f.eventually("the first turn is charged", func() bool { return f.rows.Row(accountKeyOf("p")).Version > 0 && f.spent("p") == most })
	f.setStoreUp(false)
	for i := range 3 {
		if run(i, fmt.Sprint("o", i)) != nil {
			break
		}
	}
	f.powerOff()
	f.setStoreUp(true)
	f.powerOn()
	for i := range 5 {
		if err := run(i, fmt.Sprint("a", i)); errorx.IsOfType(err, archiver.BudgetExhausted) {
			break
		}
	}
	if handed > budget+most {
		t.Fatalf("delivered %d tokens of a budget of %d", handed, budget)
	}
}
