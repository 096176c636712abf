package launcher_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
)

// ledger is what the callers know: the oracle of the promises.
type ledger struct {
	mu sync.Mutex
	// said holds what callers were told of each courier call.
	said   map[string]string
	faults []string
	whole  atomic.Int64
	asked  atomic.Int64
	other  map[string]int
}

func (l *ledger) fail(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, values...))
}

func (l *ledger) tell(call, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.said[call] = outcome
}

func (l *ledger) refused(body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var problem struct {
		Error struct{ Reason, Detail string }
	}
	_ = json.Unmarshal([]byte(body), &problem)
	l.other[problem.Error.Reason+": "+problem.Error.Detail]++
}

// drifter is a caller who runs one program over any hosts through all faults,
// repeats what was refused, and checks each answer against its own history.
type drifter struct {
	rig    *rig
	random *rand.Rand
	ledger *ledger
	stop   <-chan struct{}
	name   string
}

func (d *drifter) host() caller {
	return caller{host: d.rig.hosts[d.random.IntN(len(d.rig.hosts))], key: secret}
}

func (d *drifter) stopped() bool {
	select {
	case <-d.stop:
		return true
	default:
		return false
	}
}

// persist sends a request until it is answered with the status wanted, a status
// that ends the program, or the run is over.
func (d *drifter) persist(method, path, body string, headers ...string) (reply, bool) {
	for !d.stopped() {
		d.ledger.asked.Add(1)
		answer, err := d.host().send(method, path, body, headers...)
		if err == nil && answer.status < 300 {
			d.ledger.whole.Add(1)
			return answer, true
		}
		if err == nil {
			d.ledger.refused(answer.body)
			if answer.status < 429 || answer.status == 499 {
				return answer, false
			}
		}
		time.Sleep(time.Duration(20+d.random.IntN(80)) * time.Millisecond)
	}
	return reply{}, false
}

func (d *drifter) run() {
	for n := 0; !d.stopped(); n++ {
		created, done := d.persist("POST", "/programs", `{}`)
		if !done {
			continue
		}
		program := field(created.body, "program")
		d.program(program, fmt.Sprintf("%s-%d", d.name, n))
	}
}

func field(body, name string) string {
	var fields map[string]json.RawMessage
	_ = json.Unmarshal([]byte(body), &fields)
	var text string
	_ = json.Unmarshal(fields[name], &text)
	return text
}

// program drives one program. Each call has a name, so that a lost answer can be
// asked for again without a second turn.
func (d *drifter) program(program, name string) {
	var history []sd.Message
	for turn := range 2 + d.random.IntN(4) {
		call := fmt.Sprintf("%s.%d", name, turn)
		headers := []string{"Sapphiredrum-Program", program, "Sapphiredrum-Call", call}
		if d.random.IntN(3) == 0 {
			if !d.courier(call, headers) {
				return
			}
			continue
		}
		history = append(history, sd.Message{Role: "user", Content: call})
		body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":5}`, call)
		answer, done := d.persist("POST", "/v1/chat/completions", body, headers...)
		if !done {
			if answer.status == http.StatusNotFound {
				d.ledger.fail("program %s was lost after %d messages", program, len(history))
			}
			return
		}
		want := faker.Text(history, 5)
		if !strings.Contains(answer.body, want) {
			d.ledger.fail("%s: got %s, want %s", call, answer.body, want)
			return
		}
		history = append(history, sd.Message{Role: faker.Role, Content: want})
	}
	d.persist("DELETE", "/programs/"+program, "")
}

