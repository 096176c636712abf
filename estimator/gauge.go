package estimator

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"syscall"

	"sapphiredrum.example/sapphiredrum"
)

// leastTime is the processor time of one measurement, in microseconds.
const leastTime = 40_000

// processor returns the processor time of this process so far, in microseconds.
func processor() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Sec+usage.Stime.Sec)*1e6 + float64(usage.Utime.Usec+usage.Stime.Usec)
}

// cost returns the processor time of one event, in microseconds. It calls step
// in growing batches with the number of the event until one takes long enough.
func cost(step func(event int)) float64 {
	event := 0
	for batch := 1; ; batch *= 4 {
		before := processor()
		for range batch {
			step(event)
			event++
		}
		if took := processor() - before; took >= leastTime {
			return took / float64(batch)
		}
	}
}

// costAfter returns the processor time of one of so many steps that follow a
// preparation, in microseconds; the preparation does not count.
func costAfter(steps int, prepare func(round int), step func(n int)) float64 {
	took := 0.0
	for round := 0; ; round++ {
		prepare(round)
		before := processor()
		for n := range steps {
			step(n)
		}
		if took += processor() - before; took >= leastTime {
			return took / float64((round+1)*steps)
		}
	}
}

// weigh returns the bytes on the heap that what build returns keeps in use.
func weigh[T any](build func() T) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return max(0, after-before)
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// occupied returns the bytes on the heap and in the stacks of goroutines.
func occupied() float64 {
	used := heap()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return used + float64(stats.StackInuse)
}

// size returns the bytes of a message as JSON.
func size(message any) float64 {
	text, _ := json.Marshal(message)
	return float64(len(text))
}

// text returns text of the given length that differs with seed.
func text(length, seed int) string {
	word := fmt.Sprintf("word %d ", seed)
	return strings.Repeat(word, length/len(word)+1)[:length]
}

// zoneName, hostName, workspaceName, targetName and programName make names of
// the length that deployments use.
func zoneName(n int) sapphiredrum.ZoneName { return sapphiredrum.ZoneName(fmt.Sprintf("zone-%d", n)) }

func hostName(n int) sapphiredrum.HostID {
	return sapphiredrum.HostID(fmt.Sprintf("host-%04d", n))
}

func workspaceName(n int) sapphiredrum.WorkspaceID {
	return sapphiredrum.WorkspaceID(fmt.Sprintf("workspace-%04d", n))
}

func targetName(n int) sapphiredrum.TargetID {
	return sapphiredrum.TargetID(fmt.Sprintf("runner-%04d", n))
}

func programName(shard sapphiredrum.ShardID, n int) sapphiredrum.ProgramID {
	return sapphiredrum.ProgramID(fmt.Sprintf("%s.%032x", shard, n))
}

func address(n int) sapphiredrum.Address {
	return sapphiredrum.Address(fmt.Sprintf("10.%d.%d.12:7100", n/200, n%200))
}
