package sweeper

import (
	"math/rand"
	"slices"

	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
)

// keeper is a shard's owner in truth; stale ones still answer, and wrongly.
type keeper struct {
	epoch sapphiredrum.Epoch
	since int64
	dead  bool
}

// word is what a guard was told of a program.
type word struct {
	asked, told int64
	epoch       sapphiredrum.Epoch
	life        Life
}

type guardNode struct {
	state    *State
	origin   int64
	frozen   bool
	inbox    []func()
	lastTick int64
	start    int64
	guard    Guard
	known    map[sapphiredrum.ShardID]sapphiredrum.Epoch
	granted  map[sapphiredrum.ProgramID]int64
	words    map[sapphiredrum.ProgramID][]word
}

type truth struct {
	settings Settings
	time     int64
	random   *rand.Rand
	queue    []func()
	at       []int64
	keepers  map[sapphiredrum.ShardID]*keeper
	shards   []sapphiredrum.ShardID
	programs []sapphiredrum.ProgramID
	gone     map[sapphiredrum.ProgramID]bool
	held     map[sapphiredrum.ProgramID]bool
	fence    sapphiredrum.Epoch
	guards   []*guardNode
	holder   int
	lease    sapphiredrum.Epoch
	lossy    bool
	broken   string
}

func (w *truth) after(delay int64, do func()) {
	w.queue, w.at = append(w.queue, do), append(w.at, w.time+delay)
}

func (w *truth) to(g *guardNode, do func()) {
	if g.frozen {
		g.inbox = append(g.inbox, do)
		return
	}
	do()
}

func (w *truth) now(g *guardNode) sapphiredrum.Instant {
	return sapphiredrum.Instant(g.origin + w.time)
}

func (w *truth) step() {
	w.time += 250
	queue, at := w.queue, w.at
	w.queue, w.at = nil, nil
	for i, do := range queue {
		if at[i] <= w.time {
			do()
		} else {
			w.queue, w.at = append(w.queue, do), append(w.at, at[i])
		}
	}
	for i, g := range w.guards {
		if g.frozen {
			continue
		}
		guard := Guard{Epoch: g.guard.Epoch, Holds: i == w.holder}
		if guard.Holds {
			guard.Epoch = w.lease
		}
		if w.time-g.lastTick > 1000 || guard != g.guard {
			g.start, g.guard = w.time, guard
		}
		g.lastTick = w.time
		for _, order := range g.state.Tick(w.now(g), guard) {
			w.carry(g, i, order)
		}
	}
}

func (w *truth) carry(g *guardNode, index int, order Order) {
	switch o := order.(type) {
	case Ask:
		asked, epoch := w.time, g.known[o.Shard]
		for range 1 + w.random.Intn(2) {
			w.after(w.random.Int63n(3000), func() { w.reply(g, o, asked, epoch) })
		}
	case Release:
		if index != w.holder {
			w.broken = "release by a guard without the lease"
		}
		if why := w.unfounded(g, o.Program); why != "" {
			w.broken = why
		}
		w.after(w.random.Int63n(3000), func() { w.release(g, o) })
	}
}

// unfounded replays what the guard was told and says why it had to wait.
func (w *truth) unfounded(g *guardNode, id sapphiredrum.ProgramID) string {
	shard, _ := id.Shard()
	var words []word
	for _, x := range g.words[id] {
		switch {
		case x.asked <= g.granted[id] || x.asked < g.start || x.epoch != g.known[shard]:
		case x.life != Gone:
			words = nil
		default:
			words = append(words, x)
		}
	}
	if len(words) == 0 || w.time-words[0].told < int64(w.settings.Grace) {
		return "release without a keeper's word and the grace time"
	}
	again := func(x word) bool { return x.asked >= words[0].told+int64(w.settings.Grace) }
	if !w.settings.Fenced && !slices.ContainsFunc(words, again) {
		return "release at a target without fencing and no second check"
	}
	return ""
}

