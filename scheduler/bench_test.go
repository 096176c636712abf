package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

// crowded returns a cell of four full targets with the given number of waiting
// calls.
func crowded(waiting int) (*scheduler.Cell, []scheduler.PermitNumber) {
	cell := warmCell(scheduler.Settings{Policy: sapphiredrum.Policy{Order: "working", MaxQueueTime: sapphiredrum.Hour}}, 4, 8)
	for i := range waiting + 32 {
		cell.Submit(11, benchRequest(i))
	}
	var permits []scheduler.PermitNumber
	for _, decision := range cell.Tick(12) {
		permits = append(permits, decision.(scheduler.Granted).Permit)
	}
	return cell, permits
}

func benchRequest(i int) scheduler.Request {
	return scheduler.Request{
		Call: sapphiredrum.StreamID(fmt.Sprintf("si-1.7.%032x.%d", i, i)), Keeper: "host-1",
		Program: sapphiredrum.ProgramID(fmt.Sprintf("si-1.7.%032x", i)), Workspace: sapphiredrum.WorkspaceID(fmt.Sprint("w", i%8)),
		Tier: sapphiredrum.Tier(i % 3), AttainedService: sapphiredrum.Tokens(i * 31 % 977), Prompt: 3000, MaxTokens: 300,
	}
}

// BenchmarkTurn measures a call's path through a full cell: Done of an earlier
// call, Submit and Tick.
func BenchmarkTurn(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			cell, permits := crowded(waiting)
			requests := make([]scheduler.Request, b.N)
			for i := range requests {
				requests[i] = benchRequest(waiting + 32 + i)
			}
			now := sapphiredrum.Instant(12)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now++
				cell.Done(now, permits[0], scheduler.Usage{Prompt: 3000, Cached: 2500, Answer: 150})
				cell.Submit(now, requests[i])
				permits = permits[1:]
				for _, decision := range cell.Tick(now) {
					if granted, ok := decision.(scheduler.Granted); ok {
						permits = append(permits, granted.Permit)
					}
				}
			}
		})
	}
}

// BenchmarkIdleTick measures a Tick of a full cell, which makes no decisions.
func BenchmarkIdleTick(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			cell, _ := crowded(waiting)
			b.ReportAllocs()
			for b.Loop() {
				cell.Tick(13)
			}
		})
	}
}

// BenchmarkState reports the memory used by a waiting call, including its strings.
func BenchmarkState(b *testing.B) {
	const waiting = 10000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		cell, _ := crowded(waiting)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/waiting, "bytes/call")
		runtime.KeepAlive(cell)
	}
}
