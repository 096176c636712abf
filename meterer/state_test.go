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

// world is a few hosts that hear of one another after a lag.
type world struct {
	hosts   []*meterer.State
	numbers []uint64
	// group says which hosts hear one another.
	group []int
}

const (
	rate   = 172
	burst  = 172
	window = 5 * sd.Second
)

// allowed is what the fleet may exceed a rate by.
var allowed = meterer.Settings{Window: window, Over: 0.1, Slack: 20}

func newWorld(n int) *world {
	w := &world{numbers: make([]uint64, n), group: make([]int, n)}
	for range n {
		w.hosts = append(w.hosts, w.start())
	}
	return w
}

func (w *world) start() *meterer.State {
	s := meterer.New(allowed)
	s.Configure(0, []sd.Workspace{{ID: "w", Rate: rate, Burst: burst}})
	return s
}

// beat lets host i tell the others.
func (w *world) beat(now sd.Instant, i int, incarnation sd.Incarnation) {
	w.numbers[i]++
	counts := w.hosts[i].Beat(now, 500)
	reach := 0
	for j, other := range w.hosts {
		if w.group[j] != w.group[i] {
			continue
		}
		reach++
		if j != i {
			other.Heard(now, sd.HostID(rune('a'+i)), incarnation, w.numbers[i], counts)
		}
	}
	w.hosts[i].Hosts(now, len(w.hosts), reach)
}

// One workspace's flood, under any spread of the load, lost beats and cuts: no
// window admits more than the bound, which leaves a tenth and 20 for the lag.
func TestFloodStaysWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "hosts")
		w := newWorld(n)
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

// Calm: a workspace below its rate is refused nothing, however its requests are
// spread.
func TestNothingWithinTheRateIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "hosts")
		w := newWorld(n)
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

