package promoter

import (
	"fmt"
	"math/rand/v2"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
)

// evidenceCase is a fleet whose requests are compared: requests a second, of which the new version
// gets a share, and rates of bad answers that may change with time and route.
type evidenceCase struct {
	hosts, perSecond int
	share            float64
	seconds          int
	slow             bool
	// old and fresh return the rate of bad answers at a second on one of two routes, at a host.
	old, fresh func(second float64, route, host int) float64
	// bursts is the number of times that all answers of some ticks' requests at the new version
	// break off together, as when a target is killed.
	bursts int
	// target is the rate of bad answers at one of the two targets of the new version.
	target float64
	seeds  int
}

// doubtTicks is the number of ticks in doubt at the end from which a good version is rolled back or
// not promoted: the time between move and done with short timeouts.
const doubtTicks = 10

// play returns after how many bad answers and requests the new version was found bad, and whether
// it was, and whether it was in doubt at the end.
func (c evidenceCase) play(seed uint64) (bad, requests int, found, doubt bool) {
	r := rand.New(rand.NewPCG(seed, 1))
	var e Evidence
	ticks := c.seconds * int(sd.Second) / int(tick)
	names := make([]sd.HostID, c.hosts)
	for i := range names {
		names[i] = sd.HostID(fmt.Sprint(i))
	}
	doubted := 0
	perTick := float64(c.perSecond) * float64(tick) / float64(sd.Second)
	for i := range ticks {
		second := float64(i) * float64(tick) / float64(sd.Second)
		grown := map[sd.HostID]Growth{}
		n := int(perTick)
		if r.Float64() < perTick-float64(n) {
			n++
		}
		burst := 0
		if c.bursts > 0 && i%(ticks/c.bursts) == ticks/c.bursts/2 {
			burst = 6
		}
		for range n {
			host, route := r.IntN(c.hosts), r.IntN(2)
			name := names[host]
			if grown[name].Routes == nil {
				grown[name] = Growth{map[RouteID]RouteCount{}, map[TargetCode]Count{}}
			}
			count, target := grown[name].Routes[RouteID(route+1)], TargetCode(r.IntN(2))
			side, rate := &count.Old, c.old
			isNew := r.Float64() < c.share
			if isNew {
				side, rate = &count.New, c.fresh
				requests++
			}
			isBad := r.Float64() < rate(second, route, host) || isNew && target == 0 && r.Float64() < c.target
			if isNew && burst > 0 {
				burst, isBad = burst-1, true
			}
			one := Count{Answers: 1, Timed: 1}
			switch {
			case isBad && c.slow:
				one.Slow = 1
			case isBad:
				one.Failures = 1
			}
			if isBad && isNew {
				bad++
			}
			side.add(one)
			grown[name].Routes[RouteID(route+1)] = count
			if isNew {
				grown[name].Targets[target] = grown[name].Targets[target].Plus(one)
			}
		}
		e.Add(tick, grown)
		v := e.Judge(c.hosts, 2)
		if v.Bad() {
			return bad, requests, true, true
		}
		if doubted++; !v.Doubt {
			doubted = 0
		}
	}
	return bad, requests, false, doubted >= doubtTicks
}

func always(rate float64) func(float64, int, int) float64 {
	return func(float64, int, int) float64 { return rate }
}

// between returns the rate high in a span of seconds, otherwise low.
func between(from, to, low, high float64) func(float64, int, int) float64 {
	return func(second float64, _, _ int) float64 {
		if second >= from && second < to {
			return high
		}
		return low
	}
}

