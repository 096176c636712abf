package archiver

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
)

func key(n int) Key { return digest("test", "w", string(rune('a'+n))) }

func TestAccountReservesOnceAndChargesOnce(t *testing.T) {
	var a Account
	if !a.Reserve(key(1), 280, 560) || !a.Reserve(key(1), 280, 560) {
		t.Fatal("reservation refused")
	}
	if got := a.Reserved(); got != 280 {
		t.Fatalf("reserved %d, want 280: the second call has the same key", got)
	}
	if !a.Reserve(key(2), 280, 560) || a.Reserve(key(3), 1, 560) {
		t.Fatal("a budget of 560 allows exactly two reservations of 280")
	}
	a.Settle(key(1), 70)
	if a.Spent != 70 || a.Reserved() != 280 {
		t.Fatalf("spent %d, reserved %d", a.Spent, a.Reserved())
	}
	if a.Reserve(key(1), 280, 5600) {
		t.Fatal("a reservation that has ended was made again")
	}
}

// Spent and reserved tokens never exceed the budget, and the stored encoding is lossless.
func TestAccountKeepsItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := sd.Tokens(rapid.IntRange(0, 3000).Draw(t, "budget"))
		var a Account
		limits := map[Key]sd.Tokens{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			k := key(rapid.IntRange(0, 30).Draw(t, "hold"))
			if limit, open := limits[k]; open && rapid.Bool().Draw(t, "settle") {
				a.Settle(k, sd.Tokens(rapid.IntRange(0, int(limit)).Draw(t, "used")))
				delete(limits, k)
			} else if limit := sd.Tokens(rapid.IntRange(1, 400).Draw(t, "limit")); a.Reserve(k, limit, budget) && !open {
				limits[k] = limit
			}
			if a.Spent+a.Reserved() > budget {
				t.Fatalf("spent %d + open %d > budget %d", a.Spent, a.Reserved(), budget)
			}
			back, err := DecodeAccount(a.Encode())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(a, back, cmpopts.EquateEmpty()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

func TestStoredFormsRefuseAnythingElse(t *testing.T) {
	turn := &Turn{Program: key(1), Key: key(2), Previous: key(3), Origin: key(1), Target: "t", Input: []byte("in"), Output: []byte("out")}
	back, err := DecodeTurn(turn.Program, turn.Key, turn.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(turn, back); diff != "" {
		t.Fatal(diff)
	}
	whole := turn.Encode()
	for n := range whole {
		if _, err := DecodeTurn(turn.Program, turn.Key, whole[:n]); err == nil {
			t.Fatalf("a prefix of %d of %d bytes was decoded as a turn", n, len(whole))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		garbage := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		// Neither may panic or allocate memory for a forged length.
		_, _ = DecodeTurn(Key{}, Key{}, garbage)
		_, _ = DecodeAccount(garbage)
	})
}
