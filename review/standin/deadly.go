package main

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// deadlyBody is the body of the request that crashes its runners.
	deadlyBody = `{"fee":-1}`
	// crashTime is how long a crashed runner is down: "some seconds".
	crashTime = 2500 * time.Millisecond
	// deadlyAgain is the time until the request comes again, deadlyRounds how often it does.
	deadlyAgain  = 5 * time.Second
	deadlyRounds = 5
	// mostRetries is how many retries may reach runners.
	mostRetries = 3
)

// playDeadly sends the same request to all machines at once, and again some seconds later. With
// trouble, it crashes each runner that begins to run it.
func playDeadly(f *fleet, trouble bool) (bool, error) {
	f.plan(1000, 1000, usualIdle)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		for range 4 {
			g, err := f.addRunner(zone, 50*time.Millisecond)
			if err != nil {
				return false, err
			}
			if trouble {
				g.before = crashOnDeadly
			}
		}
		if _, err := f.addHost("frontend-"+zone, zone); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	deadly := f.newCallers()
	for range deadlyRounds {
		for _, h := range f.hosts {
			deadly.running.Go(func() { deadly.call(h, "/pay/deadly", deadlyBody, 3*time.Second) })
		}
		time.Sleep(deadlyAgain)
	}
	return f.triedAgain(deadly.wait(), trouble), nil
}

// crashOnDeadly crashes the runner once it has begun to run the deadly request.
func crashOnDeadly(g *runner, _ http.ResponseWriter, r *http.Request) bool {
	if !strings.HasSuffix(r.URL.Path, "/deadly") {
		return true
	}
	g.lock.Lock()
	name := g.id
	g.lock.Unlock()
	g.begin(r.Header.Get("Request-Id"), name)
	time.Sleep(20 * time.Millisecond)
	g.fleet.write("runner %s crashes", name)
	g.crash()
	time.AfterFunc(crashTime, func() {
		g.fleet.store.remove("servers", name)
		if err := g.start(); err != nil {
			g.fleet.write("runner does not start again: %v", err)
		}
	})
	return false
}

// triedAgain reports whether the deadly request reached runners in more than three retries that
// were sent later than the time of contact after it had crashed the third.
func (f *fleet) triedAgain(attempts []attempt, trouble bool) bool {
	sent := map[string]time.Duration{}
	for _, a := range attempts {
		sent[a.id] = a.sent
	}
	var runs []arrival
	for _, g := range f.runners {
		runs = append(runs, g.ran()...)
	}
	f.write("answers by status: %v; %d runs", statuses(attempts), len(runs))
	if !trouble {
		return false
	}
	return f.countLate(runs, sent) > mostRetries
}

// countLate counts the runs that were sent too late after the third crash.
func (f *fleet) countLate(runs []arrival, sent map[string]time.Duration) int {
	if len(runs) < mostRetries {
		return 0
	}
	slices.SortFunc(runs, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	third, late := runs[2].at+20*time.Millisecond, 0
	for _, a := range runs {
		if sent[a.request] > third+contact {
			late++
			f.write("BUDGET: %s, sent at %.3f s, reached %s; the third runner had crashed at %.3f s", a.request, sent[a.request].Seconds(), a.runner, third.Seconds())
		}
	}
	f.write("BUDGET: %d retries reached runners later than %v after the third crash, allowed %d", late, contact, mostRetries)
	return late
}
