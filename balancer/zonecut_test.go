package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

// zoneCut simulates hosts and cold targets of three zones, of which the last does not
// hear the others, or is not heard by them, for a while.
type zoneCut struct {
	random  *rand.Rand
	hosts   []*balancer.State
	heard   [][]sd.Instant
	arrived map[sd.TargetID][]sd.Instant
	// hears reports whether a host hears another one at a time, reaches whether its
	// requests reach a zone.
	hears   func(now sd.Instant, host, other int) bool
	reaches func(now sd.Instant, host, zone int) bool
	running map[sd.Instant][]func(sd.Instant)
	// asked and refused count the requests of the last zone's hosts while it is cut off.
	asked, refused int
}

const (
	cutHosts, cutTargets, cutZones = 12, 9, 3
	cutRate                        = 42
	cutBound                       = cutRate*1.5 + 5
	cutFrom, cutUntil              = sd.Instant(3000), sd.Instant(8000)
	cutDetection                   = 600
	cutTurn                        = 200
)

func newZoneCut(seed uint64) *zoneCut {
	c := &zoneCut{random: rand.New(rand.NewPCG(seed, 1)), arrived: map[sd.TargetID][]sd.Instant{}, running: map[sd.Instant][]func(sd.Instant){}}
	for i := range cutHosts {
		s := balancer.New(balancer.Settings{
			Host: sd.HostID(fmt.Sprint("h", i)), Zone: sd.ZoneName(fmt.Sprint("z", i%cutZones)), ColdRateFactor: 1.5, ColdSlack: 5, Random: c.random.IntN,
		})
		s.Configure([]sd.Pool{{Name: "pool", ColdRate: cutRate}})
		for j := range cutTargets {
			s.Register(sd.TargetRegistration{
				ID: sd.TargetID(fmt.Sprint("t", j)), Pool: "pool", Address: sd.Address(fmt.Sprint("10.0.0.", j, ":1")), Zone: sd.ZoneName(fmt.Sprint("z", j%cutZones)), Slots: 12,
			})
		}
		s.SetHostCount(cutHosts)
		c.hosts = append(c.hosts, s)
		c.heard = append(c.heard, make([]sd.Instant, cutHosts))
	}
	return c
}

// run sends perSecond requests to each host from second 1 on and lets hosts report to one
// another ten times a second.
func (c *zoneCut) run(perSecond int) {
	for now := sd.Instant(1); now < 11000; now += 10 {
		for _, done := range c.running[now] {
			done(now)
		}
		delete(c.running, now)
		for i, s := range c.hosts {
			if (int(now)/10+i)%10 == 0 {
				c.report(now, i)
			}
			for _, req := range s.DispatchQueued(now) {
				c.settled(now, i, req)
			}
			if now > 1000 && c.random.IntN(100) < perSecond {
				req := &balancer.Request{Pool: "pool", StartDeadline: now + 3000}
				if s.Submit(now, req) {
					c.settled(now, i, req)
				}
			}
		}
	}
}

// report brings the load of a host to those who hear it, and tells it the silent zones.
func (c *zoneCut) report(now sd.Instant, i int) {
	inflight, sent := c.hosts[i].LocalLoad(now)
	for j, other := range c.hosts {
		if j != i && c.hears(now, j, i) {
			c.heard[j][i] = now
			other.ReportPeerLoad(now, sd.HostID(fmt.Sprint("h", i)), inflight, sent)
		}
	}
	last := [cutZones]sd.Instant{}
	for j, at := range c.heard[i] {
		last[j%cutZones] = max(last[j%cutZones], at)
	}
	var silent []sd.ZoneName
	for zone, at := range last {
		if zone != i%cutZones && at > 0 && now.Since(at) > cutDetection {
			silent = append(silent, sd.ZoneName(fmt.Sprint("z", zone)))
		}
	}
	c.hosts[i].SetUnreachableZones(silent, len(silent)*cutHosts/cutZones)
}

func (c *zoneCut) settled(now sd.Instant, i int, req *balancer.Request) {
	if i%cutZones == cutZones-1 && now > cutFrom+2000 && now < cutUntil {
		c.asked++
		if req.Target == "" {
			c.refused++
		}
	}
	if req.Target == "" {
		return
	}
	var target int
	if _, err := fmt.Sscanf(string(req.Target), "t%d", &target); err != nil {
		panic(err)
	}
	if c.reaches(now, i, target%cutZones) {
		c.arrived[req.Target] = append(c.arrived[req.Target], now)
	}
	at := now + cutTurn
	c.running[at] = append(c.running[at], func(now sd.Instant) { c.hosts[i].Done(now, req, balancer.Served, cutTurn) })
}

// most returns the most requests that a target got within a second.
func (c *zoneCut) most() int {
	most := 0
	for _, arrived := range c.arrived {
		first := 0
		for i, at := range arrived {
			for at-arrived[first] >= 1000 {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// A zone that is cut off keeps its callers and its targets: its hosts may use what the
// hosts that no longer reach these targets leave of their cold limit.
func TestZoneThatIsCutOffServesItsCallers(t *testing.T) {
	for seed := range uint64(4) {
		c := newZoneCut(seed)
		cut := func(now sd.Instant, a, b int) bool {
			return now >= cutFrom && now < cutUntil && (a%cutZones == cutZones-1) != (b%cutZones == cutZones-1)
		}
		c.hears = func(now sd.Instant, host, other int) bool { return !cut(now, host, other) }
		c.reaches = func(now sd.Instant, host, zone int) bool { return !cut(now, host, zone) }
		c.run(12)
		if c.refused*50 > c.asked {
			t.Errorf("seed %d: %d of %d requests refused in the zone that is cut off", seed, c.refused, c.asked)
		}
		if got := c.most(); got > cutBound {
			t.Errorf("seed %d: a target got %d requests in a second, its bound is %.0f", seed, got, float64(cutBound))
		}
	}
}

// The cold limit holds also where only reports are lost, in one direction or in both, and
// a crowd comes to all hosts.
func TestColdBoundHoldsWhileAZoneIsSilent(t *testing.T) {
	last := func(i int) bool { return i%cutZones == cutZones-1 }
	for name, deaf := range map[string]func(host, other int) bool{
		"the zone hears nobody":    func(host, other int) bool { return last(host) && !last(other) },
		"nobody hears the zone":    func(host, other int) bool { return !last(host) && last(other) },
		"neither hears the others": func(host, other int) bool { return last(host) != last(other) },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				c := newZoneCut(seed)
				c.hears = func(now sd.Instant, host, other int) bool {
					return now < cutFrom || now >= cutUntil || !deaf(host, other)
				}
				c.reaches = func(sd.Instant, int, int) bool { return true }
				c.run(60)
				if got := c.most(); got > cutBound {
					t.Errorf("seed %d: a target got %d requests in a second, its bound is %.0f", seed, got, float64(cutBound))
				}
			}
		})
	}
}
