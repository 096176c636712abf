package limiter

import "sapphiredrum.example/sapphiredrum"

// Ask is a home's request to one lender's shard. It is sent to the host that
// holds that shard, which answers with a Grant.
type Ask struct {
	Lender      sapphiredrum.ShardID
	Home        sapphiredrum.ShardID
	Epoch       sapphiredrum.Epoch
	Incarnation sapphiredrum.Incarnation
	// Number grows with every Ask of the incarnation.
	Number uint64
	// Loan is the time for which the home counts each loan, from now.
	Loan sapphiredrum.Millis
	// Heard repeats the latest mark that came from the lender.
	Heard Mark `json:",omitzero"`
	// Workspaces are those whose share the home wants to borrow or keep.
	Workspaces []sapphiredrum.WorkspaceID `json:",omitempty"`
	// Returned are the loans that the home has ended before their time.
	Returned []Loan `json:",omitempty"`
}

// Grant answers an Ask.
type Grant struct {
	Lender sapphiredrum.ShardID
	Home   sapphiredrum.ShardID
	// Incarnation and Number are those of the Ask.
	Incarnation sapphiredrum.Incarnation
	Number      uint64
	// Mark is to be repeated in the next Ask.
	Mark Mark
	// Lent are the loans made or renewed.
	Lent []Loan `json:",omitempty"`
}

// Loan is a lender's share of a workspace, lent for the time that the Ask stated
// or given back.
type Loan struct {
	Workspace sapphiredrum.WorkspaceID
	// Tokens move with the share; they have left the sender's account.
	Tokens float64 `json:",omitempty"`
}

// Mark is a reading of the lender's clock that only the lender interprets. Its
// return shows that the home receives what the lender sends.
type Mark struct {
	Incarnation sapphiredrum.Incarnation
	At          sapphiredrum.Instant
}

// Verdict answers a request for admission.
type Verdict struct {
	Admitted bool
	// RetryAfter is the time after which asking again makes sense. Never means
	// that the workspace's burst admits no request at all.
	RetryAfter sapphiredrum.Millis
	// NotHere tells that this host's account has no share to spend. Holder is the
	// account that borrowed it, if one did.
	NotHere bool
	Holder  sapphiredrum.ShardID
}

// Never is the RetryAfter of a request that no waiting helps.
const Never sapphiredrum.Millis = 1 << 52