// Guards against good versions that are rolled back: by chance, as all targets are in trouble, as a
// target is killed, or as a single host has a bad path.
func TestEvidenceErrorRatesOfGoodVersions(t *testing.T) {
	oneHost := func(_ float64, _, host int) float64 {
		if host == 0 {
			return 0.7
		}
		return 0.002
	}
	for name, c := range map[string]evidenceCase{
		"no failures":          {old: always(0), fresh: always(0)},
		"2% fail":              {old: always(0.02), fresh: always(0.02)},
		"10% slow":             {slow: true, old: always(0.1), fresh: always(0.1)},
		"a fifth slow, few":    {slow: true, perSecond: 30, old: always(0.2), fresh: always(0.2)},
		"few requests":         {perSecond: 15, old: always(0.03), fresh: always(0.03)},
		"trouble of 10 s":      {old: between(20, 30, 0.005, 0.6), fresh: between(20, 30, 0.005, 0.6)},
		"mild trouble of 10 s": {old: between(20, 30, 0.005, 0.15), fresh: between(20, 30, 0.005, 0.15)},
		"one host cut off":     {hosts: 12, old: always(0.002), fresh: oneHost},
		"one bad target":       {target: 0.6, old: always(0.005), fresh: always(0.005)},
		"one slow target":      {slow: true, target: 0.4, old: always(0.04), fresh: always(0.04)},
		"killed targets":       {bursts: 3, old: always(0.005), fresh: always(0.005)},
		"many hosts, few each": {hosts: 410, perSecond: 600, seconds: 20, seeds: 50, old: always(0.02), fresh: always(0.02)},
	} {
		t.Run(name, func(t *testing.T) {
			c.defaults()
			wrong, doubts := 0, 0
			seeds := c.seeds
			for seed := range uint64(seeds) {
				_, _, found, doubt := c.play(seed)
				if found {
					wrong++
				} else if doubt {
					doubts++
				}
			}
			t.Logf("%d of %d rolled back, %d in doubt at the end", wrong, seeds, doubts)
			if wrong+doubts > seeds/200 {
				t.Errorf("%d of %d good versions rolled back, %d in doubt", wrong, seeds, doubts)
			}
		})
	}
}

func (c *evidenceCase) defaults() {
	if c.hosts == 0 {
		c.hosts = 12
	}
	if c.perSecond == 0 {
		c.perSecond = 200
	}
	if c.share == 0 {
		c.share = 0.08
	}
	if c.seeds == 0 {
		c.seeds = 500
	}
	if c.seconds == 0 {
		c.seconds = 40
	}
}

// Guards against bad versions that are found after their 50th bad answer, from which the time for
// rolling back counts, or not at all.
func TestEvidenceErrorRatesOfBadVersions(t *testing.T) {
	onRoute := func(_ float64, route, _ int) float64 { return []float64{0.005, 0.4}[route] }
	for name, c := range map[string]evidenceCase{
		"all fail":            {old: always(0.005), fresh: always(1)},
		"half fails":          {old: always(0.005), fresh: always(0.5)},
		"a fifth fails":       {old: always(0.005), fresh: always(0.2)},
		"a tenth fails":       {old: always(0.005), fresh: always(0.1)},
		"one route":           {old: always(0.005), fresh: onRoute},
		"late":                {old: always(0.005), fresh: between(25, 100, 0.005, 0.3)},
		"half is slow":        {slow: true, old: always(0.05), fresh: always(0.5)},
		"a quarter is slow":   {slow: true, old: always(0.05), fresh: always(0.25)},
		"among 10% failures":  {old: always(0.1), fresh: always(0.4)},
		"many hosts":          {hosts: 410, perSecond: 600, old: always(0.005), fresh: always(0.3)},
		"one host":            {hosts: 1, perSecond: 100, old: always(0.005), fresh: always(0.3)},
		"nearly all one host": {hosts: 2, old: always(0.005), fresh: always(0.3)},
	} {
		t.Run(name, func(t *testing.T) {
			c.defaults()
			missed, late, most, sum, served := 0, 0, 0, 0, 0
			const seeds = 300
			for seed := range uint64(seeds) {
				bad, requests, found, _ := c.play(seed)
				switch {
				case !found:
					missed++
				case bad > 50:
					late++
				}
				most, sum, served = max(most, bad), sum+bad, served+requests
			}
			t.Logf("%d of %d missed, %d after the 50th bad answer; bad answers %d in the mean, %d at most; %d requests in the mean",
				missed, seeds, late, sum/seeds, most, served/seeds)
			if missed > 0 || late > seeds/100 {
				t.Errorf("%d of %d bad versions missed, %d found late", missed, seeds, late)
			}
		})
	}
}
