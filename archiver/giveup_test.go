package archiver

import (
	"context"
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
)

// Reservations are abandoned at any time, and turns are settled by the batcher that
// reserved them, by another one, or by both, while responses are lost and transactions
// are applied late. In every interleaving, the used and granted tokens stay within the
// budget, each turn is charged once, and no reservation remains open at the end.
func TestGivenUpReservationsUnderLostAndLateTransactions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, most = sd.Tokens(700), sd.Tokens(200)
		store := &modelStore{rows: map[sd.RecordKey]sd.Record{}}
		workers := make([]*worker, 2)
		for i := range workers {
			workers[i] = &worker{lane: Batcher{Part: "p0"}, waiters: map[*Operation]chan error{}, wake: make(chan struct{}, 1)}
		}
		type turn struct {
			lane          int
			program, hold Key
			operation     *Operation
			done          <-chan error
		}
		var asked, running []*turn
		used, granted := map[Key]sd.Tokens{}, map[Key]sd.Tokens{}
		now := sd.Instant(1)
		grants := func() {
			var rest []*turn
			for _, tr := range asked {
				select {
				case err := <-tr.done:
					if err == nil {
						granted[tr.program] += most
						running = append(running, tr)
						if sum := used[tr.program] + granted[tr.program]; sum > budget {
							t.Fatalf("granted and used tokens are %d, over the budget of %d", sum, budget)
						}
					}
				default:
					rest = append(rest, tr)
				}
			}
			asked = rest
		}
		step := func(i int, calm bool) bool {
			w := workers[i]
			w.deliver(w.lane.Expire(now))
			update, due := w.lane.Next(now)
			if !due {
				return false
			}
			fate := "done"
			if !calm {
				fate = rapid.SampledFrom([]string{"done", "done", "lost", "refused", "late"}).Draw(t, "fate")
			}
			// Callers may also give up while a transaction is in flight.
			if !calm && len(asked) > 0 && rapid.IntRange(0, 3).Draw(t, "give up") == 0 {
				tr := asked[0]
				asked = asked[1:]
				delete(workers[tr.lane].waiters, tr.operation)
				tr.operation.Deadline = now
			}
			switch fate {
			case "done":
				page, err := store.apply(update)
				w.deliver(w.lane.Complete(now, page, err))
			case "lost":
				_, _ = store.apply(update)
				w.deliver(w.lane.Complete(now, sd.Page{}, sd.Uncertain.New("lost")))
			case "refused":
				w.deliver(w.lane.Complete(now, sd.Page{}, sd.Unavailable.New("refused")))
			case "late":
				store.late = append(store.late, update)
				w.deliver(w.lane.Complete(now, sd.Page{}, sd.Uncertain.New("late")))
			}
			grants()
			return true
		}
		late := func() {
			if len(store.late) > 0 {
				_, _ = store.apply(store.late[0])
				store.late = store.late[1:]
			}
		}
		programs := map[Key]bool{}
		for n := range rapid.IntRange(5, 80).Draw(t, "steps") {
			now++
			i := rapid.IntRange(0, 1).Draw(t, "lane")
			switch rapid.SampledFrom([]string{"reserve", "settle", "step", "step", "step", "late"}).Draw(t, "action") {
			case "reserve":
				tr := &turn{lane: i, program: Key{byte(rapid.IntRange(0, 1).Draw(t, "program")) * Parts, 1}, hold: digest("hold", "", fmt.Sprint(n))}
				tr.operation = &Operation{Kind: Reserve, Program: tr.program, Hold: tr.hold, Tokens: most, Budget: budget}
				tr.done = workers[i].add(tr.operation)
				programs[tr.program] = true
				asked = append(asked, tr)
			case "settle":
				if len(running) == 0 {
					continue
				}
				tr := running[0]
				running = running[1:]
				o := Operation{Kind: Settle, Program: tr.program, Hold: tr.hold, Tokens: sd.Tokens(rapid.IntRange(0, int(most)).Draw(t, "used"))}
				if rapid.Bool().Draw(t, "whole") {
					o.Turn = &Turn{Program: tr.program, Key: tr.hold, Input: []byte("x")}
				}
				used[tr.program] += o.Tokens
				granted[tr.program] -= most
				first, second := o, o
				by := rapid.IntRange(0, 2).Draw(t, "settled by")
				if by != 1 {
					workers[0].add(&first)
				}
				if by != 0 {
					workers[1].add(&second)
				}
			case "step":
				step(i, false)
			case "late":
				late()
			}
		}
		for _, tr := range append(asked, running...) {
			if len(asked) > 0 && tr == asked[0] {
				asked = asked[1:]
				delete(workers[tr.lane].waiters, tr.operation)
				tr.operation.Deadline = now
				continue
			}
			workers[tr.lane].add(&Operation{Kind: Settle, Program: tr.program, Hold: tr.hold})
		}
		running = nil
		for calm := 0; calm < 400; calm++ {
			now++
			a, b := step(0, true), step(1, true)
			if !a && !b {
				break
			}
		}
		for len(store.late) > 0 {
			late()
		}
		for program := range programs {
			row := store.rows[accountRecordKey("p0", program)]
			if row.Version == 0 {
				continue
			}
			account, err := DecodeAccount(row.Value)
			if err != nil {
				t.Fatal(err)
			}
			if account.Spent != used[program] || account.Reserved() > 0 {
				t.Fatalf("spent %d, but turns used %d; %d still reserved", account.Spent, used[program], account.Reserved())
			}
		}
	})
}

