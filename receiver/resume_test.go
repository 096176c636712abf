package receiver_test

import (
	"strings"
	"testing"

	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

// spoilFirst injects fault how into the first run of each stream, on whichever target,
// and fault then into its later runs.
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

// An interrupted stream is resumed on another target, with no event missing or
// duplicated, under the response header of the first.
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
		t.Errorf("second target got Last-Event-Id %q, want 2 there and none on the first", got)
	}
	if got := h.Get("Server-Stamp"); got != "stamp-"+string(first.ID) {
		t.Errorf("Server-Stamp %q, want that of the first target", got)
	}
}

// No event of a resumed stream is charged twice: the budget is enough for five turns.
func TestResumedStreamIsChargedOnce(t *testing.T) {
	b := newBench(t)
	b.spoilFirst(emulator.Cut, emulator.Sound)
	for i := range 5 {
		id := "a" + string(rune('0'+i))
		if status, _, _, whole := b.ask("POST", "/ask/x", id, "x", "Program-Id", "p", "Token-Budget", "280", "Token-Usage", "1,56"); status != 200 || !whole {
			t.Fatalf("turn %d: status %d", i, status)
		}
		b.waitSettled()
	}
	if status, _, _, _ := b.ask("POST", "/ask/x", "a5", "x", "Program-Id", "p", "Token-Budget", "280", "Token-Usage", "1,56"); status != 402 {
		t.Fatalf("sixth turn: status %d, want 402", status)
	}
}

// If the response is lost before its header, the stream is sent again, at most as often
// as its rule allows.
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
		t.Fatalf("ran %d times, want 2 as the rule allows", n)
	}
}

// If the second target starts from the beginning instead of resuming, none of its
// events may be forwarded.
func TestRunsAreNotJoined(t *testing.T) {
	b := newBench(t)
	b.spoilFirst(emulator.Cut, emulator.Restart)
	status, _, text, whole := b.ask("POST", "/ask/x", "a1", "x", "Program-Id", "p")
	if status != 200 || whole || !strings.HasPrefix(events("a1"), text) {
		t.Fatalf("%d, whole %t: %q", status, whole, text)
	}
}

// A caller can resume a stream itself after its connection broke.
func TestCallerResumesAStream(t *testing.T) {
	b := newBench(t)
	status, _, text, whole := b.ask("POST", "/ask/x", "a1", "x", "Last-Event-Id", "2", "Program-Id", "p", "Token-Budget", "300", "Token-Usage", "1,56")
	if status != 200 || !whole || !strings.HasSuffix(events("a1"), text) || strings.Count(text, "data:") != 2 {
		t.Fatal(status, text, whole)
	}
}

// Streams of rules that are not resumable run only once, even if interrupted.
func TestOtherStreamsAreNotResumed(t *testing.T) {
	b := newBench(t)
	b.spoilFirst(emulator.Cut, emulator.Sound)
	if _, _, whole := b.turn("t1", "", "x"); whole {
		t.Fatal("interrupted stream looks complete")
	}
	if n, _ := b.ran("t1"); n != 1 {
		t.Fatalf("ran %d times, want 1", n)
	}
}
