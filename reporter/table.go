package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"sapphiredrum.example/sapphiredrum"
)

// Errors is the namespace of this package's errors.
var Errors = sapphiredrum.Errors.NewSubNamespace("reporter")

// WriteFailed marks a report that could not be written in whole.
var WriteFailed = Errors.NewType("write_failed")

// WriteTable writes the report as plain text.
func WriteTable(w io.Writer, r Report) error {
	var text strings.Builder
	fmt.Fprintf(&text, "service-level burn at %s, from %s\n", stamp(r.Date), plural(len(r.Reached), "host"))
	if len(r.Unreached) > 0 {
		fmt.Fprintf(&text, "not reached: %s\n", join(r.Unreached))
	}
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "tier\tobjective\ttarget\tbudget")
	for _, window := range Windows {
		fmt.Fprintf(table, "\t%s", length(window))
	}
	fmt.Fprintln(table, "\tstate\tworst in 1h (mean)")
	for _, l := range r.Lines {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s", l.Tier, l.Objective, target(l), percent(l.Budget))
		for _, b := range l.Burns {
			fmt.Fprintf(table, "\t%s", burn(b))
		}
		fmt.Fprintf(table, "\t%s\t%s\n", l.State, worst(l.Worst))
	}
	_ = table.Flush()
	fmt.Fprintln(&text, "burn rate 1 uses up the budget exactly; * only part of the window is covered")
	if r.Worst != nil {
		fmt.Fprintf(&text, "worst served: tier %d, %s, %s\n", r.Worst.Tier, r.Worst.Objective, worst(r.Worst))
	}
	return send(w, text.String())
}

// WriteJSON writes the report as one JSON document.
func WriteJSON(w io.Writer, r Report) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return WriteFailed.Wrap(err, "report does not encode")
	}
	return send(w, string(text)+"\n")
}

// send writes the text in one call.
func send(w io.Writer, text string) error {
	if _, err := io.WriteString(w, text); err != nil {
		return WriteFailed.Wrap(err, "report not written")
	}
	return nil
}

// burn prints a burn rate, or a dash where nothing happened. A star marks a
// window that the samples cover in part.
func burn(b Burn) string {
	text := "-"
	if b.Count.Total > 0 {
		text = fmt.Sprintf("%.2f", b.Rate)
	}
	if b.Covered < b.Window {
		text += "*"
	}
	return text
}

// worst prints a workspace's burn rate beside the mean.
func worst(w *Worst) string {
	if w == nil {
		return "-"
	}
	return fmt.Sprintf("%s %.2f (%.2f)", w.Workspace, w.Rate, w.Mean)
}

// target prints the time promised.
func target(l Line) string {
	if l.Target == 0 {
		return "-"
	}
	return l.Target.Duration().String()
}

// percent prints a share.
func percent(s sapphiredrum.Share) string {
	return fmt.Sprintf("%.3g%%", 100*float64(s))
}

// length prints a window without zero units.
func length(m sapphiredrum.Millis) string {
	if m%sapphiredrum.Hour == 0 {
		return fmt.Sprintf("%dh", m/sapphiredrum.Hour)
	}
	return fmt.Sprintf("%dm", m/sapphiredrum.Minute)
}

// stamp prints a date.
func stamp(d sapphiredrum.WallTime) string {
	return d.Time().Format(time.RFC3339)
}

// join lists hosts.
func join(hosts []sapphiredrum.HostID) string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = string(h)
	}
	return strings.Join(names, ", ")
}

// plural prints a number of things.
func plural(n int, thing string) string {
	if n == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", n, thing)
}
