package receiver_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/allotter"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/receiver"
)

// fakeAllotter allots up to share tokens to each program.
type fakeAllotter struct {
	lock     sync.Mutex
	share    sd.Tokens
	allotted map[archiver.Key]sd.Tokens
	// asked counts requests; unreached makes Reachable false.
	asked     int
	unreached bool
}

func (f *fakeAllotter) Allot(_ context.Context, program archiver.Key, _, atLeast, wanted sd.Tokens) (allotter.Allotment, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.asked++
	tokens := min(wanted, f.share-f.allotted[program])
	if tokens < atLeast || tokens <= 0 {
		return allotter.Allotment{}, sd.Unavailable.New("nothing to allot")
	}
	f.allotted[program] += tokens
	return allotter.Allotment{Tokens: tokens, Incarnation: 1}, nil
}

func (f *fakeAllotter) Return(_ context.Context, program archiver.Key, _ allotter.Allotment, tokens sd.Tokens) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.allotted[program] -= tokens
}

func (f *fakeAllotter) Reachable(archiver.Key) bool { return !f.unreached }

// outstanding returns what is allotted to all programs and not returned.
func (f *fakeAllotter) outstanding() sd.Tokens {
	f.lock.Lock()
	defer f.lock.Unlock()
	total := sd.Tokens(0)
	for _, n := range f.allotted {
		total += n
	}
	return total
}

func newAllottedBench(t *testing.T, share sd.Tokens) (*bench, *fakeAllotter) {
	f := &fakeAllotter{share: share, allotted: map[archiver.Key]sd.Tokens{}}
	return newBench(t, func(c *receiver.Config) { c.Allotter = f }), f
}

// brief sends a turn that is not kept and may generate 4 events of 14 tokens.
func (b *bench) brief(program, id string) (status int, events int, whole bool, took time.Duration) {
	b.t.Helper()
	began := time.Now()
	status, _, text, whole := b.ask("POST", "/ask/x", id, "x", "Program-Id", program, "Token-Budget", "1000", "Token-Usage", "1,56")
	return status, strings.Count(text, "data:"), whole, time.Since(began)
}

// Programs that begin while the store is away run on allotments, and one that loops ends
// with its share.
func TestOutageServesBriefProgramsWithinTheirShare(t *testing.T) {
	const share = 150
	b, f := newAllottedBench(t, share)
	b.rows.Trouble(faker.RowsTrouble{Down: true})
	for i := range 5 {
		status, events, whole, took := b.brief(fmt.Sprint("p", i), fmt.Sprint("a", i))
		if status != 200 || events != 4 || !whole || took > 600*time.Millisecond {
			t.Fatalf("program %d: status %d, %d events, whole %v, after %v", i, status, events, whole, took)
		}
	}
	delivered := 0
	for i := range 6 {
		id := fmt.Sprint("loop", i)
		status, events, _, _ := b.brief("loop", id)
		delivered += 14 * events
		if n, _ := b.ran(id); status == 503 && n > 0 {
			t.Fatalf("turn %d ran although it was answered 503", i)
		}
	}
	if delivered > share || delivered < share-56 {
		t.Fatalf("%d tokens delivered of a share of %d", delivered, share)
	}
	b.waitSettled()
	if got := f.outstanding(); got != sd.Tokens(5*56+delivered) {
		t.Fatalf("%d tokens are allotted, %d were delivered", got, 5*56+delivered)
	}
}

// A turn that began on an allotment and then has its reservation returns the allotment:
// the reservation covers all of it.
func TestAllotmentIsReturnedOnceTheStoreHasTheReservation(t *testing.T) {
	b, f := newAllottedBench(t, 1000)
	for _, e := range b.engines {
		e.Pause = 200
	}
	b.rows.Trouble(faker.RowsTrouble{Delay: 350})
	if status, events, whole, took := b.brief("p", "a"); status != 200 || events != 4 || !whole || took > 1200*time.Millisecond {
		t.Fatal(status, events, whole, took)
	}
	if f.asked == 0 {
		t.Fatal("the turn did not ask for an allotment")
	}
	b.rows.Trouble(faker.RowsTrouble{})
	b.waitSettled()
	if got := f.outstanding(); got != 0 {
		t.Fatalf("%d tokens are still allotted", got)
	}
}

