package estimator

import (
	"encoding/json"
	"fmt"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// questionBytes and answerBytes are the text of a turn: the mean answer at the
// target size is 261 tokens.
const (
	questionBytes = 400
	answerBytes   = 1044
)

var keptShard = sapphiredrum.ShardID{Zone: "zone-0", Number: 7}

// library is a shelf with one shard.
type library struct {
	shelf   *keeper.Shelf
	records []keeper.Record
}

func newLibrary() *library {
	l := &library{shelf: keeper.NewShelf(keeper.Rules{
		Chunk: 1 << 30, Turns: 1 << 40, Queue: 32, TTL: sapphiredrum.Hour, Retention: sapphiredrum.Minute, Retry: sapphiredrum.Second,
	})}
	_ = l.shelf.Gain(0, keptShard, 1, nil)
	return l
}

// open creates a program and lets it make turns.
func (l *library) open(n, turns int) sapphiredrum.ProgramID {
	id := programName(keptShard, n)
	status, _ := l.shelf.Create(0, keeper.Creation{Program: id, Workspace: workspaceName(1), Budget: 1 << 40})
	l.shelf.Safe(0, status.Tree, status.Epoch, status.Number)
	for i := range turns {
		l.turn(id, i)
	}
	return id
}

// turn runs one call to its end; its record is safe then.
func (l *library) turn(id sapphiredrum.ProgramID, n int) {
	call := sapphiredrum.CallID(fmt.Sprintf("call-%d", n))
	decision, _ := l.shelf.Begin(0, keeper.Call{
		Program: id, Workspace: workspaceName(1), ID: call, Kind: sapphiredrum.ModelRoute, Route: "chat", Idempotent: true, Limit: 400,
		Messages: []sapphiredrum.Message{{Role: "user", Content: text(questionBytes, n)}},
	})
	if _, waits := decision.(keeper.Queued); waits {
		status, _ := l.shelf.Status(id, workspaceName(1))
		decision, _ = l.shelf.Safe(0, status.Tree, status.Epoch, status.Number)[0].(keeper.Start)
	}
	start, _ := decision.(keeper.Start)
	finished := l.shelf.Finish(0, id, call, keeper.Result{
		Attempt: start.Attempt, Answer: text(answerBytes, n+1), Prompt: 100, Completion: 261, Outcome: sapphiredrum.Ran,
	})
	l.records = l.shelf.Drain()
	l.shelf.Safe(0, finished.Tree, finished.Epoch, finished.Number)
}

// programs measures the keeper.
func programs(t Size) Role {
	r := Role{
		Name:       "keeper",
		State:      "the programs of the host's shards, each with its whole history in memory",
		Mechanism:  "a program's shard is in its identifier; one host owns a shard and holds its programs",
		Unmeasured: "sub-agents (trees of more than one program), the performer's goroutine and buffers of a running call, what a checkpoint holds beside the histories while it is encoded",
	}
	turns := []int{10, 40, 160}
	memory := r.measure("memory of a program, 1,444 bytes of text a turn", "bytes", "turns", turns, func(n int) float64 {
		return weigh(func() *library {
			l := newLibrary()
			for i := range 40 {
				l.open(i, n)
			}
			return l
		}) / 40
	})
	call := r.measure("a call's path: Begin, Finish, Drain, Safe", "us", "turns before", turns, func(n int) float64 {
		l := newLibrary()
		var id sapphiredrum.ProgramID
		return costAfter(20, func(round int) {
			l = newLibrary()
			id = l.open(round, n)
		}, func(i int) { l.turn(id, n+i) })
	})
	send := r.measure("encode the history for an engine", "us", "bytes of text", []int{20_000, 80_000, 320_000, 640_000}, func(n int) float64 {
		messages := history(n)
		return cost(func(int) { _, _ = json.Marshal(messages) })
	})
	r.atKeeper(t, memory, call, send)
	return r
}

// history returns messages with the given bytes of text.
func history(bytes int) []sapphiredrum.Message {
	var messages []sapphiredrum.Message
	for i := range bytes/(questionBytes+answerBytes) + 1 {
		messages = append(messages, sapphiredrum.Message{Role: "user", Content: text(questionBytes, i)}, sapphiredrum.Message{Role: "assistant", Content: text(answerBytes, i)})
	}
	return messages
}

// atKeeper adds the keeper's figures at a size.
func (r *Role) atKeeper(t Size, memory, call, send Line) {
	over := memory.Slope - questionBytes - answerBytes
	mean := MeanHistory * TokenBytes
	turns := mean / (questionBytes + answerBytes)
	kept := t.ProgramsPerHost()
	r.add(Memory, Standing, kept*(memory.Base+turns*over), "without text: %.0f programs x (%.0f bytes + %.0f turns x %.0f bytes)", kept, memory.Base, turns, over)
	r.add(Memory, Payload, kept*mean, "text: %.0f programs x %.0f tokens x %.0f bytes (mean history assumed)", kept, MeanHistory, TokenBytes)
	r.peak(Memory, Payload, t.FullestShards()*t.ProgramsPerShard()*mean, "text at the host with %.0f shards of %.0f programs each, mean history", t.FullestShards(), t.ProgramsPerShard())
	worst := float64(t.History) * TokenBytes
	r.peak(Memory, Payload, kept*worst, "text if every history had %d tokens: %.0f programs x %.0f bytes", t.History, kept, worst)
	r.peak(Memory, Payload, t.FullestShards()*t.ProgramsPerShard()*worst, "the same at the host with %.0f shards", t.FullestShards())
	r.add(Processor, PerCall, t.PerHost()*call.At(turns), "%.1f calls/s x %.0f us", t.PerHost(), call.At(turns))
	r.add(Processor, Payload, t.PerHost()*send.At(mean), "a call sends the whole history: %.1f calls/s x %.0f us", t.PerHost(), send.At(mean))
	r.add(Traffic, Payload, t.PerHost()*mean, "%.1f calls/s x %.0f bytes of history", t.PerHost(), mean)
}
