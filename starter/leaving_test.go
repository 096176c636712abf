package starter_test

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against a host that knows that a target leaves carrying requests of other hosts
// to it through tunnels.
func TestNoTunnelLeadsToATargetThatLeaves(t *testing.T) {
	s := newSite(t)
	p := newPartition()
	p.cut(refusing)
	cut, _, _ := s.hostOver("h1", p)
	sound, _, _ := s.host("h2")
	client := &http.Client{}
	leaving := s.targets[3]
	leaving.Leave()
	// Several requests at once are sent to both targets.
	askMany(sound, "sound", 10)
	before := len(leaving.Runs())
	if before == 0 {
		t.Fatal("the other host has not been told that the target leaves")
	}
	served, sent := 0, 0
	for n := range 40 {
		sent++
		if ask(client, cut, "/look/x", fmt.Sprint("cut", n)) {
			served++
		}
	}
	if after := len(leaving.Runs()); after != before {
		t.Errorf("%d requests came through tunnels", after-before)
	}
	if 2*served < sent {
		t.Errorf("%d of %d requests were served by the other target", served, sent)
	}
}
