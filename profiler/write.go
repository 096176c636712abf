package profiler

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// allSpans names the row of a rule that sums its spans.
const allSpans = "all"

// rows calls visit with each row of a rule, the sum last, and the name of its span.
func (r *ruleProfile) rows(layout string, visit func(span string, w *row)) {
	for _, w := range r.spans {
		visit(w.from.Time().Format(layout), w)
	}
	visit(allSpans, &r.total)
}

// WriteText writes the profile as tables.
func (p *Profile) WriteText(out io.Writer) error {
	g := p.logs
	var text strings.Builder
	fmt.Fprintf(&text, "%d requests of %d programs, %d requests without a program; %d failed attempts (642), %d turns decided by budget or history (643)\n",
		g.requests, len(g.programs), g.others, g.attempts, g.turns)
	fmt.Fprintf(&text, "%d lines are not log lines and were skipped; hosts dropped %d lines (690)\n", g.skipped, g.dropped)
	if p.assumed > 0 {
		fmt.Fprintf(&text, "%d programs name no time (left_ms); one was assumed\n", p.assumed)
	}
	if n := p.untimed(); n > 0 {
		fmt.Fprintf(&text, "%d programs ended and name no time (left_ms): they are neither in time nor late\n", n)
	}
	p.table(&text, "Programs by outcome, by the span in which they began", append([]string{"programs"}, outcomeNames[:]...), func(w *row) []string {
		cells := []string{strconv.Itoa(w.programs())}
		for _, n := range w.outcomes {
			cells = append(cells, strconv.Itoa(n))
		}
		return cells
	})
	columns := append(append([]string{"whole"}, partNames[:]...), "lost")
	p.table(&text, "Seconds on the critical path of programs that ended, by part; lost: seconds of programs refused or given up", columns, func(w *row) []string {
		cells := []string{seconds(w.whole())}
		for _, took := range w.took {
			cells = append(cells, seconds(took))
		}
		return append(cells, seconds(w.lost))
	})
	columns = append(append([]string{"late"}, partNames[:]...), "all but pauses")
	p.table(&text, "Late programs that would have ended in time with a part at its calm value", columns, func(w *row) []string {
		cells := []string{strconv.Itoa(w.outcomes[late])}
		for _, n := range w.gained {
			cells = append(cells, strconv.Itoa(n))
		}
		return append(cells, strconv.Itoa(w.gainedAll))
	})
	p.calmTable(&text)
	_, err := io.WriteString(out, text.String())
	return err
}

// untimed returns the number of programs that ended and name no time.
func (p *Profile) untimed() int {
	sum := 0
	for _, r := range p.rules {
		sum += r.total.outcomes[untimed]
	}
	return sum
}

// table writes a table with a line for each rule and span.
func (p *Profile) table(out io.Writer, title string, columns []string, cells func(w *row) []string) {
	fmt.Fprintf(out, "\n%s\n", title)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "rule\tspan\t%s\t\n", strings.Join(columns, "\t"))
	for _, r := range p.rules {
		r.rows(time.TimeOnly, func(span string, w *row) {
			fmt.Fprintf(t, "%s\t%s\t%s\t\n", r.rule, span, strings.Join(cells(w), "\t"))
		})
	}
	// Writes to a strings.Builder do not fail.
	_ = t.Flush()
}

// calmTable writes the calm values.
func (p *Profile) calmTable(out io.Writer) {
	fmt.Fprint(out, "\nCalm values: medians in ms in the span whose median time to the first event is lowest; stream: an event; refused, failed: a program\n")
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "rule\tspan\t%s\t\n", strings.Join(partNames[:], "\t"))
	for _, r := range p.rules {
		span := r.calm.from.Time().Format(time.TimeOnly)
		if r.calm.allSpans {
			span = allSpans
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t\n", r.rule, span, strings.Join(r.calmCells(), "\t"))
	}
	_ = t.Flush()
}

// calmCells returns the calm values as text. Calls have one for each of their rules, and none
// here.
func (r *ruleProfile) calmCells() []string {
	var cells []string
	for at, value := range r.calm.values {
		cell := strconv.FormatFloat(value, 'f', 1, 64)
		if part(at) == partCalls {
			cell = "by rule"
		}
		cells = append(cells, cell)
	}
	return cells
}

// WriteCSV writes a line for each rule and span, times in milliseconds.
func (p *Profile) WriteCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	header := []string{"rule", "span", "programs"}
	header = append(header, named("", outcomeNames[:])...)
	header = append(header, named("ms_", partNames[:])...)
	header = append(header, "ms_lost")
	header = append(header, named("in_time_if_calm_", partNames[:])...)
	header = append(header, "in_time_if_calm_all")
	lines := [][]string{header}
	for _, r := range p.rules {
		r.rows(time.RFC3339, func(span string, row *row) {
			cells := []string{r.rule, span, strconv.Itoa(row.programs())}
			for _, n := range row.outcomes {
				cells = append(cells, strconv.Itoa(n))
			}
			for _, took := range row.took {
				cells = append(cells, strconv.FormatInt(int64(took), 10))
			}
			cells = append(cells, strconv.FormatInt(int64(row.lost), 10))
			for _, n := range row.gained {
				cells = append(cells, strconv.Itoa(n))
			}
			lines = append(lines, append(cells, strconv.Itoa(row.gainedAll)))
		})
	}
	return w.WriteAll(lines)
}

// named returns column names: each name after the prefix, without spaces.
func named(prefix string, names []string) []string {
	var columns []string
	for _, name := range names {
		columns = append(columns, prefix+strings.ReplaceAll(name, " ", "_"))
	}
	return columns
}

// seconds returns a time in seconds as text.
func seconds(took sd.Millis) string {
	return strconv.FormatFloat(float64(took)/float64(sd.Second), 'f', 1, 64)
}
