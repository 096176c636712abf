package limiter_test

import (
	"fmt"
	"slices"
	"testing"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/limiter"
)

// event is what happens to a zone between cutFrom and cutTo.
type event int

const (
	nothing event = iota
	cutOff
	takenOut
	// hostDies kills the holder of the zone's account permanently.
	hostDies
)

// condition describes the faults and settings of a run of State.
type condition struct {
	event event
	zone  int
	wait  int64
	// planned sets the zones' shares to their part of the load.
	planned bool
	loan    sapphiredrum.Millis
	lease   int64
}

// pooled runs the arrivals through State.
func (l load) pooled(seed uint64, arrivals []arrival, c condition, fail func(string, ...any)) []bool {
	settings := limiter.Settings{MaxClockSkew: limiter.DefaultMaxClockSkew, LoanDuration: limiter.DefaultLoanDuration, MaxClockDrift: limiter.DefaultMaxClockDrift, MaxConfigDelay: limiter.DefaultMaxConfigDelay}
	if c.loan > 0 {
		settings.LoanDuration = c.loan
	}
	first := plan(1, l.rate, l.burst)
	for i := range first.zones {
		if c.planned {
			first.zones[i].Share = sapphiredrum.Share(l.weights[i])
		}
	}
	w := newWorld(seed, perZone, settings, first, fail)
	w.lease = 15_000
	if c.lease > 0 {
		w.lease = c.lease
	}
	return replay(arrivals, c.wait, func(a arrival, at int64) (bool, int64) {
		for _, edge := range []int64{cutFrom, cutTo} {
			if w.now < edge && edge <= at {
				w.pass(edge - w.now)
				w.happen(c, edge == cutFrom)
			}
		}
		if at > w.now {
			w.pass(at - w.now)
		}
		verdict := w.admit(a.zone)
		return verdict.Admitted, int64(verdict.RetryAfter)
	})
}

// happen starts or ends the condition's event.
func (w *world) happen(c condition, begins bool) {
	switch c.event {
	case cutOff:
		w.part(c.zone, begins)
	case takenOut:
		s := w.sheets[0]
		s.zones, s.reaches = slices.Clone(s.zones), nil
		s.zones[c.zone].Drained = begins
		w.publish(s, 2000)
	case hostDies:
		if begins {
			w.kill(w.hosts[c.zone])
		}
	}
}

// part partitions the zone from the others, or heals the partition.
func (w *world) part(zone int, cut bool) {
	for _, z := range zoneNames {
		if z != zoneNames[zone] {
			w.cut[[2]sapphiredrum.ZoneName{z, zoneNames[zone]}] = cut
			w.cut[[2]sapphiredrum.ZoneName{zoneNames[zone], z}] = cut
		}
	}
}

// admit asks as a host in the zone does: the accounts in order of preference until one
// has a share to spend, or the account that borrowed its share.
func (w *world) admit(zone int) limiter.Decision {
	sheet := w.sheets[len(w.sheets)-1]
	c, from := sheet.workspaces[0].ID, zoneNames[zone]
	least := limiter.Decision{NoShare: true, RetryAfter: limiter.Never}
	for _, id := range limiter.Accounts(c, sheet.zones) {
		verdict := w.ask(from, c, id)
		if verdict.NoShare && verdict.Borrower != (sapphiredrum.ShardID{}) {
			if there := w.ask(from, c, verdict.Borrower); !there.NoShare {
				verdict = there
			}
		}
		if !verdict.NoShare {
			return verdict
		}
		least.RetryAfter = min(least.RetryAfter, verdict.RetryAfter)
	}
	return least
}

func (w *world) ask(from sapphiredrum.ZoneName, c sapphiredrum.WorkspaceID, id sapphiredrum.ShardID) limiter.Decision {
	if w.cut[[2]sapphiredrum.ZoneName{from, id.Zone}] {
		return limiter.Decision{NoShare: true, RetryAfter: 100}
	}
	h := w.hosts[w.shards[id].host]
	if h.state == nil {
		return limiter.Decision{NoShare: true, RetryAfter: 100}
	}
	verdict := h.state.Admit(w.clock(h), c, id)
	if verdict.Admitted {
		if w.levels[c]--; w.levels[c] < -1e-6 {
			w.fail("at %d %s is over its rate and burst by %f", w.now, c, -w.levels[c])
		}
	}
	return verdict
}

