package sapphiredrum

import "time"

// Millis is a length of time in milliseconds.
type Millis int64

// Common lengths of time.
const (
	Millisecond Millis = 1
	Second      Millis = 1000 * Millisecond
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

// Duration converts m for use with the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Instant is a point on one process's monotonic clock, in milliseconds since
// that clock was made. Instants of different processes are never compared.
type Instant int64

// Add returns the instant m later.
func (i Instant) Add(m Millis) Instant {
	return i + Instant(m)
}

// Since returns the time from earlier to i.
func (i Instant) Since(earlier Instant) Millis {
	return Millis(i - earlier)
}

// Date is a point in civil time, in milliseconds since the Unix epoch. It is
// used only for operators' plans and reports, never for leases.
type Date int64

// Time converts d for printing.
func (d Date) Time() time.Time {
	return time.UnixMilli(int64(d)).UTC()
}

// Clock reads a monotonic clock in milliseconds. Use NewClock for the process's
// own clock; a test sets Source to a function that it controls.
type Clock struct {
	// Source returns the current instant.
	Source func() Instant
}

// NewClock returns a clock that starts at one hour and follows the process's
// monotonic time. The offset keeps the zero Instant in the past.
func NewClock() Clock {
	start := time.Now()
	return Clock{Source: func() Instant {
		return Instant(Hour) + Instant(time.Since(start).Milliseconds())
	}}
}

// Now returns the current instant; the zero Clock stands still at zero.
func (c Clock) Now() Instant {
	if c.Source == nil {
		return 0
	}
	return c.Source()
}

// Today returns the current civil time.
func (c Clock) Today() Date {
	return Date(time.Now().UnixMilli())
}
