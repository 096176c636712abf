// Command driver3 plays the scripted cases of the third review: it starts the system's processes,
// stand-ins for the platform and the runners, and clients, and judges what clients and runners saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// The results of a case, which are the exit codes of its script.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// longest is how long a case may run.
const longest = 112 * time.Second

// play is a case, with what its runners do: the pause between two events and their number.
type play struct {
	run    func(w *world, trouble bool) (int, error)
	pause  sd.Millis
	events int
}

// plays returns the cases by name.
func plays() map[string]play {
	return map[string]play{
		"ends":      {playEnds, 20, 5},
		"histories": {playHistories, 20, 5},
		"outages":   {playOutages, 20, 5},
		"budget":    {playBudget, 20, budgetEvents},
		"charged":   {playCharged, 5, chargedEvents},
	}
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver3 CASE RECORD")
		return couldNot
	}
	chosen, known := plays()[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return couldNot
	}
	w, err := newWorld(os.Args[2], chosen.pause, chosen.events)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.close()
	type outcome struct {
		result int
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		result, err := chosen.run(w, os.Getenv("TROUBLE") != "0")
		ended <- outcome{result, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	o := outcome{result: couldNot, err: errSetup}
	select {
	case o = <-ended:
	case <-time.After(longest):
		w.say("the case takes too long")
	case <-stopped:
		w.say("the case was stopped")
	}
	if o.err != nil {
		w.say("the case could not run: %v", o.err)
		o.result = couldNot
	}
	w.say("result %d", o.result)
	return o.result
}
