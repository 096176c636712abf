package reporter_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/reporter"
)

var levels = []sapphiredrum.ServiceLevel{{Tier: 0, FirstToken: 500, TokenGap: 100, ProgramLatency: 60_000, RefusedShare: 0.001}, {Tier: 1, FirstToken: 2000}}

const minute = sapphiredrum.WallTime(sapphiredrum.Minute)

func Example() {
	counters := reporter.NewCounters("h1", 1, 0)
	counters.Configure(levels)
	var ring reporter.Ring
	for m := range sapphiredrum.WallTime(90) {
		for i := range sapphiredrum.Millis(10) {
			counters.FirstToken("desk", 0, 100*i)
			counters.FirstToken("quotes", 0, 60*i)
			counters.Request("desk", 0, false)
		}
		ring.Add(counters.Snapshot((m + 1) * minute))
	}
	report := reporter.Compile(90*minute, []reporter.Summary{ring.Summary()}, []sapphiredrum.HostID{"h2"}, levels)
	_ = reporter.WriteTable(os.Stdout, report)
	// Output:
	// service-level burn at 1970-01-01T01:30:00Z, from 1 host
	// not reached: h2
	// tier  objective    target  budget  5m    30m   1h    6h     state      worst in 1h (mean)
	// 0     first-token  500ms   5%      5.00  5.00  5.00  5.00*  slow burn  desk 8.00 (5.00)
	// 0     token-gap    100ms   5%      -     -     -     -*     ok         -
	// 0     program      1m0s    5%      -     -     -     -*     ok         -
	// 0     refused      -       0.1%    0.00  0.00  0.00  0.00*  ok         -
	// 1     first-token  2s      5%      -     -     -     -*     ok         -
	// burn rate 1 uses up the budget exactly; * only part of the window is covered
	// worst served: tier 0, first-token, desk 8.00 (5.00)
}

// event is one first token as the naive count keeps it.
type event struct {
	date sapphiredrum.WallTime
	bad  bool
}

// Over hosts that restart and miss samples, each window counts what a naive sum
// over all events finds in it, up to the spacing of samples at its far end.
func TestWindowsAgainstNaiveSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		summaries, events, now := []reporter.Summary{}, []event{}, minute*sapphiredrum.WallTime(rapid.IntRange(600, 604).Draw(t, "minutes"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range rapid.IntRange(1, 3).Draw(t, "hosts") {
			ring, counters := reporter.Ring{}, (*reporter.Counters)(nil)
			for m := sapphiredrum.WallTime(rapid.IntRange(0, 599).Draw(t, "first minute")); m < now/minute; m++ {
				if counters == nil || random.IntN(100) == 0 {
					counters = reporter.NewCounters("h", sapphiredrum.Incarnation(m+1), m*minute)
					counters.Configure(levels)
				}
				for range random.IntN(3) {
					bad := random.IntN(2) == 0
					took := sapphiredrum.Millis(500)
					if bad {
						took++
					}
					counters.FirstToken("w", 0, took)
					events = append(events, event{m*minute + 2, bad})
				}
				ring.Add(counters.Snapshot((m + 1) * minute))
			}
			summaries = append(summaries, ring.Summary())
		}
		for i, b := range reporter.Compile(now, summaries, nil, levels).Lines[0].Burns {
			slack := sapphiredrum.Millis(0)
			if b.Window > 30*sapphiredrum.Minute {
				slack = 5 * sapphiredrum.Minute
			}
			low, high := naive(events, now, b.Window), naive(events, now, b.Window+slack)
			if b.Count.Total < low.Total || b.Count.Bad < low.Bad || b.Count.Total > high.Total || b.Count.Bad > high.Bad {
				t.Fatalf("window %d counts %v, want between %v and %v", i, b.Count, low, high)
			}
		}
	})
}

func naive(events []event, now sapphiredrum.WallTime, window sapphiredrum.Millis) (c reporter.Count) {
	for _, e := range events {
		if e.date > now-sapphiredrum.WallTime(window) {
			c.Total++
			if e.bad {
				c.Bad++
			}
		}
	}
	return c
}

func burning() reporter.Report {
	counters := reporter.NewCounters("h1", 1, 0)
	counters.Configure(levels)
	for range 100 {
		counters.Request(`<script>"x"`, 0, true)
	}
	var ring reporter.Ring
	ring.Add(counters.Snapshot(4 * minute))
	return reporter.Compile(4*minute, []reporter.Summary{ring.Summary()}, []sapphiredrum.HostID{"h3", "h2"}, levels)
}

func TestReportJSONReadsBack(t *testing.T) {
	var text bytes.Buffer
	want := burning()
	if err := reporter.WriteJSON(&text, want); err != nil {
		t.Fatal(err)
	}
	var got reporter.Report
	if err := json.Unmarshal(text.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	if got.Lines[3].State != reporter.BurningFast || got.Worst == nil || got.Unreached[0] != "h2" {
		t.Fatalf("got %+v", got)
	}
}

// The page is well-formed, escapes names and refers to nothing outside itself.
func TestPageStandsAlone(t *testing.T) {
	var text bytes.Buffer
	if err := reporter.WritePage(&text, burning()); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"<script", "http:", "https:", "src=", "ZgotmplZ"} {
		if strings.Contains(text.String(), bad) {
			t.Errorf("the page contains %q", bad)
		}
	}
	decoder := xml.NewDecoder(&text)
	decoder.Strict, decoder.AutoClose, decoder.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		if _, err := decoder.Token(); err == io.EOF {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// Recording from many goroutines loses nothing, and metrics show the counts.
func TestCountersConcurrently(t *testing.T) {
	counters := reporter.NewCounters("h1", 1, 0)
	counters.Configure(levels)
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for i := range 1000 {
				counters.TokenGap("w", 0, sapphiredrum.Millis(i%2)*200)
				_ = counters.Snapshot(1)
			}
		})
	}
	all.Wait()
	if got := counters.Snapshot(1).Rows[0].Counts[1]; got != (reporter.Count{Total: 8000, Bad: 4000}) {
		t.Fatalf("got %v", got)
	}
	var text strings.Builder
	counters.WriteMetrics(&text)
	if want := `sapphiredrum_level_bad_total{objective="token-gap",workspace="w",tier="0"} 4000`; !strings.Contains(text.String(), want) {
		t.Fatalf("no line %s in\n%s", want, text.String())
	}
}

func BenchmarkTokenGap(b *testing.B) {
	counters := reporter.NewCounters("h1", 1, 0)
	counters.Configure(levels)
	b.ReportAllocs()
	for range b.N {
		counters.TokenGap("w", 0, 50)
	}
}
