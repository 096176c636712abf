package limiter

import "sapphiredrum.example/sapphiredrum"

// LoanRequest is a home's request to one lender's shard. It is sent to the host that
// holds that shard, which answers with a Grant.
type LoanRequest struct {
	Lender      sapphiredrum.ShardID
	Home        sapphiredrum.ShardID
	Epoch       sapphiredrum.Epoch
	Incarnation sapphiredrum.Incarnation
	// Number increases with every request of the incarnation.
	Number uint64
	// LoanDuration is how long the home uses each loan, from now.
	LoanDuration sapphiredrum.Millis `json:"Loan"`
	// Echo repeats the latest timestamp received from the lender.
	Echo EchoTimestamp `json:"Heard,omitzero"`
	// Workspaces are those whose share the home wants to borrow or keep.
	Workspaces []sapphiredrum.WorkspaceID `json:",omitempty"`
	// Returned are the loans that the home has ended before they expired.
	Returned []Loan `json:",omitempty"`
}

// Grant answers a LoanRequest.
type Grant struct {
	Lender sapphiredrum.ShardID
	Home   sapphiredrum.ShardID
	// Incarnation and Number are those of the request.
	Incarnation sapphiredrum.Incarnation
	Number      uint64
	// Timestamp is to be echoed in the next request.
	Timestamp EchoTimestamp `json:"Mark"`
	// Lent are the loans made or renewed.
	Lent []Loan `json:",omitempty"`
}

// Loan is a lender's share of a workspace, lent for the requested duration or
// returned.
type Loan struct {
	Workspace sapphiredrum.WorkspaceID
	// Tokens move with the share; they have been removed from the sender's account.
	Tokens float64 `json:",omitempty"`
}

// EchoTimestamp is a reading of the lender's clock that only the lender interprets.
// Its echo proves that the home receives the lender's messages.
type EchoTimestamp struct {
	Incarnation sapphiredrum.Incarnation
	At          sapphiredrum.Instant
}

// Decision answers an admission request.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which a retry makes sense. Never means that the
	// workspace's burst does not admit any request.
	RetryAfter sapphiredrum.Millis
	// NoShare reports that this host's account has no share to spend. Borrower is the
	// account that borrowed the share, if one did.
	NoShare  bool                 `json:"NotHere"`
	Borrower sapphiredrum.ShardID `json:"Holder"`
}

// Never is the RetryAfter of a request that can never be admitted.
const Never sapphiredrum.Millis = 1 << 52
