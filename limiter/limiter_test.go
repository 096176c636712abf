package limiter_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/limiter"
)

// fuzzed are settings for clocks that diverge by up to one percent. MaxClockDrift is the
// minimum that covers this, so that a violated rule shows.
var fuzzed = limiter.Settings{LoanDuration: 2000, MaxClockDrift: 22, MaxConfigDelay: 2500, MaxClockSkew: 0.005}

func plan(ids int, rate, burst float64) sheet {
	s := sheet{}
	for _, id := range []sapphiredrum.WorkspaceID{"w-1", "w-2", "w-3"}[:ids] {
		s.workspaces = append(s.workspaces, sapphiredrum.Workspace{ID: id, Rate: sapphiredrum.Rate(rate), Burst: sapphiredrum.Burst(burst)})
	}
	for _, z := range zoneNames {
		s.zones = append(s.zones, sapphiredrum.Zone{Name: z})
	}
	return s
}

func drawPlan(t *rapid.T) sheet {
	s := plan(2, 0, 0)
	for i := range s.workspaces {
		s.workspaces[i].Rate = rapid.SampledFrom([]sapphiredrum.Rate{2, 300, 3000}).Draw(t, "rate")
		s.workspaces[i].Burst = rapid.SampledFrom([]sapphiredrum.Burst{1, 2, 3, 7, 30}).Draw(t, "burst")
	}
	shares := rapid.SampledFrom([][]sapphiredrum.Share{{0, 0, 0}, {0.6, 0.2, 0.2}, {0.1, 0.1, 0.8}, {0, 0.5, 0.5}}).Draw(t, "shares")
	out := rapid.IntRange(-3, 2).Draw(t, "out")
	for i := range s.zones {
		s.zones[i].Share, s.zones[i].Drained = shares[i], i == out
	}
	return s
}

// Under any mix of faults all hosts together admit at most rate x window + burst. Once
// the faults end, the home has the whole burst again.
func TestCapUnderFaults(t *testing.T) {
	steps, admitted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, fuzzed, drawPlan(t), t.Fatalf)
		pick := func(t *rapid.T) *machine { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")] }
		zone := func(t *rapid.T) sapphiredrum.ZoneName { return rapid.SampledFrom(zoneNames).Draw(t, "zone") }
		pass := func(t *rapid.T) {
			w.greedy = rapid.Bool().Draw(t, "greedy")
			w.pass(rapid.SampledFrom([]int64{1, 5, 60, 700, 2100, 3500}).Draw(t, "time"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass":   pass,
			"later":  pass,
			"flood":  func(*rapid.T) { w.flood() },
			"cut":    func(t *rapid.T) { w.cut[[2]sapphiredrum.ZoneName{zone(t), zone(t)}] = true },
			"part":   func(t *rapid.T) { w.part(rapid.IntRange(0, 2).Draw(t, "zone"), true) },
			"heal":   func(*rapid.T) { clear(w.cut) },
			"freeze": func(t *rapid.T) { pick(t).frozen = true },
			"thaw": func(t *rapid.T) {
				if h := pick(t); h.frozen && h.state != nil {
					w.thaw(h)
				}
			},
			"kill": func(t *rapid.T) { w.kill(pick(t)) },
			"restart": func(t *rapid.T) {
				if h := pick(t); h.state == nil {
					w.start(h)
				}
			},
			"stale":    func(*rapid.T) { w.stale = !w.stale },
			"platform": func(t *rapid.T) { h := pick(t); h.away = !h.away },
			"network": func(t *rapid.T) {
				w.loss = rapid.SampledFrom([]float64{0, 0.2, 0.7}).Draw(t, "loss")
				w.delay = rapid.SampledFrom([]int64{2, 100, 900, 4000}).Draw(t, "delay")
			},
			"hand over": func(t *rapid.T) {
				w.handOver(sapphiredrum.ShardID{Zone: zone(t), Number: limiter.AccountShard("w-1")})
			},
			"configure": func(t *rapid.T) { w.publish(drawPlan(t), int64(fuzzed.MaxConfigDelay)) },
			"stale read": func(t *rapid.T) {
				if h := pick(t); h.alive() {
					h.state.Configure(w.clock(h), 1, w.sheets[0].workspaces, w.sheets[0].zones)
				}
			},
			"": func(*rapid.T) { steps++ },
		})
		w.recover()
		for _, c := range w.sheets[len(w.sheets)-1].workspaces {
			w.checkPooled(c)
		}
		admitted += w.admitted
	})
	t.Logf("%d fuzz steps, %d requests admitted", steps, admitted)
}

// kill ends a process; the table of shard owners is unchanged.
func (w *world) kill(h *machine) {
	h.state = nil
	for _, o := range w.shards {
		delete(o.told, h.index)
	}
}

// recover ends all faults and waits until all leases, loans and revisions have settled.
func (w *world) recover() {
	clear(w.cut)
	w.loss, w.delay, w.greedy, w.stale = 0, 2, false, false
	for _, h := range w.hosts {
		h.away = false
		switch {
		case h.state == nil:
			w.start(h)
		case h.frozen:
			w.thaw(h)
		}
	}
	w.pass(12_000)
}

