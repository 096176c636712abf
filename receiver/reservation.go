package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
)

// reservation is the budget reservation of a turn, which may still be pending in the
// store. Until the store has it, only tokens that an allotment covers are forwarded.
type reservation struct {
	turn   archiver.Key
	cancel context.CancelFunc
	done   chan struct{}
	// hold, err and endedAt, when the reservation succeeded or failed, are set before done
	// is closed.
	hold    archiver.Key
	err     error
	endedAt sd.Instant
	// requestedAt is when the reservation was requested. recorded is set once its duration
	// has been recorded.
	requestedAt sd.Instant
	recorded    bool
}

// reserve starts reserving budget for the most that the turn may be charged.
func (q *request) reserve(ctx context.Context, turn archiver.Key, demand archiver.Demand, budget sd.Tokens) *reservation {
	ctx, cancel := context.WithCancel(ctx)
	g := &reservation{turn: turn, cancel: cancel, done: make(chan struct{}), requestedAt: q.Clock.Now()}
	go func() {
		defer close(g.done)
		g.hold, g.err = q.Archive.Reserve(ctx, q.program, turn, demand, budget)
		g.endedAt = q.Clock.Now()
	}()
	return g
}

// finished reports whether the reservation has succeeded or failed.
func (g *reservation) finished() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// granted reports whether the reservation has succeeded.
func (g *reservation) granted() bool { return g.finished() && g.err == nil }

// end gives up a reservation that is still pending and returns its key, under which the
// turn can be settled whether or not the reservation was made.
func (g *reservation) end() archiver.Key {
	if !g.finished() {
		g.cancel()
		<-g.done
	}
	return g.hold
}

// waitReservation waits until the store has the turn's reservation. The error is
// BudgetExhausted, Unavailable, or that of ctx.
func (q *request) waitReservation(ctx context.Context) error {
	g := q.stream.reservation
	if g == nil {
		return nil
	}
	if g.finished() {
		return g.err
	}
	select {
	case <-g.done:
		return g.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// recordReservation records how long the reservation took, if it has ended. It runs beside
// the wait for a target and the target's own work, so its duration is not measured where
// its result is used.
func (q *request) recordReservation() {
	if q.stream == nil || q.stream.reservation == nil {
		return
	}
	if g := q.stream.reservation; !g.recorded && g.finished() {
		g.recorded = true
		q.addStage(stageReserve, g.endedAt.Since(g.requestedAt))
	}
}

// reserveBeforeSend waits for the reservation before the turn is sent to any target,
// or for an allotment, for at most 1/storeTimeDivisor of the remaining time. On failure, it answers the
// turn and returns false.
func (q *request) reserveBeforeSend(ctx context.Context) bool {
	g := q.stream.reservation
	timer := time.AfterFunc((q.remaining() / storeTimeDivisor).Duration(), g.cancel)
	defer timer.Stop()
	if err := q.waitBacked(ctx, 0); err != nil {
		q.refuseUnreserved(ctx, err)
		return false
	}
	return true
}

// refuseUnreserved answers a turn whose reservation failed with err.
func (q *request) refuseUnreserved(ctx context.Context, err error) {
	// A turn that takes the rest of the budget has asked for too much if others had some of it meanwhile.
	exhausted := errorx.IsOfType(err, archiver.BudgetExhausted) && !(q.takesRest() && q.Archive.Remaining(q.program, q.params.Budget) > 0)
	if exhausted && q.possibleRuns == 0 {
		q.Log.Info("turn exceeds the remaining budget of the program", zap.Int("event", eventTurn), q.idField(), zap.Error(err))
		q.RateLimiter.Return(q.workspace)
		q.refuse(http.StatusPaymentRequired, "budget spent", 0)
		return
	}
	q.Log.Warn("budget cannot be reserved", zap.Int("event", eventTurn), q.idField(), zap.Error(err))
	q.fail(ctx, "budget cannot be reserved", retryDelay)
}
