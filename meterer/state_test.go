package meterer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/meterer"
)

// fleet is a set of hosts that exchange their admission counts.
type fleet struct {
	hosts   []*meterer.State
	numbers []uint64
	// group assigns each host to a partition; hosts hear only those in the same one.
	group []int
}

const (
	rate   = 172
	burst  = 172
	window = 5 * sd.Second
)

// allowed is by how much the fleet may exceed a rate.
var allowed = meterer.Settings{Window: window, ExcessFraction: 0.1, Slack: 20}

func newFleet(n int) *fleet {
	w := &fleet{numbers: make([]uint64, n), group: make([]int, n)}
	for range n {
		w.hosts = append(w.hosts, w.start())
	}
	return w
}

func (w *fleet) start() *meterer.State {
	s := meterer.New(allowed)
	s.Configure(0, []sd.Workspace{{ID: "w", Rate: rate, Burst: burst}})
	return s
}

// beat delivers the report of host i to the others in its partition.
func (w *fleet) beat(now sd.Instant, i int, incarnation sd.Incarnation) {
	w.numbers[i]++
	counts := w.hosts[i].AdmissionCounts(now, 500)
	reachable := 0
	for j, other := range w.hosts {
		if w.group[j] != w.group[i] {
			continue
		}
		reachable++
		if j != i {
			other.ApplyPeerCounts(now, sd.HostID(rune('a'+i)), incarnation, w.numbers[i], counts)
		}
	}
	w.hosts[i].SetHostCounts(now, len(w.hosts), reachable)
}

// Overload by one workspace: however the load is spread, and despite lost reports and partitions,
// no window admits more than the limit, which allows an excess of a tenth and 20 requests for the
// delay of the reports.
func TestFloodStaysWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "hosts")
		w := newFleet(n)
		cutAt := sd.Instant(rapid.IntRange(4000, 9000).Draw(t, "cut at"))
		cut := rapid.IntRange(0, n-1).Draw(t, "cut")
		demand := rapid.IntRange(1, 4).Draw(t, "demand") * rate
		hot := rapid.IntRange(0, n-1).Draw(t, "hot")
		var admitted []sd.Instant
		for now := sd.Instant(0); now < 16000; now += 20 {
			if now >= cutAt && now < cutAt+5000 {
				for i := range w.group {
					w.group[i] = 0
					if i <= cut {
						w.group[i] = 1
					}
				}
			} else {
				clear(w.group)
			}
			for i := range w.hosts {
				if (now+sd.Instant(20*i))%100 == 0 && rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
					w.beat(now, i, 1)
				}
			}
			if now < 3000 {
				continue
			}
			for range demand * 20 / 1000 {
				i := hot
				if rapid.Bool().Draw(t, "elsewhere") {
					i = rapid.IntRange(0, n-1).Draw(t, "host")
				}
				if w.hosts[i].Admit(now, "w", false).Admitted {
					admitted = append(admitted, now)
				}
			}
		}
		most := (rate*float64(window)/1000+burst)*1.1 + 20
		first := 0
		for i, at := range admitted {
			for at-admitted[first] >= sd.Instant(window) {
				first++
			}
			if got := i - first + 1; float64(got) > most {
				t.Fatalf("%d admitted in a window, bound %.0f", got, most)
			}
		}
	})
}

// Normal load: a workspace below its rate gets no refusals, however its requests are spread.
func TestNothingWithinTheRateIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "hosts")
		w := newFleet(n)
		hot := rapid.IntRange(0, n-1).Draw(t, "hot")
		for now := sd.Instant(0); now < 10000; now += 20 {
			for i := range w.hosts {
				if (now+sd.Instant(20*i))%100 == 0 {
					w.beat(now, i, 1)
				}
			}
			if now < 3000 {
				continue
			}
			for range rate * 20 / 1000 * 6 / 10 {
				i := hot
				if rapid.Bool().Draw(t, "elsewhere") {
					i = rapid.IntRange(0, n-1).Draw(t, "host")
				}
				if v := w.hosts[i].Admit(now, "w", true); !v.Admitted {
					t.Fatalf("refused at %d with %.1f tokens", now, v.Tokens)
				}
			}
		}
	})
}

