package receiver

import (
	"context"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/allotter"
	"sapphiredrum.example/sapphiredrum/archiver"
)

// Allotter allots tokens of a program's budget that may be delivered without a
// reservation in the store.
type Allotter interface {
	// Allot obtains up to the wanted number of tokens, and at least the given one.
	Allot(ctx context.Context, program archiver.Key, budget, atLeast, wanted sd.Tokens) (allotter.Allotment, error)
	// Return gives back tokens that were not delivered.
	Return(ctx context.Context, program archiver.Key, from allotter.Allotment, tokens sd.Tokens)
	// Reachable reports whether the host that allots to the program is reached.
	Reachable(program archiver.Key) bool
}

const (
	// allotmentDelay is how long a reservation may be pending before the turn asks for an
	// allotment: about ten times the store's usual latency.
	allotmentDelay = 100 * sd.Millisecond
	// unknownDelay is that time if whoever decides on the reservation has told nothing of it: longer
	// than it takes to send a lost message again, and shorter than a lost sequencer is waited for.
	unknownDelay = 300 * sd.Millisecond
	// allotmentDivisor is the divisor of a turn's token limit that gives the size of an
	// allotment. Most turns end far below their limit.
	allotmentDivisor = 4
)

// allotment is what a turn may deliver while its reservation is pending.
type allotment struct {
	parts  []allotter.Allotment
	tokens sd.Tokens
}

// allottable reports whether the turn may run on allotments, and their grantor is reached.
func (q *request) allottable() bool {
	return q.Allotter != nil && q.params.Budgeted && q.params.Limit > 0 && q.Allotter.Reachable(q.program)
}

// waitBacked waits until the turn has its reservation, or allotments cover the given
// number of tokens; before the turn is sent, it must have one at least. A turn whose caller has
// had output goes on with allotments if its reservation is refused. The error is that of
// waitReservation.
func (q *request) waitBacked(ctx context.Context, tokens sd.Tokens) error {
	s := q.stream
	if s.reservation == nil || s.reservation.granted() {
		return nil
	}
	if s.delivered == 0 && s.reservation.finished() {
		return s.reservation.err
	}
	if len(s.allotted.parts) > 0 && tokens <= s.allotted.tokens {
		return nil
	}
	defer q.recordStage(stageHeld, q.Clock.Now())
	if !q.waitAllotmentDue(ctx) || !q.allottable() {
		return q.waitReservation(ctx)
	}
	for len(s.allotted.parts) == 0 || tokens > s.allotted.tokens {
		if !q.allot(ctx) {
			return q.waitReservation(ctx)
		}
	}
	return nil
}

// waitAllotmentDue waits until the reservation has been pending for allotmentDelay, or longer
// if nothing is known of it, unless the store is known to be unreachable or the turn has an
// allotment. It returns false if the reservation or ctx ends before that, or if the reservation may
// well be refused: a turn that has begun would be cut then.
func (q *request) waitAllotmentDue(ctx context.Context) bool {
	if q.Archive.StoreUnreachable() || len(q.stream.allotted.parts) > 0 {
		return true
	}
	if !q.waitPending(ctx, allotmentDelay) {
		return false
	}
	outlook := q.Archive.ReservationOutlook(q.program, q.stream.reservation.turn)
	if outlook == archiver.Unknown {
		if !q.waitPending(ctx, unknownDelay) {
			return false
		}
		outlook = q.Archive.ReservationOutlook(q.program, q.stream.reservation.turn)
	}
	return outlook != archiver.Doubtful
}

// waitPending waits until the reservation has been pending for the given time. It returns false
// if the reservation or ctx ends before that.
func (q *request) waitPending(ctx context.Context, limit sd.Millis) bool {
	timer := time.NewTimer((limit - q.Clock.Now().Since(q.stream.reservation.requestedAt)).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-q.stream.reservation.done:
	case <-ctx.Done():
	}
	return false
}

// allot obtains another allotment and reports whether it got one. The first must be whole,
// as a turn that stops after a few events is of no use to its caller.
func (q *request) allot(ctx context.Context) bool {
	s, event := q.stream, q.stream.perEvent
	wanted := (q.params.Limit/allotmentDivisor + event) / event * event
	atLeast := wanted
	if len(s.allotted.parts) > 0 {
		atLeast = event
	}
	part, err := q.Allotter.Allot(ctx, q.program, q.params.Budget, atLeast, wanted)
	if err != nil {
		q.Log.Info("no allotment", zap.Int("event", eventTurn), q.idField(), zap.Error(err))
		return false
	}
	s.allotted.parts = append(s.allotted.parts, part)
	s.allotted.tokens += part.Tokens
	return true
}

// returnAllotment returns what was allotted and not delivered, in the background. Once the
// turn has its reservation, that covers all that was delivered. The reservation must have
// finished.
func (q *request) returnAllotment(ctx context.Context) {
	allotted := q.stream.allotted
	rest := allotted.tokens
	if q.stream.reservation.err != nil {
		rest -= q.usedTokens()
	}
	if rest <= 0 {
		return
	}
	ctx = context.WithoutCancel(ctx)
	q.settling.Go(func() {
		for i := len(allotted.parts) - 1; i >= 0 && rest > 0; i-- {
			n := min(rest, allotted.parts[i].Tokens)
			q.Allotter.Return(ctx, q.program, allotted.parts[i], n)
			rest -= n
		}
	})
}
