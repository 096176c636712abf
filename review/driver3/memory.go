package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// lookEvery is how often the platform looks at the memory of the processes.
	lookEvery = 5 * time.Millisecond
	// restartPause is how long after its end a process is started again.
	restartPause = 500 * time.Millisecond
	// endsOfFault is how often processes of one machine must end, and machinesOfFault on how many,
	// for a fault.
	endsOfFault, machinesOfFault = 3, 2
)

// anonymous returns the memory of a process that no file backs, in bytes: less than all that counts
// on a machine.
func anonymous(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			if kilobytes, err := strconv.Atoi(strings.Fields(value)[0]); err == nil {
				return kilobytes << 10
			}
		}
	}
	return 0
}

// enforce kills processes that exceed the memory of their machine and starts them again, as the
// platform does, until ctx ends.
func (w *world) enforce(ctx context.Context, watched *sync.WaitGroup) {
	for _, m := range w.machines {
		watched.Go(func() {
			ticker := time.NewTicker(lookEvery)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				w.look(m)
			}
		})
	}
}

// look kills the process of a machine if it has too much memory, and starts it again.
func (w *world) look(m *machine) {
	process, _ := m.current()
	if process == nil {
		return
	}
	n := anonymous(process.Pid)
	m.most = max(m.most, n)
	if n <= m.memory<<20 {
		return
	}
	m.lock.Lock()
	m.exceeded++
	m.lock.Unlock()
	w.say("%s: the process has %.1f MB of %d MB and is killed, time %d", m.name, float64(n)/(1<<20), m.memory, m.ends())
	m.kill()
	time.Sleep(restartPause)
	if err := m.start(); err != nil {
		w.say("%s: cannot be started again: %v", m.name, err)
	}
}

// ends returns how often a process of the machine was killed for its memory.
func (m *machine) ends() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.exceeded
}

// faulty reports whether processes of two machines have ended three times for their memory.
func (w *world) faulty() bool {
	machines := 0
	for _, m := range w.machines {
		if m.ends() >= endsOfFault {
			machines++
		}
	}
	return machines >= machinesOfFault
}

// fault reports what faulty does, and records it.
func (w *world) fault() bool {
	for _, m := range w.machines {
		w.say("%s: %d ends for memory, %.1f MB at most", m.name, m.ends(), float64(m.most)/(1<<20))
	}
	return w.faulty()
}

// watched runs a case while the platform enforces the memory of the machines, and judges it.
func (w *world) watched(play func() error) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	w.enforce(ctx, &watchers)
	err := play()
	cancel()
	watchers.Wait()
	if err != nil {
		return couldNot, err
	}
	if w.fault() {
		return broken, nil
	}
	return held, nil
}
