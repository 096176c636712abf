package balancer_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

// fleet simulates programs on hosts that learn of one another only by load reports, and targets
// that run a fixed number of requests at once and queue the others.
type fleet struct {
	random       *rand.Rand
	hosts        []*balancer.State
	beats        []sd.Instant
	beatInterval sd.Millis
	targets      []*fakeTarget
	waiting      map[*balancer.Request]*program
	events       map[sd.Instant][]func(now sd.Instant)

	begun, onTime, late, lost int
	turns                     int
	held, queued              sd.Millis
}

type fakeTarget struct {
	id      sd.TargetID
	running int
	queue   []func(now sd.Instant)
}

// program is a caller that sends turns one after another through one host.
type program struct {
	host    int
	left    int
	total   int
	since   sd.Instant
	idle    sd.Millis
	asked   sd.Instant
	tries   int
	started bool
}

const (
	slotsPerTarget    = 6
	turnDuration      = 220
	turnOverhead      = 26
	pauseBetweenTurns = 60
	// A program is on time if it takes at most deadlineFactor times its duration on idle targets
	// plus deadlineSlack.
	deadlineFactor, deadlineSlack = 1.2, 200
)

func newFleet(seed uint64, hosts, targets, zones int, every sd.Millis) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), beatInterval: every,
		waiting: map[*balancer.Request]*program{}, events: map[sd.Instant][]func(sd.Instant){},
	}
	zone := func(i int) sd.ZoneName { return sd.ZoneName(fmt.Sprint("z", i%zones)) }
	for j := range targets {
		f.targets = append(f.targets, &fakeTarget{id: sd.TargetID(fmt.Sprint("t", j))})
	}
	for i := range hosts {
		s := balancer.New(balancer.Settings{Host: sd.HostID(fmt.Sprint("h", i)), Zone: zone(i), ColdRateFactor: 1.5, ColdSlack: 5, Random: f.random.IntN})
		s.Configure([]sd.Pool{{Name: "pool", ColdRate: 28}})
		for j, t := range f.targets {
			s.Register(sd.TargetRegistration{ID: t.id, Pool: "pool", Address: sd.Address(fmt.Sprint("10.0.0.", j, ":1")), Zone: zone(j), Slots: slotsPerTarget})
		}
		s.SetHostCount(hosts)
		f.hosts = append(f.hosts, s)
		f.beats = append(f.beats, sd.Instant(f.random.IntN(int(every))))
	}
	return f
}

func (f *fleet) at(now sd.Instant, event func(now sd.Instant)) {
	now -= now % 5
	f.events[now] = append(f.events[now], event)
}

// startProgram starts a program.
func (f *fleet) startProgram(now sd.Instant) {
	turns := 1 + f.random.IntN(9)
	p := &program{host: f.random.IntN(len(f.hosts)), left: turns, total: turns, since: now}
	p.idle = sd.Millis(turns*(turnDuration+turnOverhead) + (turns-1)*pauseBetweenTurns)
	f.begun++
	f.ask(now, p)
}

func (f *fleet) deadline(p *program) sd.Instant {
	return p.since.Add(sd.Millis(float64(p.idle)*deadlineFactor) + deadlineSlack)
}

func (f *fleet) ask(now sd.Instant, p *program) {
	p.asked = now
	req := &balancer.Request{Pool: "pool", StartDeadline: now.Add(3000), StartsProgram: !p.started, ProgramDeadline: f.deadline(p)}
	if !f.hosts[p.host].Submit(now, req) {
		f.waiting[req] = p
		return
	}
	f.handleDecision(now, p, req)
}

func (f *fleet) handleDecision(now sd.Instant, p *program, req *balancer.Request) {
	if req.RefusalReason != "" {
		p.tries++
		if p.tries > 1 {
			f.lost++
			return
		}
		f.at(now.Add(max(req.ExpectedWait, 300)), func(now sd.Instant) { f.ask(now, p) })
		return
	}
	p.started, p.tries = true, 0
	f.turns++
	f.held += now.Since(p.asked)
	t := f.targets[slices.IndexFunc(f.targets, func(t *fakeTarget) bool { return t.id == req.Target })]
	sent := now
	run := func(now sd.Instant) {
		f.queued += now.Since(sent)
		f.at(now.Add(turnDuration), func(now sd.Instant) {
			t.running--
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				t.running++
				next(now)
			}
			s := f.hosts[p.host]
			s.ReportTargetLoad(now, t.id, sd.Slots(t.running), sd.Slots(len(t.queue)))
			s.Done(now, req, balancer.Served, now.Since(sent))
			f.advance(now, p.host)
			f.finishTurn(now, p)
		})
	}
	if t.running < slotsPerTarget {
		t.running++
		run(now)
	} else {
		t.queue = append(t.queue, run)
	}
}

