package archiver_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/faker"
)

// heldStore takes transactions once they are let go.
type heldStore struct {
	*faker.Rows
	// held receives each transaction's permission.
	held chan struct{}
}

func (s heldStore) Commit(ctx context.Context, update sd.Update) (sd.Page, error) {
	select {
	case <-s.held:
		return s.Rows.Commit(ctx, update)
	case <-ctx.Done():
		return sd.Page{}, sd.Unavailable.New("transaction was not let go")
	}
}

// heldBudgets keep half of a budget back until the program is closed, which takes until it is let go.
type heldBudgets struct{ asked, held chan struct{} }

func (heldBudgets) Reservable(budget sd.Tokens, _ archiver.Demand) sd.Tokens { return budget / 2 }

func (b heldBudgets) Close(_ context.Context, _ archiver.Key, budget sd.Tokens, _ archiver.Demand, _ sd.Tokens) (sd.Tokens, error) {
	b.asked <- struct{}{}
	<-b.held
	return budget, nil
}

// Guards against a 402 for a parallel turn that fits the whole budget: it was refused at the
// reservable part while another turn closed the program.
func TestParallelTurnsHaveTheWholeBudget(t *testing.T) {
	store := heldStore{faker.NewRows(1), make(chan struct{})}
	budgets := heldBudgets{make(chan struct{}), make(chan struct{})}
	a := archiver.New(archiver.Settings{Retention: sd.Minute}, store, archiver.Peers{Budgets: budgets}, sd.NewClock(), zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	program := archiver.ProgramKey("w", "p")
	reserve := func(id sd.CallID) <-chan error {
		done := make(chan error, 1)
		go func() {
			_, err := a.Reserve(ctx, program, archiver.TurnKey("w", id), archiver.NewDemand(100, 1), 400)
			done <- err
		}()
		return done
	}
	awaitWaiting := func(n int) {
		t.Helper()
		for a.Waiting() != n {
			time.Sleep(time.Millisecond)
		}
	}
	for _, id := range []sd.CallID{"1", "2"} {
		done := reserve(id)
		store.held <- struct{}{}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	closing := reserve("3")
	store.held <- struct{}{}
	<-budgets.asked
	late := reserve("4")
	awaitWaiting(1)
	budgets.held <- struct{}{}
	// The third turn has closed the program and reserves again; the fourth is refused only now.
	awaitWaiting(2)
	go func() {
		for {
			select {
			case store.held <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	if err := <-closing; err != nil {
		t.Errorf("turn that closed the program: %v", err)
	}
	if err := <-late; err != nil {
		t.Errorf("turn that was refused meanwhile: %v", err)
	}
}

// thriftyBudgets open what is needed and no more, to the first turns once all of them have asked.
type thriftyBudgets struct{ asking sync.WaitGroup }

func (*thriftyBudgets) Reservable(sd.Tokens, archiver.Demand) sd.Tokens { return 0 }

func (b *thriftyBudgets) Close(_ context.Context, _ archiver.Key, _ sd.Tokens, demand archiver.Demand, needed sd.Tokens) (sd.Tokens, error) {
	if needed == demand.MaxCharge {
		b.asking.Done()
		b.asking.Wait()
	}
	return needed, nil
}

// Guards against a 402 for a parallel turn that fits the whole budget: others had taken the part that
// closing the program opened, although closing it again opens more.
func TestParallelTurnsCloseTheirProgramAgain(t *testing.T) {
	const turns, limit = 4, 100
	budgets := &thriftyBudgets{}
	budgets.asking.Add(turns)
	a := archiver.New(archiver.Settings{Retention: sd.Minute}, faker.NewRows(1), archiver.Peers{Budgets: budgets}, sd.NewClock(), zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	reserved := make(chan error, turns)
	for i := range turns {
		go func() {
			turn := archiver.TurnKey("w", sd.CallID(fmt.Sprint(i)))
			_, err := a.Reserve(ctx, archiver.ProgramKey("w", "p"), turn, archiver.NewDemand(limit, 1), turns*limit)
			reserved <- err
		}()
	}
	for range turns {
		if err := <-reserved; err != nil {
			t.Error(err)
		}
	}
}

// Guards against turns that begin and are cut as their budget does not hold them (LOST): whichever
// host decides, the one that serves a turn learns in time that its reservation may be refused.
func TestPendingReservationIsDoubtfulBesideAnother(t *testing.T) {
	f := newFleet(t, 3)
	program := archiver.ProgramKey("w", "p")
	if _, err := f.hosts[0].Reserve(t.Context(), program, archiver.TurnKey("w", "first"), archiver.NewDemand(200, 1), 350); err != nil {
		t.Fatal(err)
	}
	for at, host := range f.hosts {
		for _, limit := range []sd.Tokens{100, 200} {
			turn := archiver.TurnKey("w", sd.CallID(fmt.Sprint(at, "-", limit)))
			f.rows.Trouble(faker.RowsTrouble{Delay: 300})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() {
				_, err := host.Reserve(ctx, program, turn, archiver.NewDemand(limit, 1), 350)
				done <- err
			}()
			time.Sleep(150 * time.Millisecond)
			want := archiver.Likely
			if limit == 200 {
				want = archiver.Doubtful
			}
			if got := host.ReservationOutlook(program, turn); got != want {
				t.Errorf("host %d, limit %d: outlook %v, want %v", at, limit, got, want)
			}
			cancel()
			<-done
			f.rows.Trouble(faker.RowsTrouble{})
			f.eventually("reservation is given back", func() bool { return f.hosts[0].Waiting()+f.hosts[1].Waiting()+f.hosts[2].Waiting() == 0 })
		}
	}
}

// A turn for which the program has spent too much is refused at once, also while the store is away.
func TestSpentBudgetIsRefusedWithoutTheStore(t *testing.T) {
	f := newFleet(t, 2)
	for i := range 3 {
		f.must(f.turn(0, "p", fmt.Sprint("t", i), ""))
	}
	f.setStoreUp(false)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if _, err := f.hosts[0].Reserve(ctx, archiver.ProgramKey("w", "p"), archiver.TurnKey("w", "late"), archiver.NewDemand(210, 1), 350); !errorx.IsOfType(err, archiver.BudgetExhausted) {
		t.Errorf("210 of 200 tokens that are left: %v", err)
	}
	if _, err := f.hosts[0].Reserve(ctx, archiver.ProgramKey("w", "p"), archiver.TurnKey("w", "next"), archiver.NewDemand(200, 1), 350); !errorx.IsOfType(err, sd.Unavailable) {
		t.Errorf("200 of 200 tokens that are left: %v", err)
	}
}
