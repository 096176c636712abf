package sapphiredrum

import "github.com/joomcode/errorx"

// Errors is the namespace of every error type of this module. errorx keeps
// types as package-level values; they are never reassigned.
var Errors = errorx.NewNamespace("sapphiredrum")

// Error types shared by several packages. A package's own types stand in that
// package, in a sub-namespace of Errors.
var (
	// BadIdentifier marks text that does not parse as an identifier.
	BadIdentifier = Errors.NewType("bad_identifier")
	// Unavailable marks an operation that certainly took no effect because the
	// other side could not be reached or declined.
	Unavailable = Errors.NewType("unavailable", errorx.Temporary())
	// Crowded marks an operation that was refused, with no effect, because the other
	// side had too much to do.
	Crowded = Unavailable.NewSubtype("crowded")
	// Uncertain marks an operation whose effect is unknown: its answer was lost.
	Uncertain = Errors.NewType("uncertain", errorx.Timeout())
	// Conflict marks a conditional write whose condition did not hold.
	Conflict = Errors.NewType("conflict")
	// Absent marks an object or stream that does not exist.
	Absent = Errors.NewType("absent", errorx.NotFound())
	// Fenced marks an order that a target refused for its old fencing number.
	Fenced = Errors.NewType("fenced")
	// EndOfStream marks the regular end of a target's answer.
	EndOfStream = Errors.NewType("end_of_stream")
	// BrokenAnswer marks an answer that ended early or did not parse.
	BrokenAnswer = Errors.NewType("broken_answer")
)