// In calm weather turns do not ask for allotments.
func TestCalmTurnsNeedNoAllotment(t *testing.T) {
	b, f := newAllottedBench(t, 1000)
	for i := range 10 {
		if status, _, _, _ := b.brief("p", fmt.Sprint("a", i)); status != 200 {
			t.Fatal(status)
		}
	}
	if f.asked != 0 {
		t.Fatalf("%d allotments were asked for", f.asked)
	}
}

// A kept turn may run while the store is away; its end is forwarded only once the store
// has the turn.
func TestKeptTurnEndsOnceTheStoreHasIt(t *testing.T) {
	b, f := newAllottedBench(t, 1000)
	if status, _, _ := b.turn("t1", "", "x"); status != 200 {
		t.Fatal(status)
	}
	b.rows.Trouble(faker.RowsTrouble{Down: true})
	const outage = 700 * time.Millisecond
	began := time.Now()
	back := time.AfterFunc(outage, func() { b.rows.Trouble(faker.RowsTrouble{}) })
	defer back.Stop()
	status, text, whole := b.turn("t2", "t1", "y")
	if status != 200 || !whole || strings.Count(text, "data:") != 4 || time.Since(began) < outage {
		t.Fatalf("status %d, whole %v after %v: %q", status, whole, time.Since(began), text)
	}
	if status, _, _ := b.turn("t3", "t2", "z"); status != 200 {
		t.Fatalf("cannot go on from a turn that has ended: status %d", status)
	}
	b.waitSettled()
	if got := f.outstanding(); got != 56 {
		t.Fatalf("%d tokens are allotted, 56 were delivered without a reservation", got)
	}
	b.rows.Trouble(faker.RowsTrouble{Down: true})
	if _, _, whole := b.turn("t4", "t3", "z"); whole {
		t.Fatal("turn ended although the store does not have it")
	}
}

// Guards against a kept turn that counts twice against its budget: in its program's account and in
// what was allotted to it.
func TestKeptTurnOnAllotmentsCountsOnce(t *testing.T) {
	b, f := newAllottedBench(t, 1000)
	turn := func(id string) {
		t.Helper()
		status, _, text, whole := b.ask("POST", "/talk/x", id, "x", "Program-Id", "p", "Token-Budget", "1000", "Token-Usage", "1,56")
		if status != 200 || !whole || strings.Count(text, "data:") != 4 {
			t.Fatalf("%s: status %d, whole %v: %q", id, status, whole, text)
		}
		b.waitSettled()
	}
	turn("t1")
	b.rows.Trouble(faker.RowsTrouble{Down: true})
	back := time.AfterFunc(700*time.Millisecond, func() { b.rows.Trouble(faker.RowsTrouble{}) })
	defer back.Stop()
	turn("t2")
	turn("t3")
	program := archiver.ProgramKey("w-k1", "p")
	row := b.rows.Row(sd.RecordKey{Table: archiver.TablePrograms, Part: archiver.Part(program), Key: program.String() + "/"})
	account, err := archiver.DecodeAccount(row.Value)
	if err != nil {
		t.Fatal(err)
	}
	if got := f.outstanding(); got != 56 || account.Spent != 2*56 || account.Reserved() != 0 {
		t.Errorf("%d tokens are allotted, %d spent, %d reserved; of three turns of 56 one ran on an allotment", got, account.Spent, account.Reserved())
	}
}

// A turn whose program cannot be allotted to is refused in time for another try.
func TestOutageRefusesWhatCannotBeAllotted(t *testing.T) {
	b, f := newAllottedBench(t, 1000)
	f.unreached = true
	b.rows.Trouble(faker.RowsTrouble{Down: true})
	status, _, _, took := b.brief("p", "a")
	if n, _ := b.ran("a"); status != 503 || n != 0 || took > time.Second {
		t.Fatalf("status %d after %v, ran %d times", status, took, n)
	}
}