// Guards against a reservation that stays open and makes later turns fail with 402 for
// ever: the reservation was abandoned, but one copy of its transaction was applied, and
// the only response was the conflict of a second copy with the first.
func TestLaneGivesBackAReservationThatConflictsWithItsOwnCopy(t *testing.T) {
	store := &modelStore{rows: map[sd.RecordKey]sd.Record{}}
	lane := &Batcher{Part: "p0"}
	o := &Operation{Kind: Reserve, Program: key(0), Hold: key(1), Tokens: 100, Budget: 100}
	lane.Add(o)
	update, _ := lane.Next(1)
	_, _ = store.apply(update)
	page, err := store.apply(update)
	o.Deadline = 2
	lane.Complete(2, page, err)
	lane.Expire(3)
	for range 5 {
		update, due := lane.Next(4)
		if !due {
			break
		}
		page, err := store.apply(update)
		lane.Complete(4, page, err)
	}
	account, err := DecodeAccount(store.rows[accountRecordKey("p0", key(0))].Value)
	if err != nil || account.Reserved() != 0 {
		t.Fatalf("reserved %d, %v", account.Reserved(), err)
	}
}

// Guards against a reservation that stays open for ever: its host was cut off, another one cancelled it
// and ended more turns than the account lists, and the first made it once it was back.
func TestReservationIsNotMadeAfterItsCancel(t *testing.T) {
	store := &modelStore{rows: map[sd.RecordKey]sd.Record{}}
	program := key(0)
	cutOff, other := &Batcher{Part: "p0"}, &Batcher{Part: "p0"}
	run := func(lane *Batcher) (ended []Completion) {
		for {
			update, due := lane.Next(1)
			if !due {
				return ended
			}
			page, err := store.apply(update)
			ended = append(ended, lane.Complete(1, page, err)...)
		}
	}
	late := &Operation{Kind: Reserve, Program: program, Hold: digest("hold", "", "late"), Tokens: 100, Budget: 1000}
	cutOff.Add(late)
	other.Add(&Operation{Kind: Cancel, Program: program, Hold: late.Hold})
	for i := range maxSettledKeys {
		hold := digest("hold", "", fmt.Sprint(i))
		other.Add(&Operation{Kind: Reserve, Program: program, Hold: hold, Tokens: 10, Budget: 1000})
		other.Add(&Operation{Kind: Settle, Program: program, Hold: hold, Tokens: 10})
	}
	run(other)
	ended := run(cutOff)
	account, err := DecodeAccount(store.rows[accountRecordKey("p0", program)].Value)
	if err != nil || account.Reserved() != 0 || account.Spent != 10*maxSettledKeys {
		t.Fatalf("spent %d, reserved %d, %v", account.Spent, account.Reserved(), err)
	}
	if len(ended) != 1 || !errorx.IsOfType(ended[0].Err, sd.Unavailable) {
		t.Fatalf("late reservation ended with %v, want Unavailable", ended)
	}
	next := &Operation{Kind: Reserve, Program: program, Hold: digest("hold", "", "next"), Tokens: 100, Budget: 1000}
	cutOff.Add(next)
	if ended := run(cutOff); len(ended) != 1 || ended[0].Err != nil {
		t.Fatalf("next reservation ended with %v", ended)
	}
}

