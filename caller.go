package sapphiredrum

import "context"

// Caller identifies the sender of a request, as resolved from its API key.
// Requests on public routes have the zero Caller.
type Caller struct {
	Key       KeyID
	Workspace WorkspaceID
}

// CreateRequest asks for a new program.
type CreateRequest struct {
	Caller Caller
	// Parent is set for a sub-agent; its budget is deducted from the parent's.
	Parent ProgramID
	// Budget is the program's token limit. Zero selects the workspace's default,
	// for a sub-agent capped at half of the parent's remaining budget.
	Budget Tokens
	// BudgetSet is true when the caller specified a budget.
	BudgetSet bool `json:"Named"`
}

// ProgramStatus is the program state reported to callers.
type ProgramStatus struct {
	Program ProgramID
	Head    string
	State   string
	Budget  Tokens
	Spent   Tokens
	Turns   int
}

// CallRequest is a request whose API key and route have been resolved. It does
// not contain the key.
type CallRequest struct {
	Caller Caller
	Route  Route
	// Program and Call are empty for a call that belongs to no program.
	Program ProgramID
	Call    CallID
	// Head is the program head that the call extends. If empty, the call extends
	// the latest head, in order of arrival.
	Head string
	// Messages and Limit are set for model calls only.
	Messages []Message
	Limit    Tokens
	// Service is set for calls to plain services only.
	Service ServiceCall
}

// CallEnd is the last frame of a complete response.
type CallEnd struct {
	Head   string
	Prompt Tokens
	Cached Tokens
	Used   Tokens
}

// Frame is one part of the response to a call; exactly one field is set. Between
// hosts, an empty frame is a keep-alive for a call that is still running.
type Frame struct {
	Chunk    *Chunk           `json:"Piece"`
	Response *ServiceResponse `json:"Answer"`
	End      *CallEnd
}

// CallHandler handles callers' requests on any host. Its errors are of type
// *Refusal.
type CallHandler interface {
	// Create starts a program.
	Create(ctx context.Context, creation CreateRequest) (ProgramStatus, error)
	// Describe returns a program's status.
	Describe(ctx context.Context, caller Caller, program ProgramID) (ProgramStatus, error)
	// End ends a program and frees its resources; cancel also stops its running call.
	End(ctx context.Context, caller Caller, program ProgramID, cancel bool) (ProgramStatus, error)
	// Call runs a call and passes each frame of its response to send, the End
	// frame last.
	Call(ctx context.Context, request CallRequest, send func(Frame) error) error
}

// Meter records the latencies and refusals seen by callers, for service-level
// reporting.
type Meter interface {
	// FirstToken records the time to the first token.
	FirstToken(tier Tier, workspace WorkspaceID, wait Millis)
	// TokenGap records the time between two consecutive tokens.
	TokenGap(tier Tier, workspace WorkspaceID, wait Millis)
	// Program records the total latency of a finished program.
	Program(tier Tier, workspace WorkspaceID, latency Millis)
	// Call records a completed call; refusal is nil if it was answered.
	Call(tier Tier, workspace WorkspaceID, refusal *Refusal)
}
