package estimator

import "fmt"

// Kind is what a figure counts. Its text is the unit.
type Kind string

// The kinds of figures. Those of the fleet are for all hosts together. Traffic
// counts a message between hosts once, and both ways with platform and targets.
const (
	Processor Kind = "us/s a host"
	Memory    Kind = "bytes a host"
	Traffic   Kind = "bytes/s a host"
	Writes    Kind = "platform writes/s, fleet"
	Reads     Kind = "platform reads/s, fleet"
	Exchanges Kind = "exchanges/s a host"
	Delay     Kind = "ms"
)

// Class tells what a figure counts against.
type Class string

// The classes. Standing figures do not follow the number of calls; PerCall
// figures do. Both are control. Payload carries what callers send and get.
const (
	Standing Class = "standing"
	PerCall  Class = "per call"
	Payload  Class = "payload"
)

// Series is one quantity measured at several sizes.
type Series struct {
	Name, Unit, Over string
	Points           []Point
	Line             Line
}

// Figure is what a role needs at the target size.
type Figure struct {
	Kind  Kind
	Class Class
	Value float64
	// Peak is set where Value is that of the most loaded host, not the mean.
	Peak bool
	// How is the arithmetic.
	How string
}

// Role is a part of the system.
type Role struct {
	Name string
	// State tells what it holds, Mechanism what carries it, Unmeasured what the
	// run does not show.
	State, Mechanism, Unmeasured string
	Series                       []Series
	Figures                      []Figure
}

// measure runs one measurement at each size and returns the fitted line.
func (r *Role) measure(name, unit, over string, sizes []int, run func(size int) float64) Line {
	s := Series{Name: name, Unit: unit, Over: over}
	for _, size := range sizes {
		s.Points = append(s.Points, Point{X: float64(size), Y: run(size)})
	}
	s.Line = Fit(s.Points)
	r.Series = append(r.Series, s)
	return s.Line
}

// add notes a figure with its arithmetic.
func (r *Role) add(kind Kind, class Class, value float64, how string, values ...any) {
	r.Figures = append(r.Figures, Figure{Kind: kind, Class: class, Value: value, How: fmt.Sprintf(how, values...)})
}

// peak notes a figure of the most loaded host; it is not part of any sum.
func (r *Role) peak(kind Kind, class Class, value float64, how string, values ...any) {
	r.Figures = append(r.Figures, Figure{Kind: kind, Class: class, Value: value, Peak: true, How: fmt.Sprintf(how, values...)})
}