func (f *fleet) finishTurn(now sd.Instant, p *program) {
	p.left--
	if p.left > 0 {
		f.at(now.Add(turnOverhead+pauseBetweenTurns), func(now sd.Instant) { f.ask(now, p) })
		return
	}
	if now <= f.deadline(p) {
		f.onTime++
	} else {
		f.late++
	}
}

func (f *fleet) advance(now sd.Instant, host int) {
	for _, req := range f.hosts[host].DispatchQueued(now) {
		p := f.waiting[req]
		delete(f.waiting, req)
		f.handleDecision(now, p, req)
	}
}

// play starts programs at a rate for a period.
func (f *fleet) play(from, until sd.Instant, perSecond float64) {
	for now := from; now < until; now += 5 {
		for _, event := range f.events[now] {
			event(now)
		}
		delete(f.events, now)
		for each := perSecond / 200; each > 0; each-- {
			if f.random.Float64() < each {
				f.startProgram(now)
			}
		}
		for i, s := range f.hosts {
			if now%10 == 0 {
				f.advance(now, i)
			}
			if now >= f.beats[i] {
				f.beats[i] = now.Add(f.beatInterval*6/10 + sd.Millis(f.random.IntN(int(f.beatInterval)*8/10)))
				inflight, sent := s.LocalLoad(now)
				for j, other := range f.hosts {
					if j != i {
						other.ReportPeerLoad(now, sd.HostID(fmt.Sprint("h", i)), inflight, sent)
					}
				}
			}
		}
	}
}

// earnedValue returns the fraction of the programs' value that was earned: a late program earns 0.3.
func (f *fleet) earnedValue() float64 {
	return (float64(f.onTime) + 0.3*float64(f.late)) / float64(max(f.begun, 1))
}

func (f *fleet) String() string {
	n := sd.Millis(cmp.Or(f.turns, 1))
	return fmt.Sprintf("started %d, on time %d, late %d, lost %d, value %.3f; a turn waited %d ms at its host and %d ms at its target",
		f.begun, f.onTime, f.late, f.lost, f.earnedValue(), f.held/n, f.queued/n)
}

// Overload: for some seconds more programs start than the targets can run, in a large fleet whose
// hosts report to one another every 0.9 s and in a small one. Of the value of the programs that
// the targets have slots for, three quarters must be earned: slots must neither stay free nor be
// spent on programs that end late.
func TestCrowds(t *testing.T) {
	const before, crowd, after, calm = 4000, 4000, 6000, 0.4
	for _, c := range []struct {
		name                  string
		hosts, targets, zones int
		every                 sd.Millis
	}{{"large", 79, 44, 4, 880}, {"small", 9, 9, 3, 100}} {
		for _, share := range []float64{1, 1.5, 2.2} {
			f := newFleet(1, c.hosts, c.targets, c.zones, c.every)
			// A program has five turns on average.
			full := float64(c.targets*slotsPerTarget) * 1000 / turnDuration / 5
			f.play(0, before, full*calm)
			f.begun, f.onTime, f.late, f.lost, f.turns, f.held, f.queued = 0, 0, 0, 0, 0, 0, 0
			f.play(before, before+crowd, full*share)
			f.play(before+crowd, before+crowd+after, full*calm)
			most := full * (crowd + after*calm) / 1000 / float64(f.begun)
			t.Logf("%s fleet, %.1f times its capacity, at most %.3f: %v", c.name, share, most, f)
			if f.earnedValue() < 0.75*min(most, 1) {
				t.Errorf("%s fleet, %.1f times its capacity: value %.3f of %.3f", c.name, share, f.earnedValue(), most)
			}
		}
	}
}

// Busy large fleet: programs were refused with three tenths of the slots free and a third of the cold
// limit unused, as each host may send to a few targets only until it has announced more to the others.
func TestColdLimitIsUsedInALargeFleet(t *testing.T) {
	const before, until, calm, busy = 3000, 6000, 0.4, 0.7
	f := newFleet(1, 295, 104, 5, 730)
	for _, s := range f.hosts {
		s.Configure([]sd.Pool{{Name: "pool", ColdRate: 20}})
	}
	full := float64(104*slotsPerTarget) * 1000 / turnDuration / 5
	f.play(0, before, full*calm)
	f.begun, f.onTime, f.late, f.lost, f.turns, f.held, f.queued = 0, 0, 0, 0, 0, 0, 0
	f.play(before, until, full*busy)
	t.Log(f)
	if f.lost > f.begun/100 {
		t.Errorf("%d of %d programs were refused twice", f.lost, f.begun)
	}
}
