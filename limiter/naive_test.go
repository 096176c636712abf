package limiter_test

import (
	"math/rand/v2"
	"slices"
)

// A load is one workspace's seeded arrivals: bursts of a second on average, then
// pauses, spread over the zones by weight.
type load struct {
	rate, burst, offered float64
	weights              [3]float64
}

type arrival struct {
	at   int64
	zone int
	host int
}

const (
	warmUp  = int64(20_000)
	lasting = int64(100_000)
	cutFrom = warmUp + 40_000
	cutTo   = warmUp + 60_000
	perZone = 4
	seeds   = 8
)

func (l load) arrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 2))
	found := []arrival{}
	on, change, at := true, 0.0, float64(warmUp)
	for at < float64(warmUp+lasting) {
		at += r.ExpFloat64() * 1000 / (2 * l.offered * l.rate)
		for change += 0; at > float64(warmUp)+change; on = !on {
			change += r.ExpFloat64() * 1000
		}
		if !on {
			continue
		}
		zone, draw := 0, r.Float64()*(l.weights[0]+l.weights[1]+l.weights[2])
		for draw -= l.weights[0]; draw > 0 && zone < 2; draw -= l.weights[zone] {
			zone++
		}
		found = append(found, arrival{at: int64(at), zone: zone, host: r.IntN(perZone)})
	}
	return found
}

// tokens is the simple token bucket used for comparison.
type tokens struct{ rate, burst, level, at float64 }

func (b *tokens) take(at int64) (bool, int64) {
	b.level, b.at = min(b.burst, b.level+b.rate*(float64(at)-b.at)/1000), float64(at)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	if b.burst < 1 {
		return false, 1 << 40
	}
	return false, int64((1-b.level)/b.rate*1000) + 1
}

// replay submits all arrivals in order of time. A refused request is retried when it
// was told to, unless that is more than wait after its arrival.
func replay(arrivals []arrival, wait int64, ask func(a arrival, at int64) (bool, int64)) []bool {
	type try struct {
		at    int64
		index int
	}
	queue := make([]try, len(arrivals))
	for i, a := range arrivals {
		queue[i] = try{a.at, i}
	}
	admitted := make([]bool, len(arrivals))
	for len(queue) > 0 {
		t := queue[0]
		queue = queue[1:]
		ok, after := ask(arrivals[t.index], t.at)
		admitted[t.index] = ok
		t.at += after
		if !ok && t.at-arrivals[t.index].at <= wait {
			i, _ := slices.BinarySearchFunc(queue, t, func(a, b try) int { return int(a.at - b.at) })
			queue = slices.Insert(queue, i, t)
		}
	}
	return admitted
}

// fixed admits by n equal buckets whose shares never move.
func (l load) fixed(arrivals []arrival, n int, wait int64, part func(a arrival) int) []bool {
	parts := make([]tokens, n)
	for i := range parts {
		parts[i] = tokens{rate: l.rate / float64(n), burst: l.burst / float64(n), level: l.burst / float64(n)}
	}
	return replay(arrivals, wait, func(a arrival, at int64) (bool, int64) { return parts[part(a)].take(at) })
}

// hindsight admits by one bucket, which is split in two during the partition, in the
// constant parts of rate and burst that refuse least for these arrivals.
func (l load) hindsight(arrivals []arrival, zone int, global []bool) float64 {
	least := 100.0
	for rate := 0.0; rate <= 1; rate += 0.05 {
		for burst := 0.0; burst <= 1; burst += 0.05 {
			whole, sides, split := tokens{l.rate, l.burst, l.burst, 0}, [2]tokens{}, false
			admitted := replay(arrivals, 0, func(a arrival, at int64) (bool, int64) {
				inside := at >= cutFrom && at < cutTo
				switch {
				case inside && !split:
					level := min(l.burst, whole.level+l.rate*(float64(cutFrom)-whole.at)/1000)
					sides[0] = tokens{rate * l.rate, burst * l.burst, burst * level, float64(cutFrom)}
					sides[1] = tokens{l.rate - rate*l.rate, l.burst - burst*l.burst, level - burst*level, float64(cutFrom)}
				case !inside && split:
					whole.at, whole.level = float64(cutTo), 0
					for _, s := range sides {
						whole.level += min(s.burst, s.level+s.rate*(float64(cutTo)-s.at)/1000)
					}
				}
				split = inside
				switch {
				case !inside:
					return whole.take(at)
				case a.zone == zone:
					return sides[0].take(at)
				}
				return sides[1].take(at)
			})
			least = min(least, wrong(global, admitted))
		}
	}
	return least
}

// central admits by one bucket in the preferred home zone, which never lends back.
func (l load) central(arrivals []arrival, cut int) []bool {
	whole := tokens{l.rate, l.burst, l.burst, 0}
	return replay(arrivals, 0, func(a arrival, at int64) (bool, int64) {
		if at >= cutFrom && at < cutTo && (a.zone == cut) != (l.home() == cut) {
			return false, 1 << 40
		}
		return whole.take(at)
	})
}

// wrong returns the percentage by which fewer requests are admitted than by the global bucket.
func wrong(global, admitted []bool) float64 {
	count := func(all []bool) (n float64) {
		for _, ok := range all {
			if ok {
				n++
			}
		}
		return n
	}
	return 100 * (1 - count(admitted)/count(global))
}
