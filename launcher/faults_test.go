package launcher_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
)

// tally counts what callers saw.
type tally struct {
	whole   atomic.Int64
	refused atomic.Int64
	cut     atomic.Int64
	mu      sync.Mutex
	reasons map[string]int
}

func (s *tally) note(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reasons == nil {
		s.reasons = make(map[string]int)
	}
	s.reasons[reason]++
}

func (s *tally) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d whole, %d refused, %d cut: %v", s.whole.Load(), s.refused.Load(), s.cut.Load(), s.reasons)
}

// drive runs one program of the given number of turns and checks every answer
// against the history that the caller knows.
func drive(c caller, turns int, s *tally) {
	answer, err := c.send("POST", "/programs", `{}`)
	if err != nil || answer.status != http.StatusCreated {
		s.refused.Add(1)
		s.note(fmt.Sprintf("create: %v %d %s", err, answer.status, answer.body))
		return
	}
	program, _, _ := strings.Cut(strings.TrimPrefix(answer.body, `{"program":"`), `"`)
	head := answer.header.Get("Sapphiredrum-Head")
	var history []sd.Message
	for turn := range turns {
		text := fmt.Sprintf("turn %d of %s", turn, program)
		history = append(history, sd.Message{Role: "user", Content: text})
		body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":6}`, text)
		answer, err := c.send("POST", "/v1/chat/completions", body, "Sapphiredrum-Program", program, "Sapphiredrum-Head", head)
		switch {
		case err != nil:
			s.cut.Add(1)
			s.note(err.Error())
			return
		case answer.status != http.StatusOK:
			s.refused.Add(1)
			s.note(answer.body)
			return
		}
		want := faker.Text(history, 6)
		if !strings.Contains(answer.body, want) {
			s.note("mixed: " + answer.body + " want " + want)
			s.cut.Add(1)
			return
		}
		s.whole.Add(1)
		history = append(history, sd.Message{Role: faker.Role, Content: want})
		head = answer.header.Get("Sapphiredrum-Head")
	}
	if answer, err := c.send("DELETE", "/programs/"+program, ""); err != nil || answer.status != http.StatusOK {
		s.refused.Add(1)
		s.note("end: " + answer.body)
	}
}

// load runs callers on the hosts that pick returns until stop is closed.
func load(callers int, stop <-chan struct{}, pick func(n int) *running, s *tally) *sync.WaitGroup {
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-stop:
					return
				default:
					drive(caller{pick(n + round), secret}, 3, s)
				}
			}
		})
	}
	return &group
}

// A host that is told to stop hands its shards over and cuts no request, while
// callers use it until its balancer has seen that it is not ready.
func TestGracefulStopCutsNothing(t *testing.T) {
	r := newRig(t)
	hosts := []*running{r.start("h1", "z1"), r.start("h2", "z1"), r.start("h3", "z2")}
	r.settle()
	var leaving atomic.Bool
	stop := make(chan struct{})
	s := &tally{}
	group := load(6, stop, func(n int) *running {
		if leaving.Load() {
			return hosts[1+n%2]
		}
		return hosts[n%3]
	}, s)
	time.Sleep(time.Second)
	hosts[0].stop()
	r.eventually("the host is not ready", func() bool { return !hosts[0].status().Ready })
	leaving.Store(true)
	select {
	case err := <-hosts[0].ended:
		if err != nil {
			t.Errorf("the host ended with %v", err)
		}
		hosts[0].ended <- nil
	case <-time.After(20 * time.Second):
		t.Error("the host did not end")
	}
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	t.Log(s)
	if s.cut.Load()+s.refused.Load() > 0 || s.whole.Load() == 0 {
		t.Fatalf("requests were cut: %v", s)
	}
}

