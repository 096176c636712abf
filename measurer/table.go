package measurer

import (
	"context"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
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
	return figure(s.Mean) + " (" + figure(s.Least) + "-" + figure(s.Greatest) + ")"
}

// figure prints three digits, and whole numbers from a hundred on.
func figure(x float64) string {
	if x >= 100 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
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
	lines := make([][]string, 0, len(rows))
	for _, r := range rows {
		cells := []string{r.Variant}
		for _, c := range columns {
			cells = append(cells, r.Over(c.Figure).String())
		}
		lines = append(lines, cells)
	}
	head := []string{"policy"}
	for _, c := range columns {
		head = append(head, c.Name)
	}
	return markdown(out, title, head, lines)
}

// Steps prints the model calls that ended in each second of a span, as the mean
// over the seeds.
func Steps(out io.Writer, title string, from, to int, rows []Row) error {
	head := []string{"second"}
	for _, r := range rows {
		head = append(head, r.Variant)
	}
	var lines [][]string
	for i := from; i < to; i++ {
		cells := []string{strconv.Itoa(i)}
		for _, r := range rows {
			mean := r.Over(func(x *Result) float64 { return x.Service(i, i+1) }).Mean
			cells = append(cells, strconv.FormatFloat(mean, 'f', 1, 64))
		}
		lines = append(lines, cells)
	}
	return markdown(out, title, head, lines)
}

// markdown prints a table with its title.
func markdown(out io.Writer, title string, head []string, lines [][]string) error {
	var text strings.Builder
	text.WriteString("### " + title + "\n\n")
	rule := strings.Repeat("|---", len(head)) + "|\n"
	text.WriteString("| " + strings.Join(head, " | ") + " |\n" + rule)
	for _, cells := range lines {
		text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	text.WriteString("\n")
	_, err := io.WriteString(out, text.String())
	return err
}