// A host that has just restarted must not count all earlier admissions of the others as new.
func TestRestartedHostDoesNotRefuseForThePast(t *testing.T) {
	w := newFleet(3)
	for now := sd.Instant(0); now < 8000; now += 100 {
		for i := range w.hosts {
			w.beat(now, i, 1)
			for range 5 {
				w.hosts[i].Admit(now, "w", false)
			}
		}
	}
	w.hosts[0], w.numbers[0] = w.start(), 0
	for now := sd.Instant(8000); now < 10000; now += 100 {
		w.beat(now, 0, 2)
		w.beat(now, 1, 1)
		w.beat(now, 2, 1)
		for i := 1; i < 3; i++ {
			for range 5 {
				w.hosts[i].Admit(now, "w", false)
			}
		}
	}
	if v := w.hosts[0].Admit(10000, "w", false); !v.Admitted {
		t.Fatalf("refused with %.1f tokens", v.Tokens)
	}
}

// Overload by one workspace: once requests of running programs are refused, new programs leave the
// rest of the bucket to them.
func TestNewProgramsYieldInAFlood(t *testing.T) {
	s := meterer.New(allowed)
	s.SetHostCounts(0, 1, 1)
	s.Configure(0, []sd.Workspace{{ID: "w", Rate: 100, Burst: 100}})
	now := sd.Instant(1000)
	for v := s.Admit(now, "w", false); v.Admitted; {
		v = s.Admit(now, "w", false)
	}
	now += 200
	if v := s.Admit(now, "w", true); v.Admitted || v.RetryAfter == 0 {
		t.Fatalf("a new program was admitted with %.0f tokens", v.Tokens)
	}
	if v := s.Admit(now, "w", false); !v.Admitted {
		t.Fatalf("a request of a running program was refused with %.0f tokens", v.Tokens)
	}
}

// A workspace without a rate is not limited; a lower limit applies at once.
func TestPlansChangeBounds(t *testing.T) {
	s := meterer.New(meterer.Settings{})
	s.SetHostCounts(0, 1, 1)
	s.Configure(0, []sd.Workspace{{ID: "w"}})
	for range 1000 {
		if !s.Admit(1, "w", false).Admitted {
			t.Fatal("refused without a rate")
		}
	}
	s.Configure(2, []sd.Workspace{{ID: "w", Rate: 1, Burst: 2}})
	admitted := 0
	for range 100 {
		if s.Admit(10000, "w", false).Admitted {
			admitted++
		}
	}
	if admitted != 2 {
		t.Fatalf("%d admitted, want the burst of 2", admitted)
	}
}

// A zone is partitioned and comes back. What the other zones admitted while three of nine hosts
// could not hear them came from their share of the rate, not from the share of the three. After
// the partition the three must not refuse requests within the rate.
func TestNothingWithinTheRateIsRefusedAfterACut(t *testing.T) {
	w := newFleet(9)
	refused, asked := 0, 0
	for now := sd.Instant(0); now < 16000; now += 20 {
		for i := range w.group {
			w.group[i] = 0
			if now >= 5000 && now < 11000 && i < 3 {
				w.group[i] = 1
			}
		}
		for i := range w.hosts {
			if (now+sd.Instant(20*i))%100 == 0 {
				w.beat(now, i, 1)
			}
		}
		// Six tenths of the rate; callers of the partitioned zone are routed to other zones.
		for n := range 2 {
			host := (int(now/20)*5 + n) % len(w.hosts)
			if w.group[host] == 1 {
				host = 3 + n%6
			}
			v := w.hosts[host].Admit(now, "w", false)
			if now >= 11500 {
				asked++
				if !v.Admitted {
					refused++
				}
			}
		}
	}
	if refused*100 > asked {
		t.Fatalf("%d of %d requests refused after the partition", refused, asked)
	}
}

