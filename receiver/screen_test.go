package receiver_test

import (
	"bufio"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
	"sapphiredrum.example/sapphiredrum/receiver"
	"sapphiredrum.example/sapphiredrum/screener"
)

// screened returns an option that sets a Screener without a running writer, and the
// Screener.
func screened() (func(*receiver.Config), *screener.Screener) {
	s := screener.New(screener.Config{Store: faker.NewRows(1), Clock: sd.NewClock(), Log: zap.NewNop()})
	return func(c *receiver.Config) { c.Screener = s }, s
}

// Guards against a target that breaks its answers off, or resets connections, but goes on:
// no request is refused for it.
func TestBrokenAnswersAreNoCrashes(t *testing.T) {
	for _, how := range []emulator.Spoil{emulator.Cut, emulator.Lose, emulator.Fail, emulator.Unsigned} {
		for _, path := range []string{"/talk/x", "/ask/x", "/look/x", "/pay/x"} {
			option, s := screened()
			b := newBench(t, option)
			for _, target := range append(b.engines, b.desks...) {
				target.Spoil(func(string) emulator.Spoil { return how })
			}
			for n := range 6 {
				id := fmt.Sprint("r", n)
				if status, _, _, _ := b.ask("POST", path, id, "same body", "Program-Id", id); status == 503 {
					t.Fatalf("%s, fault %d: request %d answered 503", path, how, n)
				}
				if times, _ := b.ran(id); times == 0 {
					t.Fatalf("%s, fault %d: request %d did not run", path, how, n)
				}
			}
			if !s.Idle() {
				t.Errorf("%s, fault %d: crashes are counted", path, how)
			}
		}
	}
}

// A request is refused once three targets have refused connections after they broke off
// its runs; it runs no more, and others run.
func TestCrashesOfTargetsRefuseTheRequest(t *testing.T) {
	option, s := screened()
	b := newBench(t, option)
	for n := range 5 {
		var targets []*rawTarget
		targets = b.replaceTargets("desk", 1, func(*bufio.Writer, string) bool {
			if err := targets[0].listener.Close(); err != nil {
				t.Error(err)
			}
			return false
		})
		id := fmt.Sprint("r", n)
		status, h, _, _ := b.ask("POST", "/pay/x", id, "body")
		runs, _ := countRuns(targets, id)
		if n < 3 && (status != 502 || runs != 1) {
			t.Fatalf("request %d: answered %d after %d runs, want 502 after one", n, status, runs)
		}
		if n >= 3 && (status != 503 || runs != 0 || h.Get("Retry-After") == "") {
			t.Fatalf("request %d: answered %d after %d runs, Retry-After %q, want 503 and none", n, status, runs, h.Get("Retry-After"))
		}
	}
	b.replaceTargets("desk", 1, func(w *bufio.Writer, id string) bool {
		_, _ = fmt.Fprint(w, responseHead(id, "Content-Length: 2"), "\r\nok")
		return true
	})
	if status, _, text, _ := b.ask("POST", "/pay/x", "other", "another body"); status != 200 || text != "ok" {
		t.Errorf("another request: %d %q", status, text)
	}
	if s.Idle() {
		t.Error("nothing is counted")
	}
}

// A request that may be repeated is not sent again once its last run has had it refused, and
// a refused request is not charged to its workspace.
func TestRefusedRequestIsNotRepeatedOrCharged(t *testing.T) {
	option, _ := screened()
	b := newBench(t, option)
	for n, want := range []struct{ status, runs int }{{502, 2}, {502, 1}, {503, 0}} {
		// Each run crashes its target; the route allows two.
		var targets []*rawTarget
		var stops sync.Mutex
		targets = b.replaceTargets("desk", 2, func(_ *bufio.Writer, id string) bool {
			stops.Lock()
			defer stops.Unlock()
			for _, target := range targets {
				if target.body(id) != "" {
					_ = target.listener.Close()
				}
			}
			return false
		})
		b.meter.refuse = want.status == 503
		id := fmt.Sprint("r", n)
		status, _, _, _ := b.ask("POST", "/look/x", id, "body")
		if runs, _ := countRuns(targets, id); status != want.status || runs != want.runs {
			t.Errorf("request %d: answered %d after %d runs, want %d after %d", n, status, runs, want.status, want.runs)
		}
	}
}

// Guards against a sound request being refused as its targets left one after the other right after
// they had answered it: each refused the connection that was to confirm its answer.
func TestTargetsThatLeaveAfterTheirAnswerAreNoCrashes(t *testing.T) {
	for _, path := range []string{"/pay/x", "/talk/x"} {
		for _, leaving := range []bool{true, false} {
			option, s := screened()
			b := newBench(t, option)
			pool, lines := "desk", []string{"Content-Type: text/event-stream"}
			if path == "/talk/x" {
				pool = "engines"
			}
			if leaving {
				lines = append(lines, leavingHeader)
			}
			for n := range 3 {
				answer := func(id string) string { return responseHead(id, lines...) + "\r\n" + event(1, "one") }
				b.replaceByMortals(pool, 1, answer, whole)
				b.ask("POST", path, fmt.Sprint("r", n), "body", "Program-Id", fmt.Sprint("p", n))
			}
			if s.Idle() != leaving {
				t.Errorf("%s: targets leave %v, request suspected %v", path, leaving, !s.Idle())
			}
		}
	}
}

// Guards against a crash that is not counted, as the target's listener outlasted the connection
// of its broken answer by some milliseconds.
func TestCrashIsCountedThoughTheListenerOutlastsTheConnection(t *testing.T) {
	option, s := screened()
	b := newBench(t, option)
	b.replaceByMortals("desk", 1, func(id string) string { return responseHead(id, "Content-Length: 9") + "\r\nhalf" }, whole)
	if status, _, _, _ := b.ask("POST", "/pay/x", "r", "body"); status != 502 {
		t.Errorf("status %d, want 502", status)
	}
	for end := time.Now().Add(maxWait); s.Idle() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if s.Idle() {
		t.Error("crash not counted")
	}
}

// Guards against copies of a request that crashes its targets outrunning the count by coming
// together: after their first crashes, no more than three run.
func TestCopiesThatComeTogetherCrashFewTargets(t *testing.T) {
	option, _ := screened()
	b := newBench(t, option)
	runs := 0
	for round := range 4 {
		var targets []*rawTarget
		ready := make(chan struct{})
		targets = b.replaceTargets("desk", 3, func(_ *bufio.Writer, id string) bool {
			<-ready
			time.Sleep(50 * time.Millisecond)
			for _, target := range targets {
				if target.body(id) != "" {
					_ = target.listener.Close()
				}
			}
			return false
		})
		close(ready)
		var all sync.WaitGroup
		for n := range 3 {
			all.Go(func() { b.ask("POST", "/pay/x", fmt.Sprint("r", round, ".", n), "body") })
		}
		all.Wait()
		for n := range 3 {
			times, _ := countRuns(targets, fmt.Sprint("r", round, ".", n))
			if round > 0 {
				runs += times
			}
		}
	}
	if runs > 3 {
		t.Errorf("%d copies ran after the first crashes, three may", runs)
	}
}
