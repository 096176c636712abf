package receiver

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/platform"
)

// attemptResult is the result of sending a request to one target.
type attemptResult int

const (
	// attemptAnswered: the caller has the response.
	attemptAnswered attemptResult = iota
	// attemptRetry: the request may be sent to another target.
	attemptRetry
	// attemptGiveUp: the request must not be sent again.
	attemptGiveUp
)

// serve sends the request to targets until one of them answers or the attempts are
// used up.
func (q *request) serve(ctx context.Context) {
	var avoid []sd.TargetID
	for {
		if q.attempts >= maxRefusals+q.rule.MaxAttempts {
			q.fail(ctx, "refused by all targets tried", retryDelay)
			return
		}
		if !q.awaitCopies(ctx) {
			q.fail(ctx, reasonCopies, retryDelay)
			return
		}
		ticket := &balancer.Request{
			Pool: q.pool, Rule: q.rule.Name, PreferredTarget: q.preferred, Prompt: q.params.Prompt, ExcludedTargets: avoid, Tier: q.tier, StartDeadline: q.deadline.Add(-minAttemptTime),
			StartsProgram: q.startsProgram(), Affinity: q.affinity(),
		}
		q.describePrompt(ticket)
		if q.params.ProgramLeft > 0 {
			ticket.ProgramDeadline = q.arrived.Add(q.params.ProgramLeft)
		}
		queuedAt, held := q.Clock.Now(), q.stageTimes[stageHeld]
		err := q.TargetQueue.Acquire(ctx, ticket)
		if err == nil && ticket.RefusalReason == balancer.Saturated && q.servedElsewhere(ctx) {
			ticket.RefusalReason, ticket.StartsProgram = "", false
			err = q.TargetQueue.Acquire(ctx, ticket)
		}
		// servedElsewhere waits for the reservation, which is a stage of its own.
		q.recordStage(stageWait, queuedAt.Add(q.stageTimes[stageHeld]-held))
		q.reportChoice(ticket)
		if err != nil || ticket.RefusalReason != "" {
			reason := string(ticket.RefusalReason)
			if err != nil {
				reason = "no target in time"
			}
			q.Log.Info("no target", zap.Int("event", eventTarget), q.idField(), zap.String("pool", string(q.pool)), zap.String("reason", reason),
				zap.Int64("wait_ms", int64(ticket.ExpectedWait)), zap.Int("running", ticket.PoolRunning), zap.Float64("bound", ticket.RunningLimit))
			q.fail(ctx, reason, min(max(ticket.ExpectedWait, retryDelay), maxRetryDelay))
			return
		}
		if wait := q.refusedFor(); wait > 0 {
			q.TargetQueue.Release(ticket, balancer.Abandoned, 0)
			q.fail(ctx, reasonCrashes, wait)
			return
		}
		if q.stream != nil && q.stream.reservation != nil && q.stream.reservation.finished() {
			if err := q.waitReservation(ctx); err != nil {
				q.TargetQueue.Release(ticket, balancer.Abandoned, 0)
				q.refuseUnreserved(ctx, err)
				return
			}
		}
		q.attempts++
		q.ticket, q.target, q.address, q.crashesKnown, q.end = ticket, ticket.Target, ticket.Address, q.knownCrashes(), responseEnd{}
		end := q.send(ctx, ticket)
		if end == attemptAnswered {
			return
		}
		if end == attemptGiveUp {
			q.fail(ctx, "target failed", 0)
			return
		}
		avoid = append(avoid, ticket.Target)
	}
}

// servedElsewhere reports whether the program of a turn that this host takes for a new one has
// been served by other hosts. Turns of one program may come through many hosts, and the account
// tells; to wait for it costs less than to refuse a program halfway.
func (q *request) servedElsewhere(ctx context.Context) bool {
	if q.rule.RetainTurns || q.stream == nil || q.stream.reservation == nil {
		return false
	}
	defer q.recordStage(stageHeld, q.Clock.Now())
	if q.waitReservation(ctx) != nil {
		return false
	}
	return q.Archive.UnderWay(q.program)
}

// affinity returns the hash by which all hosts prefer the same targets for a program whose turns
// do not name one.
func (q *request) affinity() uint64 {
	if q.rule.RetainTurns || !q.isTurn() {
		return 0
	}
	return xxhash.Sum64(q.program[:])
}

