package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	began time.Time
	lock  sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// now returns the time since the start.
func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) write(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = r.out.Flush(), r.file.Close()
}
