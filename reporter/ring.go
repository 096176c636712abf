package reporter

import (
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// Windows are the lengths of time over which burn rates are computed.
var Windows = [...]sapphiredrum.Millis{
	5 * sapphiredrum.Minute,
	30 * sapphiredrum.Minute,
	1 * sapphiredrum.Hour,
	6 * sapphiredrum.Hour,
}

// The length and number of the steps of a trend.
const (
	TrendStep  = 30 * sapphiredrum.Minute
	TrendSteps = 12
)

const (
	// fineAge is the age from which only one sample in each coarseStep is kept.
	fineAge    = 31 * sapphiredrum.Minute
	coarseStep = 5 * sapphiredrum.Minute
	longest    = 6 * sapphiredrum.Hour
)

// Ring keeps one host's samples of the last six hours: all of the last half
// hour, older ones every five minutes. The zero Ring is empty.
type Ring struct {
	samples []Snapshot
}

// Span is what was counted within a window, or in as much of it as is known.
type Span struct {
	Window  sapphiredrum.Millis
	Covered sapphiredrum.Millis
	Rows    []Row `json:",omitempty"`
}

// Summary is what one host contributes to a report.
type Summary struct {
	Host sapphiredrum.HostID
	Date sapphiredrum.WallTime
	// Spans are in the order of Windows.
	Spans []Span
	// Trend holds the tiers' counts in steps of TrendStep, the latest first.
	Trend []Span
}

// Add keeps a sample. Samples older than the latest are dropped.
func (r *Ring) Add(s Snapshot) {
	if n := len(r.samples); n > 0 && s.Date <= r.samples[n-1].Date {
		return
	}
	r.samples = append(r.samples, s)
	r.thin(s.Date)
}

// thin drops samples that no window needs.
func (r *Ring) thin(now sapphiredrum.WallTime) {
	kept := r.samples[:0]
	for i, s := range r.samples {
		next := now
		if i+1 < len(r.samples) {
			next = r.samples[i+1].Date
		}
		age := sapphiredrum.Millis(now - s.Date)
		beyond := sapphiredrum.Millis(now-next) >= longest
		crowded := len(kept) > 0 && age > fineAge && bucketOf(s.Date) == bucketOf(kept[len(kept)-1].Date) &&
			s.Incarnation == kept[len(kept)-1].Incarnation && i+1 < len(r.samples) && r.samples[i+1].Incarnation == s.Incarnation
		if !beyond && !crowded {
			kept = append(kept, s)
		}
	}
	clear(r.samples[len(kept):])
	r.samples = kept
}

// Summary computes what was counted within each window up to the latest sample.
func (r *Ring) Summary() Summary {
	if len(r.samples) == 0 {
		return Summary{}
	}
	last := r.samples[len(r.samples)-1]
	s := Summary{Host: last.Host, Date: last.Date}
	for _, w := range Windows {
		s.Spans = append(s.Spans, r.span(w, 0, false))
	}
	for i := range TrendSteps {
		end := TrendStep * sapphiredrum.Millis(i)
		s.Trend = append(s.Trend, r.span(TrendStep, end, true))
	}
	return s
}

// span sums what was counted in the window that ends the given time before the
// latest sample.
func (r *Ring) span(window, before sapphiredrum.Millis, merged bool) Span {
	end := r.samples[len(r.samples)-1].Date - sapphiredrum.WallTime(before)
	start := end - sapphiredrum.WallTime(window)
	from, to := r.at(start), r.at(end)
	sums := rowSums{}
	if to >= 0 {
		r.sum(sums, from, to, start, merged)
	}
	span := Span{Window: window, Rows: sums.rows()}
	switch {
	case to < 0:
	case from >= 0:
		span.Covered = sapphiredrum.Millis(r.samples[to].Date - r.samples[from].Date)
	case r.samples[0].Started >= start:
		span.Covered = sapphiredrum.Millis(r.samples[to].Date - r.samples[0].Started)
	default:
		span.Covered = sapphiredrum.Millis(r.samples[to].Date - r.samples[0].Date)
	}
	return span
}

// sum adds what was counted between two samples. Before the first sample, counts
// are known only if the process started within the window. A process that
// started anew began at zero.
func (r *Ring) sum(sums rowSums, from, to int, start sapphiredrum.WallTime, merged bool) {
	for i := from + 1; i <= to; i++ {
		s := r.samples[i]
		switch {
		case i == 0 && s.Started < start:
		case i == 0 || r.samples[i-1].Incarnation != s.Incarnation:
			sums.add(s.Rows, merged)
		default:
			sums.add(between(r.samples[i-1].Rows, s.Rows), merged)
		}
	}
}

// at returns the index of the latest sample at or before the date, -1 if none.
func (r *Ring) at(date sapphiredrum.WallTime) int {
	i, found := slices.BinarySearchFunc(r.samples, date, func(s Snapshot, d sapphiredrum.WallTime) int {
		return int(s.Date - d)
	})
	if found {
		return i
	}
	return i - 1
}

// between returns what was counted from one reading to the next.
func between(old, rows []Row) []Row {
	known := rowSums{}
	known.add(old, false)
	found := make([]Row, 0, len(rows))
	for _, n := range rows {
		n.Counts = n.Counts.since(known[rowKey{workspace: n.Workspace, tier: n.Tier}])
		found = append(found, n)
	}
	return found
}

// bucketOf numbers the coarse step that the date lies in.
func bucketOf(d sapphiredrum.WallTime) sapphiredrum.WallTime {
	return d / sapphiredrum.WallTime(coarseStep)
}
