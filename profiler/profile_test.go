package profiler_test

import (
	"encoding/csv"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"sapphiredrum.example/sapphiredrum/profiler"
)

// day writes the log of a host. Times are in milliseconds.
type day struct{ strings.Builder }

// line adds a line of a request that ends at the given time.
func (d *day) line(event, end int, program, kind, rule string, status, took int, more string) {
	at := time.Date(2026, 1, 1, 10, 0, 0, 0, time.UTC).Add(time.Duration(end) * time.Millisecond).Format(time.RFC3339Nano)
	fmt.Fprintf(d, `{"level":"info","ts":"%s","event":%d,"request":"%s-%d","program":"%s","kind":"%s","rule":"%s","status":%d,"took_ms":%d%s}`+"\n",
		at, event, program, end, program, kind, rule, status, took, more)
}

// turn adds an answered turn of the rule "talk".
func (d *day) turn(end int, program string, took int, more string) {
	d.line(640, end, program, "turn", "talk", 200, took, more)
}

// end adds a line long after the programs, so that none of them counts as open.
func (d *day) end() { d.line(640, 60_000, "", "once", "tool", 200, 1, "") }

// total returns the sums of the rule "talk" by column.
func total(t *testing.T, settings profiler.Settings, texts ...string) map[string]int {
	t.Helper()
	var sources []profiler.Source
	for i, text := range texts {
		sources = append(sources, profiler.Source{Name: fmt.Sprint("host-", i), Text: strings.NewReader(text)})
	}
	profile, err := profiler.New(settings, sources...)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := profile.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	t.Log(out.String())
	out.Reset()
	if err := profile.WriteCSV(&out); err != nil {
		t.Fatal(err)
	}
	rows, err := csv.NewReader(strings.NewReader(out.String())).ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	sums := map[string]int{}
	for _, row := range rows {
		if row[0] == "talk" && row[1] == "all" {
			for i, cell := range row[2:] {
				sums[rows[0][i+2]], _ = strconv.Atoi(cell)
			}
		}
	}
	return sums
}

// expect compares columns.
func expect(t *testing.T, got, want map[string]int) {
	t.Helper()
	for name, n := range want {
		if value, found := got[name]; !found || value != n {
			t.Errorf("%s: %d, want %d", name, value, n)
		}
	}
}

// Each way in which a program may end must be counted as such, also if its requests overlap
// or are sent again.
func TestOutcomes(t *testing.T) {
	var d day
	d.turn(500, "in-time", 500, `,"left_ms":600`)
	d.turn(900, "in-time-retried", 300, `,"left_ms":700`)
	d.line(641, 300, "in-time-retried", "turn", "talk", 503, 10, `,"left_ms":1000,"retry_ms":250`)
	d.turn(700, "late", 700, `,"left_ms":600`)
	d.turn(2000, "late-all-along", 700, `,"left_ms":0`)
	d.turn(500, "untimed", 500, "")
	d.line(641, 100, "refused", "turn", "talk", 503, 10, `,"left_ms":600,"retry_ms":300`)
	d.line(641, 500, "refused", "turn", "talk", 503, 10, `,"left_ms":200`)
	d.turn(500, "given-up", 500, `,"left_ms":900`)
	d.line(641, 700, "given-up", "turn", "talk", 0, 100, `,"left_ms":400`)
	// The calls that were under way beside the turn end after it.
	d.line(641, 600, "given-up-beside-calls", "turn", "talk", 502, 100, `,"left_ms":900`)
	d.line(640, 800, "given-up-beside-calls", "once", "tool", 200, 300, `,"left_ms":900`)
	d.turn(400, "given-up-beside-calls", 100, `,"left_ms":1100`)
	d.line(641, 300, "budget", "turn", "talk", 402, 10, `,"left_ms":900`)
	d.turn(500, "budget", 400, `,"left_ms":900`)
	d.line(641, 300, "rejected", "turn", "talk", 401, 0, `,"left_ms":900`)
	d.turn(59_900, "open", 100, `,"left_ms":900`)
	d.end()
	expect(t, total(t, profiler.Settings{}, d.String()), map[string]int{
		"programs": 11, "in_time": 2, "late": 2, "untimed": 1, "refused": 1, "given_up": 2, "budget": 1, "rejected": 1, "open": 1,
	})
}

