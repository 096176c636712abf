package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// The clients of the case send large bodies of legal size.
const (
	largeClients = 80
	largeBytes   = 480000
	largeFor     = 12 * time.Second
	// largePause is the time before a failed turn is sent again.
	largePause = 100 * time.Millisecond
	outageFor  = 7 * time.Second
	// smallMemory is that of the smallest machines, in MB.
	smallMemory = 112
)

// outageCase has clients send turns with large bodies to each machine while the store is down.
func outageCase() {
	w := newWorld(plan(3000))
	w.addRunners(12, 3)
	w.addHosts(3, smallMemory)
	time.Sleep(9 * time.Second)
	for _, h := range w.hosts {
		go h.watch(w.done)
	}
	if trouble {
		note("the store is down for %v", outageFor)
		w.store.setDown(true)
		time.AfterFunc(outageFor, func() {
			w.store.setDown(false)
			note("the store is back")
		})
	}
	text := []byte(strings.Repeat("0123456789abcde\n", largeBytes/16))
	until := time.Now().Add(largeFor)
	var group sync.WaitGroup
	for _, h := range w.hosts {
		for i := range largeClients {
			group.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					id := fmt.Sprintf("%s-%d-%d", h.name, i, n)
					o := send(h, turn{id: id, key: key(i), program: "p" + id, usage: "80000,280", budget: "100000", body: text, limit: 1200 * time.Millisecond, aim: 10 * time.Second})
					if o.status != 200 {
						time.Sleep(largePause)
					}
				}
			})
		}
	}
	group.Wait()
	over := 0
	for _, h := range w.hosts {
		ends, peak := h.figures()
		note("%s: its processes have ended %d times and used %d MB at most, of %d MB", h.name, ends, peak, h.memoryMb)
		if ends > 0 {
			over++
		}
	}
	w.judge(over >= 2)
}
