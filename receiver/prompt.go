package receiver

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

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

// maxChoicesLogged bounds the lines a second about choices of targets.
const maxChoicesLogged = 5

// choiceLog bounds the lines about choices of targets. It is safe for concurrent use.
type choiceLog struct {
	mu     sync.Mutex
	second sd.Instant
	lines  int
}

// allow reports whether one more line may be written.
func (l *choiceLog) allow(now sd.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now / sd.Instant(sd.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= maxChoicesLogged
}

// reportChoice counts and logs the choice of a target if it is not the one that probably holds the
// program's prompt, or if the request was held back although slots were free.
func (q *request) reportChoice(ticket *balancer.Request) {
	c := ticket.Choice
	passed, held := c.Home != "" && ticket.Target != "" && c.Home != ticket.Target, c.HeldBy != "" && c.HeldFor > 0
	event, text := eventHomePassed, "another target than the program's home"
	if passed {
		reason := "slow"
		if c.HomeTime == 0 {
			reason = "full"
		}
		q.Metrics.Set.GetOrCreateCounter(`homes_passed_total{reason="` + reason + `"}`).Inc()
	}
	if held {
		q.Metrics.Set.GetOrCreateCounter(`prompts_held_total{reason="` + string(c.HeldBy) + `"}`).Inc()
		event, text = eventPromptHeld, "prompt held back"
	}
	if !(passed || held) || !q.choices.allow(q.Clock.Now()) {
		return
	}
	q.Log.Info(text, zap.Int("event", event), q.idField(), zap.String("home", string(c.Home)), zap.String("target", string(ticket.Target)),
		zap.Int64("prompt", int64(ticket.Prompt)), zap.Int64("unread", int64(c.Unread)), zap.Float64("home_ms", c.HomeTime), zap.Float64("expected_ms", c.Time),
		zap.Float64("typical_ms", c.Typical), zap.Float64("load", c.Load), zap.Float64("backlog", c.Backlog), zap.Float64("held", c.Held),
		zap.Float64("factor", c.Factor), zap.Int64("work_time_age_ms", int64(c.WorkTimeAge)), zap.String("held_by", string(c.HeldBy)), zap.Int64("held_ms", int64(c.HeldFor)))
}
