package archiver_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/messenger"
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
		hold, err := f.hosts[at].Reserve(ctx, program, turn, archiver.NewDemand(most, 1), budget)
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

// readOnlyStore refuses transactions while closed is set.
type readOnlyStore struct {
	*faker.Rows
	closed atomic.Bool
}

func (s *readOnlyStore) Commit(ctx context.Context, update sd.Update) (sd.Page, error) {
	if s.closed.Load() {
		return sd.Page{}, sd.Unavailable.New("store takes no transactions")
	}
	return s.Rows.Commit(ctx, update)
}

// A turn that a host is about to store is reported as Unavailable, and found once it is
// stored. Guards against a 404 for a turn that ends later.
func TestTurnsBeingStoredAreNotDenied(t *testing.T) {
	store := &readOnlyStore{Rows: faker.NewRows(1)}
	f := &fleet{t: t, rows: store.Rows, store: store, clock: sd.NewClock(), client: messenger.NewClient(nil)}
	f.run(3)
	program, turn := archiver.ProgramKey("w", "p"), archiver.TurnKey("w", "t1")
	hold, err := f.hosts[0].Reserve(t.Context(), program, turn, archiver.NewDemand(100, 1), 350)
	f.must(err)
	store.closed.Store(true)
	ended := make(chan error, 1)
	go func() {
		ended <- f.hosts[0].Settle(t.Context(), program, hold, 50, &archiver.Turn{Program: program, Key: turn})
	}()
	time.Sleep(100 * time.Millisecond)
	for i, m := range f.hosts {
		if _, err := m.Chain(t.Context(), program, turn); !errorx.IsOfType(err, sd.Unavailable) {
			t.Errorf("host %d: turn that is being stored: got %v, want Unavailable", i, err)
		}
		if _, err := m.Chain(t.Context(), program, archiver.TurnKey("w", "never")); !errorx.IsOfType(err, sd.NotFound) {
			t.Errorf("host %d: unknown turn: got %v, want NotFound", i, err)
		}
	}
	store.closed.Store(false)
	f.must(<-ended)
	for i, m := range f.hosts {
		if chain, err := m.Chain(t.Context(), program, turn); err != nil || len(chain) != 1 {
			t.Errorf("host %d: stored turn: %d turns, %v", i, len(chain), err)
		}
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
	hold, err := f.hosts[0].Reserve(t.Context(), program, turn, archiver.NewDemand(100, 1), 350)
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
