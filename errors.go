package sapphiredrum

import "github.com/joomcode/errorx"

// Errors is the errorx namespace of all error types in this module. errorx
// requires package-level variables for types; they are never reassigned.
var Errors = errorx.NewNamespace("sapphiredrum")

// Error types shared by several packages. Types used by one package are declared
// there, in a sub-namespace of Errors.
var (
	// BadIdentifier marks text that does not parse as an identifier.
	BadIdentifier = Errors.NewType("bad_identifier")
	// Unavailable marks an operation that is known to have had no effect because
	// the peer could not be reached or declined it.
	Unavailable = Errors.NewType("unavailable", errorx.Temporary())
	// Busy marks an operation that the peer refused, with no effect, because it
	// was overloaded.
	Busy = Unavailable.NewSubtype("crowded")
	// Uncertain marks an operation whose effect is unknown because its response
	// was lost.
	Uncertain = Errors.NewType("uncertain", errorx.Timeout())
	// Conflict marks a conditional write whose precondition failed.
	Conflict = Errors.NewType("conflict")
	// NotFound marks an object or stream that does not exist.
	NotFound = Errors.NewType("absent", errorx.NotFound())
	// Fenced marks a command that a target rejected because of its stale fencing
	// token.
	Fenced = Errors.NewType("fenced")
	// EndOfStream marks the normal end of a target's response.
	EndOfStream = Errors.NewType("end_of_stream")
	// BrokenResponse marks a response that was truncated or could not be parsed.
	BrokenResponse = Errors.NewType("broken_answer")
)
