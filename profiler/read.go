package profiler

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// BadLog marks a log that cannot be read.
var BadLog = sd.Errors.NewSubNamespace("profiler").NewType("bad_log")

// maxLine limits a log line.
const maxLine = 1 << 20

// Numbers of the events that are read; see docs/EVENTS.md. Names that begin with "event" are
// those of the packages that log them.
const (
	lineAnswer  = 640
	lineRefusal = 641
	lineAttempt = 642
	lineTurn    = 643
	lineRate    = 644
	lineDropped = 690
)

// Source is a host's log, or that of several hosts.
type Source struct {
	Name string
	Text io.Reader
}

// line holds the fields of a log line that are used.
type line struct {
	Event   int          `json:"event"`
	Time    time.Time    `json:"ts"`
	Request sd.CallID    `json:"request"`
	Program sd.ProgramID `json:"program"`
	Kind    string       `json:"kind"`
	Rule    string       `json:"rule"`
	Status  int          `json:"status"`
	Events  int          `json:"events"`
	Dropped int          `json:"count"`
	Took    sd.Millis    `json:"took_ms"`
	Left    *sd.Millis   `json:"left_ms"`
	History sd.Millis    `json:"history_ms"`
	Reserve sd.Millis    `json:"reserve_ms"`
	Held    *sd.Millis   `json:"held_ms"`
	Wait    sd.Millis    `json:"wait_ms"`
	First   sd.Millis    `json:"first_ms"`
	Settle  sd.Millis    `json:"settle_ms"`
	Retry   *sd.Millis   `json:"retry_ms"`
}

// held returns the time in which the request stood still for its reservation. Builds that do
// not log it measured the reservation until its result was looked at, so that it ends with
// the target's answer or after it.
func (l *line) held() sd.Millis {
	if l.Held != nil {
		return *l.Held
	}
	return max(0, l.Reserve-l.Wait-l.First)
}

// request is a request as its host logged it.
type request struct {
	line
	arrived, ended sd.WallTime
}

// served reports whether the request was answered as its caller wants.
func (r *request) served() bool { return r.Event == lineAnswer && r.Status < http.StatusBadRequest }

// refused reports whether the request was refused and may be sent again.
func (r *request) refused() bool {
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// streamed reports whether the request is a turn or another stream, not a plain call.
func (r *request) streamed() bool { return r.Kind == "turn" || r.Kind == "stream" }

// logs are the requests of all sources.
type logs struct {
	programs map[sd.ProgramID][]*request
	// last is the time of the last line.
	last sd.WallTime
	// requests counts those that name a program, others those that do not; skipped counts the
	// lines that are not log lines, dropped those that hosts did not write; attempts and turns
	// count the lines of events 642 and 643.
	requests, others, skipped, dropped, attempts, turns int
}

// read reads all sources. Lines may have other text before the JSON object.
func read(sources []Source) (*logs, error) {
	g := &logs{programs: map[sd.ProgramID][]*request{}}
	retries := map[sd.CallID]sd.Millis{}
	for _, s := range sources {
		scanner := bufio.NewScanner(s.Text)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
		for scanner.Scan() {
			text := scanner.Bytes()
			start := bytes.IndexByte(text, '{')
			var l line
			if start < 0 || json.Unmarshal(text[start:], &l) != nil {
				g.skipped++
				continue
			}
			g.add(l, retries)
		}
		if err := scanner.Err(); err != nil {
			return nil, BadLog.Wrap(err, "%s cannot be read", s.Name)
		}
	}
	for _, rs := range g.programs {
		for _, r := range rs {
			if wait, known := retries[r.Request]; known && r.Retry == nil {
				r.Retry = &wait
			}
		}
	}
	return g, nil
}

// add takes one line. Retries collects the Retry-After of requests over the rate, which older
// builds give in the line of event 644 alone.
func (g *logs) add(l line, retries map[sd.CallID]sd.Millis) {
	ended := sd.WallTime(l.Time.UnixMilli())
	g.last = max(g.last, ended)
	switch l.Event {
	case lineAnswer, lineRefusal:
	case lineAttempt:
		g.attempts++
		return
	case lineTurn:
		g.turns++
		return
	case lineRate:
		retries[l.Request] = l.Wait
		return
	case lineDropped:
		g.dropped += l.Dropped
		return
	default:
		return
	}
	if l.Program == "" {
		g.others++
		return
	}
	g.requests++
	g.programs[l.Program] = append(g.programs[l.Program], &request{line: l, arrived: ended - sd.WallTime(l.Took), ended: ended})
}
