package archiver_test

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/faker"
)

// Refused for nothing: a reservation that the store took from a sequencer which died before
// it could answer stayed open for ever, beside the one that was made for the turn then.
func TestAReservationOfADeadSequencerIsGivenBack(t *testing.T) {
	const most, budget = 100, 350
	f := newFleet(t, 5)
	program := archiver.ProgramKey("w", "p")
	f.must(f.turn(0, "p", "t0", ""))
	order := archiver.Sequencer(archiver.Part(program), f.alive(&member{}))
	dies, serves := 0, 0
	for i, m := range f.hosts {
		if m.peer.Host == order.Host {
			dies, serves = i, (i+1)%len(f.hosts)
		}
	}
	// The store takes the sequencer's transaction, and the answer is lost.
	f.rows.Trouble(faker.RowsTrouble{Lost: 1, Delay: 100})
	turn := archiver.TurnKey("w", "t1")
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	reserved := make(chan archiver.Key, 1)
	go func() {
		hold, err := f.hosts[serves].Reserve(ctx, program, turn, most, budget)
		if err != nil {
			t.Error(err)
		}
		reserved <- hold
	}()
	time.Sleep(150 * time.Millisecond)
	f.kill(dies)
	f.rows.Trouble(faker.RowsTrouble{})
	hold := <-reserved
	_, err := f.hosts[serves].Settle(ctx, program, hold, 50, &archiver.Turn{Program: program, Key: turn, Input: []byte("in"), Output: []byte("out\n")})
	f.must(err)
	account := archiver.Account{}
	for range 40 {
		row := f.rows.Row(cellOf("p"))
		account, err = archiver.DecodeAccount(row.Value)
		f.must(err)
		if account.Reserved() == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if account.Reserved() > 0 {
		t.Errorf("no turn is under way, and %d of %d stay reserved", account.Reserved(), sd.Tokens(budget))
	}
	// 100 of 350 are spent: three more turns of at most 100 fit, each uses 50.
	f.must(f.turn(serves, "p", "t2", "t1"))
	f.must(f.turn(serves, "p", "t3", "t2"))
	f.must(f.turn(serves, "p", "t4", "t3"))
}

// Ended by a 402: a caller who came back after a 503 was refused for the reservation of the
// attempt before, which was made only after its host had given it up.
func TestATurnIsNotRefusedForOneThatWasGivenUp(t *testing.T) {
	const most = 100
	f := newFleet(t, 1)
	program := archiver.ProgramKey("w", "p")
	f.rows.Trouble(faker.RowsTrouble{Delay: 200})
	short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := f.hosts[0].Reserve(short, program, archiver.TurnKey("w", "t1"), most, most); !errorx.IsOfType(err, sd.Unavailable) {
		t.Fatalf("got %v, want Unavailable", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if _, err := f.hosts[0].Reserve(ctx, program, archiver.TurnKey("w", "t2"), most, most); err != nil {
		t.Fatalf("the next attempt: %v", err)
	}
}
