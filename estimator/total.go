package estimator

import "fmt"

// The limits of control, for a host and for the fleet.
const (
	// ProcessorLimit is 4% of a core, in microseconds a second.
	ProcessorLimit = 40_000.0
	// MemoryLimit and TrafficLimit are in bytes and bytes a second.
	MemoryLimit  = 128e6
	TrafficLimit = 24e3
	// WritesLimit reads "several hundred writes"; both are of a second.
	WritesLimit = 300.0
	ReadsLimit  = 2000.0
)

// limitOf returns the limit of a kind of figures, or 0 for none.
func limitOf(kind Kind) float64 {
	switch kind {
	case Processor:
		return ProcessorLimit
	case Memory:
		return MemoryLimit
	case Traffic:
		return TrafficLimit
	case Writes:
		return WritesLimit
	case Reads:
		return ReadsLimit
	}
	return 0
}

// Sum adds the roles' mean figures of a kind and class.
func Sum(roles []Role, kind Kind, class Class) float64 {
	sum := 0.0
	for _, r := range roles {
		for _, f := range r.Figures {
			if f.Kind == kind && f.Class == class && !f.Peak {
				sum += f.Value
			}
		}
	}
	return sum
}

// Total is the sum over all roles beside its limit.
type Total struct {
	Kind                              Kind
	Standing, PerCall, Payload, Limit float64
}

// Over reports whether control exceeds the limit.
func (t Total) Over() bool { return t.Limit > 0 && t.Standing+t.PerCall > t.Limit }

// totals sums all roles.
func totals(roles []Role) []Total {
	var sums []Total
	for _, kind := range []Kind{Processor, Memory, Traffic, Writes, Reads, Exchanges} {
		sums = append(sums, Total{
			Kind: kind, Limit: limitOf(kind),
			Standing: Sum(roles, kind, Standing), PerCall: Sum(roles, kind, PerCall), Payload: Sum(roles, kind, Payload),
		})
	}
	return sums
}

// breaches names what breaks a limit: sums of control, single figures of control,
// peaks among them, and memory of any class.
func breaches(roles []Role) []string {
	var lines []string
	for _, t := range totals(roles) {
		if t.Over() {
			lines = append(lines, fmt.Sprintf("all control: %s %s (%s standing, %s per call), limit %s",
				number(t.Standing+t.PerCall), t.Kind, number(t.Standing), number(t.PerCall), number(t.Limit)))
		}
	}
	for _, r := range roles {
		for _, f := range r.Figures {
			if limit := limitOf(f.Kind); limit > 0 && f.Value > limit && (f.Class != Payload || f.Kind == Memory) {
				lines = append(lines, fmt.Sprintf("%s, %s: %s %s, limit %s (%s)", r.Name, f.Class, number(f.Value), f.Kind, number(limit), f.How))
			}
		}
	}
	return lines
}