// Without faults the hosts together refuse at most 0.1% of the requests that one
// global bucket admits, and admit none beyond the cap.
func TestNoFaultsMatchOneBucket(t *testing.T) {
	l := load{rate: 40, burst: 40, offered: 0.9, weights: [3]float64{3, 1, 1}}
	arrivals := l.arrivals(1)
	global := l.fixed(arrivals, 1, 0, func(arrival) int { return 0 })
	if share := wrong(global, l.pooled(1, arrivals, condition{}, t.Fatalf)); share > 0.1 {
		t.Fatalf("%.2f%% of %d requests wrongly refused, want at most 0.1%%", share, len(arrivals))
	}
}

// BenchmarkTable prints the table in docs/LIMITER.md; run it with -benchtime 1x.
func BenchmarkTable(b *testing.B) {
	one := func(arrival) int { return 0 }
	b.Log("rate burst load skew | 12 parts | 3 parts | 2 parts | pooled | cut: home only | cut: best split in hindsight | cut: pooled | same, shares as the load | same, loan 1 s | home zone out | home host dies | same, wait 1 s | one host of twelve dies | same, lease 6 s | cut: shares as the load, wait 1 s | wait 3 s")
	for _, l := range []load{
		{40, 40, 0.6, [3]float64{1, 1, 1}},
		{40, 40, 0.9, [3]float64{3, 1, 1}},
		{4, 8, 0.6, [3]float64{1, 1, 1}},
		{4, 8, 0.9, [3]float64{3, 1, 1}},
	} {
		sums := [16]float64{}
		for seed := range uint64(seeds) {
			arrivals, cut := l.arrivals(seed), int(seed)%len(zoneNames)
			global, home := l.fixed(arrivals, 1, 0, one), l.home()
			for i, share := range []float64{
				wrong(global, l.fixed(arrivals, 12, 0, func(a arrival) int { return a.zone*perZone + a.host })),
				wrong(global, l.fixed(arrivals, 3, 0, func(a arrival) int { return a.zone })),
				wrong(global, l.fixed(arrivals, 2, 0, func(a arrival) int { return min(a.zone, 1) })),
				wrong(global, l.pooled(seed, arrivals, condition{}, b.Fatalf)),
				wrong(global, l.central(arrivals, cut)),
				l.hindsight(arrivals, cut, global),
				wrong(global, l.pooled(seed, arrivals, condition{event: cutOff, zone: cut}, b.Fatalf)),
				wrong(global, l.pooled(seed, arrivals, condition{event: cutOff, zone: cut, planned: true}, b.Fatalf)),
				wrong(global, l.pooled(seed, arrivals, condition{event: cutOff, zone: cut, planned: true, loan: 1000}, b.Fatalf)),
				wrong(global, l.pooled(seed, arrivals, condition{event: takenOut, zone: home}, b.Fatalf)),
				wrong(global, l.pooled(seed, arrivals, condition{event: hostDies, zone: home}, b.Fatalf)),
				wrong(l.fixed(arrivals, 1, 1000, one), l.pooled(seed, arrivals, condition{event: hostDies, zone: home, wait: 1000}, b.Fatalf)),
				l.oneOfTwelve(seed, arrivals, global, 0, b.Fatalf),
				l.oneOfTwelve(seed, arrivals, global, 6000, b.Fatalf),
				wrong(l.fixed(arrivals, 1, 1000, one), l.pooled(seed, arrivals, condition{event: cutOff, zone: cut, planned: true, wait: 1000}, b.Fatalf)),
				wrong(l.fixed(arrivals, 1, 3000, one), l.pooled(seed, arrivals, condition{event: cutOff, zone: cut, planned: true, wait: 3000}, b.Fatalf)),
			} {
				sums[i] += share / seeds
			}
		}
		row := fmt.Sprintf("%v/s %v %v %v", l.rate, l.burst, l.offered, l.weights)
		for _, s := range sums {
			row += fmt.Sprintf(" | %.2f%%", s)
		}
		b.Log(row)
	}
}

// oneOfTwelve returns the mean cost of a host's death over all hosts. Only the three
// hosts that keep the workspace's accounts affect it.
func (l load) oneOfTwelve(seed uint64, arrivals []arrival, global []bool, lease int64, fail func(string, ...any)) float64 {
	sum := 0.0
	for zone := range zoneNames {
		sum += wrong(global, l.pooled(seed, arrivals, condition{event: hostDies, zone: zone, lease: lease}, fail))
	}
	return sum / float64(perZone*len(zoneNames))
}

// home returns the index of the home zone of every measured workspace.
func (l load) home() int {
	return slices.Index(zoneNames, limiter.HomeZones("w-1", plan(1, l.rate, l.burst).zones)[0])
}
