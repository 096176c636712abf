package receiver_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

// settled waits until what turns used is written, which may be after their end.
func (b *bench) settled() {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), 2*time.Second)
	defer cancel()
	if !b.receiver.Settled(ctx) {
		b.t.Fatal("an account is not written")
	}
}

// Planned stop: a host ends only once the accounts of turns that ended before are written.
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
	if b.receiver.Settled(soon) {
		t.Fatal("written before the store could have it")
	}
	b.settled()
}

// A budget binds the turns of a rule that keeps none of them as well.
func TestBudgetBindsTurnsThatAreNotKept(t *testing.T) {
	b := newBench(t)
	ask := func(id string) int {
		status, _, _, _ := b.ask("POST", "/ask/x", id, "x", "Program-Id", "p", "Token-Budget", "300", "Token-Usage", "100,56")
		return status
	}
	// 4 events of 14 tokens are charged a turn; a turn of at most 56 needs that much left.
	for i := range 5 {
		if status := ask(fmt.Sprint("a", i)); status != 200 {
			t.Fatalf("turn %d: %d", i, status)
		}
		b.settled()
	}
	if status := ask("a5"); status != 402 {
		t.Fatalf("sixth turn: %d, want 402", status)
	}
	if n, _ := b.ran("a5"); n != 0 {
		t.Fatal("a turn answered 402 has run")
	}
}

// Parallel turns of a program that its budget does not hold together: those that get no
// token, and those alone, are refused or broken off.
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
				t.Errorf("%s was answered %d and ran", id, status)
			}
			events <- strings.Count(text, "data:")
		}()
	}
	total := 0
	for range 10 {
		total += <-events
	}
	if total*14 > 112 {
		t.Fatalf("%d tokens were handed out of a budget of 112", total*14)
	}
}

// A target begins while the store takes the reservation, but its answer is passed on only
// once it has.
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
		t.Errorf("the first token came after %v, the store took %d ms", took, delay)
	}
	if !<-began {
		t.Error("the target did not begin while the store took the reservation")
	}
}

// A turn whose target began as the store went away gets no token, and no promise that it
// has not run.
func TestTurnSentAsTheStoreGoesAwayHandsOutNothing(t *testing.T) {
	b := newBench(t)
	if status, _, _ := b.turn("first", "", "x"); status != 200 {
		t.Fatal(status)
	}
	b.rows.Trouble(faker.RowsTrouble{Down: true})
	status, _, text, _ := b.ask("POST", "/ask/x", "a1", "x", "Program-Id", "q", "Token-Budget", "300", "Token-Usage", "1,56", "Deadline-Ms", "400")
	if strings.Contains(text, "data:") {
		t.Fatal("tokens were handed out")
	}
	if n, _ := b.ran("a1"); n > 0 && (status == 402 || status == 429 || status == 503) {
		t.Fatalf("ran, and was answered %d", status)
	}
}

// A second try of a turn whose reservation turns out not to fit is no refusal: the first
// one ran.
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
				t.Errorf("%s ran and was answered 402", id)
			}
			ends <- status
		}()
	}
	for range 8 {
		<-ends
	}
}
