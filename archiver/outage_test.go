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

// LOST: a turn whose end was passed on during an outage of the store was unknown after
// all hosts lost power.
func TestEndedTurnsOutliveAllHosts(t *testing.T) {
	f := newFleet(t, 5)
	f.must(f.turn(0, "p", "t1", ""))
	f.store(false)
	last := "t1"
	for i := range 3 {
		id := fmt.Sprint("o", i)
		if f.turn(i, "p", id, last) != nil {
			break
		}
		last = id
	}
	f.powerOff()
	f.store(true)
	f.powerOn()
	if err := f.turn(1, "p", "after", last); err != nil {
		t.Fatalf("turn %s had ended; going on from it: %v", last, err)
	}
}

// BUDGET: what a program spent during an outage of the store was forgotten when all hosts
// lost power, and spent again.
func TestBudgetOutlivesAllHosts(t *testing.T) {
	const most, budget = 100, 350
	f := newFleet(t, 5)
	program := archiver.ProgramKey("w", "p")
	handed := sd.Tokens(0)
	// A turn hands out its most; its end need not be passed on for that.
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
			_, _ = f.hosts[at].Settle(t.Context(), program, hold, most, &archiver.Turn{Program: program, Key: turn, Input: []byte("in"), Output: []byte("out\n")})
		}()
		return nil
	}
	f.must(run(0, "t0"))
	f.eventually("the first turn is charged", func() bool { return f.rows.Row(cellOf("p")).Version > 0 && f.spent("p") == most })
	f.store(false)
	for i := range 3 {
		if run(i, fmt.Sprint("o", i)) != nil {
			break
		}
	}
	f.powerOff()
	f.store(true)
	f.powerOn()
	for i := range 5 {
		if err := run(i, fmt.Sprint("a", i)); errorx.IsOfType(err, archiver.Exhausted) {
			break
		}
	}
	if handed > budget+most {
		t.Fatalf("handed out %d of a budget of %d", handed, budget)
	}
}
