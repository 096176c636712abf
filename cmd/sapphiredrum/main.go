// Command sapphiredrum schedules agent programs. Every entry host runs
//
//	sapphiredrum host --config host.ini
//
// or, on the users' platform,
//
//	sapphiredrum entry --config entry.ini
//
// and operators run the other commands against the platform:
//
//	sapphiredrum check SHEET                 names every fault of a sheet
//	sapphiredrum diff SHEET                  prints what applying a sheet would change
//	sapphiredrum apply SHEET                 commits a sheet as one revision
//	sapphiredrum show                        prints the sheet in force
//	sapphiredrum zone out|in NAME            takes a zone out, brings it back
//	sapphiredrum key issue WORKSPACE NAME    issues a key and prints its secret once
//	sapphiredrum key withdraw NAME           withdraws a key
//	sapphiredrum status                      asks every host how it is
//	sapphiredrum report                      prints the service-level burn
//	sapphiredrum explain ID --file LOG...    tells a request's story from hosts' logs
//	sapphiredrum programs --file LOG...      tells where programs' time went
//	sapphiredrum try                         drives a program through a host of its own
//	sapphiredrum measure                     prints the tables of docs/MEASURES.md
//	sapphiredrum slopes                      prints the figures of docs/CAPACITY.md
//
// # Exit statuses
//
// 0 done; 1 failed; 2 bad command line, settings or sheet; 3 another operator's
// change came first; 4 the platform cannot be reached; 5 the platform could not
// tell whether the change took effect.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/operator"
)

// Exit statuses.
const (
	exitDone        = 0
	exitFailed      = 1
	exitBadInput    = 2
	exitConflict    = 3
	exitUnreachable = 4
	exitUncertain   = 5
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	c := newCommands()
	if err := c.parser.ParseArgs(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadInput)
	}
	err := c.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(statusOf(err))
}

// statusOf returns the exit status of an error.
func statusOf(err error) int {
	switch {
	case err == nil:
		return exitDone
	case errorx.IsOfType(err, sd.Conflict):
		return exitConflict
	case errorx.IsOfType(err, sd.Unavailable):
		return exitUnreachable
	case errorx.IsOfType(err, sd.Uncertain):
		return exitUncertain
	case errorx.IsOfType(err, operator.BadSheet), errorx.IsOfType(err, operator.BadName), errorx.IsOfType(err, badUsage):
		return exitBadInput
	}
	return exitFailed
}
