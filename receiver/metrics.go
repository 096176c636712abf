package receiver

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
)

// Log event numbers of this package; see docs/EVENTS.md.
const (
	eventAnswer         = 640
	eventRefusal        = 641
	eventAttempt        = 642
	eventTurn           = 643
	eventRate           = 644
	eventTarget         = 645
	eventDeadlineNotSet = 646
	eventResetFailed    = 647
	eventCrash          = 648
	eventTargetLeaves   = 649
	eventHomePassed     = 730
	eventPromptHeld     = 731
)

// Metrics holds the counters and histograms of a host.
type Metrics struct {
	Set *metrics.Set
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics { return &Metrics{Set: metrics.NewSet()} }

// recordResponse counts a request by its rule's kind, status and reason, and records
// its latency.
func (m *Metrics) recordResponse(kind string, status int, reason string, took sd.Millis) {
	m.Set.GetOrCreateCounter(`requests_total{kind="` + kind + `",status="` + strconv.Itoa(status) + `",reason="` + reason + `"}`).Inc()
	m.Set.GetOrCreateHistogram(`request_seconds{kind="` + kind + `"}`).Update(float64(took) / float64(sd.Second))
}

// recordOutcome logs and counts a finished request. Status 0 means that the caller
// disconnected before the response; an empty reason means that it was answered.
func (q *request) recordOutcome(status int, reason string) {
	kind, rule := "unknown", ""
	revision := sd.Revision(0)
	if q.rule != nil {
		rule = string(q.rule.Name)
		switch {
		case q.isTurn():
			kind = "turn"
		case q.rule.Streaming:
			kind = "stream"
		case q.rule.Idempotent:
			kind = "repeatable"
		default:
			kind = "once"
		}
	}
	if q.table != nil {
		revision = q.table.FleetConfig.Revision
	}
	took := q.Clock.Now().Since(q.arrived)
	q.Metrics.recordResponse(kind, status, reason, took)
	fields := []zap.Field{
		zap.Int("event", eventAnswer), q.idField(), zap.String("program", string(q.params.Program)), zap.String("kind", kind),
		zap.String("rule", rule), zap.String("workspace", string(q.workspace)), zap.Uint64("revision", uint64(revision)),
		zap.Int("status", status), zap.Int64("took_ms", int64(took)), zap.String("target", string(q.target)),
		zap.Int("tried", q.attempts), zap.Int("sent", q.possibleRuns),
	}
	if kind == "turn" {
		fields = append(fields, zap.Stringer("turn", archiver.TurnKey(q.workspace, q.params.Request)))
	}
	if q.params.ProgramTimed {
		fields = append(fields, zap.Int64("left_ms", int64(q.params.ProgramLeft)))
	}
	q.recordReservation()
	fields = append(fields, q.stageFields()...)
	if q.stream != nil && q.end.framing != "" {
		fields = append(fields, zap.Int("events", q.stream.events))
	}
	fields = append(fields, q.endFields()...)
	if reason == "" {
		q.Log.Info("answered", fields...)
		return
	}
	fields[0] = zap.Int("event", eventRefusal)
	if reason == reasonCrashes {
		fields = append(fields, zap.Stringer("fingerprint", q.signature().Whole), zap.Stringer("start", q.signature().Start))
	}
	if q.retryAfter > 0 {
		fields = append(fields, zap.Int64("retry_ms", int64(q.retryAfter)))
	}
	q.Log.Warn("not served", append(fields, zap.String("reason", reason))...)
}
