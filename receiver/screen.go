package receiver

import (
	"context"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/screener"
)

// reasonCrashes is the reason given for refusing a request that crashes its targets.
const reasonCrashes = "request crashes its targets"

// reasonCopies is the reason given for refusing a request while it is not known whether a copy
// of it crashes another target.
const reasonCopies = "effect of a copy is not known"

// signature returns the request's signature.
func (q *request) signature() screener.Signature {
	if !q.signed {
		q.signed, q.sign = true, screener.NewSignature(q.workspace, q.http.Method, q.http.Host+q.uri(), q.body...)
	}
	return q.sign
}

// screened reports whether a Screener is set that suspects any request.
func (q *request) screened() bool { return q.Screener != nil && !q.Screener.Idle() }

// refusedFor returns how long the Screener refuses the request; zero if it does not.
func (q *request) refusedFor() sd.Millis {
	if !q.screened() {
		return 0
	}
	return q.Screener.RefusedFor(q.signature())
}

// awaitCopies waits while a copy of a request that was there when targets crashed is at
// another one. It returns false if the request must not be sent now.
func (q *request) awaitCopies(ctx context.Context) bool {
	if !q.screened() {
		return true
	}
	start := q.Clock.Now()
	trial, ok := q.Screener.Await(ctx, q.signature(), q.trial)
	if q.Clock.Now() > start {
		q.recordStage(stageWait, start)
	}
	if trial != "" && trial != q.trial {
		q.Metrics.Set.GetOrCreateCounter("request_trials_total").Inc()
	}
	q.trial = trial
	return ok
}

// knownCrashes returns the request's count of crashes.
func (q *request) knownCrashes() screener.Crashes {
	if !q.screened() {
		return screener.Crashes{}
	}
	return q.Screener.Crashes(q.signature())
}

// reportBroken takes an attempt that its target broke off. If the target's process is
// down, it counts as a crash, unless it may just have left after a whole answer.
func (q *request) reportBroken(ctx context.Context) {
	if q.Screener == nil || ctx.Err() != nil {
		return
	}
	sign, known, target := q.signature(), q.crashesKnown, q.target
	report := func() {
		crashes := q.Screener.ReportCrash(sign, known, target)
		q.Metrics.Set.GetOrCreateCounter("target_crashes_total").Inc()
		q.Log.Warn("target crashed while it ran the request", zap.Int("event", eventCrash), q.idField(), zap.String("target", string(target)),
			zap.Stringer("fingerprint", sign.Whole), zap.Stringer("start", sign.Start),
			zap.Int("crashes", crashes.Whole), zap.Int("start_crashes", crashes.Start))
	}
	if q.end.aftermath == exchanger.Refuses {
		if !q.TargetQueue.Leaves(q.ticket) {
			report()
		}
	} else if q.Exchanger.Refuses(ctx, q.address, report) {
		report()
	}
}

// reportSurvived takes an attempt that its target has answered whole.
func (q *request) reportSurvived() {
	if q.screened() {
		q.Screener.ReportSurvived(q.signature())
	}
}
