package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is a case. It returns whether the rule was broken. With trouble unset it leaves out
// the disruption.
type play func(f *fleet, trouble bool) (broken bool, err error)

func main() {
	// The hosts are ended with the thread that started them.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	plays := map[string]play{
		"forgotten": playForgotten,
		"leaving":   playLeaving,
		"extra":     playExtra,
		"deadly":    playDeadly,
		"hung":      playHung,
	}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository")
		return exitFailed
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	f, err := newFleet(record)
	if err != nil {
		record.write("case cannot run: %v", err)
		return exitFailed
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.write("case %s, trouble %v", os.Args[1], trouble)
	broken, err := plays[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		record.write("case cannot run: %v", err)
		return exitFailed
	case broken:
		record.write("result: rule broken")
		return exitBroken
	}
	record.write("result: rule held")
	return exitHeld
}
