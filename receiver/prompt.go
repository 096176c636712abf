package receiver

import (
	"github.com/cespare/xxhash/v2"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

// The upper bounds of the size classes of prompts in metrics: engines read some 100 tokens in a
// millisecond, so that short prompts are read in less than 20 ms and long ones in more than 80 ms.
const (
	shortPrompt  = sd.Tokens(2000)
	mediumPrompt = sd.Tokens(8000)
)

// promptClass returns the size class of a prompt in metrics.
func promptClass(tokens sd.Tokens) string {
	switch {
	case tokens == 0:
		return "unknown"
	case tokens <= shortPrompt:
		return "short"
	case tokens <= mediumPrompt:
		return "medium"
	}
	return "long"
}

// describePrompt adds what is known of the request's prompt to a ticket.
func (q *request) describePrompt(ticket *balancer.Request) {
	if !q.rule.Streaming {
		return
	}
	ticket.Longest, ticket.Objective = q.params.Limit, q.rule.LatencyObjective
	if q.isTurn() {
		ticket.PromptKey = xxhash.Sum64String(string(q.program[:]) + q.params.Session)
	}
	for _, part := range q.params.Prefix {
		ticket.PromptParts = append(ticket.PromptParts, balancer.PromptPart{ID: xxhash.Sum64String(part.ID), Tokens: part.Tokens})
	}
}

// recordFirstEvent records that the first event of the target's answer has come.
func (q *request) recordFirstEvent() {
	q.TargetQueue.Update(func(b *balancer.State, now sd.Instant) { b.PromptRead(now, q.ticket) })
	if q.stream.events == 1 {
		took := q.Clock.Now().Since(q.arrived)
		q.Metrics.Set.GetOrCreateHistogram(`first_event_seconds{prompt="` + promptClass(q.params.Prompt) + `"}`).Update(float64(took) / float64(sd.Second))
	}
}
