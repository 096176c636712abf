package starter_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

// log returns a host's log: a file in the folder that HOST_LOGS names, or none.
func (s *site) log(name string) *zap.Logger {
	folder := os.Getenv("HOST_LOGS")
	if folder == "" {
		return zap.NewNop()
	}
	config := zap.NewProductionConfig()
	config.OutputPaths = []string{filepath.Join(folder, strings.ReplaceAll(s.t.Name(), "/", "-")+"-"+name+".log")}
	log, err := config.Build()
	if err != nil {
		s.t.Fatal(err)
	}
	return log
}

const rolloutSettings = "[rollout]\nshare = 0.1\nslack = 50\nback = 5000\n"

// rolloutSite is a site whose desks get a second version.
type rolloutSite struct {
	*site
	fresh []*emulator.Target
	sent  atomic.Int64
	// failed counts requests without a whole answer.
	failed atomic.Int64
	ran    sync.WaitGroup
	stop   chan struct{}
}

// newRolloutSite starts hosts and two targets of v2 with a fault, and callers.
func newRolloutSite(t *testing.T, hosts int, bad emulator.Bad) *rolloutSite {
	s := &rolloutSite{site: newSite(t), stop: make(chan struct{})}
	s.settings = rolloutSettings
	var addresses []string
	for i := range hosts {
		callers, _, _ := s.host(fmt.Sprintf("h%d", i))
		addresses = append(addresses, callers)
	}
	s.addFresh(bad)
	for i := range 9 {
		s.ran.Add(1)
		go func() {
			defer s.ran.Done()
			s.call(addresses[i%hosts], i)
		}()
	}
	t.Cleanup(s.end)
	return s
}

// addFresh registers two targets of v2.
func (s *rolloutSite) addFresh(bad emulator.Bad) {
	for i := range 2 {
		target := &emulator.Target{ID: sd.TargetID(fmt.Sprintf("n-%d", i)), Pause: 10, Version: "v2"}
		target.SetBad(bad)
		at := httptest.NewServer(target)
		s.t.Cleanup(at.Close)
		s.fresh = append(s.fresh, target)
		s.rows.Write(sd.RecordKey{Table: platform.TargetTable, Key: string(target.ID)},
			target.Registration("desk", "z", sd.Address(strings.TrimPrefix(at.URL, "http://")), 8, "ready"))
	}
}

// call sends requests to a host on two routes until the site ends.
func (s *rolloutSite) call(host string, caller int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		path := []string{"/look/x", "/pay/x"}[i%2]
		req, err := http.NewRequest(http.MethodPost, host+path, strings.NewReader("in"))
		if err != nil {
			s.t.Error(err)
			return
		}
		req.Host = "h.example"
		req.Header.Set("Request-Id", fmt.Sprintf("r-%d-%d", caller, i))
		req.Header.Set("Key", "k1")
		req.Header.Set("Deadline-Ms", "3000")
		answer, err := client.Do(req)
		s.sent.Add(1)
		if err != nil {
			s.failed.Add(1)
			continue
		}
		if _, err = io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != 200 {
			s.failed.Add(1)
		}
		_ = answer.Body.Close()
	}
}

func (s *rolloutSite) end() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	s.ran.Wait()
}

func (s *rolloutSite) order(to sd.Version, durationS float64) {
	emulator.WriteOrder(func(key sd.RecordKey, value []byte) { s.rows.Write(key, value) }, "desk", to, durationS)
}

func (s *rolloutSite) state() (sd.RolloutState, sd.Version) {
	return platform.DecodeRolloutState(s.rows.Row(platform.RolloutStateKey("desk")).Value)
}

// await waits for a state and returns how long it took.
func (s *rolloutSite) await(want sd.RolloutState, limit time.Duration) time.Duration {
	s.t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if state, _ := s.state(); state == want {
			return time.Since(began)
		}
		time.Sleep(20 * time.Millisecond)
	}
	state, to := s.state()
	s.t.Fatalf("not %s within %v: %q to %q; %d requests, %d to the new version", want, limit, state, to, s.sent.Load(), runs(s.fresh))
	return 0
}

func runs(targets []*emulator.Target) (n int) {
	for _, target := range targets {
		for _, count := range target.Runs() {
			n += count
		}
	}
	return n
}

// Guards against a good version that is not completed within its time limit, and against
// `completed` while requests run on the old targets, which are stopped at once then.
func TestGoodVersionIsCompleted(t *testing.T) {
	t.Parallel()
	s := newRolloutSite(t, 3, emulator.Bad{})
	const limit = 16
	s.order("v2", limit)
	time.Sleep(5 * time.Second)
	if all, fresh := s.sent.Load(), runs(s.fresh); fresh == 0 || float64(fresh) > 0.1*float64(all)+50 {
		t.Errorf("%d of %d requests went to the new version while it was watched", fresh, all)
	}
	took := s.await(sd.RolloutCompleted, (limit-5)*time.Second)
	before := runs(s.targets[2:])
	running := s.targets[2].Running() + s.targets[3].Running()
	time.Sleep(500 * time.Millisecond)
	if after := runs(s.targets[2:]); running > 0 || after > before {
		t.Errorf("%d requests ran on old targets at completed, %d were sent to them later", running, after-before)
	}
	s.end()
	t.Logf("completed after %v; %d requests, %d to the new version, %d failed", took+5*time.Second, s.sent.Load(), runs(s.fresh), s.failed.Load())
	if n := s.failed.Load(); n > 0 {
		t.Errorf("%d requests failed, though both versions are good", n)
	}
}

