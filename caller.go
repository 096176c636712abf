package sapphiredrum

import "context"

// Caller tells who sends a request, as resolved from its key. Open routes have
// the zero Caller.
type Caller struct {
	Key       KeyID
	Workspace WorkspaceID
}

// Creation asks for a new program.
type Creation struct {
	Caller Caller
	// Parent is set for a sub-agent, whose budget is taken out of its parent's.
	Parent ProgramID
	// Budget is what the program may spend; zero means the workspace's default,
	// and for a sub-agent at most half of what its parent has left.
	Budget Tokens
	// Named is set when the caller asked for a budget.
	Named bool
}

// ProgramStatus describes a program to its caller.
type ProgramStatus struct {
	Program ProgramID
	Head    string
	State   string
	Budget  Tokens
	Spent   Tokens
	Turns   int
}

// CallRequest is a caller's request after its key and route were resolved. It
// holds no key.
type CallRequest struct {
	Caller Caller
	Route  Route
	// Program and Call are empty for a call outside any program.
	Program ProgramID
	Call    CallID
	// Head is the head that the call follows; empty means the latest one, in the
	// order of arrival.
	Head string
	// Messages and Limit belong to model calls.
	Messages []Message
	Limit    Tokens
	// Service belongs to calls of plain services.
	Service ServiceCall
}

// CallEnd is the last frame of a whole answer.
type CallEnd struct {
	Head   string
	Prompt Tokens
	Cached Tokens
	Used   Tokens
}

// Frame is a part of the answer to a call; exactly one field is set. Between hosts
// an empty frame tells that the call is still running.
type Frame struct {
	Piece  *Piece
	Answer *ServiceAnswer
	End    *CallEnd
}

// Calls serves callers' requests on any host. Errors are refusals.
type Calls interface {
	// Create starts a program.
	Create(ctx context.Context, creation Creation) (ProgramStatus, error)
	// Describe returns a program's status.
	Describe(ctx context.Context, caller Caller, program ProgramID) (ProgramStatus, error)
	// End ends a program and frees what it holds; cancel also stops its running call.
	End(ctx context.Context, caller Caller, program ProgramID, cancel bool) (ProgramStatus, error)
	// Call runs a call and passes the frames of its answer on, an End frame last.
	Call(ctx context.Context, request CallRequest, send func(Frame) error) error
}

// Meter records what callers experience, for service levels.
type Meter interface {
	// First records the time to the first token.
	First(tier Tier, workspace WorkspaceID, wait Millis)
	// Gap records the time between two tokens.
	Gap(tier Tier, workspace WorkspaceID, wait Millis)
	// Program records the latency of a program that ended.
	Program(tier Tier, workspace WorkspaceID, latency Millis)
	// Call records an answered or refused call.
	Call(tier Tier, workspace WorkspaceID, refusal *Refusal)
}