// Overload by one workspace in a large fleet: 79 hosts report every 0.5 to 1.2 s, and some reports
// are lost. No window admits more than the limit.
func TestFloodOfALargeFleetStaysWithinTheRate(t *testing.T) {
	for _, c := range []struct{ rate, burst, demand int }{{9, 9, 4}, {20, 20, 4}, {48, 48, 4}, {48, 48, 2}, {80, 80, 4}, {100, 100, 4}, {120, 120, 4}, {150, 150, 3}, {150, 150, 4}, {327, 327, 4}, {546, 546, 3}, {546, 546, 4}} {
		random := rand.New(rand.NewPCG(uint64(c.rate), 1))
		const hosts = 79
		states := make([]*meterer.State, hosts)
		numbers := make([]uint64, hosts)
		next := make([]sd.Instant, hosts)
		for i := range states {
			states[i] = meterer.New(allowed)
			states[i].Configure(0, []sd.Workspace{{ID: "w", Rate: sd.Rate(c.rate), Burst: sd.Burst(c.burst)}})
			states[i].SetHostCounts(0, hosts, hosts)
			next[i] = sd.Instant(random.IntN(900))
		}
		var admitted []sd.Instant
		for now := sd.Instant(0); now < 30000; now += 10 {
			for i, s := range states {
				if now >= next[i] {
					next[i] = now + sd.Instant(530+random.IntN(700))
					numbers[i]++
					counts := s.AdmissionCounts(now, 3500)
					for j, other := range states {
						if j != i && random.IntN(20) > 0 {
							other.ApplyPeerCounts(now, sd.HostID(fmt.Sprint("h", i)), 1, numbers[i], counts)
						}
					}
				}
			}
			demand := 0.5
			if now > 8000 {
				demand = float64(c.demand)
			}
			for each := demand * float64(c.rate) / 100; each > 0; each-- {
				if random.Float64() < each && states[random.IntN(hosts)].Admit(now, "w", random.IntN(5) == 0).Admitted {
					admitted = append(admitted, now)
				}
			}
		}
		bound := (float64(c.rate)*float64(window)/1000+float64(c.burst))*1.1 + 20
		first, most := 0, 0
		for i, at := range admitted {
			for at-admitted[first] >= sd.Instant(window) {
				first++
			}
			most = max(most, i-first+1)
		}
		t.Logf("rate %d: %d in a window, bound %.0f, %d in all", c.rate, most, bound, len(admitted))
		if float64(most) > bound {
			t.Errorf("rate %d: %d in a window, bound %.0f", c.rate, most, bound)
		}
	}
}

// Overload in a fleet of hundreds of hosts in five zones. Reports arrive as often as the gossiper
// sends them: once a round, and up to half a round later from other zones, where they are relayed.
func TestFloodOfHundredsOfHostsStaysWithinTheRate(t *testing.T) {
	for _, hosts := range []int{295, 410} {
		g := gossiper.Gossiper{Self: gossiper.Peer{Host: "h0", Zone: "z0"}, Clock: sd.Clock{Source: func() sd.Instant { return 0 }}, Log: zap.NewNop()}
		for i := 1; i < hosts; i++ {
			g.Set(gossiper.Peer{Host: sd.HostID(fmt.Sprint("h", i)), Zone: sd.ZoneName(fmt.Sprint("z", i%5)), Incarnation: 1})
		}
		round := int(g.Interval())
		for _, rate := range []int{11, 30, 83, 150} {
			t.Run(fmt.Sprintf("%d hosts, %d a second, round of %d ms", hosts, rate, round), func(t *testing.T) {
				testFloodAcrossZones(t, hosts, rate, round)
			})
		}
	}
}

