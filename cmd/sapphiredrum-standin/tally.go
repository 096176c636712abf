package main

import (
	"cmp"
	"errors"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphiredrum.example/sapphiredrum"
)

// tally collects what programs met. It is safe for concurrent use.
type tally struct {
	mutex    sync.Mutex
	report   loadReport
	refused  map[refusalCount]int
	programs []*hdrhistogram.Histogram
	first    *hdrhistogram.Histogram
}

// loadReport is the result of a load, printed as JSON.
type loadReport struct {
	Started  int
	Finished int
	Failed   int
	// Skipped counts programs not started because too many ran.
	Skipped int
	Calls   int
	Retries int
	// Mixed counts answers to another history than the caller's, Repeated tool
	// calls that ran more than once.
	Mixed    int
	Repeated int
	// Untrue are refusals as not run of requests that the hosts turned out to know
	// when they came again.
	Untrue []string
	// Broken counts requests without a whole answer or a refusal.
	Broken  int
	Refused []refusalCount
	// First is the time to the first token, Programs the latency of finished
	// programs of each key, in milliseconds.
	First    latencies
	Programs []latencies
}

// refusalCount counts the refusals with one reason and outcome.
type refusalCount struct {
	Reason  sapphiredrum.Reason
	Outcome string
	Count   int
}

// latencies are quantiles in milliseconds.
type latencies struct {
	Count int64
	P50   sapphiredrum.Millis
	P95   sapphiredrum.Millis
	P99   sapphiredrum.Millis
	Max   sapphiredrum.Millis
}

// Range and precision of the histograms.
const (
	longestLatency = sapphiredrum.Hour
	latencyDigits  = 3
)

// newTally returns a tally for a number of keys.
func newTally(keys int) *tally {
	t := &tally{refused: make(map[refusalCount]int), first: newHistogram()}
	for range keys {
		t.programs = append(t.programs, newHistogram())
	}
	return t
}

// newHistogram returns an empty histogram of milliseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(longestLatency), latencyDigits)
}

// change changes the report under the tally's mutex.
func (t *tally) change(change func(*loadReport)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	change(&t.report)
}

// began records the time to a first token.
func (t *tally) began(wait sapphiredrum.Millis) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_ = t.first.RecordValue(min(int64(wait), int64(longestLatency)))
}

// ended records a program's end.
func (t *tally) ended(key int, latency sapphiredrum.Millis, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err != nil {
		t.report.Failed++
		return
	}
	t.report.Finished++
	_ = t.programs[key].RecordValue(min(int64(latency), int64(longestLatency)))
}

// failed records an error of a request.
func (t *tally) failed(err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var refusal *sapphiredrum.Refusal
	if !errors.As(err, &refusal) {
		t.report.Broken++
		return
	}
	t.refused[refusalCount{Reason: refusal.Reason, Outcome: refusal.Outcome.String()}]++
}

// result returns the report so far.
func (t *tally) result() loadReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	report := t.report
	for refused, count := range t.refused {
		refused.Count = count
		report.Refused = append(report.Refused, refused)
	}
	slices.SortFunc(report.Refused, func(a, b refusalCount) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Outcome, b.Outcome))
	})
	report.First = quantiles(t.first)
	for _, h := range t.programs {
		report.Programs = append(report.Programs, quantiles(h))
	}
	return report
}

// quantiles returns the quantiles of a histogram.
func quantiles(h *hdrhistogram.Histogram) latencies {
	at := func(quantile float64) sapphiredrum.Millis { return sapphiredrum.Millis(h.ValueAtQuantile(quantile)) }
	return latencies{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: sapphiredrum.Millis(h.Max())}
}