// Guards against bad versions that get more requests than the bound, or that are not rolled back.
func TestBadVersionsAreRolledBack(t *testing.T) {
	// Requests move after 8 s, and the rollout is completed after 12 s.
	after := map[string]time.Duration{"fails late": 5 * time.Second, "fails once all move": 9500 * time.Millisecond}
	for name, bad := range map[string]emulator.Bad{
		"a third fails":       {Spoil: emulator.Fail, Share: 0.3},
		"a third breaks off":  {Spoil: emulator.Cut, Share: 0.3},
		"half is slow":        {Slow: 6, Share: 0.5},
		"one route fails":     {Spoil: emulator.Fail, Share: 0.5, Prefix: "/pay/"},
		"fails late":          {Spoil: emulator.Fail, Share: 0.4},
		"fails under load":    {Spoil: emulator.Fail, Share: 0.5, Load: 2},
		"fails once all move": {Spoil: emulator.Fail, Share: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad.From = time.Now().Add(time.Hour)
			s := newRolloutSite(t, 3, bad)
			s.order("v2", 16)
			bad.From = time.Now().Add(after[name])
			for _, target := range s.fresh {
				target.SetBad(bad)
			}
			s.checkRolledBack(name == "fails once all move")
		})
	}
}

// Guards against a version that is completed although it turns bad just before: the times of its fault
// count from the test's own start, so that it falls between the last report and the completion. Known
// red: what hosts learn in the last second comes too late (docs/design/rollouts.md).
func TestVersionsThatTurnBadJustBeforeTheEndAreRolledBack(t *testing.T) {
	for name, bad := range map[string]emulator.Bad{
		"fails late":          {Spoil: emulator.Fail, Share: 0.4, From: time.Now().Add(6 * time.Second)},
		"fails once all move": {Spoil: emulator.Fail, Share: 0.5, From: time.Now().Add(11500 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t, 3, bad)
			s.order("v2", 16)
			s.checkRolledBack(name == "fails once all move")
		})
	}
}

// checkRolledBack waits until a version is rolled back, and checks that it got no more requests than
// it may. Moved tells that it turned bad after all requests had moved to it.
func (s *rolloutSite) checkRolledBack(moved bool) {
	s.t.Helper()
	took := s.await(sd.RolloutRolledBack, 16*time.Second)
	time.Sleep(300 * time.Millisecond)
	before := runs(s.fresh)
	time.Sleep(700 * time.Millisecond)
	if after := runs(s.fresh); after > before {
		s.t.Errorf("%d requests went to the new version after it was rolled back", after-before)
	}
	s.end()
	answers := 0
	for _, target := range s.fresh {
		answers += target.BadAnswers()
	}
	s.t.Logf("rolled back after %v; %d requests, %d to the new version, %d bad answers", took, s.sent.Load(), before, answers)
	// The rate is that of the whole time limit; all requests have moved in the one case.
	if all := float64(s.sent.Load()) * 16 / min(max(took.Seconds(), 1), 16); !moved && float64(before) > 0.1*all+50 {
		s.t.Errorf("%d of %.0f requests went to a bad version", before, all)
	}
}

// Guards against a rollback that needs the store: while it is down, hosts learn of the evidence from
// one another, and the state is written once it is back. Guards as well against an order that cannot
// be meant and disturbs the service.
func TestBadVersionIsRolledBackDuringAnOutage(t *testing.T) {
	t.Parallel()
	s := newRolloutSite(t, 3, emulator.Bad{Spoil: emulator.Fail, Share: 0.4, From: time.Now().Add(5 * time.Second)})
	s.rows.Write(platform.RolloutOrderKey("nowhere"), []byte(`{"service":"nowhere","to":"v2","durationS":5}`))
	s.rows.Write(platform.RolloutOrderKey("engines"), []byte(`{"service":"engines","to":"v2","durationS":0}`))
	s.order("v2", 60)
	s.await(sd.RolloutRunning, 3*time.Second)
	time.Sleep(3 * time.Second)
	s.rows.Trouble(faker.RowsTrouble{Down: true})
	time.Sleep(6 * time.Second)
	before := runs(s.fresh)
	time.Sleep(time.Second)
	if after := runs(s.fresh); after > before || before == 0 {
		t.Errorf("%d requests went to a bad version, then %d more, while the store was down", before, after-before)
	}
	s.rows.Trouble(faker.RowsTrouble{})
	s.await(sd.RolloutRolledBack, 4*time.Second)
	for _, pool := range []sd.GroupName{"nowhere", "engines"} {
		if row := s.rows.Row(platform.RolloutStateKey(pool)); row.Version != 0 {
			t.Errorf("an order for %s that is to be ignored has the state %s", pool, row.Value)
		}
	}
}
