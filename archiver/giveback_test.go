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

// Guards against wrong refusals: the store applied a reservation of a sequencer that died
// before it could respond. That reservation stayed open for ever, besides the one that was
// then made for the same turn.
func TestAReservationOfADeadSequencerIsGivenBack(t *testing.T) {
	const most, budget = 100, 350
	f := newFleet(t, 5)
	program := archiver.ProgramKey("w", "p")
	f.must(f.turn(0, "p", "t0", ""))
	sequencer := archiver.Sequencer(archiver.Part(program), f.alive(&testHost{}))
	dies, serves := 0, 0
	for i, m := range f.hosts {
		if m.peer.Host == sequencer.Host {
			dies, serves = i, (i+1)%len(f.hosts)
		}
	}
	// The store applies the sequencer's transaction, and the response is lost.
	f.rows.Trouble(faker.RowsTrouble{Lost: 1, Delay: 100})
	turn := archiver.TurnKey("w", "t1")
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	reserved := make(chan archiver.Key, 1)
	go func() {
		hold, err := f.hosts[serves].Reserve(ctx, program, turn, archiver.NewDemand(most, 1), budget)
		if err != nil {
			t.Error(err)
		}
		reserved <- hold
	}()
	time.Sleep(150 * time.Millisecond)
	f.kill(dies)
	f.rows.Trouble(faker.RowsTrouble{})
	hold := <-reserved
	err := f.hosts[serves].Settle(ctx, program, hold, 50, &archiver.Turn{Program: program, Key: turn, Input: []byte("in"), Output: []byte("out\n")})
	f.must(err)
	account := archiver.Account{}
	for range 40 {
		row := f.rows.Row(accountKeyOf("p"))
		account, err = archiver.DecodeAccount(row.Value)
		f.must(err)
		if account.Reserved() == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if account.Reserved() > 0 {
		t.Errorf("no turn is running, but %d of %d are still reserved", account.Reserved(), sd.Tokens(budget))
	}
	// 100 of 350 are spent: three more turns of at most 100 fit, each uses 50.
	f.must(f.turn(serves, "p", "t2", "t1"))
	f.must(f.turn(serves, "p", "t3", "t2"))
	f.must(f.turn(serves, "p", "t4", "t3"))
}

// Guards against wrong refusals: a caller that retried after a 503 got a 402 because of
// the reservation of its first attempt, which was made after its host had abandoned it.
func TestATurnIsNotRefusedForOneThatWasGivenUp(t *testing.T) {
	const most = 100
	f := newFleet(t, 1)
	program := archiver.ProgramKey("w", "p")
	f.rows.Trouble(faker.RowsTrouble{Delay: 200})
	short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := f.hosts[0].Reserve(short, program, archiver.TurnKey("w", "t1"), archiver.NewDemand(most, 1), most); !errorx.IsOfType(err, sd.Unavailable) {
		t.Fatalf("got %v, want Unavailable", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if _, err := f.hosts[0].Reserve(ctx, program, archiver.TurnKey("w", "t2"), archiver.NewDemand(most, 1), most); err != nil {
		t.Fatalf("the next attempt: %v", err)
	}
}

// Guards against wrong refusals: a reservation that the sequencer granted just as the
// requesting host stopped waiting stayed open for ever.
func TestAGrantThatNobodyWaitsForIsGivenBack(t *testing.T) {
	const most = 100
	f := newFleet(t, 3)
	f.rows.Trouble(faker.RowsTrouble{Delay: 20})
	for i := range 60 {
		program := archiver.ProgramKey("w", sd.ProgramID(fmt.Sprint("p", i)))
		wait := time.Duration(20+i%10) * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		hold, err := f.hosts[i%3].Reserve(ctx, program, archiver.TurnKey("w", sd.CallID(fmt.Sprint("t", i))), archiver.NewDemand(most, 1), most)
		cancel()
		if err == nil {
			f.must(f.hosts[i%3].Settle(t.Context(), program, hold, 0, nil))
		}
	}
	f.rows.Trouble(faker.RowsTrouble{})
	f.eventually("no reservation is open", func() bool {
		for i := range 60 {
			row := f.rows.Row(accountKeyOf(fmt.Sprint("p", i)))
			if row.Version == 0 {
				continue
			}
			if account, err := archiver.DecodeAccount(row.Value); err != nil || account.Reserved() > 0 {
				return false
			}
		}
		return true
	})
}
