package receiver_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

// waitSettled waits until the token usage of all turns is recorded, which may be after
// their responses end.
func (b *bench) waitSettled() {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), 2*time.Second)
	defer cancel()
	if !b.receiver.WaitSettled(ctx) {
		b.t.Fatal("token usage not recorded within 2 s")
	}
}

// awaitSpent waits until a program's account has exactly so many tokens spent and none reserved. A
// caller may see its stream cut before the turn begins to be settled.
func (b *bench) awaitSpent(program sd.ProgramID, want sd.Tokens) {
	b.t.Helper()
	key := archiver.ProgramKey(b.receiver.RoutingTable().FleetConfig.Workspaces[0].ID, program)
	var account archiver.Account
	for range 200 {
		row := b.rows.Row(sd.RecordKey{Table: archiver.TablePrograms, Part: archiver.Part(key), Key: key.String() + "/"})
		if row.Version > 0 {
			var err error
			if account, err = archiver.DecodeAccount(row.Value); err != nil {
				b.t.Fatal(err)
			}
			if account.Spent == want && account.Reserved() == 0 {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatalf("%d spent and %d reserved after 2 s, want %d and none", account.Spent, account.Reserved(), want)
}

// On a planned stop, WaitSettled must return true only once the token usage of all
// finished turns is recorded.
func TestAccountsAreWrittenBeforeAHostEnds(t *testing.T) {
	b := newBench(t)
	if status, _, _ := b.turn("first", "", "x"); status != 200 {
		t.Fatal(status)
	}
	b.rows.Trouble(faker.RowsTrouble{Delay: 200})
	if status, _, _, _ := b.ask("POST", "/ask/x", "a1", "x", "Program-Id", "q", "Token-Budget", "300", "Token-Usage", "1,56"); status != 200 {
		t.Fatal(status)
	}
	soon, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if b.receiver.WaitSettled(soon) {
		t.Fatal("WaitSettled returned true before the store could have the usage")
	}
	b.waitSettled()
}

// The budget also applies to turns of rules that do not retain turns.
func TestBudgetBindsTurnsThatAreNotKept(t *testing.T) {
	b := newBench(t)
	ask := func(id string) int {
		status, _, _, _ := b.ask("POST", "/ask/x", id, "x", "Program-Id", "p", "Token-Budget", "300", "Token-Usage", "100,56")
		return status
	}
	// A turn is charged 4 events of 14 tokens; one limited to 56 needs that much left.
	for i := range 5 {
		if status := ask(fmt.Sprint("a", i)); status != 200 {
			t.Fatalf("turn %d: status %d", i, status)
		}
		b.waitSettled()
	}
	if status := ask("a5"); status != 402 {
		t.Fatalf("sixth turn: status %d, want 402", status)
	}
	if n, _ := b.ran("a5"); n != 0 {
		t.Fatal("turn ran although it was answered 402")
	}
}

// Parallel turns must not exceed their program's budget together. Only turns that got
// no token may be refused as not run.
func TestParallelTurnsKeepTheBudget(t *testing.T) {
	b := newBench(t)
	for _, e := range b.engines {
		e.Pause = 20
	}
	events := make(chan int, 10)
	for i := range 10 {
		go func() {
			id := fmt.Sprint("par", i)
			status, _, text, _ := b.ask("POST", "/ask/x", id, "x", "Program-Id", "p", "Token-Budget", "112", "Token-Usage", "100,56")
			if n, _ := b.ran(id); n > 0 && (status == 402 || status == 503) {
				t.Errorf("%s ran although it was answered %d", id, status)
			}
			events <- strings.Count(text, "data:")
		}()
	}
	total := 0
	for range 10 {
		total += <-events
	}
	if total*14 > 112 {
		t.Fatalf("%d tokens were forwarded, the budget is 112", total*14)
	}
}

// Guards against turns that run at once and together are handed more than their program's budget and
// the most of one turn: each reserved its limit and was handed whole events, which count more.
func TestParallelTurnsReserveWholeEvents(t *testing.T) {
	b := newBench(t)
	for _, e := range b.engines {
		e.Events, e.Pause = 3, 20
	}
	const budget, most, turns = 600, 3 * 14, 24
	events := make(chan int, turns)
	for i := range turns {
		go func() {
			_, _, text, _ := b.ask("POST", "/ask/x", fmt.Sprint("par", i), "x", "Program-Id", "p", "Token-Budget", fmt.Sprint(budget), "Token-Usage", "100,30")
			events <- strings.Count(text, "data:")
		}()
	}
	total := 0
	for range turns {
		total += <-events
	}
	if total*14 > budget+most {
		t.Errorf("%d tokens were handed out of a budget of %d, with turns of %d at most", total*14, budget, most)
	}
}

// Guards against a turn that is refused for its last event although the budget holds its limit.
func TestLastTurnOfABudgetMayEndInAWholeEvent(t *testing.T) {
	b := newBench(t)
	for _, e := range b.engines {
		e.Events = 3
	}
	// After six turns of 42 tokens, 33 of 285 are left for one of 30.
	for i := range 8 {
		status, _, _, _ := b.ask("POST", "/ask/x", fmt.Sprint("a", i), "x", "Program-Id", "p", "Token-Budget", "285", "Token-Usage", "100,30")
		want := 200
		if i == 7 {
			want = 402
		}
		if status != want {
			t.Errorf("turn %d: status %d, want %d", i, status, want)
		}
		b.waitSettled()
	}
}

// Guards against turns whose limit is no integer and that run beyond any budget, and against a 402 for
// those that have no budget.
func TestTurnsWithHugeLimits(t *testing.T) {
	b := newBench(t)
	for i, limit := range []string{"1e300", "9223372036854775807", "Inf"} {
		if status, _, _, _ := b.ask("POST", "/ask/x", fmt.Sprint("a", i), "x", "Program-Id", "p", "Token-Budget", "300", "Token-Usage", "100,"+limit); status != 402 {
			t.Errorf("status %d of a turn of %s tokens with a budget of 300, want 402", status, limit)
		}
		for n := range 3 {
			if status, _, _, _ := b.ask("POST", "/talk/x", fmt.Sprint("t", i, n), "x", "Program-Id", "q", "Token-Usage", "100,"+limit); status != 200 {
				t.Errorf("status %d of a turn of %s tokens without a budget, want 200", status, limit)
			}
		}
	}
}

// Guards against turns without a limit of their own that are handed more than the budget of their
// program: they reserved nothing, and their streams had no bound.
func TestTurnsWithoutALimitKeepTheBudget(t *testing.T) {
	for _, usage := range []string{"", "100", "100,0", "100,-5", "100,x"} {
		b := newBench(t)
		for _, e := range b.engines {
			e.Events = 10
		}
		header := []string{"Program-Id", "p", "Token-Budget", "150"}
		if usage != "" {
			header = append(header, "Token-Usage", usage)
		}
		total, refused := 0, false
		for i := range 3 {
			status, _, text, _ := b.ask("POST", "/ask/x", fmt.Sprint("a", i), "x", header...)
			total += strings.Count(text, "data:") * 14
			refused = status == 402
			b.awaitSpent("p", sd.Tokens(total))
		}
		// The first turn takes 140 tokens whole, the second the event that the rest holds.
		if total != 154 || !refused {
			t.Errorf("Token-Usage %q: %d tokens of a budget of 150 were handed out, last turn refused %t", usage, total, refused)
		}
	}
}

// Guards against a 402 for a turn without a limit while the budget has tokens left: this host took the
// account of an earlier moment for what is left.
func TestTurnWithoutALimitTakesWhatOthersLeave(t *testing.T) {
	b := newBench(t)
	ctx, cancel := context.WithCancel(t.Context())
	elsewhere := archiver.New(archiver.Settings{Retention: sd.Minute}, b.rows, archiver.Peers{}, sd.NewClock(), zap.NewNop())
	ended := make(chan error, 1)
	go func() { ended <- elsewhere.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	ask := func(id string) int {
		status, _, _, _ := b.ask("POST", "/ask/x", id, "x", "Program-Id", "p", "Token-Budget", "300")
		b.waitSettled()
		return status
	}
	if status := ask("a0"); status != 200 {
		t.Fatal(status)
	}
	workspace := b.receiver.RoutingTable().FleetConfig.Workspaces[0].ID
	program, turn := archiver.ProgramKey(workspace, "p"), archiver.TurnKey(workspace, "other")
	hold, err := elsewhere.Reserve(ctx, program, turn, archiver.NewDemand(56, 14), 300)
	if err != nil {
		t.Fatal(err)
	}
	if err := elsewhere.Settle(ctx, program, hold, 56, nil); err != nil {
		t.Fatal(err)
	}
	if status := ask("a1"); status != 503 {
		t.Errorf("status %d, want 503: 188 tokens are left, but this host asked for 244", status)
	}
	if status := ask("a2"); status != 200 {
		t.Errorf("status %d of the next try, want 200", status)
	}
}

// The reservation runs beside the target's work. Its logged duration must not include the
// time until the target's answer, when its result is looked at, and only what the request
// stands still for it counts as held.
func TestReservationIsMeasuredUntilItEnds(t *testing.T) {
	capture, logs := captureLog()
	b := newBench(t, capture)
	if status, _, _ := b.turn("first", "", "x"); status != 200 {
		t.Fatal(status)
	}
	line := func(id string) map[string]any {
		return logs.FilterField(zap.Int("event", 640)).FilterField(zap.String("request", id)).All()[0].ContextMap()
	}
	if left, found := line("first")["left_ms"]; found {
		t.Errorf("left_ms %v of a request that names none", left)
	}
	for _, c := range []struct {
		id, left                string
		storeDelay, targetDelay sd.Millis
	}{{"fast-store", "1500", 20, 300}, {"late", "0", 20, 300}, {"slow-store", "1500", 300, 0}} {
		b.rows.Trouble(faker.RowsTrouble{Delay: c.storeDelay})
		for _, e := range b.engines {
			e.Started = func(string, string) { time.Sleep(c.targetDelay.Duration()) }
		}
		status, _, _, _ := b.ask("POST", "/ask/x", c.id, "x", "Program-Id", c.id, "Token-Budget", "300", "Token-Usage", "1,56", "Program-Deadline-Ms", c.left)
		if status != 200 {
			t.Fatal(status)
		}
		fields := line(c.id)
		field := func(name string) sd.Millis {
			value, _ := fields[name].(int64)
			return sd.Millis(value)
		}
		slowStore := c.storeDelay > c.targetDelay
		if reserve := field("reserve_ms"); reserve < c.storeDelay || !slowStore && reserve > c.targetDelay/2 {
			t.Errorf("%s: reserve_ms %d at a store of %d ms", c.id, reserve, c.storeDelay)
		}
		if first := field("first_ms"); first < c.targetDelay {
			t.Errorf("%s: first_ms %d at a target of %d ms", c.id, first, c.targetDelay)
		}
		if fields["held_ms"] == nil {
			t.Errorf("%s: no held_ms", c.id)
		}
		if held := field("held_ms"); held > c.storeDelay/2 != slowStore {
			t.Errorf("%s: held_ms %d at a store of %d ms", c.id, held, c.storeDelay)
		}
		if fmt.Sprint(fields["left_ms"]) != c.left {
			t.Errorf("%s: left_ms %v, want %s", c.id, fields["left_ms"], c.left)
		}
	}
}

// A refusal's line gives its Retry-After, so that logs tell which pauses of callers it caused.
func TestRefusalLogsItsRetryAfter(t *testing.T) {
	capture, logs := captureLog()
	b := newBench(t, capture)
	b.meter.refuse = true
	if status, _, _ := b.turn("r", "", "x"); status != 429 {
		t.Fatal(status)
	}
	if n := logs.FilterField(zap.Int("event", 641)).FilterField(zap.Int64("retry_ms", 250)).Len(); n != 1 {
		t.Fatalf("%d lines 641 with retry_ms 250", n)
	}
}

// A target may start while the store takes the reservation, but no token is forwarded
// before the store has it.
func TestNoTokenBeforeTheStoreHasTheReservation(t *testing.T) {
	const delay = 250
	b := newBench(t)
	if status, _, _ := b.turn("first", "", "x"); status != 200 {
		t.Fatal(status)
	}
	b.rows.Trouble(faker.RowsTrouble{Delay: delay})
	req, err := http.NewRequestWithContext(t.Context(), "POST", b.server.URL+"/ask/x", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"Request-Id": "a1", "Key": "k1", "Program-Id": "q", "Token-Budget": "300", "Token-Usage": "1,56", "Deadline-Ms": "2000",
	} {
		req.Header.Set(name, value)
	}
	sent := time.Now()
	began := make(chan bool, 1)
	go func() {
		time.Sleep(delay / 2 * time.Millisecond)
		n, _ := b.ran("a1")
		began <- n == 1
	}()
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := bufio.NewReader(answer.Body).ReadString('\n'); err != nil || answer.StatusCode != 200 {
		t.Fatal(answer.StatusCode, err)
	}
	if took := time.Since(sent); took < delay*time.Millisecond {
		t.Errorf("first token after %v, before the store took the reservation at %d ms", took, delay)
	}
	if !<-began {
		t.Error("target did not start while the store took the reservation")
	}
}

// A turn sent to a target just as the store goes down gets no token, and must not be
// answered with a status that says that it has not run.
func TestTurnSentAsTheStoreGoesAwayHandsOutNothing(t *testing.T) {
	b := newBench(t)
	if status, _, _ := b.turn("first", "", "x"); status != 200 {
		t.Fatal(status)
	}
	b.rows.Trouble(faker.RowsTrouble{Down: true})
	status, _, text, _ := b.ask("POST", "/ask/x", "a1", "x", "Program-Id", "q", "Token-Budget", "300", "Token-Usage", "1,56", "Deadline-Ms", "400")
	if strings.Contains(text, "data:") {
		t.Fatal("tokens were forwarded without a reservation")
	}
	if n, _ := b.ran("a1"); n > 0 && (status == 402 || status == 429 || status == 503) {
		t.Fatalf("turn ran although it was answered %d", status)
	}
}

// If a retried turn turns out not to fit the budget, it must not be answered 402, as
// the first attempt ran.
func TestTurnThatRanIsNotAnswered402(t *testing.T) {
	b := newBench(t)
	if status, _, _ := b.turn("first", "", "x"); status != 200 {
		t.Fatal(status)
	}
	for _, e := range b.engines {
		e.Pause = 40
		e.Spoil(func(string) emulator.Spoil { return emulator.Lose })
	}
	b.rows.Trouble(faker.RowsTrouble{Delay: 30})
	ends := make(chan int, 8)
	for i := range 8 {
		go func() {
			id := fmt.Sprint("lost", i)
			status, _, _, _ := b.ask("POST", "/ask/x", id, "x", "Program-Id", "new", "Token-Budget", "56", "Token-Usage", "1,56")
			if n, _ := b.ran(id); n > 0 && status == 402 {
				t.Errorf("%s ran although it was answered 402", id)
			}
			ends <- status
		}()
	}
	for range 8 {
		<-ends
	}
}

// Load: a pool without room for new programs, and a turn of a program that other hosts have
// served. Guards against refusing it as a new program: this host has never seen it, but its
// account tells.
func TestProgramsServedByOtherHostsAreNotNew(t *testing.T) {
	b := newBench(t)
	ctx, cancel := context.WithCancel(t.Context())
	elsewhere := archiver.New(archiver.Settings{}, b.rows, archiver.Peers{}, sd.NewClock(), zap.NewNop())
	ends := make(chan error, 1)
	go func() { ends <- elsewhere.Run(ctx) }()
	defer func() {
		cancel()
		<-ends
	}()
	program, turn := archiver.ProgramKey("w-k1", "p"), archiver.TurnKey("w-k1", "a1")
	hold, err := elsewhere.Reserve(ctx, program, turn, archiver.NewDemand(56, 1), 5000)
	if err != nil || elsewhere.Settle(ctx, program, hold, 56, nil) != nil {
		t.Fatal(err)
	}
	b.queue.Update(func(s *balancer.State, now sd.Instant) {
		s.ReportPeerLoad(now, "other", map[gossiper.IDHash]int{gossiper.HashID(sd.TargetID("e1")): 30}, nil)
	})
	ask := func(id, program string) (int, string) {
		status, _, text, _ := b.ask("POST", "/ask/x", id, "x", "Program-Id", program, "Token-Budget", "5000", "Token-Usage", "100,56")
		return status, text
	}
	if status, text := ask("b1", "q"); status != 503 || !strings.Contains(text, string(balancer.Saturated)) {
		t.Fatalf("new program: %d %s", status, text)
	}
	if status, text := ask("a2", "p"); status != 200 {
		t.Fatalf("program under way: %d %s", status, text)
	}
}
