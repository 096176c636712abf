package starter_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"sapphiredrum.example/sapphiredrum/platform"
)

// Guards against a partition of the host being taken for crashes of its targets: the
// connections are reset and new ones refused, as those of a crashed target, and requests that
// ran there would be refused for minutes by all hosts.
func TestPartitionIsNotACrashOfTheTargets(t *testing.T) {
	s := newSite(t)
	p := newPartition()
	cut, _, _ := s.hostOver("h1", p)
	s.host("h2")
	// The hosts must have heard of one another.
	time.Sleep(500 * time.Millisecond)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var running sync.WaitGroup
	for i := range 40 {
		running.Go(func() { ask(client, cut, "/ask/x", fmt.Sprint("r", i)) })
		if i == 20 {
			time.Sleep(15 * time.Millisecond)
			p.cut(resetting)
		}
	}
	running.Wait()
	time.Sleep(time.Second)
	page, err := s.rows.List(t.Context(), platform.CrashTable, "", "", "")
	if err != nil {
		t.Fatal(err)
	}
	if n := len(page.Records); n > 0 {
		t.Errorf("%d counts of crashes, but no target has crashed", n)
	}
}
