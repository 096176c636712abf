package faker

import "sapphiredrum.example/sapphiredrum"

// PlatformFaults are the faults and limits of the platform; the zero value is a
// platform without either.
type PlatformFaults struct {
	// Away makes every operation fail as Unavailable.
	Away bool
	// Hang holds every operation back until it is cleared. An operation whose
	// caller gave up meanwhile may still take effect when served over HTTP.
	Hang bool
	// Slow delays every operation before it takes effect.
	Slow sapphiredrum.Millis
	// LoseAnswers is the number of next writes that take effect and are then
	// reported as Uncertain.
	LoseAnswers int
	// LoseRequests is the number of next writes that take no effect and are
	// reported as Uncertain.
	LoseRequests int
	// Lag is the age of the list of members.
	Lag sapphiredrum.Millis
	// Writes and Reads limit the rows written and read per second; operations
	// beyond them fail as Unavailable. Zero means no limit.
	Writes sapphiredrum.Rate
	Reads  sapphiredrum.Rate
}

// PlatformCounters tell what the platform did.
type PlatformCounters struct {
	Commits   uint64
	Conflicts uint64
	// WriteRows and ReadRows count rows, the unit of the platform's limits.
	WriteRows uint64
	Reads     uint64
	ReadRows  uint64
	Changes   uint64
	Puts      uint64
	Gets      uint64
	Deletes   uint64
	Lists     uint64
	// Throttled counts operations refused for the limits.
	Throttled uint64
	// LostAnswers and LostRequests count writes reported as Uncertain.
	LostAnswers  uint64
	LostRequests uint64
	// PeakWrites and PeakReads are the most rows in any second.
	PeakWrites uint64
	PeakReads  uint64
}
