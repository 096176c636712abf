package archiver_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/faker"
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

// Guards against lost turns: a turn that no host could store was continued from the memory of
// a host, and the turns after it were unknown after all hosts lost power, although they had
// ended.
func TestChainsRestOnTurnsOfTheStore(t *testing.T) {
	f := newFleet(t, 3)
	broken, other := "p", "q"
	for i := 0; archiver.Part(archiver.ProgramKey("w", sd.ProgramID(other))) == archiver.Part(archiver.ProgramKey("w", "p")); i++ {
		other = fmt.Sprint("q", i)
	}
	f.must(f.turn(0, broken, "t1", ""))
	program, turn := archiver.ProgramKey("w", sd.ProgramID(broken)), archiver.TurnKey("w", "t2")
	hold, err := f.hosts[0].Reserve(t.Context(), program, turn, 100, 350)
	f.must(err)
	f.rows.Trouble(faker.RowsTrouble{Down: true, Parts: []string{archiver.Part(program)}})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	err = f.hosts[0].Settle(ctx, program, hold, 50, &archiver.Turn{Program: program, Key: turn, Previous: archiver.TurnKey("w", "t1"), Origin: program})
	if !errorx.IsOfType(err, sd.Unavailable) {
		t.Fatalf("turn that cannot be stored: got %v, want Unavailable", err)
	}
	var ended []string
	for i := range f.hosts {
		id := fmt.Sprint("u", i)
		if err := f.turn(i, other, id, "t2"); err == nil {
			ended = append(ended, id)
		} else if !errorx.IsOfType(err, sd.Unavailable) {
			t.Errorf("host %d: got %v, want Unavailable", i, err)
		}
	}
	f.powerOff()
	f.rows.Trouble(faker.RowsTrouble{})
	f.powerOn()
	for _, id := range ended {
		if err := f.turn(1, other, "after-"+id, id); err != nil {
			t.Errorf("cannot continue from turn %s, which had ended: %v", id, err)
		}
	}
}