// A withdrawn key ends its open streams and frees their slots.
func TestWithdrawnKeyEndsStreams(t *testing.T) {
	r := newRig(t)
	one := r.start("h1", "z1")
	r.start("h2", "z2")
	r.settle()
	for _, e := range r.engines {
		e.SetFaults(faker.EngineFaults{Hang: true})
	}
	ended := make(chan reply, 1)
	go func() {
		answer, _ := caller{one, secret}.send("POST", "/v1/chat/completions", hello)
		ended <- answer
	}()
	r.eventually("the call waits at its engine", func() bool { return one.status().Open == 1 })
	r.sheet.Keys[0].Revoked = true
	r.commit("key withdrawn")
	select {
	case answer := <-ended:
		if answer.status != http.StatusUnauthorized || !strings.Contains(answer.body, "key-withdrawn") {
			t.Fatalf("status %d: %s", answer.status, answer.body)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the stream of a withdrawn key goes on")
	}
	for _, e := range r.engines {
		e.SetFaults(faker.EngineFaults{})
	}
	caller{one, secret}.must(t, http.StatusUnauthorized, "POST", "/programs", "")
	r.eventually("the slot is free", func() bool {
		for _, e := range r.engines {
			if c := e.Counters(); c.Running+c.Waiting > 0 {
				return false
			}
		}
		return true
	})
}

// While the platform is away model calls go on, and a call that must not be
// repeated is refused as not run, with the time to come back; afterwards it runs
// exactly once.
func TestPlatformAway(t *testing.T) {
	r := newRig(t)
	hosts := []*running{r.start("h1", "z1"), r.start("h2", "z1"), r.start("h3", "z2"), r.start("h4", "z2")}
	r.settle()
	c := caller{hosts[0], secret}
	program, _ := c.program(t, `{}`)
	c.must(t, 200, "POST", "/v1/chat/completions", hello, "Sapphiredrum-Program", program)
	r.platform.SetFaults(faker.PlatformFaults{Away: true})
	s := &tally{}
	stop := make(chan struct{})
	group := load(4, stop, func(n int) *running { return hosts[n%4] }, s)
	time.Sleep(4 * time.Second)
	refused := c.must(t, 503, "POST", "/courier", "{}", "Sapphiredrum-Program", program, "Sapphiredrum-Call", "once")
	if refused.header.Get("Sapphiredrum-Outcome") != "not-run" || refused.header.Get("Retry-After") == "" {
		t.Errorf("refused with %v: %s", refused.header, refused.body)
	}
	close(stop)
	group.Wait()
	t.Log(s)
	if s.cut.Load()+s.refused.Load() > 0 || s.whole.Load() == 0 {
		t.Errorf("calls while the platform is away: %v", s)
	}
	r.platform.SetFaults(faker.PlatformFaults{})
	r.eventually("the call runs after the outage", func() bool {
		answer, err := c.send("POST", "/courier", "{}", "Sapphiredrum-Program", program, "Sapphiredrum-Call", "once")
		return err == nil && answer.status == 200
	})
	if runs := r.service.Counters().Runs; runs != 1 {
		t.Errorf("the courier was sent %d times", runs)
	}
}

// hostMemory is what a host may use, by the size designed for.
const hostMemory = 128 << 20

// Callers who hang up and callers who read slowly leave no slot taken, and the
// memory of all parties together stays within what one host may use.
func TestHangUpsFreeSlots(t *testing.T) {
	r := newRig(t)
	one := r.start("h1", "z1")
	r.settle()
	var group sync.WaitGroup
	for n := range 200 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			request, _ := http.NewRequestWithContext(ctx, "POST", "http://"+string(one.settings.Caller)+"/v1/chat/completions", strings.NewReader(hello))
			request.Header.Set("Authorization", "Bearer "+secret)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return
			}
			defer response.Body.Close()
			if n%2 == 0 {
				_, _ = response.Body.Read(make([]byte, 10))
				return
			}
			for {
				time.Sleep(5 * time.Millisecond)
				if _, err := response.Body.Read(make([]byte, 16)); err == io.EOF {
					return
				} else if err != nil {
					t.Errorf("stream %d: %v", n, err)
					return
				}
			}
		})
	}
	peak := uint64(0)
	ended := make(chan struct{})
	go func() { group.Wait(); close(ended) }()
	for open := true; open; {
		select {
		case <-ended:
			open = false
		case <-time.After(20 * time.Millisecond):
		}
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		peak = max(peak, memory.HeapInuse)
	}
	t.Logf("at most %d KB of heap in use", peak>>10)
	if peak > hostMemory {
		t.Errorf("%d bytes of heap in use, at most %d", peak, hostMemory)
	}
	r.eventually("every slot is free and no request is open", func() bool {
		for _, e := range r.engines {
			if c := e.Counters(); c.Running+c.Waiting > 0 {
				return false
			}
		}
		return one.status().Open == 0
	})
}

