package receiver

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// Events of this package; docs/EVENTS.md lists them.
const (
	eventAnswer  = 640
	eventRefusal = 641
	eventAttempt = 642
	eventTurn    = 643
	eventRate    = 644
	eventTarget  = 645
	eventUnbound = 646
)

// Measures are the counters and histograms of a host.
type Measures struct {
	Set *metrics.Set
}

// NewMeasures returns measures that start at zero.
func NewMeasures() *Measures { return &Measures{Set: metrics.NewSet()} }

// answered counts a request by its rule's kind, status and reason.
func (m *Measures) answered(kind string, status int, reason string, took sd.Millis) {
	m.Set.GetOrCreateCounter(`requests_total{kind="` + kind + `",status="` + strconv.Itoa(status) + `",reason="` + reason + `"}`).Inc()
	m.Set.GetOrCreateHistogram(`request_seconds{kind="` + kind + `"}`).Update(float64(took) / float64(sd.Second))
}

// note logs and counts the end of a request. Status 0 tells that the caller left
// before an answer.
func (q *request) note(status int, reason string) {
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
		revision = q.table.Plan.Revision
	}
	took := q.Clock.Now().Since(q.arrived)
	q.Measures.answered(kind, status, reason, took)
	fields := []zap.Field{
		zap.Int("event", eventAnswer), q.id(), zap.String("program", string(q.ask.Program)), zap.String("kind", kind),
		zap.String("rule", rule), zap.String("workspace", string(q.workspace)), zap.Uint64("revision", uint64(revision)),
		zap.Int("status", status), zap.Int64("took_ms", int64(took)), zap.String("target", string(q.target)),
		zap.Int("tried", q.tried), zap.Int("sent", q.sent),
	}
	fields = append(fields, q.stageFields()...)
	if reason == "" {
		q.Log.Info("answered", fields...)
		return
	}
	fields[0] = zap.Int("event", eventRefusal)
	q.Log.Warn("not served", append(fields, zap.String("reason", reason))...)
}
