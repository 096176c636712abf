package sweeper

import (
	"fmt"
	"math/rand"
	"testing"

	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
)

func newTruth(t *rapid.T) *truth {
	w := &truth{
		random: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))), lease: 1,
		keepers: map[sapphiredrum.ShardID]*keeper{}, gone: map[sapphiredrum.ProgramID]bool{}, held: map[sapphiredrum.ProgramID]bool{},
		settings: Settings{Fenced: rapid.Bool().Draw(t, "fenced"), Grace: 5000, Ask: 3000, Retry: 4000, Lag: 4000, Pause: 1000},
	}
	for range 2 {
		w.guards = append(w.guards, &guardNode{
			state: New(w.settings), origin: w.random.Int63n(1e6), known: map[sapphiredrum.ShardID]sapphiredrum.Epoch{},
			granted: map[sapphiredrum.ProgramID]int64{}, words: map[sapphiredrum.ProgramID][]word{},
		})
	}
	for n := range 3 {
		w.shards = append(w.shards, sapphiredrum.ShardID{Zone: "z", Number: n})
		w.keepers[w.shards[n]] = &keeper{}
		w.move(n)
		for i := range 3 {
			w.programs = append(w.programs, sapphiredrum.ProgramID(fmt.Sprintf("%s.p%d", w.shards[n], i)))
		}
	}
	return w
}

// TestSweep runs two guards of one target through faults: memory is released
// only of programs that are gone, on a keeper's word, and in the end always.
func TestSweep(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newTruth(t)
		draw := func(most int) int { return rapid.IntRange(0, most-1).Draw(t, "which") }
		t.Repeat(map[string]func(*rapid.T){
			"run":    func(t *rapid.T) { w.run(t, rapid.IntRange(1, 40).Draw(t, "steps")) },
			"grant":  func(*rapid.T) { w.grant(draw(len(w.programs))) },
			"grant2": func(*rapid.T) { w.grant(draw(len(w.programs))) },
			"end":    func(*rapid.T) { w.gone[w.programs[draw(len(w.programs))]] = true },
			"move":   func(*rapid.T) { w.move(draw(len(w.shards))) },
			"die":    func(*rapid.T) { w.keepers[w.shards[draw(len(w.shards))]].dead = true },
			"lossy":  func(*rapid.T) { w.lossy = !w.lossy },
			"freeze": func(*rapid.T) { w.guards[draw(2)].frozen = true },
			"resume": func(*rapid.T) { w.resume(draw(2)) },
			"guard":  func(*rapid.T) { w.holder, w.lease = draw(2), w.lease+1 },
			"quiet":  w.quiet,
		})
		w.quiet(t)
		steps += int(w.time / 250)
	})
	t.Logf("steps: %d", steps)
}