// The parts must add up to the program's time although its requests overlap, come through
// several hosts, and are refused in between.
func TestPartsAddUpToTheTimeOfTheProgram(t *testing.T) {
	var a, b day
	a.turn(300, "p", 300, `,"left_ms":9000,"history_ms":10,"reserve_ms":40,"held_ms":20,"wait_ms":30,"first_ms":90,"settle_ms":15,"events":4`)
	// Two calls follow after 50 ms; the shorter one is not on the path.
	b.line(640, 400, "p", "once", "tool", 200, 50, "")
	b.line(640, 450, "p", "once", "tool", 200, 100, "")
	// The next turn is refused, and sent again 20 ms later than it might be.
	a.line(641, 500, "p", "turn", "talk", 503, 5, `,"retry_ms":100`)
	b.turn(1120, "p", 500, `,"first_ms":200,"events":1`)
	a.end()
	var prefixed strings.Builder
	for line := range strings.Lines(b.String()) {
		prefixed.WriteString("  1.25 host-b " + line)
	}
	prefixed.WriteString("not a line of a log\n  {\"event\":640,\n")
	got := total(t, profiler.Settings{}, a.String(), prefixed.String())
	want := map[string]int{
		"ms_history": 10, "ms_reserve": 20, "ms_queue": 30, "ms_first": 290, "ms_stream": 435, "ms_end": 15,
		"ms_calls": 100, "ms_refused": 105, "ms_failed": 0, "ms_pause": 50 + 45 + 20,
	}
	expect(t, got, want)
	sum := 0
	for name := range want {
		sum += got[name]
	}
	if sum != 1120 {
		t.Errorf("the parts sum to %d of 1120 ms", sum)
	}
}

// Builds without held_ms measured the reservation until after the target's answer. That time
// must not count twice.
func TestReservationInLinesOfOlderBuilds(t *testing.T) {
	var d day
	d.turn(300, "behind-the-target", 300, `,"reserve_ms":90,"first_ms":90,"events":4`)
	d.turn(300, "held", 300, `,"reserve_ms":120,"first_ms":90,"events":4`)
	d.end()
	expect(t, total(t, profiler.Settings{}, d.String()), map[string]int{"ms_reserve": 30, "ms_first": 180, "ms_stream": 390})
}

// A burst in which only the targets' queues grow must be laid to the time to the first event,
// not to parts that are as in calm.
func TestPartThatMadeProgramsLate(t *testing.T) {
	var d day
	program := func(name string, begin, first int, left string) {
		d.turn(begin+first+300, name, first+300, left+fmt.Sprintf(`,"first_ms":%d,"events":4`, first))
		d.line(640, begin+first+400, name, "once", "tool", 200, 50, "")
	}
	for i := range 30 {
		program(fmt.Sprint("calm-", i), 10*i, 20, `,"left_ms":600`)
		program(fmt.Sprint("burst-", i), 10_000+10*i, 400, `,"left_ms":600`)
		program(fmt.Sprint("hopeless-", i), 20_000+10*i, 400, `,"left_ms":300`)
	}
	d.end()
	expect(t, total(t, profiler.Settings{Span: 5000}, d.String()), map[string]int{
		"in_time": 30, "late": 60, "in_time_if_calm_first": 30, "in_time_if_calm_stream": 0, "in_time_if_calm_calls": 0, "in_time_if_calm_all": 30,
	})
}

// Logs without left_ms tell lateness only by a time that the reader assumes.
func TestAssumedTime(t *testing.T) {
	var d day
	for i := range 20 {
		d.turn(10*i+300, fmt.Sprint("calm-", i), 300, `,"first_ms":20,"events":4`)
	}
	d.turn(10_700, "slow", 700, `,"first_ms":420,"events":4`)
	d.end()
	expect(t, total(t, profiler.Settings{}, d.String()), map[string]int{"untimed": 21, "in_time": 0, "late": 0})
	expect(t, total(t, profiler.Settings{Factor: 1.5, Objective: 200}, d.String()), map[string]int{
		"untimed": 0, "in_time": 20, "late": 1, "in_time_if_calm_first": 1, "in_time_if_calm_stream": 0,
	})
}
