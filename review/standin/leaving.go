package main

import "time"

const (
	// outageTime is how long the store is down; the site's days have it down for 7 s.
	outageTime = 7 * time.Second
	// serveOn is how long a leaving runner serves on beyond the drain time: "a little longer
	// (at times many seconds)".
	serveOn = 2 * time.Second
	// payWork is the time that a call takes.
	payWork = 150 * time.Millisecond
)

// playLeaving has a runner leave that never reports so to the store: its entry is removed, and
// all its answers say that it leaves. With trouble, the store is down meanwhile.
func playLeaving(f *fleet, trouble bool) (bool, error) {
	f.plan(1000, 1000, usualIdle)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		for range 2 {
			if _, err := f.addRunner(zone, payWork); err != nil {
				return false, err
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
	c := f.newCallers()
	for _, h := range f.hosts {
		c.press(h, "/pay/1", `{"fee":12}`, 60*time.Millisecond, 3*time.Second, f.now()+outageTime+5*time.Second)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.write("store: down for %v", outageTime)
		f.store.set(func(storeCall) verdict { return refuse })
		time.AfterFunc(outageTime, func() {
			f.write("store: back")
			f.store.set(nil)
		})
	}
	time.Sleep(300 * time.Millisecond)
	g := f.runners[0]
	left := g.leave()
	time.Sleep(drainTime + serveOn)
	g.exit()
	return f.usedLeaving(c.wait(), left), nil
}

// leave has the runner leave without a report; it returns its id.
func (g *runner) leave() string {
	g.lock.Lock()
	g.leaving, g.silent = true, true
	id := g.id
	g.lock.Unlock()
	g.fleet.write("runner %s leaves: its entry is removed, its answers say so", id)
	g.fleet.store.remove("servers", id)
	return id
}

// usedLeaving reports whether a request that was sent later than the drain time after its host
// had passed on that the runner leaves ran at that runner.
func (f *fleet) usedLeaving(attempts []attempt, left string) bool {
	byID := map[string]attempt{}
	told := map[string]time.Duration{}
	for _, a := range attempts {
		byID[a.id] = a
		if at, known := told[a.host]; a.leaving && (!known || a.at < at) {
			told[a.host] = a.at
		}
	}
	broken, unanswered := 0, 0
	for _, a := range f.runners[0].ran() {
		from := byID[a.request]
		at, known := told[from.host]
		if a.runner != left || !known || from.sent <= at+drainTime {
			continue
		}
		broken++
		if from.status != 200 {
			unanswered++
		}
		f.write("DRAIN: %s, sent at %.3f s to %s, ran at %s; %s had passed on at %.3f s that it leaves; the client got %d",
			from.id, from.sent.Seconds(), from.host, left, from.host, at.Seconds(), from.status)
	}
	f.write("DRAIN: %d requests ran too late at the leaving runner, %d of them without success", broken, unanswered)
	f.write("answers by status: %v", statuses(attempts))
	return broken > 0
}
