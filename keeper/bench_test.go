package keeper_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

const (
	// questionSize and answerSize are bytes of a turn's messages.
	questionSize = 400
	answerSize   = 1200
)

var benchRules = keeper.Rules{
	Chunk: 1 << 30, Turns: 1 << 40, Queue: 32, TTL: root.Hour, Retention: root.Minute, Retry: root.Second,
}

// BenchmarkCall measures Begin, Finish, Drain and Safe of one call on a program
// whose history has the given number of turns.
func BenchmarkCall(b *testing.B) {
	for _, turns := range []int{10, 80, 160} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			shelf := keeper.NewShelf(benchRules)
			_ = shelf.Gain(0, shard, 1, nil)
			base := fill(shelf, "z.0.a", turns)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%20 == 0 {
					// Start anew, so that the history keeps its length.
					b.StopTimer()
					shelf.Lose(shard)
					_ = shelf.Gain(0, shard, 1, base)
					turn(shelf, "z.0.a", "first")
					b.StartTimer()
				}
				turn(shelf, "z.0.a", fmt.Sprintf("x%d", i))
			}
		})
	}
}

// BenchmarkMemory measures the memory of a program by its history's length, and
// how much of it is not the text itself.
func BenchmarkMemory(b *testing.B) {
	for _, turns := range []int{10, 80, 160} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			const programs = 200
			for b.Loop() {
				shelf := keeper.NewShelf(benchRules)
				_ = shelf.Gain(0, shard, 1, nil)
				before := heap()
				for i := range programs {
					fill(shelf, root.ProgramID(fmt.Sprintf("z.0.p%d", i)), turns)
				}
				used := float64(heap()-before) / programs
				b.ReportMetric(used, "bytes/program")
				b.ReportMetric(used/float64(turns)-questionSize-answerSize, "overhead-bytes/turn")
				runtime.KeepAlive(shelf)
			}
		})
	}
}

// fill makes a program with a history and returns its records.
func fill(shelf *keeper.Shelf, id root.ProgramID, turns int) []keeper.Record {
	status, _ := shelf.Create(0, keeper.Creation{Program: id, Workspace: "w", Budget: 1 << 40})
	shelf.Safe(0, status.Tree, status.Epoch, status.Number)
	records := shelf.Drain()
	for i := range turns {
		records = append(records, turn(shelf, id, fmt.Sprintf("c%d", i))...)
	}
	return records
}

// turn makes one call and its record safe.
func turn(shelf *keeper.Shelf, id root.ProgramID, call string) []keeper.Record {
	decision, err := shelf.Begin(0, keeper.Call{
		Program: id, Workspace: "w", ID: root.CallID(call), Kind: root.ModelRoute, Idempotent: true, Limit: 400,
		Messages: []root.Message{{Role: "user", Content: strings.Repeat("q", questionSize)}},
	})
	if _, waits := decision.(keeper.Queued); waits {
		status, _ := shelf.Status(id, "w")
		decision, _ = shelf.Safe(0, status.Tree, status.Epoch, status.Number)[0].(keeper.Start)
	}
	start, ok := decision.(keeper.Start)
	if !ok {
		panic(fmt.Sprint(decision, err))
	}
	finished := shelf.Finish(0, id, root.CallID(call), keeper.Result{
		Attempt: start.Attempt, Answer: strings.Repeat("a", answerSize), Prompt: 100, Completion: 300, Outcome: root.Ran,
	})
	records := shelf.Drain()
	shelf.Safe(0, finished.Tree, finished.Epoch, finished.Number)
	return records
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
