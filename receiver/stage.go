package receiver

import (
	"strconv"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// stage is a part of a request's time in the host.
type stage int

// The stages, in order.
const (
	// stageHistory: what was said before is collected.
	stageHistory stage = iota
	// stageReserve: the turn's most is reserved.
	stageReserve
	// stageWait: the request waits for a target.
	stageWait
	// stageFirst: from sending to the first byte of the answer's head.
	stageFirst
	// stageSettle: the turn is kept.
	stageSettle
	stageCount
)

// String returns the stage's name in logs and metrics.
func (s stage) String() string {
	switch s {
	case stageHistory:
		return "history"
	case stageReserve:
		return "reserve"
	case stageWait:
		return "wait"
	case stageFirst:
		return "first"
	case stageSettle:
		return "settle"
	}
	return "stage " + strconv.Itoa(int(s))
}

// measure adds the time since an instant to a stage.
func (q *request) measure(s stage, since sd.Instant) {
	took := q.Clock.Now().Since(since)
	q.stages[s] += took
	q.Measures.Set.GetOrCreateHistogram(`stage_seconds{stage="` + s.String() + `"}`).Update(float64(took) / float64(sd.Second))
}

// stageFields returns the stages that took time, for the request's last line.
func (q *request) stageFields() []zap.Field {
	var fields []zap.Field
	for s := range stageCount {
		if q.stages[s] > 0 {
			fields = append(fields, zap.Int64(s.String()+"_ms", int64(q.stages[s])))
		}
	}
	return fields
}
