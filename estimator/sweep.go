package estimator

import (
	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/sweeper"
)

// sweepSettings are settings for a sweeper; no command sets others.
var sweepSettings = sweeper.Settings{Fenced: true, Grace: 30_000, Ask: 15_000, Retry: 4000, Lag: 4000, Pause: 2000}

// sweep is a target's sweeper and what the target holds.
type sweep struct {
	state *sweeper.State
	load  sapphiredrum.Load
	now   sapphiredrum.Instant
	// asks and bytes count questions.
	asks  int
	bytes float64
}

func newSweep(programs int) *sweep {
	s := &sweep{state: sweeper.New(sweepSettings), now: 100_000, load: sapphiredrum.Load{Target: targetName(1), Incarnation: 1}}
	for n := range programs {
		s.load.Programs = append(s.load.Programs, programName(sapphiredrum.ShardID{Zone: zoneName(1), Number: n % sapphiredrum.ShardsPerZone}, n))
	}
	s.state.Load(s.now, s.load)
	return s
}

// second takes a second's four reports and Ticks; all programs live.
func (s *sweep) second() {
	for range 4 {
		s.now = s.now.Add(250)
		s.state.Load(s.now, s.load)
		for _, order := range s.state.Tick(s.now, sweeper.Guard{Epoch: 1, Holds: true}) {
			ask, asks := order.(sweeper.Ask)
			if !asks {
				continue
			}
			answer := sweeper.Answer{Number: ask.Number, Epoch: 1}
			for range ask.Programs {
				answer.Lives = append(answer.Lives, sweeper.Living)
			}
			s.asks++
			s.bytes += size(ask) + size(answer)
			s.state.Answered(s.now, answer)
		}
	}
}

// sweeps measures the sweeper.
func sweeps(t Size) Role {
	r := Role{
		Name:       "sweeper",
		State:      "the programs whose memory a target holds and what their keepers said",
		Mechanism:  "the guard of a target asks the shards' owners, and orders a release after Grace",
		Unmeasured: "the figures are those of its decision code with a report four times a second (the guard reads two, one in ten with programs), Ask 15 s and Grace 30 s",
	}
	sizes := []int{50, 200, 800}
	state := r.measure("state for a target", "bytes", "programs held", sizes, func(n int) float64 { return weigh(func() *sweep { return newSweep(n) }) })
	time := r.measure("a second of a target", "us", "programs held", sizes, func(n int) float64 {
		s := newSweep(n)
		return cost(func(int) { s.second() })
	})
	minute := func(n int) *sweep {
		s := newSweep(n)
		for range 60 {
			s.second()
		}
		return s
	}
	asks := r.measure("questions of a target in a minute", "messages", "programs held", sizes, func(n int) float64 { return float64(minute(n).asks) })
	bytes := r.measure("questions and answers of a target in a minute", "bytes", "programs held", sizes, func(n int) float64 { return minute(n).bytes })
	share := float64(t.Runners) / float64(t.Hosts)
	r.add(Memory, Standing, share*state.At(HeldPrograms), "%.2f targets a host x %.0f bytes with %.0f programs", share, state.At(HeldPrograms), HeldPrograms)
	r.add(Processor, Standing, share*time.At(HeldPrograms), "%.2f targets a host x %.0f us", share, time.At(HeldPrograms))
	rate := share * asks.At(HeldPrograms) / 60
	r.add(Exchanges, Standing, rate, "%.2f targets a host x %.0f questions / 60 s", share, asks.At(HeldPrograms))
	r.add(Traffic, Standing, share*bytes.At(HeldPrograms)/60+rate*(HeaderBytes+ReplyBytes), "%.2f targets a host x %.0f bytes / 60 s + %.1f/s x %d of headers", share, bytes.At(HeldPrograms), rate, HeaderBytes+ReplyBytes)
	return r
}