// A host that is cut off with the grantor serves brief programs. The end of a kept turn
// could not be stored there, so that its caller is sent elsewhere at once.
func TestCutOffHostServesBriefPrograms(t *testing.T) {
	b, f := newAllottedBench(t, 1000)
	if status, _, _ := b.turn("t1", "", "x"); status != 200 {
		t.Fatal(status)
	}
	b.rows.Trouble(faker.RowsTrouble{Down: true})
	b.receiver.SetIsolated(true)
	if status, events, whole, _ := b.brief("p", "a"); status != 200 || events != 4 || !whole {
		t.Fatalf("status %d, %d events, whole %v", status, events, whole)
	}
	refusedAtOnce := func(what string, turn func() int) {
		t.Helper()
		began := time.Now()
		if status := turn(); status != 503 || time.Since(began) > 100*time.Millisecond {
			t.Fatalf("%s: status %d after %v", what, status, time.Since(began))
		}
	}
	refusedAtOnce("kept turn", func() int {
		status, _, _ := b.turn("t2", "t1", "y")
		return status
	})
	f.unreached = true
	refusedAtOnce("turn without a grantor", func() int {
		status, _, _, _ := b.brief("q", "b")
		return status
	})
}

// near sends a turn of up to 56 tokens of a program whose budget is 100.
func (b *bench) near(id string) (status int, events int, whole bool) {
	b.t.Helper()
	status, _, text, whole := b.ask("POST", "/ask/x", id, "x", "Program-Id", "p", "Token-Budget", "100", "Token-Usage", "1,56")
	return status, strings.Count(text, "data:"), whole
}

// Guards against a turn that is cut in the middle (LOST): another host had spent the budget as the
// turn ran on an allotment, so that its reservation was refused.
func TestTurnOnAllotmentsOutlivesItsRefusedReservation(t *testing.T) {
	b, f := newAllottedBench(t, 1000)
	for _, e := range b.engines {
		e.Pause = 300
	}
	b.rows.Trouble(faker.RowsTrouble{Delay: 350})
	program := archiver.ProgramKey("w-k1", "p")
	account := archiver.Account{Spent: 100}
	time.AfterFunc(150*time.Millisecond, func() {
		b.rows.Write(sd.RecordKey{Table: archiver.TablePrograms, Part: archiver.Part(program), Key: program.String() + "/"}, account.Encode())
	})
	if status, events, whole := b.near("a"); status != 200 || events != 4 || !whole {
		t.Errorf("status %d, %d events, whole %v", status, events, whole)
	}
	b.rows.Trouble(faker.RowsTrouble{})
	b.waitSettled()
	if got := f.outstanding(); got != 56 {
		t.Errorf("%d tokens are allotted, 56 were delivered without a reservation", got)
	}
	if status, _, _ := b.near("b"); status != 402 {
		t.Errorf("turn beyond the budget: status %d", status)
	}
}

// Guards against a turn that is cut in the middle, or runs for nothing, as its budget is reserved by
// a parallel turn (LOST): while its reservation is pending, an allotment does not let it begin.
func TestTurnThatMayNotFitWaitsForItsReservation(t *testing.T) {
	b, f := newAllottedBench(t, 1000)
	for _, e := range b.engines {
		e.Pause = 200
	}
	var first sync.WaitGroup
	first.Go(func() {
		if status, events, whole := b.near("a"); status != 200 || events != 4 || !whole {
			t.Errorf("first turn: status %d, %d events, whole %v", status, events, whole)
		}
	})
	time.Sleep(100 * time.Millisecond)
	b.rows.Trouble(faker.RowsTrouble{Delay: 350})
	if status, events, _ := b.near("b"); status != 402 || events != 0 {
		t.Errorf("second turn: status %d, %d events", status, events)
	}
	if n, _ := b.ran("b"); n != 0 {
		t.Errorf("second turn ran %d times", n)
	}
	b.rows.Trouble(faker.RowsTrouble{})
	first.Wait()
	b.waitSettled()
	if got := f.outstanding(); got != 0 {
		t.Errorf("%d tokens are allotted", got)
	}
}
