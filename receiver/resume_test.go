package receiver_test

import (
	"strings"
	"testing"

	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

// spoilFirst spoils the first run of each stream, whichever target has it.
func (b *bench) spoilFirst(how, then emulator.Spoil) {
	for _, e := range b.engines {
		e.Spoil(func(id string) emulator.Spoil {
			for _, other := range b.engines {
				if other == e {
					continue
				}
				if n, _ := other.Ran(id); n > 0 {
					return then
				}
			}
			return how
		})
	}
}

func events(id string) string {
	var out strings.Builder
	for i := range 4 {
		n := string(rune('0' + i))
		out.WriteString("id: " + string(rune('1'+i)) + "\ndata: " + id + "." + n + "\n\n")
	}
	return out.String()
}

// A stream that its target breaks off goes on at another one, without an event missing or
// twice, under the head of the first.
func TestBrokenStreamIsResumed(t *testing.T) {
	b := newBench(t)
	b.spoilFirst(emulator.Cut, emulator.Sound)
	status, h, text, whole := b.ask("POST", "/ask/x", "a1", "x", "Program-Id", "p", "Token-Budget", "300", "Token-Usage", "1,56")
	if status != 200 || !whole || text != events("a1") {
		t.Fatalf("%d, whole %t: %q", status, whole, text)
	}
	first, second := b.engines[0], b.engines[1]
	if second.Seen()[0].Get("Last-Event-Id") == "" {
		first, second = second, first
	}
	if got := second.Seen()[0].Get("Last-Event-Id"); got != "2" || first.Seen()[0].Get("Last-Event-Id") != "" {
		t.Errorf("the second target was to go on after %q", got)
	}
	if got := h.Get("Server-Stamp"); got != "stamp-"+string(first.ID) {
		t.Errorf("signature %q, not that of the first target", got)
	}
}

// No event of a resumed stream is charged twice: the budget holds five turns.
func TestResumedStreamIsChargedOnce(t *testing.T) {
	b := newBench(t)
	b.spoilFirst(emulator.Cut, emulator.Sound)
	for i := range 5 {
		id := "a" + string(rune('0'+i))
		if status, _, _, whole := b.ask("POST", "/ask/x", id, "x", "Program-Id", "p", "Token-Budget", "280", "Token-Usage", "1,56"); status != 200 || !whole {
			t.Fatalf("turn %d: %d", i, status)
		}
		b.settled()
	}
	if status, _, _, _ := b.ask("POST", "/ask/x", "a5", "x", "Program-Id", "p", "Token-Budget", "280", "Token-Usage", "1,56"); status != 402 {
		t.Fatalf("sixth turn: %d, want 402", status)
	}
}

// The answer is lost before its head: the stream is sent again, as often as its rule allows.
func TestResumableStreamIsRepeated(t *testing.T) {
	b := newBench(t)
	b.spoilFirst(emulator.Lose, emulator.Sound)
	if status, _, text, whole := b.ask("POST", "/ask/x", "a1", "x"); status != 200 || !whole || text != events("a1") {
		t.Fatal(status, text, whole)
	}
	b.spoilFirst(emulator.Lose, emulator.Lose)
	if status, _, _, _ := b.ask("POST", "/ask/x", "a2", "x"); status != 502 {
		t.Fatal(status)
	}
	if n, _ := b.ran("a2"); n != 2 {
		t.Fatalf("ran %d times, its rule allows 2", n)
	}
}

// A target that begins anew does not go on from the other's events: nothing of it is
// passed on.
func TestRunsAreNotJoined(t *testing.T) {
	b := newBench(t)
	b.spoilFirst(emulator.Cut, emulator.Restart)
	status, _, text, whole := b.ask("POST", "/ask/x", "a1", "x", "Program-Id", "p")
	if status != 200 || whole || !strings.HasPrefix(events("a1"), text) {
		t.Fatalf("%d, whole %t: %q", status, whole, text)
	}
}

// Callers resume a stream themselves after a broken connection.
func TestCallerResumesAStream(t *testing.T) {
	b := newBench(t)
	status, _, text, whole := b.ask("POST", "/ask/x", "a1", "x", "Last-Event-Id", "2", "Program-Id", "p", "Token-Budget", "300", "Token-Usage", "1,56")
	if status != 200 || !whole || !strings.HasSuffix(events("a1"), text) || strings.Count(text, "data:") != 2 {
		t.Fatal(status, text, whole)
	}
}

// Streams of other rules run once, broken off or not.
func TestOtherStreamsAreNotResumed(t *testing.T) {
	b := newBench(t)
	b.spoilFirst(emulator.Cut, emulator.Sound)
	if _, _, whole := b.turn("t1", "", "x"); whole {
		t.Fatal("a stream that was cut looks whole")
	}
	if n, _ := b.ran("t1"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}
