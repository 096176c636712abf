package sapphiredrum

import "fmt"

// Outcome says what is known about the execution of a refused request.
type Outcome int

// The outcomes of a request that got no complete answer.
const (
	// NotRun is stated only where no byte of the request can have reached a target.
	NotRun Outcome = iota
	// Ran states that the target ran the request.
	Ran
	// Unknown states that the target may have run the request.
	Unknown
)

// String returns "not-run", "ran" or "unknown", the forms that callers see.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	}
	return "unknown"
}

// Reason says why a request was refused. Callers see its text.
type Reason string

// The reasons for refusals. docs/API.md lists the HTTP status of each.
const (
	BadRequest       Reason = "bad-request"
	TooLarge         Reason = "too-large"
	KeyMissing       Reason = "key-missing"
	KeyUnknown       Reason = "key-unknown"
	KeyWithdrawn     Reason = "key-withdrawn"
	RouteUnknown     Reason = "route-unknown"
	MethodRefused    Reason = "method-refused"
	ProgramUnknown   Reason = "program-unknown"
	ProgramForeign   Reason = "program-foreign"
	ProgramEnded     Reason = "program-ended"
	HeadStale        Reason = "head-stale"
	BudgetSpent      Reason = "budget-spent"
	CallRepeated     Reason = "call-repeated"
	CallConflict     Reason = "call-conflict"
	RateExceeded     Reason = "rate-exceeded"
	Overloaded       Reason = "overloaded"
	NoTarget         Reason = "no-target"
	TargetFailed     Reason = "target-failed"
	AnswerCut        Reason = "answer-cut"
	TimedOut         Reason = "timed-out"
	CallCancelled    Reason = "cancelled"
	KeeperMoving     Reason = "keeper-moving"
	KeeperAway       Reason = "keeper-away"
	PlatformAway     Reason = "platform-away"
	Leaving          Reason = "leaving"
	RevisionConflict Reason = "revision-conflict"
)

// Refusal is the final answer to a request that is not served. It is an error.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is the time after which asking again makes sense; zero means
	// that asking again does not help.
	RetryAfter Millis
	// Detail explains the refusal to a person. It holds no key and no body.
	Detail string
}

// Refuse returns a refusal of a request that was not run.
func Refuse(reason Reason, retryAfter Millis, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: NotRun, RetryAfter: retryAfter, Detail: detail}
}

// Error returns the refusal in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}