// checkPooled requests the whole burst at the home at once.
func (w *world) checkPooled(c sapphiredrum.Workspace) {
	w.pass(int64(float64(c.Burst)/float64(c.Rate)*1000) + 60)
	home := limiter.Accounts(c.ID, w.sheets[len(w.sheets)-1].zones)[0]
	if n := w.drain(w.hosts[w.shards[home].host], c.ID, home); n < int(c.Burst) {
		w.fail("after the faults the home of %s admits %d at once, want %v", c.ID, n, c.Burst)
	}
}

// When a zone is partitioned, its share is in force in at most one place in every
// millisecond, with the home's clock as slow and the lender's as fast as allowed.
func TestLoanEndsBeforeItReturns(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 1, fuzzed, plan(1, 3000, 30), t.Fatalf)
		home := limiter.HomeZones("w-1", w.sheets[0].zones)[0]
		for _, h := range w.hosts {
			h.speed = 1 + float64(fuzzed.MaxClockSkew)
			if h.zone == home {
				h.speed = 1 - float64(fuzzed.MaxClockSkew)
			}
		}
		w.pass(3000)
		w.checkPooled(w.sheets[0].workspaces[0])
		w.part(int(seed)%len(zoneNames), true)
		w.greedy = true
		for range 3000 {
			w.pass(1)
		}
	}
}

// away returns a world of three hosts whose preferred home was partitioned for a long
// time and is reachable again, and the index of that home.
func away(seed uint64, fail func(string, ...any)) (*world, int) {
	w := newWorld(seed, 1, fuzzed, plan(1, 3000, 30), fail)
	best := slices.Index(zoneNames, limiter.HomeZones("w-1", w.sheets[0].zones)[0])
	w.part(best, true)
	w.pass(6000)
	w.part(best, false)
	return w, best
}

// A message that returns a loan has no effect after the loan has expired, and does not
// end a later loan of the same home.
func TestLateReturn(t *testing.T) {
	for i, delay := range []int64{1500, 1600, 1700, 1800, 1900, 2000, 6000, 6000} {
		w, best := away(uint64(i%2)*4, t.Fatalf)
		late := w.intercept(func(message any) bool {
			ask, ok := message.(limiter.LoanRequest)
			return ok && len(ask.Returned) > 0
		})
		w.pass(10)
		w.part(best, true)
		w.greedy = true
		w.pass(delay)
		w.deliver(late)
		for range 100 {
			w.pass(1)
		}
	}
}

// The tokens of a loan count once, even if the Grant is delivered repeatedly.
func TestRepeatedGrant(t *testing.T) {
	w, _ := away(1, t.Fatalf)
	grant := w.intercept(func(message any) bool {
		grant, ok := message.(limiter.Grant)
		return ok && len(grant.Lent) > 0 && grant.Lent[0].Tokens > 0
	})
	for range 3 {
		w.deliver(grant)
		w.flood()
	}
}

// A zone that receives a home's requests but cannot answer it keeps serving its own share.
func TestOneWayLink(t *testing.T) {
	w := newWorld(1, 1, fuzzed, plan(1, 300, 30), t.Fatalf)
	order := limiter.Accounts("w-1", w.sheets[0].zones)
	w.cut[[2]sapphiredrum.ZoneName{order[1].Zone, order[0].Zone}] = true
	w.pass(9000)
	if n := w.drain(w.hosts[w.shards[order[1]].host], "w-1", order[1]); n < 10 {
		t.Fatalf("%d admitted at once, want a third of the burst", n)
	}
}

// intercept waits for a matching message and removes it from the network.
func (w *world) intercept(match func(message any) bool) packet {
	for range 2000 {
		w.pass(1)
		for i, p := range w.packets {
			if match(p.message) {
				w.packets = slices.Delete(w.packets, i, i+1)
				return p
			}
		}
	}
	w.fail("no such message")
	return packet{}
}

// A share that moves is in force in at most one place in every millisecond, even when
// a Grant arrives after the home has returned its loans.
func TestShareMoves(t *testing.T) {
	settings := fuzzed
	settings.MaxClockSkew = 1e-6 // leaves no slack
	for seed := range uint64(10) {
		w := newWorld(seed, 1, settings, plan(1, 3000, 30), t.Fatalf)
		best := slices.Index(zoneNames, limiter.HomeZones("w-1", w.sheets[0].zones)[0])
		w.part(best, true)
		w.pass(6000)
		w.part(best, false)
		w.delay, w.greedy = 500*int64(seed%2), true
		for range 4000 {
			w.pass(1)
		}
	}
}

// A share that a new revision moves to another zone does not count twice, even when
// the gaining zone's account has just moved to a host that knows only the new revision.
func TestPartMoves(t *testing.T) {
	first := plan(1, 3000, 30)
	first.zones[0].Share, first.zones[1].Share, first.zones[2].Share = 0.8, 0.1, 0.1
	w := newWorld(1, 2, fuzzed, first, t.Fatalf)
	w.part(0, true)
	w.part(1, true)
	w.pass(6000)
	second := plan(1, 3000, 30)
	second.zones[0].Share, second.zones[1].Share, second.zones[2].Share = 0.1, 0.8, 0.1
	w.publish(second, 0)
	for _, i := range []int{0, 3} {
		w.sheets[1].reaches[i] += int64(fuzzed.MaxConfigDelay)
	}
	w.pass(50)
	w.handOver(sapphiredrum.ShardID{Zone: zoneNames[1], Number: limiter.AccountShard("w-1")})
	w.greedy = true
	for range 2 * fuzzed.MaxConfigDelay {
		w.pass(1)
	}
}
