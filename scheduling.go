package sapphiredrum

// Waiting describes a call that waits for a permit, as an Orderer sees it.
type Waiting struct {
	Call      StreamID
	Program   ProgramID
	Workspace WorkspaceID
	Tier      Tier
	// Since is when the call began to wait.
	Since Instant
	// Attained is the service the whole program has had, in tokens.
	Attained Tokens
	// Prompt estimates the call's prompt, Cached the part of it that the target
	// is believed to hold.
	Prompt Tokens
	Cached Tokens
	// Excess tells by how much the workspace's recent service on the target
	// exceeds its weighted share, in tokens; negative when it is behind.
	Excess Tokens
}

// Orderer orders the calls that wait for a target.
type Orderer interface {
	// Before reports whether a is to be served before b.
	Before(now Instant, a, b Waiting) bool
}

// Candidate describes a target that could take a call, as a Chooser sees it.
type Candidate struct {
	Target TargetID
	Zone   ZoneName
	// Cached is the part of the prompt that the target is believed to hold, and
	// Age the time since that belief was last confirmed.
	Cached Tokens
	Age    Millis
	// Queued and Running are corrected for what was granted since the report.
	Queued  Slots
	Running Slots
	// Limit is the number of permits that the target bears now.
	Limit Slots
}

// Chooser picks a target for a call.
type Chooser interface {
	// Choose returns the index of the chosen candidate, or -1 for none. Draw
	// returns random numbers below its argument.
	Choose(prompt Tokens, candidates []Candidate, draw func(n int) int) int
}