// The end of an answer, with its new head, waits until the head is safe: a host
// without peers gives it only when the platform has stored it.
func TestAnswerWaitsUntilSafe(t *testing.T) {
	r := newRig(t)
	c := caller{r.start("h1", "z1"), secret}
	r.settle()
	program, _ := c.program(t, `{}`)
	for _, e := range r.engines {
		e.SetFaults(faker.EngineFaults{Hang: true})
	}
	ended := make(chan reply, 1)
	go func() {
		answer, _ := c.send("POST", "/v1/chat/completions", hello, "Sapphiredrum-Program", program)
		ended <- answer
	}()
	r.eventually("the call runs", func() bool { return c.host.status().Open == 1 })
	time.Sleep(200 * time.Millisecond)
	r.platform.SetFaults(faker.PlatformFaults{Away: true})
	for _, e := range r.engines {
		e.SetFaults(faker.EngineFaults{})
	}
	select {
	case answer := <-ended:
		t.Fatalf("the answer ended while nothing kept it: %s", answer.body)
	case <-time.After(800 * time.Millisecond):
	}
	r.platform.SetFaults(faker.PlatformFaults{})
	if answer := <-ended; answer.status != http.StatusOK || !strings.Contains(answer.body, "[DONE]") {
		t.Fatalf("after the outage: %d %s", answer.status, answer.body)
	}
}

// A turn that only its copy at a zone peer has kept outlives its keeper: the
// platform was away when it was acknowledged, and the keeper never came back.
func TestCopiedTurnSurvivesKeeper(t *testing.T) {
	r := newRig(t)
	hosts := []*running{r.start("h1", "z1"), r.start("h2", "z1")}
	r.settle()
	program, _ := caller{hosts[0], secret}.program(t, `{}`)
	owner, peer := hosts[0], hosts[1]
	if !owner.host.Keeps(sd.ProgramID(program)) {
		owner, peer = peer, owner
	}
	time.Sleep(300 * time.Millisecond)
	r.platform.SetFaults(faker.PlatformFaults{Away: true})
	answer := caller{owner, secret}.must(t, 200, "POST", "/v1/chat/completions", hello, "Sapphiredrum-Program", program)
	text, head, _ := events(t, answer.body)
	r.network.isolate(owner.settings.Peer)
	r.platform.SetFaults(faker.PlatformFaults{})
	var next reply
	r.eventually("the peer goes on from the copied head", func() bool {
		next, _ = caller{peer, secret}.send("POST", "/v1/chat/completions", hello, "Sapphiredrum-Program", program, "Sapphiredrum-Head", head)
		return next.status != 0 && next.status != http.StatusServiceUnavailable
	})
	history := []sd.Message{{Role: "user", Content: "hello"}, {Role: faker.Role, Content: text}, {Role: "user", Content: "hello"}}
	if got, _, done := events(t, next.body); !done || got != faker.Text(history, 8) {
		t.Fatalf("after the takeover: %d %s", next.status, next.body)
	}
	r.network.heal()
}
