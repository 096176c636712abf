package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"sapphiredrum.example/sapphiredrum/faker"
)

const (
	// smallMachine is the memory of the smallest machines on the pages, in megabytes.
	smallMachine = 112
	// largeBytes is a legal size of a body, below the limit of 4,194,304 bytes.
	largeBytes = 480_000
	// maxWaves bounds the waves of a flood.
	maxWaves = 6
	// wavePause is the pause between two waves.
	wavePause = time.Second
	// tryPause is the pause between two tries of a turn, and firstTries bounds them.
	tryPause, firstTries = 400 * time.Millisecond, 20
)

// startMachines adds machines and waits until they have run for a while.
func (w *world) startMachines(zone string, count int) error {
	if err := w.addMachines(zone, smallMachine, count); err != nil {
		return err
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// wave sends turns at once and records their answers.
func (w *world) wave(name string, count int, next func(n int) (turn, *machine)) {
	var answers tally
	var group sync.WaitGroup
	before := w.ran.Load()
	for n := range count {
		group.Go(func() {
			t, m := next(n)
			answers.add(t.send(m))
		})
	}
	group.Wait()
	w.say("%s: %d sent, %d run; %v", name, count, w.ran.Load()-before, &answers)
}

// playEnds has many turns end at once whose inputs are large and take six times their size in JSON.
func playEnds(w *world, trouble bool) (int, error) {
	const clients = 150
	if err := w.startMachines("z", 3); err != nil {
		return couldNot, err
	}
	size := usualBytes
	if trouble {
		size = largeBytes
	}
	input := bytes.Repeat([]byte("<"), size)
	w.say("waves of %d first turns with inputs of %d bytes", clients, size)
	return w.watched(func() error {
		for i := range maxWaves {
			w.wave(fmt.Sprintf("wave %d", i), clients, func(n int) (turn, *machine) {
				return turn{
					id: fmt.Sprintf("t-%d-%d", i, n), key: keyOf(n), program: fmt.Sprintf("p-%d-%d", i, n), session: "s", input: input, limit: 4 * time.Second,
				}, w.machines[n%len(w.machines)]
			})
			time.Sleep(wavePause)
			if err := w.awaitReady(); err != nil {
				return err
			}
		}
		return nil
	})
}

// playHistories has programs with long histories go on through other machines at once.
func playHistories(w *world, trouble bool) (int, error) {
	const programs, turns, atOnce, waves = 200, 3, 8, 16
	if err := w.startMachines("z", 3); err != nil {
		return couldNot, err
	}
	size := usualBytes
	if trouble {
		size = largeBytes
	}
	last := make([]string, programs)
	return w.watched(func() error {
		w.say("%d programs say %d turns of %d bytes each through %s", programs, turns, size, w.machines[0].name)
		var group sync.WaitGroup
		work := make(chan int, programs)
		for n := range programs {
			work <- n
		}
		close(work)
		for range atOnce {
			group.Go(func() {
				for n := range work {
					last[n] = w.begin(n, turns, size)
				}
			})
		}
		group.Wait()
		for n, id := range last {
			if id == "" {
				return fmt.Errorf("%w: a turn of program %d was not served", errSetup, n)
			}
		}
		for i := 0; i < waves && !w.faulty(); i++ {
			w.wave(fmt.Sprintf("wave %d of turns that go on through each of the other machines", i), 2*programs, func(n int) (turn, *machine) {
				return turn{
					id: fmt.Sprintf("on-%d-%d", i, n), key: keyOf(n / 2), program: fmt.Sprintf("p-%d", n/2), session: "s", previous: last[n/2],
					input: bytes.Repeat([]byte("a"), usualBytes), limit: 4 * time.Second,
				}, w.machines[1+n%2]
			})
			time.Sleep(wavePause)
			if err := w.awaitReady(); err != nil {
				return err
			}
		}
		return nil
	})
}

// begin says the first turns of a program through the first machine, and returns the last one's id.
func (w *world) begin(n, turns, size int) string {
	previous := ""
	for i := range turns {
		t := turn{key: keyOf(n), program: fmt.Sprintf("p-%d", n), session: "s", previous: previous, input: bytes.Repeat([]byte("a"), size), limit: 4 * time.Second}
		served := false
		for try := 0; try < firstTries && !served; try++ {
			t.id = fmt.Sprintf("t-%d-%d-%d", n, i, try)
			if served = t.send(w.machines[0]).served(); !served {
				time.Sleep(tryPause)
			}
		}
		if !served {
			return ""
		}
		previous = t.id
	}
	return previous
}

// playOutages sends first turns with large inputs through the machines of one zone, in outages of
// the store.
func playOutages(w *world, trouble bool) (int, error) {
	const (
		outages, rate, limit = 4, 150, 500 * time.Millisecond
		// grantTime is how long a new deployment takes until it allots tokens.
		grantTime = 6 * time.Second
		length    = 7 * time.Second
		calm      = 8 * time.Second
	)
	if err := w.startMachines("a", 3); err != nil {
		return couldNot, err
	}
	if err := w.startMachines("b", 2); err != nil {
		return couldNot, err
	}
	time.Sleep(grantTime)
	input := bytes.Repeat([]byte("a"), largeBytes)
	return w.watched(func() error {
		for i := range outages {
			if trouble {
				w.rows.Trouble(faker.RowsTrouble{Silent: true})
				w.say("the store is silent")
			}
			var answers tally
			var group sync.WaitGroup
			before := w.ran.Load()
			ticker := time.NewTicker(time.Second / rate)
			until := time.Now().Add(length)
			for n := 0; time.Now().Before(until); n++ {
				<-ticker.C
				group.Go(func() {
					t := turn{id: fmt.Sprintf("t-%d-%d", i, n), key: keyOf(n), program: fmt.Sprintf("p-%d-%d", i, n), session: "s", input: input, limit: limit}
					answers.add(t.send(w.machines[3+n%2]))
				})
			}
			ticker.Stop()
			w.rows.Trouble(faker.RowsTrouble{})
			w.say("the store is well")
			group.Wait()
			w.say("turns of the last %v: %d run; %v", length, w.ran.Load()-before, &answers)
			time.Sleep(calm)
			if err := w.awaitReady(); err != nil {
				return err
			}
		}
		return nil
	})
}
