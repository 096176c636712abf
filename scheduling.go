package sapphiredrum

// QueuedCall describes a call that is queued for a permit.
type QueuedCall struct {
	Call      StreamID
	Program   ProgramID
	Workspace WorkspaceID
	Tier      Tier
	// QueuedAt is the time at which the call was queued.
	QueuedAt Instant
	// AttainedService is the service that the whole program has received, in tokens.
	AttainedService Tokens
	// Prompt is the estimated length of the call's prompt; Cached is the estimated
	// part of it in the target's prefix cache.
	Prompt Tokens
	Cached Tokens
	// ExcessService is the workspace's recent service on the target minus its
	// weighted fair share, in tokens; it is negative below the share.
	ExcessService Tokens
}

// QueueOrder orders the calls queued for a target.
type QueueOrder interface {
	// Before reports whether a must be served before b.
	Before(now Instant, a, b QueuedCall) bool
}

// Candidate describes a target that can take a call, as input to TargetChooser.
type Candidate struct {
	Target TargetID
	Zone   ZoneName
	// Cached is the estimated part of the prompt in the target's prefix cache;
	// CachedAge is the time since this estimate was last confirmed.
	Cached    Tokens
	CachedAge Millis
	// Queued and Running are the target's last reported values, adjusted for the
	// permits granted since.
	Queued  Slots
	Running Slots
	// Limit is the current maximum number of permits for the target.
	Limit Slots
}

// TargetChooser chooses a target for a call.
type TargetChooser interface {
	// Choose returns the index of the chosen candidate, or -1 for none. The function
	// draw returns a random number in [0, n).
	Choose(prompt Tokens, candidates []Candidate, draw func(n int) int) int
}