// Restart: a host that begins to listen does not take the others' whole history
// for admissions of this moment.
func TestRestartedHostDoesNotRefuseForThePast(t *testing.T) {
	w := newWorld(3)
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

// One workspace's flood: once requests of programs under way are refused, new
// programs leave the rest of the bucket to them.
func TestNewProgramsYieldInAFlood(t *testing.T) {
	s := meterer.New(allowed)
	s.Hosts(0, 1, 1)
	s.Configure(0, []sd.Workspace{{ID: "w", Rate: 100, Burst: 100}})
	now := sd.Instant(1000)
	for v := s.Admit(now, "w", false); v.Admitted; {
		v = s.Admit(now, "w", false)
	}
	now += 200
	if v := s.Admit(now, "w", true); v.Admitted || v.Wait == 0 {
		t.Fatalf("a new program was admitted with %.0f tokens", v.Tokens)
	}
	if v := s.Admit(now, "w", false); !v.Admitted {
		t.Fatalf("a program under way was refused with %.0f tokens", v.Tokens)
	}
}

// A workspace without a rate is not bounded, one of a smaller plan is at once.
func TestPlansChangeBounds(t *testing.T) {
	s := meterer.New(meterer.Settings{})
	s.Hosts(0, 1, 1)
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

// Lost zone, back again: what the other zones admitted while three of nine hosts
// could not hear them came from their part of the rate, not from the three's. After
// the cut these refuse nothing within the rate.
func TestNothingWithinTheRateIsRefusedAfterACut(t *testing.T) {
	w := newWorld(9)
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
		// Six tenths of the rate; the cut zone's callers are led elsewhere.
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
		t.Fatalf("%d of %d requests refused after the cut", refused, asked)
	}
}

// One workspace's flood in a large fleet: 79 hosts that tell of themselves every 0.5
// to 1.2 s, some beats lost. No window admits more than the bound.
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
			states[i].Hosts(0, hosts, hosts)
			next[i] = sd.Instant(random.IntN(900))
		}
		var admitted []sd.Instant
		for now := sd.Instant(0); now < 30000; now += 10 {
			for i, s := range states {
				if now >= next[i] {
					next[i] = now + sd.Instant(530+random.IntN(700))
					numbers[i]++
					counts := s.Beat(now, 3500)
					for j, other := range states {
						if j != i && random.IntN(20) > 0 {
							other.Heard(now, sd.HostID(fmt.Sprint("h", i)), 1, numbers[i], counts)
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

// A flood over hundreds of hosts in five zones, each of which hears the others as often as
// the gossiper tells: its round, and a part of one until a beat is passed on.
func TestFloodOfHundredsOfHostsStaysWithinTheRate(t *testing.T) {
	for _, hosts := range []int{295, 410} {
		g := gossiper.Gossiper{Self: gossiper.Peer{Host: "h0", Zone: "z0"}, Clock: sd.Clock{Source: func() sd.Instant { return 0 }}, Log: zap.NewNop()}
		for i := 1; i < hosts; i++ {
			g.Set(gossiper.Peer{Host: sd.HostID(fmt.Sprint("h", i)), Zone: sd.ZoneName(fmt.Sprint("z", i%5)), Incarnation: 1})
		}
		round := int(g.Interval())
		for _, rate := range []int{11, 30, 83, 150} {
			t.Run(fmt.Sprintf("%d hosts, %d a second, round of %d ms", hosts, rate, round), func(t *testing.T) {
				floodOfZones(t, hosts, rate, round)
			})
		}
	}
}

// floodOfZones has a workspace ask four times its rate of a fleet, after a quieter time.
func floodOfZones(t *testing.T, hosts, rate, round int) {
	random := rand.New(rand.NewPCG(uint64(rate), 1))
	states := make([]*meterer.State, hosts)
	numbers := make([]uint64, hosts)
	next := make([]sd.Instant, hosts)
	for i := range states {
		states[i] = meterer.New(allowed)
		states[i].Configure(0, []sd.Workspace{{ID: "w", Rate: sd.Rate(rate), Burst: sd.Burst(rate)}})
		states[i].Hosts(0, hosts, hosts)
		next[i] = sd.Instant(random.IntN(round))
	}
	type passed struct {
		from   int
		number uint64
		counts map[gossiper.Code]uint64
	}
	late := map[sd.Instant][]passed{}
	hear := func(now sd.Instant, b passed, near bool) {
		for j, other := range states {
			if j != b.from && (j%5 == b.from%5) == near && random.IntN(50) > 0 {
				other.Heard(now, sd.HostID(fmt.Sprint("h", b.from)), 1, b.number, b.counts)
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
			b := passed{i, numbers[i], s.Beat(now, sd.Millis(5*round))}
			hear(now, b, true)
			at := now + sd.Instant(10+random.IntN(round/2)/10*10)
			late[at] = append(late[at], b)
		}
		for _, b := range late[now] {
			hear(now, b, false)
		}
		delete(late, now)
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

// Busy workspace: once its bucket is empty, a program under way goes on and a new one
// waits, until what was borrowed has been paid back.
func TestProgramsUnderWayBorrow(t *testing.T) {
	s := meterer.New(allowed)
	s.Hosts(0, 1, 1)
	s.Configure(0, []sd.Workspace{{ID: "w", Rate: 10, Burst: 10}})
	begun := 0
	for s.Admit(5000, "w", true).Admitted {
		begun++
	}
	if begun != 10 {
		t.Fatalf("%d programs begun, want the burst of 10", begun)
	}
	if !s.Admit(5010, "w", false).Admitted {
		t.Fatal("a program under way was refused")
	}
	if s.Admit(5200, "w", true).Admitted {
		t.Fatal("a new program was admitted before the debt was paid")
	}
	admitted := 0
	for now := sd.Instant(5200); now < 25200; now += 25 {
		if s.Admit(now, "w", false).Admitted {
			admitted++
		}
	}
	// A third of the allowed excess of 26.
	if most := 10*20 + 8; admitted > most {
		t.Fatalf("%d admitted in 20 s, want at most %d", admitted, most)
	}
}