// send sends the request to the ticket's target and forwards the response.
func (q *request) send(ctx context.Context, ticket *balancer.Request) attemptResult {
	start := q.Clock.Now()
	release := func(result balancer.Result) { q.TargetQueue.Release(ticket, result, q.Clock.Now().Since(start)) }
	call := exchanger.Call{
		Method: q.http.Method, URI: q.uri(), Host: q.http.Host,
		Header: platform.TargetHeader(q.http.Header, q.workspace, ticket.Target, max(q.remaining(), 1)),
		Body:   q.bodyParts(),
		Belongs: func(status int, header http.Header) bool {
			return platform.DecodeReply(status, header).Request == q.params.Request
		},
		Anonymous: func(status int, header http.Header) bool {
			r := platform.DecodeReply(status, header)
			return r.Request == "" && status >= 300 && (!r.NotRun || q.mayRepeat() || q.params.Request == "")
		},
		// Without an id, the answer cannot be told apart from bytes behind an earlier one.
		Fresh: q.params.Request == "",
		Received: func(status int, header http.Header) {
			if platform.DecodeReply(status, header).Leaving {
				q.markLeaving(ticket)
			}
		},
		Replaced: func() bool { return q.TargetQueue.Replaced(ticket) },
	}
	if q.stream != nil && q.stream.lastID != "" {
		platform.ResumeAfter(call.Header, q.stream.lastID)
	}
	response, err := q.Exchanger.Exchange(ctx, ticket.Address, call)
	q.recordStage(stageFirst, start)
	if err != nil {
		if errorx.IsOfType(err, sd.Unavailable) {
			q.Log.Warn("target unreachable", zap.Int("event", eventAttempt), q.idField(), zap.String("target", string(ticket.Target)), zap.Error(err))
			if ctx.Err() != nil {
				release(balancer.Abandoned)
				return attemptGiveUp
			}
			release(balancer.ConnectFailed)
			return attemptRetry
		}
		q.possibleRuns++
		q.Log.Warn("exchange failed", zap.Int("event", eventAttempt), q.idField(), zap.String("target", string(ticket.Target)), zap.Error(err))
		if ctx.Err() != nil {
			release(balancer.Abandoned)
			return attemptGiveUp
		}
		release(balancer.Failed)
		q.reportBroken(ctx)
		return q.retryResult()
	}
	reply := platform.DecodeReply(response.Status, response.Header)
	if reply.Loaded {
		q.TargetQueue.Update(func(b *balancer.State, now sd.Instant) {
			b.ReportTargetLoad(now, ticket.Target, reply.Running, reply.Waiting)
			b.ReportWorkTime(now, ticket.Target, reply.WorkTime)
		})
	}
	if reply.NotRun {
		response.Drop()
		q.Log.Info("target refused the request", zap.Int("event", eventAttempt), q.idField(), zap.String("target", string(ticket.Target)), zap.Int("status", response.Status))
		if response.Status == http.StatusMisdirectedRequest {
			release(balancer.ConnectFailed)
		} else {
			release(balancer.Rejected)
		}
		return attemptRetry
	}
	q.possibleRuns++
	if q.stream != nil && (response.Status < 300 || q.stream.headSent) {
		return q.forwardStream(ctx, response, release)
	}
	return q.forwardResponse(ctx, response, release)
}

// markLeaving records that the ticket's target announced that it leaves. The platform's list
// of targets may not tell it in time, or never.
func (q *request) markLeaving(ticket *balancer.Request) {
	fresh := false
	q.TargetQueue.Update(func(b *balancer.State, now sd.Instant) { fresh = b.MarkLeaving(now, ticket) })
	if fresh {
		q.Metrics.Set.GetOrCreateCounter("targets_leaving_total").Inc()
		q.Log.Info("target announced that it leaves", zap.Int("event", eventTargetLeaves), q.idField(), zap.String("target", string(ticket.Target)),
			zap.String("address", string(ticket.Address)), zap.Stringer("incarnation", ticket.Incarnation))
	}
}

// mayRepeat reports whether the request may run more than once. Others are sent to another target
// only on a refusal that bears their id: targets echo it, and bytes that belong to no request
// may come before the first answer on a connection, too.
func (q *request) mayRepeat() bool { return q.rule.Idempotent || q.rule.Resumable }

// retryResult returns attemptRetry if a request that may have run may be sent again,
// otherwise attemptGiveUp.
func (q *request) retryResult() attemptResult {
	if q.mayRepeat() && q.possibleRuns < q.rule.MaxAttempts {
		return attemptRetry
	}
	return attemptGiveUp
}
