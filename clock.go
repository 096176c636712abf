package sapphiredrum

import "time"

// Millis is a duration in milliseconds.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second      Millis = 1000 * Millisecond
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Instant is a reading of one process's monotonic clock, in milliseconds.
// Instants of different processes must not be compared.
type Instant int64

// Add returns the instant m later.
func (i Instant) Add(m Millis) Instant {
	return i + Instant(m)
}

// Since returns the time from earlier to i.
func (i Instant) Since(earlier Instant) Millis {
	return Millis(i - earlier)
}

// WallTime is a wall-clock time in milliseconds since the Unix epoch. It is used
// only for operators' schedules and reports, never for leases.
type WallTime int64

// Time converts d to a time.Time in UTC, for printing.
func (d WallTime) Time() time.Time {
	return time.UnixMilli(int64(d)).UTC()
}

// Clock reads a monotonic clock in milliseconds. NewClock returns the process's
// clock; tests set Source to a function that they control.
type Clock struct {
	// Source returns the current instant.
	Source func() Instant
}

// NewClock returns a clock that follows the process's monotonic time, starting
// at one hour so that the zero Instant lies in the past.
func NewClock() Clock {
	start := time.Now()
	return Clock{Source: func() Instant {
		return Instant(Hour) + Instant(time.Since(start).Milliseconds())
	}}
}

// Now returns the current instant. The zero Clock always returns zero.
func (c Clock) Now() Instant {
	if c.Source == nil {
		return 0
	}
	return c.Source()
}

// WallNow returns the current wall-clock time.
func (c Clock) WallNow() WallTime {
	return WallTime(time.Now().UnixMilli())
}