// Guards against a host that exceeds its memory while the store is away: the ends of large turns whose
// callers were told of the failure waited for the store with all that was said.
func TestTurnsThatAreGivenUpHoldNoMemory(t *testing.T) {
	a := New(Settings{Retention: sd.Minute}, nil, Peers{}, sd.NewClock(), zap.NewNop())
	program, hold := ProgramKey("w", "p"), key(1)
	w := a.worker(program)
	store := &modelStore{rows: map[sd.RecordKey]sd.Record{}}
	run := func(fate func(sd.Update) (sd.Page, error)) {
		update, due := w.lane.Next(1)
		if !due {
			t.Fatal("no transaction is due")
		}
		page, err := fate(update)
		w.deliver(w.lane.Complete(1, page, err))
	}
	w.lane.Add(&Operation{Kind: Reserve, Program: program, Hold: hold, Tokens: 56, Budget: 100})
	w.waiters[w.lane.pending[0]] = make(chan error, 1)
	run(store.apply)
	giveUp, cancel := context.WithCancel(t.Context())
	cancel()
	turn := &Turn{Program: program, Key: TurnKey("w", "t"), Input: make([]byte, 480_000)}
	held := func() (bytes int) {
		for _, o := range w.lane.pending {
			if o.Turn != nil {
				bytes += o.Turn.Size()
			}
		}
		return bytes
	}
	if err := a.Settle(giveUp, program, hold, 14, turn); !errorx.IsOfType(err, sd.Unavailable) {
		t.Fatalf("got %v, want Unavailable", err)
	}
	if held() > 0 {
		t.Errorf("%d bytes wait for the store", held())
	}
	// One that is in flight as its caller leaves is dropped once the transaction has failed.
	second := *turn
	second.Key = TurnKey("w", "t2")
	o := &Operation{Kind: Settle, Program: program, Hold: key(2), Turn: &second}
	w.lane.Add(o)
	run(func(sd.Update) (sd.Page, error) {
		w.lane.DropTurn(o)
		return sd.Page{}, sd.Uncertain.New("store is silent")
	})
	if held() > 0 {
		t.Errorf("%d bytes wait for the store after a transaction failed", held())
	}
	run(store.apply)
	account, err := DecodeAccount(store.rows[accountRecordKey(Part(program), program)].Value)
	if err != nil || account.Spent != 14 || account.Reserved() != 0 {
		t.Errorf("spent %d, reserved %d, %v; want the charge of the turn that was given up", account.Spent, account.Reserved(), err)
	}
}

// Guards against a transaction that names a row twice, which the store refuses for good: two copies of a
// cancel, or of a reservation whose cancel may have been dropped from the account.
func TestCopiesOfACancelNameTheirRowOnce(t *testing.T) {
	store := &modelStore{rows: map[sd.RecordKey]sd.Record{}}
	program := key(0)
	var full Account
	for i := range maxSettledKeys {
		full.Settle(digest("hold", "", fmt.Sprint(i)), 0)
	}
	_, _ = store.apply(sd.Update{Put: []sd.Record{{RecordKey: accountRecordKey("p0", program), Value: full.Encode()}}})
	lane := &Batcher{Part: "p0"}
	lane.Observe(1, program, full, store.version)
	for range 2 {
		lane.Add(&Operation{Kind: Reserve, Program: program, Hold: key(1), Tokens: 10, Budget: 100})
	}
	for range 2 {
		lane.Add(&Operation{Kind: Cancel, Program: program, Hold: key(2)})
	}
	ended := 0
	for update, due := lane.Next(1); due; update, due = lane.Next(1) {
		page, err := store.apply(update)
		ended += len(lane.Complete(1, page, err))
	}
	account, err := DecodeAccount(store.rows[accountRecordKey("p0", program)].Value)
	if err != nil || ended != 4 || account.Reserved() != 10 {
		t.Fatalf("%d operations ended, %d reserved, %v", ended, account.Reserved(), err)
	}
}
