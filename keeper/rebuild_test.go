package keeper_test

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

var shard = root.ShardID{Zone: "z", Number: 0}

// An owner goes on after the next one has taken over from a part of its records.
// Whatever order and repetition the records of both arrive in, the third owner
// gets the second one's state and nothing of what the first did after the part.
func TestRebuildTakesTheLaterOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := work(t, 1, nil, rapid.IntRange(3, 12).Draw(t, "steps"))
		part := first[:rapid.IntRange(1, len(first)).Draw(t, "part")]
		second := work(t, 2, part, rapid.IntRange(1, 12).Draw(t, "steps"))
		// A missing record ends what counts of the second owner's.
		lost := rapid.IntRange(min(1, len(second)), len(second)).Draw(t, "lost")
		want := statuses(t, slices.Concat(part, second[:lost]))
		all := slices.Concat(first, second[:lost])
		if len(second) == 0 {
			all = slices.Clone(part)
		} else if lost < len(second) {
			all = append(all, second[lost+1:]...)
		}
		all = append(all, rapid.SliceOfN(rapid.SampledFrom(all), 0, 5).Draw(t, "doubled")...)
		got := statuses(t, message(t, rapid.Permutation(all).Draw(t, "order")))
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("the third owner has another state: %s", diff)
		}
	})
}

// A record whose head does not follow the history is refused.
func TestForeignHistoryIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := work(t, 1, nil, 30)
		for i := range records {
			if records[i].Kind == keeper.Turned {
				records[i].Answer += "!"
				if err := keeper.NewShelf(keeper.DefaultRules).Gain(0, shard, 2, records); err == nil {
					t.Fatalf("a changed answer was accepted")
				}
				return
			}
		}
	})
}

// A result that comes after the shard was away and back ends no later attempt.
func TestLateResultOfAnEarlierTenure(t *testing.T) {
	shelf := keeper.NewShelf(benchRules)
	_ = shelf.Gain(0, shard, 1, nil)
	records := fill(shelf, "z.0.a", 1)
	call := keeper.Call{Program: "z.0.a", Workspace: "w", ID: "late", Idempotent: true, Limit: 10}
	first, _ := shelf.Begin(0, call)
	shelf.Lose(shard)
	_ = shelf.Gain(0, shard, 2, records)
	_, _ = shelf.Begin(0, call)
	status, _ := shelf.Status("z.0.a", "w")
	events := shelf.Safe(0, status.Tree, status.Epoch, status.Number)
	start, ok := first.(keeper.Start)
	if !ok || len(events) != 1 {
		t.Fatalf("the call starts with %v and again with %v", first, events)
	}
	result := keeper.Result{Attempt: start.Attempt, Answer: "old", Completion: 1, Outcome: root.Ran}
	if finished := shelf.Finish(0, "z.0.a", "late", result); finished.Accepted {
		t.Fatalf("the earlier attempt's result was accepted: %v", finished)
	}
	if again, _ := events[0].(keeper.Start); again.Attempt == start.Attempt {
		t.Fatalf("two attempts share the name %v", start.Attempt)
	}
}

// After a regular hand-over the next owner may spend all that is left; after a
// crash the outstanding allotment counts as spent.
func TestHandOverKeepsTheBudget(t *testing.T) {
	for _, regular := range []bool{true, false} {
		rules := benchRules
		rules.Chunk = 100
		shelf := keeper.NewShelf(rules)
		_ = shelf.Gain(0, shard, 1, nil)
		status, _ := shelf.Create(0, keeper.Creation{Program: "z.0.a", Workspace: "w", Budget: 1000})
		shelf.Safe(0, status.Tree, status.Epoch, status.Number)
		call := keeper.Call{Program: "z.0.a", Workspace: "w", ID: "c", Kind: root.ServiceRoute, Limit: 30}
		decision, _ := shelf.Begin(0, call)
		start, _ := decision.(keeper.Start)
		if regular && shelf.Yield(shard) {
			t.Fatalf("a shard with a running call is ready for its hand-over")
		}
		shelf.Finish(0, "z.0.a", "c", keeper.Result{Attempt: start.Attempt, Completion: 30, Outcome: root.Ran})
		if regular && !shelf.Yield(shard) {
			t.Fatalf("a resting shard is not ready for its hand-over")
		}
		next := keeper.NewShelf(rules)
		if err := next.Gain(0, shard, 2, shelf.Drain()); err != nil {
			t.Fatal(err)
		}
		after, _ := next.Status("z.0.a", "w")
		if want := map[bool]root.Tokens{true: 970, false: 900}[regular]; after.Left != want {
			t.Fatalf("regular %v: %d left, want %d", regular, after.Left, want)
		}
	}
}

// A call waits for the record of the allotment that covers its worst case.
func TestAllotmentIsSafeBeforeUse(t *testing.T) {
	rules := benchRules
	rules.Chunk = 10
	shelf := keeper.NewShelf(rules)
	_ = shelf.Gain(0, shard, 1, nil)
	status, _ := shelf.Create(0, keeper.Creation{Program: "z.0.a", Workspace: "w", Budget: 1000})
	shelf.Safe(0, status.Tree, status.Epoch, status.Number)
	call := keeper.Call{Program: "z.0.a", Workspace: "w", ID: "c", Kind: root.ServiceRoute, Limit: 50}
	decision, err := shelf.Begin(0, call)
	if _, waits := decision.(keeper.Queued); !waits || err != nil {
		t.Fatalf("the call does not wait: %v, %v", decision, err)
	}
	status, _ = shelf.Status("z.0.a", "w")
	if events := shelf.Safe(0, status.Tree, status.Epoch, status.Number); len(events) != 1 {
		t.Fatalf("the call does not start: %v", events)
	}
}

