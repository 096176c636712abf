package archiver_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// Outage of the store, and its end: a host that was not asked for the claim does not
// reserve by the store's row before what ran meanwhile has been written there.
func TestBudgetHoldsAsTheStoreComesBack(t *testing.T) {
	f := newFleet(t, 5)
	var all []gossiper.Peer
	for _, m := range f.hosts {
		all = append(all, m.peer)
	}
	// The host that was not asked is the one that sequences the program.
	p := ""
	for i := 0; p == ""; i++ {
		name := fmt.Sprint("p", i)
		if archiver.Sequencer(archiver.Part(archiver.ProgramKey("w", sd.ProgramID(name))), all).Host == f.hosts[3].peer.Host {
			p = name
		}
		if i > 100 {
			t.Fatal("no part is sequenced by that host")
		}
	}
	f.must(f.turn(0, p, "t0", ""))
	f.lock.Lock()
	f.hosts[3].cut, f.hosts[4].cut = true, true
	f.lock.Unlock()
	f.store(false)
	// 250 of 350 are spent, and no further turn of 100 would fit after one more.
	for i := range 5 {
		_, err := f.begin(t.Context(), 0, p, fmt.Sprint("t", i+1), "t0")
		f.must(err)
		// Nothing else tells that the turn waits for the store.
		time.Sleep(60 * time.Millisecond)
	}
	// The idle host sees the outage.
	time.Sleep(150 * time.Millisecond)
	f.lock.Lock()
	f.hosts[3].cut, f.hosts[4].cut = false, false
	f.lock.Unlock()
	f.store(true)
	if err := f.turn(3, p, "t6", "t0"); !errorx.IsOfType(err, archiver.Exhausted) {
		t.Fatalf("a turn beyond the budget: %v", err)
	}
	f.eventually("all is written", func() bool { return f.spent(p) == 300 })
}

// End of an outage: a turn that began during it and still runs stays reserved when
// the claim has ended, and is charged once when it ends.
func TestTurnsThatOutlastAClaimStayReserved(t *testing.T) {
	f := newFleet(t, 3)
	f.must(f.turn(0, "p", "t0", ""))
	f.store(false)
	program, turn := archiver.ProgramKey("w", "p"), archiver.TurnKey("w", "slow")
	hold, err := f.hosts[0].Reserve(t.Context(), program, turn, 100, 350, false)
	f.must(err)
	f.store(true)
	account := func() archiver.Account {
		row := f.rows.Row(sd.Cell{Table: archiver.TablePrograms, Part: archiver.Part(program), Key: program.String() + "/"})
		got, err := archiver.DecodeAccount(row.Value)
		f.must(err)
		return got
	}
	f.eventually("the open turn is in the store", func() bool { a := account(); return a.Reserved() == 100 })
	_, err = f.hosts[0].Settle(t.Context(), program, hold, 40, &archiver.Turn{Program: program, Key: turn, Input: []byte("in"), Output: []byte("out\n")})
	f.must(err)
	f.eventually("it is charged", func() bool { a := account(); return a.Reserved() == 0 && a.Spent == 90 })
}