// testFloodAcrossZones lets a workspace send four times its rate, after a period of half its rate.
func testFloodAcrossZones(t *testing.T, hosts, rate, round int) {
	random := rand.New(rand.NewPCG(uint64(rate), 1))
	states := make([]*meterer.State, hosts)
	numbers := make([]uint64, hosts)
	next := make([]sd.Instant, hosts)
	for i := range states {
		states[i] = meterer.New(allowed)
		states[i].Configure(0, []sd.Workspace{{ID: "w", Rate: sd.Rate(rate), Burst: sd.Burst(rate)}})
		states[i].SetHostCounts(0, hosts, hosts)
		next[i] = sd.Instant(random.IntN(round))
	}
	type report struct {
		from   int
		number uint64
		counts map[gossiper.IDHash]uint64
	}
	relayed := map[sd.Instant][]report{}
	deliver := func(now sd.Instant, r report, sameZone bool) {
		for j, other := range states {
			if j != r.from && (j%5 == r.from%5) == sameZone && random.IntN(50) > 0 {
				other.ApplyPeerCounts(now, sd.HostID(fmt.Sprint("h", r.from)), 1, r.number, r.counts)
			}
		}
	}
	var admitted []sd.Instant
	for now := sd.Instant(0); now < 24000; now += 10 {
		for i, s := range states {
			if now < next[i] {
				continue
			}
			next[i] = now + sd.Instant(round*6/10+random.IntN(round*8/10))
			numbers[i]++
			r := report{i, numbers[i], s.AdmissionCounts(now, sd.Millis(5*round))}
			deliver(now, r, true)
			at := now + sd.Instant(10+random.IntN(round/2)/10*10)
			relayed[at] = append(relayed[at], r)
		}
		for _, r := range relayed[now] {
			deliver(now, r, false)
		}
		delete(relayed, now)
		demand := 0.5
		if now > 8000 {
			demand = 4
		}
		for each := demand * float64(rate) / 100; each > 0; each-- {
			if random.Float64() < each && states[random.IntN(hosts)].Admit(now, "w", random.IntN(5) == 0).Admitted {
				admitted = append(admitted, now)
			}
		}
	}
	bound := (float64(rate)*float64(window)/1000+float64(rate))*1.1 + 20
	first, most := 0, 0
	for i, at := range admitted {
		for at-admitted[first] >= sd.Instant(window) {
			first++
		}
		most = max(most, i-first+1)
	}
	t.Logf("%d in a window, bound %.0f, %d in all", most, bound, len(admitted))
	if float64(most) > bound {
		t.Errorf("%d in a window, bound %.0f", most, bound)
	}
}

// A busy workspace: once its bucket is empty, running programs continue and new ones wait until the
// borrowed tokens are repaid.
func TestProgramsUnderWayBorrow(t *testing.T) {
	s := meterer.New(allowed)
	s.SetHostCounts(0, 1, 1)
	s.Configure(0, []sd.Workspace{{ID: "w", Rate: 10, Burst: 10}})
	started := 0
	for s.Admit(5000, "w", true).Admitted {
		started++
	}
	if started != 10 {
		t.Fatalf("%d programs started, want the burst of 10", started)
	}
	if !s.Admit(5010, "w", false).Admitted {
		t.Fatal("a request of a running program was refused")
	}
	if s.Admit(5200, "w", true).Admitted {
		t.Fatal("a new program was admitted before the borrowed tokens were repaid")
	}
	admitted := 0
	for now := sd.Instant(5200); now < 25200; now += 25 {
		if s.Admit(now, "w", false).Admitted {
			admitted++
		}
	}
	// The borrowing limit is about a third of the allowed excess of 26.
	if most := 10*20 + 8; admitted > most {
		t.Fatalf("%d admitted in 20 s, want at most %d", admitted, most)
	}
}

// Guards against a host admitting requests, or having saved tokens, while it is suspended.
func TestSuspendedHostAdmitsNothing(t *testing.T) {
	s := meterer.New(allowed)
	s.Configure(0, []sd.Workspace{{ID: "w", Rate: rate, Burst: burst}})
	s.SetHostCounts(0, 3, 3)
	now := sd.Instant(sd.Minute)
	if !s.Admit(now, "w", false).Admitted {
		t.Fatal("refused with a full bucket")
	}
	s.SetSuspended(now, true)
	now = now.Add(sd.Minute)
	if v := s.Admit(now, "w", false); v.Admitted || v.RetryAfter <= 0 {
		t.Fatalf("admitted %v, retry after %d while suspended", v.Admitted, v.RetryAfter)
	}
	s.SetSuspended(now, false)
	if got := s.Tokens("w"); got > 0 {
		t.Fatalf("%v tokens at the end of the suspension", got)
	}
	if !s.Admit(now.Add(sd.Second), "w", false).Admitted {
		t.Fatal("refused a second after the suspension")
	}
}
