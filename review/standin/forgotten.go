package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

const (
	// allowedRate and allowedBurst are the tenant's allowance.
	allowedRate, allowedBurst = 60, 60
	// floodPace is the time between two requests of the tenant at each host: all hosts together
	// get 4.5 times the tenant's rate, at most 7.5 times its usual.
	floodPace = 11 * time.Millisecond
	floodTime = 12 * time.Second
	// turnPace is the time between two turns at each of the hosts that run on, for rollTime.
	turnPace, rollTime = 100 * time.Millisecond, 8 * time.Second
	// calmTime is the time without any trouble before that.
	calmTime = 40 * time.Second
)

// playForgotten restarts one host. With trouble, the answer of one of the store's writes is lost
// meanwhile, and the write takes effect seconds later. Long after that, one tenant sends many times
// its usual.
func playForgotten(f *fleet, trouble bool) (bool, error) {
	f.plan(allowedRate, allowedBurst, usualIdle)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		for range 2 {
			if _, err := f.addRunner(zone, 20*time.Millisecond); err != nil {
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
	turns := f.newCallers()
	for _, h := range f.hosts[1:] {
		turns.press(h, "/talk/1", "hello", turnPace, 3*time.Second, f.now()+rollTime)
	}
	if err := f.roll(f.hosts[0], trouble); err != nil {
		return false, err
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	f.write("turns at the other hosts meanwhile, by status: %v", statuses(turns.wait()))
	f.write("the tenant sends many times its usual")
	c := f.newCallers()
	for _, h := range f.hosts {
		c.press(h, "/look/1", "", floodPace, 1200*time.Millisecond, f.now()+floodTime)
	}
	f.write("answers by status: %v", statuses(c.wait()))
	return f.overAllowance(), nil
}

// roll restarts a host as the platform does. With trouble, the host's removal of its row has
// its answer lost and is performed later.
func (f *fleet) roll(h *host, trouble bool) error {
	if trouble {
		f.store.set(func(call storeCall) verdict {
			if slices.Contains(call.removes, "status") {
				return late
			}
			return serve
		})
	}
	h.signal(syscall.SIGTERM)
	if err := h.waitEnded(); err != nil {
		return err
	}
	if trouble {
		calls, lost := f.store.counts()
		f.write("store: %d of %d writes lost while %s stopped", lost, calls, h.name)
		f.store.set(nil)
	}
	time.Sleep(300 * time.Millisecond)
	if err := h.start(); err != nil {
		return err
	}
	time.Sleep(1300 * time.Millisecond)
	return nil
}

// overAllowance reports whether more of the tenant's requests ran in some window than its
// allowance lets.
func (f *fleet) overAllowance() bool {
	var times []time.Duration
	for _, g := range f.runners {
		for _, a := range g.ran() {
			times = append(times, a.at)
		}
	}
	slices.Sort(times)
	most, first := 0, time.Duration(0)
	for i, j := 0, 0; i < len(times); i++ {
		for times[i]-times[j] > window {
			j++
		}
		if i-j+1 > most {
			most, first = i-j+1, times[j]
		}
	}
	bound := (allowedRate*window.Seconds()+allowedBurst)*(1+overshoot) + slack
	f.write("QUOTA: %d requests ran within %v from %.3f s, allowed %v", most, window, first.Seconds(), fmt.Sprintf("%.0f", bound))
	return float64(most) > bound
}
