package measurer

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
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

// Steps prints the model calls that ended in each second of a span, as the mean
// over the seeds.
func Steps(out io.Writer, title string, from, to int, rows []Row) error {
	columns := make([]Column, 0, to-from)
	for i := from; i < to; i++ {
		columns = append(columns, Column{Name: fmt.Sprint(i), Figure: func(r *Result) float64 { return r.Service(i, i+1) }})
	}
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintf(w, "### %s\n\n| second", title)
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "\t| %s", r.Variant)
	}
	_, _ = fmt.Fprint(w, "\t|\n|---")
	for range rows {
		_, _ = fmt.Fprint(w, "\t|---")
	}
	_, _ = fmt.Fprint(w, "\t|\n")
	for _, c := range columns {
		_, _ = fmt.Fprintf(w, "| %s", c.Name)
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "\t| %.1f", r.Over(c.Figure).Mean)
		}
		_, _ = fmt.Fprint(w, "\t|\n")
	}
	_, _ = fmt.Fprintln(w)
	return w.Flush()
}
