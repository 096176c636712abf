package measurer

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"sapphiredrum.example/sapphiredrum"
)

// Row holds the runs of one variant over several seeds.
type Row struct {
	Variant string
	Results []*Result
}

// Compare runs every variant with every seed, workers runs at once. When the
// context ends, it returns only the rows whose runs are complete.
func Compare(ctx context.Context, d Deployment, s Scenario, variants []Variant, seeds []uint64, workers int) []Row {
	rows := make([]Row, len(variants))
	jobs := make(chan func(), len(variants)*len(seeds))
	for i, v := range variants {
		rows[i] = Row{Variant: v.Name, Results: make([]*Result, len(seeds))}
		for j, seed := range seeds {
			jobs <- func() { rows[i].Results[j] = Run(d, s, v, seed) }
		}
	}
	close(jobs)
	workers = max(workers, 1)
	ended := make(chan struct{}, workers)
	for range workers {
		go runJobs(ctx, jobs, ended)
	}
	for range workers {
		<-ended
	}
	return slices.DeleteFunc(rows, func(r Row) bool { return slices.Contains(r.Results, nil) })
}

// runJobs runs jobs until there are none left or the context ends.
func runJobs(ctx context.Context, jobs <-chan func(), ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	for job := range jobs {
		if ctx.Err() != nil {
			return
		}
		job()
	}
}

// Spread is the mean of a figure over the seeds, with its least and greatest.
type Spread struct{ Mean, Least, Greatest float64 }

// String returns the spread as "mean (least-greatest)".
func (s Spread) String() string {
	return fmt.Sprintf("%.3g (%.3g-%.3g)", s.Mean, s.Least, s.Greatest)
}

// Over returns the spread of a figure of the row's results.
func (r Row) Over(figure func(*Result) float64) Spread {
	s := Spread{Least: math.Inf(1), Greatest: math.Inf(-1)}
	for _, result := range r.Results {
		x := figure(result)
		s.Mean += x / float64(len(r.Results))
		s.Least = min(s.Least, x)
		s.Greatest = max(s.Greatest, x)
	}
	return s
}

// Column is a figure of the tables.
type Column struct {
	Name   string
	Figure func(*Result) float64
}

// Latency returns the column of a percentile of the program latency in seconds,
// of one tier or of all with tier -1.
func Latency(tier sapphiredrum.Tier, part float64) Column {
	name := fmt.Sprintf("p%.0f s", part*100)
	if tier >= 0 {
		name = fmt.Sprintf("t%d %s", tier, name)
	}
	return Column{Name: name, Figure: func(r *Result) float64 {
		latencies := r.All
		if tier >= 0 {
			latencies = r.Latencies[tier]
		}
		return float64(Percentile(latencies, part)) / float64(sapphiredrum.Second)
	}}
}

// Columns returns the figures that the brief asks for.
func Columns() []Column {
	return []Column{
		Latency(-1, 0.5), Latency(-1, 0.95), Latency(-1, 0.99),
		{"worst slowdown", func(r *Result) float64 { _, x := r.Worst(); return x }},
		{"flooder slowdown", func(r *Result) float64 { return r.Slowdown[r.Flooder] }},
		{"total p95 s", func(r *Result) float64 { return float64(Percentile(r.Total, 0.95)) / float64(sapphiredrum.Second) }},
		{"mean slowdown", func(r *Result) float64 { return r.Mean() }},
		{"wasted %", func(r *Result) float64 { return 100 * r.WastedShare() }},
		{"wrong %", func(r *Result) float64 { return 100 * r.WrongShare() }},
		{"unfinished", func(r *Result) float64 { return float64(r.Unfinished) }},
	}
}

// TierColumns returns the program latency of each tier.
func TierColumns(d Deployment) []Column {
	var columns []Column
	last := sapphiredrum.Tier(-1)
	for _, t := range d.Tenants {
		if t.Tier > last {
			last = t.Tier
			columns = append(columns, Latency(last, 0.5), Latency(last, 0.95), Latency(last, 0.99))
		}
	}
	return columns
}

// Table prints rows as a Markdown table.
func Table(out io.Writer, title string, columns []Column, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintf(w, "### %s\n\n| policy", title)
	for _, c := range columns {
		_, _ = fmt.Fprintf(w, "\t| %s", c.Name)
	}
	_, _ = fmt.Fprint(w, "\t|\n|---")
	for range columns {
		_, _ = fmt.Fprint(w, "\t|---")
	}
	_, _ = fmt.Fprint(w, "\t|\n")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "| %s", r.Variant)
		for _, c := range columns {
			_, _ = fmt.Fprintf(w, "\t| %s", r.Over(c.Figure))
		}
		_, _ = fmt.Fprint(w, "\t|\n")
	}
	_, _ = fmt.Fprintln(w)
	return w.Flush()
}
