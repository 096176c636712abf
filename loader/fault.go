package loader

import (
	"fmt"
	"sort"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// Errors is the namespace of the loader's errors.
var Errors = sapphiredrum.Errors.NewSubNamespace("loader")

// BadText marks a text with at least one bad line.
var BadText = Errors.NewType("bad_text")

// Fault names one bad line.
type Fault struct {
	// Line counts from 1. What is missing from a section has the section's line,
	// what is missing from the text line 0.
	Line int
	// Section is the section's header without brackets, Key the key in it.
	Section string
	Key     string
	// Found is the value found, Allowed what may stand there.
	Found   string
	Allowed string
}

// String returns the fault in one line.
func (f Fault) String() string {
	var place strings.Builder
	fmt.Fprintf(&place, "line %d", f.Line)
	if f.Section != "" {
		fmt.Fprintf(&place, " [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&place, " %s", f.Key)
	}
	return fmt.Sprintf("%s: found %q, allowed is %s", place.String(), f.Found, f.Allowed)
}

// Check returns nil for no faults and otherwise a BadText error that names them
// all, one a line.
func Check(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return BadText.New("%s", strings.Join(lines, "\n"))
}

// sortFaults orders faults by line, keeping the order of those of one line.
func sortFaults(faults []Fault) []Fault {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return faults
}
