package receiver

import (
	"context"
	"net/http"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
)

// storePatience is the part of a turn's time, one in so many, that it may wait for the
// store before it runs: with the time to come back, a caller tries three times.
const storePatience = 3

// unbounded is the budget of a turn whose caller names none.
const unbounded = sd.Tokens(1) << 50

// turn serves a turn of a program: it collects what was said before, reserves the
// turn's most from the program's budget, and keeps the turn before its end is
// passed on. Where the rule keeps no turns there is only the budget.
func (q *request) turn(ctx context.Context) {
	if q.rule.RetainTurns && len(q.body) > turnBytes {
		q.Meter.Return(q.workspace)
		q.refuse(http.StatusRequestEntityTooLarge, "turn too long to keep", 0)
		return
	}
	if q.isolated.Load() {
		q.Log.Info("host is cut off, the turn cannot be reserved", zap.Int("event", eventTurn), q.id())
		q.fail(ctx, "cut off from the store", leadElsewhere)
		return
	}
	kept := &archiver.Turn{Program: q.program, Key: archiver.TurnKey(q.workspace, q.ask.Request), Input: q.body}
	if !q.collect(ctx, kept) {
		return
	}
	s := &stream{keeps: q.rule.RetainTurns, output: buffer{common: q.buffers}, room: turnBytes - len(q.body), last: q.ask.After}
	defer s.output.free()
	if size := q.table.EventTokens(q.pool); q.ask.Limit > 0 {
		// The last event may hold fewer tokens than the others.
		s.most = int((q.ask.Limit + size - 1) / size)
	}
	q.stream = s
	budget := q.ask.Budget
	if !q.ask.Budgeted {
		budget = unbounded
	}
	settled := false
	if q.rule.RetainTurns || q.ask.Budgeted {
		s.grant = q.reserve(ctx, kept.Key, budget)
		defer func() {
			if !settled {
				q.settle(ctx, s.grant, q.used())
			}
		}()
		// A target may begin while the store takes the reservation, if it surely will.
		if !q.Archive.Expects(q.program, q.ask.Limit, budget, q.begins()) && !q.await(ctx) {
			return
		}
	}
	s.finish = func() bool {
		q.lately.ran(q.program, q.target)
		if !q.rule.RetainTurns {
			return true
		}
		settled = true
		kept.Target, kept.Output = q.target, s.output.text()
		ended := q.Clock.Now()
		err := q.Archive.Settle(ctx, q.program, s.grant.hold, q.used(), kept)
		q.measure(stageSettle, ended)
		if err != nil {
			q.Log.Warn("turn is not kept", zap.Int("event", eventTurn), q.id(), zap.Error(err))
			return false
		}
		return true
	}
	q.serve(ctx)
}

// used returns the tokens that the caller was handed.
func (q *request) used() sd.Tokens {
	return sd.Tokens(q.stream.events) * q.table.EventTokens(q.pool)
}

// collect finds what was said before the turn and where that ran. It answers the turn and
// reports false if it cannot go on from there.
func (q *request) collect(ctx context.Context, kept *archiver.Turn) bool {
	if !q.rule.RetainTurns || q.ask.Previous == "" {
		q.prefer = q.lately.target(q.program)
		return true
	}
	// A turn that waits for the store is refused while its caller still has time to come
	// back.
	ctx, cancel := context.WithTimeout(ctx, (q.left() / storePatience).Duration())
	defer cancel()
	asked := q.Clock.Now()
	chain, err := q.Archive.Chain(ctx, q.program, archiver.TurnKey(q.workspace, q.ask.Previous))
	q.measure(stageHistory, asked)
	if errorx.IsOfType(err, sd.NotFound) {
		q.Log.Info("previous turn is not kept", zap.Int("event", eventTurn), q.id(), zap.String("previous", string(q.ask.Previous)), zap.Error(err))
		q.Meter.Return(q.workspace)
		q.refuse(http.StatusNotFound, "no such turn", 0)
		return false
	}
	if err != nil {
		q.Log.Warn("previous turn cannot be read", zap.Int("event", eventTurn), q.id(), zap.Error(err))
		q.fail(ctx, "previous turn cannot be read", comeBack)
		return false
	}
	q.chain = chain
	last := chain[len(chain)-1]
	kept.Previous, kept.Origin, q.prefer = last.Key, last.Program, last.Target
	return true
}

// settle accounts for what was handed out of a turn that nobody goes on from; nobody waits
// for that. A reservation that is still under way is given up.
func (q *request) settle(ctx context.Context, g *grant, used sd.Tokens) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout.Duration())
	g.cancel()
	q.settling.Go(func() {
		defer cancel()
		<-g.done
		if g.err != nil {
			return
		}
		if err := q.Archive.Settle(ctx, q.program, g.hold, used, nil); err != nil {
			q.Log.Info("account of a turn is not written yet", zap.Int("event", eventTurn), q.id(), zap.Error(err))
		}
	})
}

// settleTimeout bounds the wait for such a turn's account; it is written later all the
// same.
const settleTimeout = 2 * sd.Second