// courier sends a call that must run at most once and notes what was said of it
// last. It returns false when the program cannot go on.
func (d *drifter) courier(call string, headers []string) bool {
	for !d.stopped() {
		d.ledger.asked.Add(1)
		answer, err := d.host().send("POST", "/courier", `{"call":"`+call+`"}`, headers...)
		switch {
		case err != nil:
			d.ledger.tell(call, "unknown")
		case answer.status == http.StatusOK:
			d.ledger.tell(call, "ran")
			return true
		default:
			d.ledger.refused(answer.body)
			// An earlier attempt may have run although a later one is refused as not run.
			d.ledger.mu.Lock()
			if earlier := d.ledger.said[call]; earlier != "unknown" && earlier != "ran" {
				d.ledger.said[call] = answer.header.Get("Sapphiredrum-Outcome")
			}
			d.ledger.mu.Unlock()
			if answer.status == http.StatusConflict || answer.status == http.StatusNotFound {
				return false
			}
		}
		time.Sleep(time.Duration(20+d.random.IntN(80)) * time.Millisecond)
	}
	return false
}

// serviceDelay leaves time for a fault between a call's dispatch and its end.
const serviceDelay = 300 * sd.Millisecond

// disturb makes one fault, holds it for a while and mends it.
func (r *rig) disturb(random *rand.Rand) {
	zones := []sd.ZoneName{"z1", "z2", "z3"}
	zone := zones[random.IntN(len(zones))]
	hold := time.Duration(200+random.IntN(2500)) * time.Millisecond
	what := random.IntN(11)
	switch what {
	case 0:
		r.platform.SetFaults(faker.PlatformFaults{Away: true})
	case 1:
		r.platform.SetFaults(faker.PlatformFaults{LoseAnswers: 3 + random.IntN(10)})
	case 2:
		r.platform.SetFaults(faker.PlatformFaults{Slow: sd.Millis(random.IntN(400))})
	case 3:
		r.network.set(zone, platformZone, true)
	case 4:
		for _, other := range append(zones, platformZone) {
			if other != zone {
				r.network.set(zone, other, true)
			}
		}
	case 5:
		r.network.loseEach(7 + random.IntN(20))
	case 6:
		for _, e := range r.engines {
			e.SetFaults(faker.EngineFaults{Cuts: 2, CutAfter: 2, LoseAnswers: 2})
		}
	case 7:
		for _, e := range r.engines {
			e.Restart()
			break
		}
	case 9, 10:
		// Longer than a lease: zone peers take the host's shards over.
		r.network.isolate(r.hosts[random.IntN(len(r.hosts))].settings.Peer)
		hold += 2500 * time.Millisecond
	case 8:
		r.service.SetFaults(faker.ServiceFaults{Delay: serviceDelay, FailBefore: 1, FailAfter: 1})
	}
	time.Sleep(hold)
	r.platform.SetFaults(faker.PlatformFaults{})
	r.network.heal()
	for _, e := range r.engines {
		e.SetFaults(faker.EngineFaults{})
	}
	r.service.SetFaults(faker.ServiceFaults{Delay: serviceDelay})
	time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
}

// seconds returns the length of a run with faults; SECONDS asks for a long one.
func seconds(t *testing.T) time.Duration {
	t.Helper()
	if text := os.Getenv("SECONDS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		return time.Duration(n) * time.Second
	}
	return 15 * time.Second
}

// seed returns the seed of a run with faults; SEED asks for another one.
func seed() uint64 {
	n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return n
}

