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

// grant is a turn's reservation, which may still be on its way to the store. No token is
// handed out before the store has it.
type grant struct {
	cancel context.CancelFunc
	done   chan struct{}
	// hold and err are set once done is closed.
	hold archiver.Key
	err  error
	// asked is when the reservation was; known tells that its end was seen.
	asked sd.Instant
	known bool
}

// reserve begins to reserve the turn's most.
func (q *request) reserve(ctx context.Context, turn archiver.Key, budget sd.Tokens) *grant {
	ctx, cancel := context.WithCancel(ctx)
	g := &grant{cancel: cancel, done: make(chan struct{}), asked: q.Clock.Now()}
	go func() {
		defer close(g.done)
		g.hold, g.err = q.Archive.Reserve(ctx, q.program, turn, q.ask.Limit, budget)
	}()
	return g
}

// ended reports whether the reservation has ended.
func (g *grant) ended() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// granted waits until the store has the turn's reservation. Errors are Exhausted,
// Unavailable, and that of ctx.
func (q *request) granted(ctx context.Context) error {
	g := q.stream.grant
	if g == nil {
		return nil
	}
	if g.known {
		return g.err
	}
	select {
	case <-g.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	g.known = true
	q.measure(stageReserve, g.asked)
	return g.err
}

// await waits for the reservation before the turn is sent anywhere, for its part of
// the turn's time. It answers the turn and reports false if there is none.
func (q *request) await(ctx context.Context) bool {
	g := q.stream.grant
	timer := time.AfterFunc((q.left() / storePatience).Duration(), g.cancel)
	defer timer.Stop()
	if err := q.granted(ctx); err != nil {
		q.denied(ctx, err)
		return false
	}
	return true
}

// denied answers a turn that has no reservation.
func (q *request) denied(ctx context.Context, err error) {
	if errorx.IsOfType(err, archiver.Exhausted) && q.sent == 0 {
		q.Log.Info("budget does not hold the turn", zap.Int("event", eventTurn), q.id(), zap.Error(err))
		q.Meter.Return(q.workspace)
		q.refuse(http.StatusPaymentRequired, "budget spent", 0)
		return
	}
	q.Log.Warn("budget cannot be reserved", zap.Int("event", eventTurn), q.id(), zap.Error(err))
	q.fail(ctx, "budget cannot be reserved", comeBack)
}
