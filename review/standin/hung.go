package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// hungHosts is the number of hosts.
	hungHosts = 72
	// downTime and upTime are how long the store is down, and up again.
	downTime, upTime = 900 * time.Millisecond, 1200 * time.Millisecond
	// outages bounds how often the store is down.
	outages = 40
	// crowdPace is the time between two requests to each host: many users come at once.
	crowdPace = 18 * time.Millisecond
	// keptChannels is the number of channels that clients keep to each host.
	keptChannels = 10
	// lookTimeout is the timeoutMs of the route, answerGrace what the rule leaves beyond it.
	lookTimeout, answerGrace = 1200 * time.Millisecond, 500 * time.Millisecond
	// mostUnanswered is the number of requests without an answer from which the rule counts.
	mostUnanswered = 8
)

// playHung has the store down again and again, until a host answers no more or the store has been
// down often enough. Later than the time of contact after that, clients use their kept channels.
func playHung(f *fleet, trouble bool) (bool, error) {
	f.plan(10000, 10000, 60000)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range hungHosts {
		zone := zones[i%len(zones)]
		if i < 6 {
			g, err := f.addRunner(zone, 5*time.Millisecond)
			if err != nil {
				return false, err
			}
			g.quiet = true
		}
		if _, err := f.addHost(fmt.Sprintf("frontend-%s-%d", zone, i/len(zones)+1), zone); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	kept := f.newCallers()
	f.useKept(kept)
	load := f.newCallers()
	load.quiet = true
	for _, h := range f.hosts {
		load.press(h, "/look/1", "", crowdPace, lookTimeout, f.now()+outages*(downTime+upTime))
	}
	for i := 1; i <= outages && len(f.unready()) == 0; i++ {
		if trouble {
			f.write("store: down for the %dth time, for %v", i, downTime)
			f.store.set(func(storeCall) verdict { return refuse })
		}
		time.Sleep(downTime)
		f.store.set(nil)
		time.Sleep(upTime)
	}
	load.stop()
	f.write("hosts that do not say that they are ready: %v", f.unready())
	time.Sleep(contact + time.Second)
	f.write("the store has been up for longer than %v; clients use their kept channels", contact)
	before := len(kept.wait())
	f.useKept(kept)
	broken := f.unanswered(kept.wait()[before:])
	for _, name := range f.unready() {
		f.dump(name)
	}
	return broken, nil
}

// useKept sends a request on each of the channels that clients keep.
func (f *fleet) useKept(c *callers) {
	for _, h := range f.hosts {
		for range keptChannels {
			c.running.Go(func() { c.call(h, "/look/kept", "", lookTimeout+2*answerGrace) })
		}
	}
	c.running.Wait()
}

// unready returns the hosts that the platform would take out: two questions in a row are not
// answered with 200.
func (f *fleet) unready() []string {
	var lock sync.Mutex
	var names []string
	var asked sync.WaitGroup
	for _, h := range f.hosts {
		asked.Go(func() {
			if !h.ready() && !h.ready() {
				lock.Lock()
				names = append(names, h.name)
				lock.Unlock()
			}
		})
	}
	asked.Wait()
	return names
}

// unanswered reports whether of the requests that have no answer at the time-out of their route
// more than half, and at least eight, have none half a second later.
func (f *fleet) unanswered(attempts []attempt) bool {
	open, late := 0, 0
	for _, a := range attempts {
		if a.status != 0 && a.at-a.sent <= lookTimeout {
			continue
		}
		open++
		if a.status == 0 || a.at-a.sent > lookTimeout+answerGrace {
			late++
			f.write("CONFIG: %s, sent at %.3f s to %s, has no answer %.3f s later", a.id, a.sent.Seconds(), a.host, (a.at - a.sent).Seconds())
		}
	}
	f.write("CONFIG: of %d requests, %d had no answer at %v, and %d none %v later", len(attempts), open, lookTimeout, late, answerGrace)
	return late >= mostUnanswered && 2*late > open
}

// dump records where a process that does not answer stands.
func (f *fleet) dump(name string) {
	for _, h := range f.hosts {
		if h.name != name {
			continue
		}
		h.signal(syscall.SIGQUIT)
		if err := h.waitEnded(); err != nil {
			f.write("%v", err)
			return
		}
		content, err := os.ReadFile(filepath.Join(f.folder, h.name+".log"))
		if err != nil {
			f.write("%v", err)
			return
		}
		for stack := range strings.SplitSeq(string(content), "\n\n") {
			if strings.Contains(stack, "gossiper.(*Gossiper).accept") || strings.Contains(stack, "relayer.(*Relay).note") {
				f.write("%s stands at:\n%s", name, stack)
			}
		}
	}
}