// reply answers as the keeper that the guard took for the owner when it asked.
func (w *truth) reply(g *guardNode, ask Ask, asked int64, epoch sapphiredrum.Epoch) {
	k := w.keepers[ask.Shard]
	if k.dead && epoch == k.epoch || w.lossy && w.random.Intn(3) == 0 {
		return
	}
	answer := Answer{Number: ask.Number, Epoch: epoch}
	for _, id := range ask.Programs {
		life := Living
		if w.gone[id] || epoch != k.epoch {
			life = Gone
		}
		if epoch == k.epoch && w.time-k.since < 2000 {
			life = Unknown
		}
		answer.Lives = append(answer.Lives, life)
	}
	w.after(w.random.Int63n(6000), func() {
		w.to(g, func() {
			for i, id := range ask.Programs {
				if _, open := g.state.asks[ask.Number]; open {
					g.words[id] = append(g.words[id], word{asked, w.time, epoch, answer.Lives[i]})
				}
			}
			g.state.Answered(w.now(g), answer)
		})
	})
}

// release is the target's side of an order.
func (w *truth) release(g *guardNode, order Release) {
	outcome := Done
	lost := w.lossy && w.random.Intn(2) == 0
	switch {
	case lost && w.random.Intn(2) == 0:
		return
	case w.settings.Fenced && order.Fence < w.fence:
		outcome = Refused
	default:
		w.fence = max(w.fence, order.Fence)
		if !w.gone[order.Program] {
			w.broken = "memory of a living program released"
		}
		delete(w.held, order.Program)
	}
	if !lost {
		w.after(w.random.Int63n(4000), func() { w.to(g, func() { g.state.Released(w.now(g), order.Number, outcome) }) })
	}
}

// report sends the target's load to the guards, late.
func (w *truth) report() {
	load := sapphiredrum.Load{Incarnation: 1}
	for _, id := range w.programs {
		if w.held[id] {
			load.Programs = append(load.Programs, id)
		}
	}
	for _, g := range w.guards {
		w.after(w.random.Int63n(3000), func() { w.to(g, func() { g.state.Load(w.now(g), load) }) })
	}
}

func (w *truth) run(t *rapid.T, steps int) {
	for i := range steps {
		if i%8 == 0 {
			w.report()
		}
		w.step()
		if w.broken != "" {
			t.Fatalf("%d: %s", w.time, w.broken)
		}
	}
}

func (w *truth) resume(i int) {
	g := w.guards[i]
	inbox := g.inbox
	g.frozen, g.inbox = false, nil
	for _, do := range inbox {
		do()
	}
}

// move gives a shard a new owner; running guards learn of it within 3 s.
func (w *truth) move(i int) {
	shard := w.shards[i]
	epoch := w.keepers[shard].epoch + 1
	w.keepers[shard] = &keeper{epoch: epoch, since: w.time}
	for _, g := range w.guards {
		w.after(w.random.Int63n(3000), func() {
			w.to(g, func() {
				g.known[shard] = max(epoch, g.known[shard])
				g.state.Owner(w.now(g), shard, epoch)
			})
		})
	}
}

// grant lets the guard that holds the lease run a call, also one that a stale
// keeper sent for a program that is gone.
func (w *truth) grant(i int) {
	id, g := w.programs[i], w.guards[w.holder]
	if g.frozen || g.state.Releasing(id) {
		return
	}
	w.held[id], w.fence = true, max(w.fence, w.lease)
	g.granted[id] = w.time
	g.state.Granted(w.now(g), id)
}

// quiet heals all faults; after a minute nothing gone is held, all living is.
func (w *truth) quiet(t *rapid.T) {
	w.lossy = false
	for i := range w.guards {
		w.resume(i)
	}
	for i, shard := range w.shards {
		if w.keepers[shard].dead {
			w.move(i)
		}
	}
	living := 0
	for id := range w.held {
		if !w.gone[id] {
			living++
		}
	}
	w.run(t, 240)
	if len(w.held) != living {
		t.Fatalf("%d: the target holds %d programs, of which %d live", w.time, len(w.held), living)
	}
}
