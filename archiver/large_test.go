package archiver_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/faker"
)

// countedStore counts the pages of programs that are read, and the bytes of their rows.
type countedStore struct {
	*faker.Rows
	pages, bytes int
}

func (s *countedStore) List(ctx context.Context, table, part, from, to string) (sd.Page, error) {
	page, err := s.Rows.List(ctx, table, part, from, to)
	if table != archiver.TablePrograms {
		return page, err
	}
	s.pages++
	for _, record := range page.Records {
		s.bytes += len(record.Value)
	}
	return page, err
}

// storeTurns stores a program of turns. Each goes on from the one that previous names, or begins a chain
// if that is negative.
func storeTurns(t *testing.T, store sd.Store, program archiver.Key, inputs [][]byte, previous func(n int) int) []archiver.Key {
	t.Helper()
	lane := archiver.Batcher{Part: archiver.Part(program)}
	keys := make([]archiver.Key, len(inputs))
	for n, input := range inputs {
		keys[n] = archiver.TurnKey("w", sd.CallID(fmt.Sprint(program, n)))
		turn := &archiver.Turn{Program: program, Key: keys[n], Input: input}
		if from := previous(n); from >= 0 {
			turn.Previous, turn.Origin = keys[from], program
		}
		lane.Add(&archiver.Operation{Kind: archiver.Settle, Program: program, Hold: keys[n], Turn: turn})
	}
	for update, due := lane.Next(1); due; update, due = lane.Next(1) {
		page, err := store.Commit(t.Context(), update)
		lane.Complete(1, page, err)
	}
	return keys
}

// Guards against a turn that is not found because its program is large: all of the program was read
// from its start, and charged to the request, which had no memory for it.
func TestTurnsOfLargeProgramsAreFound(t *testing.T) {
	const turns, length, size = 400, 3, 26_000
	const room = (length + 1) * size
	for _, capacity := range []sd.Bytes{0, 1 << 20, 64 << 20} {
		store := &countedStore{Rows: faker.NewRows(1)}
		program := archiver.ProgramKey("w", "p")
		inputs := make([][]byte, turns)
		for n := range inputs {
			inputs[n] = make([]byte, size)
		}
		keys := storeTurns(t, store, program, inputs, func(n int) int {
			if n%length == 0 {
				return -1
			}
			return n - 1
		})
		a := archiver.New(archiver.Settings{CacheCapacity: capacity, Retention: sd.Minute}, store, archiver.Peers{}, sd.NewClock(), zap.NewNop())
		asked := 0
		for n, key := range keys {
			charged := 0
			chain, err := a.ChainWithin(t.Context(), program, key, func(bytes int) bool {
				charged += bytes
				return charged <= room
			})
			if err != nil || len(chain) != n%length+1 {
				t.Fatalf("cache of %d bytes, turn %d: chain of %d turns, %v", capacity, n, len(chain), err)
			}
			asked += len(chain)
		}
		if store.pages > asked+1 {
			t.Errorf("cache of %d bytes: %d pages were read for %d turns", capacity, store.pages, asked)
		}
		t.Logf("cache of %d bytes: %d pages of %d bytes in all for %d chains", capacity, store.pages, store.bytes, turns)
	}
}

// Guards against a long chain of short turns that takes a read of the store for each turn.
func TestLongChainsAreReadByPages(t *testing.T) {
	const turns, size = 3000, 1000
	store := &countedStore{Rows: faker.NewRows(1)}
	program := archiver.ProgramKey("w", "p")
	inputs := make([][]byte, turns)
	for n := range inputs {
		inputs[n] = make([]byte, size)
	}
	keys := storeTurns(t, store, program, inputs, func(n int) int { return n - 1 })
	a := archiver.New(archiver.Settings{CacheCapacity: 16 << 20, Retention: sd.Minute}, store, archiver.Peers{}, sd.NewClock(), zap.NewNop())
	whole := 0
	for from, more := "", true; more; whole++ {
		page, err := store.Rows.List(t.Context(), archiver.TablePrograms, archiver.Part(program), from, "")
		if err != nil {
			t.Fatal(err)
		}
		more, from = page.More, page.Records[len(page.Records)-1].Key+"\x00"
	}
	chain, err := a.Chain(t.Context(), program, keys[turns-1])
	if err != nil || len(chain) != turns {
		t.Fatalf("chain of %d turns, %v", len(chain), err)
	}
	t.Logf("%d pages were read, the program has %d", store.pages, whole)
	if most := whole + 16*whole; store.pages > most {
		t.Errorf("%d pages were read, %d at most", store.pages, most)
	}
}

// Guards against a turn that is not in its caller's program, as in one that goes on from another, and takes two
// reads of a program whose rows are all on a page.
func TestUnknownTurnTakesOneReadOfASmallProgram(t *testing.T) {
	store := &countedStore{Rows: faker.NewRows(1)}
	program := archiver.ProgramKey("w", "p")
	storeTurns(t, store, program, [][]byte{make([]byte, 1000)}, func(int) int { return -1 })
	a := archiver.New(archiver.Settings{CacheCapacity: 1 << 20, Retention: sd.Minute}, store, archiver.Peers{}, sd.NewClock(), zap.NewNop())
	_, err := a.Chain(t.Context(), program, archiver.TurnKey("w", "unknown"))
	if !errorx.IsOfType(err, sd.NotFound) || store.pages != 1 {
		t.Errorf("%d pages were read, want one; %v", store.pages, err)
	}
}
