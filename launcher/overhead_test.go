package launcher_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// BenchmarkPath compares, in one run, a call sent straight to the stand-in
// target with the same call through its program's keeper and through a host that
// has to forward it. It reports p50 and p99 in microseconds.
func BenchmarkPath(b *testing.B) {
	r := newRig(b)
	hosts := []*running{r.start("h1", "z1"), r.start("h2", "z1")}
	r.settle()
	service := r.sheet.Targets[len(r.sheet.Targets)-1].Address
	program, _ := caller{hosts[0], secret}.program(b, `{}`)
	owner := hosts[0]
	if !r.keeps(hosts[0], sd.ProgramID(program)) {
		owner = hosts[1]
	}
	other := hosts[0]
	if owner == hosts[0] {
		other = hosts[1]
	}
	b.Run("direct", func(b *testing.B) {
		measure(b, func(int) error {
			response, err := http.Post("http://"+string(service)+"/prices", "application/json", strings.NewReader("{}"))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			return err
		})
	})
	for _, way := range []struct {
		name string
		host *running
	}{{"keeper", owner}, {"forwarded", other}} {
		b.Run(way.name, func(b *testing.B) {
			c := caller{way.host, secret}
			measure(b, func(n int) error {
				if n%turnsOfProgram == turnsOfProgram-1 {
					program, _ = c.program(b, `{}`)
				}
				answer, err := c.send("POST", "/prices", "{}", "Sapphiredrum-Program", program)
				if err == nil && answer.status != http.StatusOK {
					return sd.Unavailable.New("%s", answer.body)
				}
				return err
			})
		})
	}
}

// keeps reports whether a host keeps a program, by asking it as a peer would.
func (r *rig) keeps(h *running, program sd.ProgramID) bool {
	return h.host.Keeps(program)
}

// measure runs a call b.N times and reports its latencies.
func measure(b *testing.B, call func(n int) error) {
	b.ReportAllocs()
	took := make([]time.Duration, 0, b.N)
	for n := 0; b.Loop(); n++ {
		start := time.Now()
		if err := call(n); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

// BenchmarkThroughput gives the requests a second that the callers of one host
// get with many at once, each in a program of its own.
func BenchmarkThroughput(b *testing.B) {
	r := newRig(b)
	host := r.start("h1", "z1")
	r.settle()
	c := caller{host, secret}
	const callers = 32
	type turns struct {
		program string
		left    int
	}
	programs := make(chan turns, callers)
	for range callers {
		programs <- turns{}
	}
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = callers
	b.SetParallelism(callers)
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p := <-programs
			if p.left == 0 {
				p.program, _ = c.program(b, `{}`)
				p.left = turnsOfProgram
			}
			answer, err := c.send("POST", "/prices", "{}", "Sapphiredrum-Program", p.program)
			p.left--
			programs <- p
			if err != nil || answer.status != http.StatusOK {
				b.Error(fmt.Sprint(err, answer.body))
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// turnsOfProgram is the number of calls that a benchmark makes in one program.
const turnsOfProgram = 500
