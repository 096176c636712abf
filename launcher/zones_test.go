package launcher_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// noticeTime is what "a few seconds" may last before new work must have
// stopped: the 6 s in which a change is in force everywhere, and a call's queue.
const noticeTime = 7 * time.Second

// A zone taken out receives no new work after a few seconds, its programs go on
// elsewhere without a refusal, and it gets work again when it is back.
func TestZoneOutAndIn(t *testing.T) {
	r := newRig(t)
	hosts := []*running{r.start("h1", "z1"), r.start("h2", "z1"), r.start("h3", "z2"), r.start("h4", "z2")}
	r.settle()
	stop := make(chan struct{})
	s := &tally{}
	group := load(6, stop, func(n int) *running { return hosts[n%4] }, s)
	defer group.Wait()
	defer close(stop)
	r.eventually("both zones work", func() bool {
		return r.engines["e1"].Counters().Starts > 5 && r.engines["e2"].Counters().Starts > 5
	})
	r.plan("z1", true)
	time.Sleep(noticeTime)
	before := r.engines["e1"].Counters().Starts
	served := s.whole.Load()
	time.Sleep(2 * time.Second)
	if after := r.engines["e1"].Counters().Starts; after != before {
		t.Errorf("the zone that is out received %d new calls", after-before)
	}
	if s.whole.Load() == served || s.cut.Load()+s.refused.Load() > 0 {
		t.Errorf("service while the zone is out: %v", s)
	}
	r.plan("z1", false)
	r.eventually("the zone works again", func() bool { return r.engines["e1"].Counters().Starts > before })
	if s.cut.Load()+s.refused.Load() > 0 {
		t.Errorf("service after the zone returned: %v", s)
	}
}

func (r *rig) plan(zone sd.ZoneName, out bool) {
	for i := range r.sheet.Zones {
		if r.sheet.Zones[i].Name == zone {
			r.sheet.Zones[i].Drained = out
		}
	}
	r.commit("plan")
}

// A target that the platform lists as leaving receives no new work after a few
// seconds; what it runs ends whole.
func TestLeavingTarget(t *testing.T) {
	r := newRig(t)
	hosts := []*running{r.start("h1", "z1"), r.start("h2", "z2")}
	r.settle()
	stop := make(chan struct{})
	s := &tally{}
	group := load(4, stop, func(n int) *running { return hosts[n%2] }, s)
	defer group.Wait()
	defer close(stop)
	r.eventually("both targets work", func() bool {
		return r.engines["e1"].Counters().Starts > 5 && r.engines["e2"].Counters().Starts > 5
	})
	var leaving sd.Address
	for _, target := range r.sheet.Targets {
		if target.ID == "e2" {
			leaving = target.Address
		}
	}
	r.platform.SetMembers([]sd.Member{{Address: leaving, Leaving: true}})
	time.Sleep(noticeTime)
	before := r.engines["e2"].Counters().Starts
	time.Sleep(2 * time.Second)
	if after := r.engines["e2"].Counters().Starts; after != before {
		t.Errorf("the leaving target received %d new calls", after-before)
	}
	if s.cut.Load()+s.refused.Load() > 0 {
		t.Errorf("service while a target leaves: %v", s)
	}
}

// An island: a zone cut off from the others and from the platform goes on
// serving its own programs and admits by its own share of the rate.
func TestIslandZone(t *testing.T) {
	r := newRig(t)
	hosts := []*running{r.start("h1", "z1"), r.start("h2", "z1"), r.start("h3", "z2"), r.start("h4", "z2")}
	r.settle()
	r.network.set("z1", "z2", true)
	r.network.set("z1", platformZone, true)
	defer r.network.heal()
	time.Sleep(4 * time.Second)
	for _, h := range []*running{hosts[0], hosts[2]} {
		var s tally
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() { drive(caller{h, secret}, 3, &s) })
		}
		group.Wait()
		if s.whole.Load() != 12 {
			t.Errorf("host %s: %v", h.settings.Name, &s)
		}
	}
}

// A key that is withdrawn while a zone hears only its peers stops working there
// too: the zone next door reaches the platform.
func TestWithdrawnKeyThroughPeer(t *testing.T) {
	r := newRig(t)
	hosts := []*running{r.start("h1", "z1"), r.start("h2", "z2")}
	r.settle()
	r.network.set("z1", platformZone, true)
	defer r.network.heal()
	caller{hosts[0], secret}.must(t, http.StatusNotFound, "GET", "/programs/z9.1.none", "")
	r.sheet.Keys[0].Revoked = true
	r.commit("withdrawn")
	deadline := time.Now().Add(6 * time.Second)
	for {
		answer, err := caller{hosts[0], secret}.send("GET", "/programs/z1.1.none", "")
		if err == nil && answer.status == http.StatusUnauthorized {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the key still works: %+v, %v", answer, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A target that turns cold without warning gets no more than it bears.
func TestColdAgainWithoutWarning(t *testing.T) {
	r := newRig(t)
	hosts := []*running{r.start("h1", "z1"), r.start("h2", "z2")}
	r.settle()
	stop := make(chan struct{})
	s := &tally{}
	group := load(16, stop, func(n int) *running { return hosts[n%2] }, s)
	for range 4 {
		time.Sleep(time.Second)
		r.engines["e1"].Restart()
	}
	close(stop)
	group.Wait()
	counters := r.engines["e1"].Counters()
	t.Log(s, counters.Overloads, counters.Collapses)
	if counters.Overloads > 0 {
		t.Errorf("%d calls too many reached the cold target", counters.Overloads)
	}
}
