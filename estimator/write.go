package estimator

import (
	"bytes"
	"fmt"
	"io"
	"runtime"

	"sapphiredrum.example/sapphiredrum"
)

// WriteFailed marks an estimate that could not be written in whole.
var WriteFailed = sapphiredrum.Errors.NewSubNamespace("estimator").NewType("write_failed")

// Roles measures all roles and works their figures out for a size. It takes
// under a minute.
func Roles(size Size) []Role {
	var roles []Role
	for _, role := range []func(Size) Role{entry, programs, copies, guard, home, leases, heartbeats, sheets, records, sweeps, levels} {
		roles = append(roles, role(size))
	}
	return append(roles, messages(roles))
}

// Write measures, and prints the estimate for the target size as Markdown: what
// breaks a limit first, then the sums, then each role. Its error is WriteFailed.
func Write(w io.Writer) error {
	return Print(w, Roles(Target))
}

// Print prints an estimate as Markdown.
func Print(w io.Writer, roles []Role) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%d processors, %s, %s/%s\n\n## Over a limit\n\n", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	for _, line := range breaches(roles) {
		fmt.Fprintf(&b, "- %s\n", line)
	}
	fmt.Fprint(&b, "\n## Sums of the mean figures\n\n| what | standing | per call | control | limit | payload |\n|---|---|---|---|---|---|\n")
	for _, t := range totals(roles) {
		limit := "-"
		if t.Limit > 0 {
			limit = number(t.Limit)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", t.Kind, number(t.Standing), number(t.PerCall), number(t.Standing+t.PerCall), limit, number(t.Payload))
	}
	for _, r := range roles {
		printRole(&b, r)
	}
	if _, err := w.Write(b.Bytes()); err != nil {
		return WriteFailed.Wrap(err, "write the estimate")
	}
	return nil
}

// printRole prints one role.
func printRole(b *bytes.Buffer, r Role) {
	fmt.Fprintf(b, "\n## %s\n\nHolds %s. Carried by: %s.\nNot measured: %s.\n\n", r.Name, r.State, r.Mechanism, r.Unmeasured)
	fmt.Fprint(b, "| measured | over | at | slope | at zero | misfit |\n|---|---|---|---|---|---|\n")
	for _, s := range r.Series {
		fmt.Fprintf(b, "| %s, %s | %s | %s | %s | %s | %.0f%% |\n", s.Name, s.Unit, s.Over, points(s.Points), number(s.Line.Slope), number(s.Line.Base), 100*s.Line.Misfit(s.Points))
	}
	fmt.Fprint(b, "\n| at the target size | class | value | arithmetic |\n|---|---|---|---|\n")
	for _, f := range r.Figures {
		mark := ""
		if f.Peak {
			mark = ", most loaded"
		}
		fmt.Fprintf(b, "| %s%s | %s | %s | %s |\n", f.Kind, mark, f.Class, number(f.Value), f.How)
	}
}

// points prints measurements as "size: value".
func points(all []Point) string {
	text := ""
	for i, p := range all {
		if i > 0 {
			text += "; "
		}
		text += number(p.X) + ": " + number(p.Y)
	}
	return text
}

// number prints a value to about three digits.
func number(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 1e6 || v <= -1e6:
		return fmt.Sprintf("%.3g M", v/1e6)
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
