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
// passed on.
func (q *request) turn(ctx context.Context) {
	if len(q.body) > turnBytes {
		q.Meter.Return(q.workspace)
		q.refuse(http.StatusRequestEntityTooLarge, "turn too long to keep", 0)
		return
	}
	if q.isolated.Load() {
		q.Log.Info("host is cut off, the turn cannot be reserved", zap.Int("event", eventTurn), q.id())
		q.fail(ctx, "cut off from the store", leadElsewhere)
		return
	}
	// A turn that the store does not take soon is refused while its caller still has time
	// to come back.
	waiting, cancel := context.WithTimeout(ctx, (q.left() / storePatience).Duration())
	defer cancel()
	program := archiver.ProgramKey(q.workspace, q.ask.Program)
	if q.ask.Program == "" {
		program = archiver.ProgramKey(q.workspace, sd.ProgramID("request:"+string(q.ask.Request)))
	}
	key := archiver.TurnKey(q.workspace, q.ask.Request)
	kept := &archiver.Turn{Program: program, Key: key, Input: q.body}
	if q.ask.Previous != "" {
		previous := archiver.TurnKey(q.workspace, q.ask.Previous)
		asked := q.Clock.Now()
		chain, err := q.Archive.Chain(waiting, program, previous)
		q.measure(stageHistory, asked)
		if errorx.IsOfType(err, sd.Absent) {
			q.Log.Info("previous turn is not kept", zap.Int("event", eventTurn), q.id(), zap.String("previous", string(q.ask.Previous)), zap.Error(err))
			q.Meter.Return(q.workspace)
			q.refuse(http.StatusNotFound, "no such turn", 0)
			return
		}
		if err != nil {
			q.Log.Warn("previous turn cannot be read", zap.Int("event", eventTurn), q.id(), zap.Error(err))
			q.fail(ctx, "previous turn cannot be read", comeBack)
			return
		}
		q.chain = chain
		last := chain[len(chain)-1]
		kept.Previous, kept.Origin, q.prefer = last.Key, last.Program, last.Target
	}
	budget := q.ask.Budget
	if !q.ask.Budgeted {
		budget = unbounded
	}
	asked := q.Clock.Now()
	hold, err := q.Archive.Reserve(waiting, program, key, q.ask.Limit, budget)
	q.measure(stageReserve, asked)
	if err != nil {
		if errorx.IsOfType(err, archiver.Exhausted) {
			q.Log.Info("budget does not hold the turn", zap.Int("event", eventTurn), q.id(), zap.Error(err))
			q.Meter.Return(q.workspace)
			q.refuse(http.StatusPaymentRequired, "budget spent", 0)
			return
		}
		q.Log.Warn("budget cannot be reserved", zap.Int("event", eventTurn), q.id(), zap.Error(err))
		q.fail(ctx, "budget cannot be reserved", comeBack)
		return
	}
	settled := false
	s := &stream{output: buffer{common: q.buffers}, room: turnBytes - len(q.body)}
	defer s.output.free()
	if size := q.table.EventTokens(q.pool); q.ask.Limit > 0 {
		// The last event may hold fewer tokens than the others.
		s.most = int((q.ask.Limit + size - 1) / size)
	}
	s.finish = func() bool {
		settled = true
		used := sd.Tokens(s.events) * q.table.EventTokens(q.pool)
		if !s.whole {
			q.settle(ctx, program, hold, used)
			return false
		}
		kept.Target, kept.Output = q.target, s.output.text()
		ended := q.Clock.Now()
		medium, err := q.Archive.Settle(ctx, program, hold, used, kept)
		q.measure(stageSettle, ended)
		if err != nil {
			q.Log.Warn("turn is not kept", zap.Int("event", eventTurn), q.id(), zap.Error(err))
			return false
		}
		q.kept = medium
		q.Measures.kept(medium)
		return true
	}
	defer func() {
		if !settled {
			q.settle(ctx, program, hold, sd.Tokens(s.events)*q.table.EventTokens(q.pool))
		}
	}()
	q.serve(ctx, s)
}

// settle accounts for a turn that failed; nobody waits for that.
func (q *request) settle(ctx context.Context, program, hold archiver.Key, used sd.Tokens) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout.Duration())
	go func() {
		defer cancel()
		if _, err := q.Archive.Settle(ctx, program, hold, used, nil); err != nil {
			q.Log.Info("account of a failed turn is not written yet", zap.Int("event", eventTurn), q.id(), zap.Error(err))
		}
	}()
}

// settleTimeout bounds the wait for a failed turn's account; it is written later
// all the same.
const settleTimeout = 2 * sd.Second
