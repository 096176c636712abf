package sapphiredrum

import "fmt"

// Outcome states whether a refused request was executed.
type Outcome int

// The outcomes of a request without a complete response.
const (
	// NotRun means that no byte of the request can have reached a target.
	NotRun Outcome = iota
	// Ran means that a target ran the request.
	Ran
	// Unknown means that a target may have run the request.
	Unknown
)

// String returns "not-run", "ran" or "unknown", the values sent to callers.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	}
	return "unknown"
}

// Reason is the cause of a refusal. Its text is sent to callers.
type Reason string

// The reasons for refusals. docs/API.md lists their HTTP status codes.
const (
	BadRequest            Reason = "bad-request"
	TooLarge              Reason = "too-large"
	KeyMissing            Reason = "key-missing"
	KeyUnknown            Reason = "key-unknown"
	KeyRevoked            Reason = "key-withdrawn"
	RouteUnknown          Reason = "route-unknown"
	MethodNotAllowed      Reason = "method-refused"
	ProgramUnknown        Reason = "program-unknown"
	ProgramWrongWorkspace Reason = "program-foreign"
	ProgramEnded          Reason = "program-ended"
	HeadStale             Reason = "head-stale"
	BudgetExhausted       Reason = "budget-spent"
	CallRepeated          Reason = "call-repeated"
	CallConflict          Reason = "call-conflict"
	RateExceeded          Reason = "rate-exceeded"
	Overloaded            Reason = "overloaded"
	NoTarget              Reason = "no-target"
	TargetFailed          Reason = "target-failed"
	ResponseTruncated     Reason = "answer-cut"
	TimedOut              Reason = "timed-out"
	CallCancelled         Reason = "cancelled"
	KeeperMoving          Reason = "keeper-moving"
	KeeperUnavailable     Reason = "keeper-away"
	PlatformUnavailable   Reason = "platform-away"
	HostLeaving           Reason = "leaving"
	RevisionConflict      Reason = "revision-conflict"
)

// Refusal is the final response to a request that is not served. It implements
// error.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is the delay before a retry; zero means that a retry does not
	// help.
	RetryAfter Millis
	// Detail is a human-readable explanation. It must not contain API keys or
	// request bodies.
	Detail string
}

// NewRefusal returns a refusal with the outcome NotRun.
func NewRefusal(reason Reason, retryAfter Millis, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: NotRun, RetryAfter: retryAfter, Detail: detail}
}

// Error returns the refusal as a single line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}
