package messenger

import (
	"encoding/json"
	"errors"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
)

// envelope is the body of every answer and every line of a stream.
type envelope struct {
	Body    json.RawMessage `json:"body,omitempty"`
	Refusal *refusal        `json:"refusal,omitempty"`
	Fault   *fault          `json:"fault,omitempty"`
	// End marks the last line of a stream.
	End bool `json:"end,omitempty"`
}

// refusal is a Refusal on the wire.
type refusal struct {
	Reason  sd.Reason  `json:"reason"`
	Outcome sd.Outcome `json:"outcome"`
	Retry   sd.Millis  `json:"retry"`
	Detail  string     `json:"detail"`
}

// fault is any other error on the wire.
type fault struct {
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// seal puts an answer or an error into an envelope.
func seal(body any, err error) envelope {
	var refused *sd.Refusal
	if errors.As(err, &refused) {
		return envelope{Refusal: &refusal{
			Reason: refused.Reason, Outcome: refused.Outcome, Retry: refused.RetryAfter, Detail: refused.Detail,
		}}
	}
	if err != nil {
		return envelope{Fault: &fault{Kind: kindOf(err), Text: err.Error()}}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return envelope{Fault: &fault{Kind: "broken", Text: err.Error()}}
	}
	return envelope{Body: encoded}
}

// open takes the answer or the error out of an envelope.
func (e envelope) open(into any) error {
	switch {
	case e.Refusal != nil:
		return &sd.Refusal{Reason: e.Refusal.Reason, Outcome: e.Refusal.Outcome, RetryAfter: e.Refusal.Retry, Detail: e.Refusal.Detail}
	case e.Fault != nil:
		return typeOf(e.Fault.Kind).New("%s", e.Fault.Text)
	}
	if err := json.Unmarshal(e.Body, into); err != nil {
		return sd.BrokenResponse.Wrap(err, "a peer's answer does not parse")
	}
	return nil
}

// kindOf names an error's type on the wire.
func kindOf(err error) string {
	switch {
	case errorx.IsOfType(err, sd.Unavailable):
		return "unavailable"
	case errorx.IsOfType(err, sd.Conflict):
		return "conflict"
	case errorx.IsOfType(err, sd.NotFound):
		return "absent"
	case errorx.IsOfType(err, sd.Fenced):
		return "fenced"
	case errorx.IsOfType(err, sd.BrokenResponse):
		return "broken"
	}
	return "uncertain"
}

// typeOf returns the error type with the given name on the wire.
func typeOf(kind string) *errorx.Type {
	switch kind {
	case "unavailable":
		return sd.Unavailable
	case "conflict":
		return sd.Conflict
	case "absent":
		return sd.NotFound
	case "fenced":
		return sd.Fenced
	case "broken":
		return sd.BrokenResponse
	}
	return sd.Uncertain
}