// Six hosts in three zones keep the promises while faults come and go: no
// history is lost or mixed, a call that must run once runs at most once, "not
// run" is true, no target sees a key or more than it bears while cold, and no
// slot and no memory stays taken at the end.
func TestPromisesUnderFaults(t *testing.T) {
	r := newRig(t)
	r.addZone("z3", "e3")
	for _, h := range []struct {
		name sd.HostID
		zone sd.ZoneName
	}{{"h1", "z1"}, {"h2", "z1"}, {"h3", "z2"}, {"h4", "z2"}, {"h5", "z3"}, {"h6", "z3"}} {
		r.start(h.name, h.zone)
	}
	r.settle()
	r.service.SetFaults(faker.ServiceFaults{Delay: serviceDelay})
	l := &ledger{said: make(map[string]string), other: make(map[string]int)}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range 12 {
		d := &drifter{rig: r, random: rand.New(rand.NewPCG(seed(), uint64(n))), ledger: l, stop: stop, name: fmt.Sprintf("p%d", n)}
		group.Go(d.run)
	}
	flood := &flooder{rig: r, random: rand.New(rand.NewPCG(seed(), 2000)), stop: stop}
	for range 8 {
		group.Go(flood.run)
	}
	began := time.Now()
	random := rand.New(rand.NewPCG(seed(), 1000))
	for end := time.Now().Add(seconds(t)); time.Now().Before(end); {
		r.disturb(random)
	}
	r.eventually("calls are served after the faults", func() bool {
		before := l.whole.Load()
		time.Sleep(300 * time.Millisecond)
		return l.whole.Load() > before
	})
	close(stop)
	group.Wait()
	r.judge(l)
	admitted, most := flood.admitted.Load(), 50*time.Since(began).Seconds()+50
	t.Logf("%d requests of a workspace that sends too many were admitted, at most %.0f", admitted, most)
	if float64(admitted) > most {
		t.Errorf("%d requests were admitted, at most %.0f", admitted, most)
	}
}

// flooder sends many times its workspace's rate to all hosts.
type flooder struct {
	rig      *rig
	mu       sync.Mutex
	random   *rand.Rand
	stop     <-chan struct{}
	admitted atomic.Int64
}

func (f *flooder) run() {
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		f.mu.Lock()
		host := f.rig.hosts[f.random.IntN(len(f.rig.hosts))]
		f.mu.Unlock()
		answer, err := caller{host: host, key: "key-other"}.send("GET", "/prices", "")
		if err == nil && answer.status == http.StatusOK {
			f.admitted.Add(1)
		}
	}
}

// judge compares what callers were told with what the targets saw.
func (r *rig) judge(l *ledger) {
	r.t.Logf("%d of %d requests answered, %d courier calls, refusals %v", l.whole.Load(), l.asked.Load(), len(l.said), l.other)
	for _, fault := range l.faults {
		r.t.Error(fault)
	}
	runs := make(map[string]uint64)
	for stream, count := range r.service.Counters().Streams {
		_, rest, _ := strings.Cut(string(stream), "/")
		call, _, _ := strings.Cut(rest, "/")
		runs[call] += count
	}
	for call, said := range l.said {
		if runs[call] > 1 {
			r.t.Errorf("%s ran %d times", call, runs[call])
		}
		if said == "not-run" && runs[call] > 0 || said == "ran" && runs[call] == 0 {
			r.t.Errorf("%s was said to be %s and ran %d times", call, said, runs[call])
		}
	}
	select {
	case path := <-r.leaks:
		r.t.Errorf("a target saw the key at %s", path)
	default:
	}
	for id, e := range r.engines {
		if c := e.Counters(); c.Overloads > 0 || c.Stale > 0 {
			r.t.Errorf("engine %s: %d calls too many while cold, %d with a stale fence", id, c.Overloads, c.Stale)
		}
	}
	r.eventually("every slot is free", func() bool {
		for _, e := range r.engines {
			if c := e.Counters(); c.Running+c.Waiting > 0 {
				return false
			}
		}
		return true
	})
}

// addZone adds a zone with an engine of its own.
func (r *rig) addZone(zone sd.ZoneName, id sd.TargetID) {
	r.sheet.Zones = append(r.sheet.Zones, sd.Zone{Name: zone, Region: "r"})
	r.engines[id] = faker.NewEngine(r.clock, faker.EngineSettings{Target: id, Slots: 8, Cold: 4, Ramp: 100, Words: 12, Token: 1, Fenced: true})
	r.addTarget(sd.Target{ID: id, Zone: zone, Group: "models", Fenced: true, Slots: 8, ColdSlots: 4, WarmUp: 100, CacheCapacity: 100_000}, faker.EngineHandler(r.engines[id]))
	r.commit("zone " + string(zone))
}