// A peer holds within its bound, and after a seal nothing of earlier owners.
func TestCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := keeper.Peer{Host: "h", Incarnation: 1, Lease: 1}
		copies := keeper.Copies{Self: self, Bound: 2500}
		sealed := root.Epoch(0)
		held := make(map[place]bool)
		t.Repeat(map[string]func(*rapid.T){
			"hold": func(t *rapid.T) {
				epoch := root.Epoch(rapid.IntRange(1, 4).Draw(t, "epoch"))
				to := self
				to.Lease = root.Epoch(rapid.IntRange(1, 2).Draw(t, "lease"))
				r := keeper.Record{Tree: "z.0.a", Number: uint64(rapid.IntRange(1, 9).Draw(t, "number")), Epoch: epoch}
				err := copies.Hold(to, shard, epoch, []keeper.Record{r})
				if err == nil && (epoch < sealed || to != self) {
					t.Fatalf("held for %v epoch %d, sealed %d", to, epoch, sealed)
				}
				if err == nil {
					held[place{r.Epoch, r.Number}] = true
				}
			},
			"seal": func(t *rapid.T) {
				epoch := root.Epoch(rapid.IntRange(1, 4).Draw(t, "epoch"))
				sealed = max(sealed, epoch)
				records := copies.Seal(shard, epoch)
				if len(records) != len(held) {
					t.Fatalf("%d records held, want %d", len(records), len(held))
				}
			},
			"drop": func(t *rapid.T) {
				number := uint64(rapid.IntRange(1, 9).Draw(t, "number"))
				copies.Drop(shard, "z.0.a", 4, number)
				for k := range held {
					if k.number <= number {
						delete(held, k)
					}
				}
			},
			"": func(t *rapid.T) {
				if copies.Held() > copies.Bound || (len(held) == 0) != (copies.Held() == 0) {
					t.Fatalf("%d bytes held for %d records", copies.Held(), len(held))
				}
			},
		})
	})
}

type place struct {
	epoch  root.Epoch
	number uint64
}

// work lets an owner that has the given records do random commands on a program
// and its child, and returns the new records.
func work(t *rapid.T, epoch root.Epoch, records []keeper.Record, steps int) []keeper.Record {
	shelf := keeper.NewShelf(keeper.Rules{Chunk: 50, Turns: 99, Queue: 9, TTL: root.Hour, Retention: root.Minute})
	if err := shelf.Gain(0, shard, epoch, records); err != nil {
		t.Fatalf("%v", err)
	}
	safe := func() {
		for _, id := range []root.ProgramID{"z.0.a", "z.0.b"} {
			if status, err := shelf.Status(id, "w"); err == nil {
				shelf.Safe(0, status.Tree, status.Epoch, status.Number)
			}
		}
	}
	_, _ = shelf.Create(0, keeper.Creation{Program: "z.0.a", Workspace: "w", Budget: 2000})
	for i := range steps {
		id := rapid.SampledFrom([]root.ProgramID{"z.0.a", "z.0.a", "z.0.b"}).Draw(t, "program")
		safe()
		switch rapid.IntRange(0, 8).Draw(t, "command") {
		case 0:
			_, _ = shelf.Create(0, keeper.Creation{Program: "z.0.b", Parent: "z.0.a", Workspace: "w", Budget: 300})
		case 1:
			_, _ = shelf.Cancel("z.0.b", "w")
		default:
			call := keeper.Call{
				Program: id, Workspace: "w", Limit: 20, Idempotent: true,
				ID: root.CallID(rapid.StringMatching(`[a-z]{8}`).Draw(t, "call")), Messages: []root.Message{{Role: "user", Content: "hi"}},
			}
			decision, _ := shelf.Begin(0, call)
			if start, ok := decision.(keeper.Start); ok {
				shelf.Finish(0, id, call.ID, keeper.Result{
					Attempt: start.Attempt, Answer: "yes", Prompt: 3, Completion: root.Tokens(i % 20),
					Outcome: root.Ran, Failed: rapid.IntRange(0, 4).Draw(t, "failed") == 0,
				})
			} else {
				shelf.Abandon(id, call.ID, keeper.Attempt{})
			}
		}
	}
	return shelf.Drain()
}

// statuses returns what a third owner has.
func statuses(t *rapid.T, records []keeper.Record) []keeper.Image {
	shelf := keeper.NewShelf(keeper.DefaultRules)
	if err := shelf.Gain(0, shard, 3, records); err != nil {
		t.Fatalf("%v", err)
	}
	var images []keeper.Image
	_, all := shelf.Image(shard)
	for _, r := range all {
		images = append(images, r.Images...)
	}
	return images
}

// message returns the records as they come out of a message.
func message(t *rapid.T, records []keeper.Record) []keeper.Record {
	data, err := json.Marshal(records)
	var out []keeper.Record
	if err == nil {
		err = json.Unmarshal(data, &out)
	}
	if err != nil {
		t.Fatalf("%v", err)
	}
	return out
}
