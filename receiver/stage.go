package receiver

import (
	"strconv"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// stage is a phase of request processing whose duration is measured.
type stage int

// The stages, in order of processing.
const (
	// stageHistory: loading the earlier turns.
	stageHistory stage = iota
	// stageReserve: from requesting the budget reservation to its end, beside the stages
	// that follow.
	stageReserve
	// stageHeld: the part of stageReserve in which nothing else went on.
	stageHeld
	// stageWait: waiting for a target.
	stageWait
	// stageFirst: from sending the request to the response header.
	stageFirst
	// stageSettle: storing the turn.
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
	case stageHeld:
		return "held"
	case stageWait:
		return "wait"
	case stageFirst:
		return "first"
	case stageSettle:
		return "settle"
	}
	return "stage " + strconv.Itoa(int(s))
}

// recordStage adds the time since the given instant to a stage.
func (q *request) recordStage(s stage, since sd.Instant) {
	q.addStage(s, q.Clock.Now().Since(since))
}

// addStage adds a duration to a stage.
func (q *request) addStage(s stage, took sd.Millis) {
	q.stageTimes[s] += took
	q.Metrics.Set.GetOrCreateHistogram(`stage_seconds{stage="` + s.String() + `"}`).Update(float64(took) / float64(sd.Second))
}

// stageFields returns log fields for the stages that took time. The time held is also given
// if it is zero and the reservation's is given, as its absence marks lines of older builds.
func (q *request) stageFields() []zap.Field {
	var fields []zap.Field
	for s := range stageCount {
		reserved := s == stageHeld && q.stageTimes[stageReserve] > 0
		if q.stageTimes[s] > 0 || reserved {
			fields = append(fields, zap.Int64(s.String()+"_ms", int64(q.stageTimes[s])))
		}
	}
	return fields
}
