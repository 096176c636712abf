package recorder

import root "sapphiredrum.example/sapphiredrum"

// Rules are the recorder's settings.
type Rules struct {
	// Writes is the number of platform writes per second that the recorders of
	// all hosts together may use.
	Writes root.Rate
	// Least is the shortest interval between flushes.
	Least root.Millis
	// Segments is the number of segments that are merged into one, and of merged
	// ones after which a checkpoint follows.
	Segments int
	// Delta is the least size of the segments that a checkpoint replaces.
	Delta root.Bytes
	// Group bounds the records that wait for the platform; beyond it they are
	// dropped and the next flush is a checkpoint.
	Group root.Bytes
	// Patience is how long an intent waits for the platform, beyond the interval,
	// before it is refused.
	Patience root.Millis
	// Retention is how long an intent is kept: longer than a route's timeout and
	// a caller's longest retry together.
	Retention root.Millis
	// Answer bounds the answer that an intent keeps.
	Answer root.Bytes
	// Retry is the time to come back that refusals name.
	Retry root.Millis
}

// DefaultRules are the rules of a host without settings.
var DefaultRules = Rules{
	Writes: 200, Least: 20 * root.Millisecond, Segments: 64, Delta: 4 << 20, Group: 16 << 20,
	Patience: 2 * root.Second, Retention: 30 * root.Minute, Answer: 64 << 10, Retry: root.Second,
}

// writesPerFlush counts the object and the row.
const writesPerFlush = 2

// Interval returns the time between two flushes of one host, so that the flushes
// of all live hosts stay within Writes.
func (r Rules) Interval(hosts int) root.Millis {
	interval := root.Millis(float64(root.Second) * writesPerFlush * float64(max(1, hosts)) / float64(r.Writes))
	return max(interval, r.Least)
}
