package receiver

import (
	"bytes"
	"context"
	"net/http"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
)

// storeTimeDivisor is the divisor of a turn's remaining time that gives the longest
// wait for the store. With the retry delay, it leaves a caller time for three attempts.
const storeTimeDivisor = 3

// unlimitedBudget is the budget of a turn whose caller sets none.
const unlimitedBudget = sd.Tokens(1) << 50

// serveTurn serves a turn of a program: it loads the earlier turns, reserves the
// most that the turn may be charged from the program's budget, and stores the turn before
// the end of the response is forwarded. Under rules that do not retain turns, it only
// applies the budget. While the store cannot take the reservation, the turn runs on
// allotments.
func (q *request) serveTurn(ctx context.Context) {
	if q.rule.RetainTurns && q.bodySize > maxTurnBytes {
		q.RateLimiter.Return(q.workspace)
		q.refuse(http.StatusRequestEntityTooLarge, "turn too long to keep", 0)
		return
	}
	// The end of a retained turn could not be stored.
	if q.isolated.Load() && (q.rule.RetainTurns || !q.allottable()) {
		q.Log.Info("host is isolated; cannot reserve the budget of the turn", zap.Int("event", eventTurn), q.idField())
		q.fail(ctx, "cut off from the store", isolatedRetryDelay)
		return
	}
	turn := &archiver.Turn{Program: q.program, Key: archiver.TurnKey(q.workspace, q.params.Request)}
	if q.rule.RetainTurns {
		turn.Input = bytes.Join(q.body, nil)
		q.body = [][]byte{turn.Input}
	}
	if !q.loadHistory(ctx, turn) {
		return
	}
	s := &stream{retain: q.rule.RetainTurns, output: buffer{quota: q.bufferQuota, holder: q.holder}, outputLeft: maxTurnBytes - q.bodySize, lastID: q.params.After}
	defer s.output.release()
	s.perEvent = q.table.TokensPerEvent(q.pool)
	s.demand = archiver.NewDemand(q.params.Limit, s.perEvent)
	if q.takesRest() {
		s.demand = archiver.NewDemand(max(q.Archive.Remaining(q.program, q.params.Budget), 1), s.perEvent)
	}
	q.stream = s
	budget := q.params.Budget
	if !q.params.Budgeted {
		budget = unlimitedBudget
	}
	settled := false
	if q.rule.RetainTurns || q.params.Budgeted {
		s.reservation = q.reserve(ctx, turn.Key, s.demand, budget)
		defer func() {
			if !settled {
				q.settle(ctx, s.reservation, q.usedTokens())
			}
		}()
		// The turn may be sent before the reservation is stored if it is certain to fit.
		likely := !q.takesRest() && q.Archive.ReservationLikely(q.program, s.demand, budget, q.startsProgram())
		if !likely && !q.reserveBeforeSend(ctx) {
			return
		}
	}
	s.finish = func() bool {
		q.recent.record(q.program, q.target)
		if !q.rule.RetainTurns {
			return true
		}
		settled = true
		turn.Target, turn.Output = q.target, s.output.contents()
		settleStart := q.Clock.Now()
		hold, charge := s.reservation.end(), q.usedTokens()
		if s.reservation.err != nil {
			// The turn ran on allotments, which are not returned and count as spent.
			charge = 0
		}
		q.returnAllotment(ctx)
		err := q.Archive.Settle(ctx, q.program, hold, charge, turn)
		q.recordStage(stageSettle, settleStart)
		if err != nil {
			q.Log.Warn("cannot store the turn", zap.Int("event", eventTurn), q.idField(), zap.Error(err))
			return false
		}
		return true
	}
	q.serve(ctx)
}

// takesRest reports whether the turn may use all that is left of its program's budget, as its caller
// names no limit.
func (q *request) takesRest() bool { return q.params.Budgeted && q.params.Limit == 0 }

// usedTokens returns the number of tokens forwarded to the caller.
func (q *request) usedTokens() sd.Tokens {
	return sd.Tokens(q.stream.events) * q.stream.perEvent
}

// loadHistory loads the earlier turns and prefers the target of the last one. If the
// previous turn cannot be loaded, it answers the turn and returns false.
func (q *request) loadHistory(ctx context.Context, turn *archiver.Turn) bool {
	if !q.rule.RetainTurns || q.params.Previous == "" {
		q.preferred = q.recent.target(q.program)
		return true
	}
	// Refuse the turn while its caller still has time to retry.
	ctx, cancel := context.WithTimeout(ctx, (q.remaining() / storeTimeDivisor).Duration())
	defer cancel()
	start := q.Clock.Now()
	chain, err := q.Archive.ChainWithin(ctx, q.program, archiver.TurnKey(q.workspace, q.params.Previous), q.holder.Reserve)
	q.recordStage(stageHistory, start)
	if errorx.IsOfType(err, sd.NotFound) {
		q.Log.Info("previous turn not found", zap.Int("event", eventTurn), q.idField(), zap.String("previous", string(q.params.Previous)), zap.Error(err))
		q.RateLimiter.Return(q.workspace)
		q.refuse(http.StatusNotFound, "no such turn", 0)
		return false
	}
	if err != nil {
		q.Log.Warn("previous turn cannot be read", zap.Int("event", eventTurn), q.idField(), zap.String("previous", string(q.params.Previous)), zap.Error(err))
		q.fail(ctx, "previous turn cannot be read", retryDelay)
		return false
	}
	q.history = chain
	last := chain[len(chain)-1]
	turn.Previous, turn.Origin, q.preferred = last.Key, last.Program, last.Target
	return true
}

// settle records the token usage of a turn that is not stored, in the background. A
// reservation that is still pending is cancelled.
func (q *request) settle(ctx context.Context, g *reservation, used sd.Tokens) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout.Duration())
	g.cancel()
	q.settling.Go(func() {
		defer cancel()
		<-g.done
		q.returnAllotment(ctx)
		if g.err != nil {
			return
		}
		if err := q.Archive.Settle(ctx, q.program, g.hold, used, nil); err != nil {
			q.Log.Info("token usage of the turn not recorded yet", zap.Int("event", eventTurn), q.idField(), zap.Error(err))
		}
	})
}

// settleTimeout limits the wait in settle; after it, the archive still records the
// usage later.
const settleTimeout = 2 * sd.Second
