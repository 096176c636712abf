package dispatcher

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/worker"
)

// Settings bound the retries of a call on one target.
type Settings struct {
	// Attempts bounds the exchanges of one call.
	Attempts int
	// Backoff is the pause before the first retry; it doubles up to Limit.
	Backoff sd.Millis
	Limit   sd.Millis
	// Share is the number of retries that each call earns for the whole host.
	Share sd.Share
	// Cancel bounds the order to an engine to stop a stream.
	Cancel sd.Millis
}

// DefaultSettings are used where a host's settings name none.
func DefaultSettings() Settings {
	return Settings{Attempts: 4, Backoff: 50, Limit: sd.Second, Share: 0.1, Cancel: 2 * sd.Second}
}

// Dispatcher carries calls to targets. Its fields are set before its first use.
type Dispatcher struct {
	Settings Settings
	// Draw returns a random number below n, for jitter.
	Draw func(n int) int

	// mu guards credit.
	mu     sync.Mutex
	credit float64
}

// Sink takes the pieces of an answer in order. Its error gives the call up.
type Sink func(piece sd.Chunk) error

// Result is what is known of a model call when Model returns.
type Result struct {
	Text   string
	Used   sd.Tokens
	Prompt sd.Tokens
	Cached sd.Tokens
	// Refusal is nil only where the whole answer was passed on.
	Refusal *sd.Refusal
	// Elsewhere is set where another target may serve the call: nothing of the
	// answer was passed on yet.
	Elsewhere bool
}

// Model runs a model call on an engine and passes its answer on.
func (d *Dispatcher) Model(ctx context.Context, engine sd.Engine, call sd.EngineCall, sink Sink) Result {
	d.earn()
	x := exchange{dispatcher: d, engine: engine, call: call, sink: sink}
	err := x.run(ctx)
	result := x.result
	if err == nil {
		return result
	}
	if x.sent {
		d.cancel(ctx, engine, call.Stream)
	}
	result.Refusal = x.refusal(ctx, err)
	result.Elsewhere = result.Used == 0 && ctx.Err() == nil && x.sinkErr == nil
	return result
}

// Service calls a plain service. An idempotent call is retried.
func (d *Dispatcher) Service(ctx context.Context, service sd.Service, call sd.ServiceCall, idempotent bool) (sd.ServiceResponse, *sd.Refusal) {
	d.earn()
	sent := false
	for attempt := 1; ; attempt++ {
		answer, err := service.Call(ctx, call)
		if err == nil {
			return answer, nil
		}
		sent = sent || !errorx.IsOfType(err, sd.Unavailable)
		if (sent && !idempotent) || !d.pause(ctx, attempt) {
			return sd.ServiceResponse{}, refuseService(ctx, sent)
		}
	}
}

// earn adds a call's credit for retries.
func (d *Dispatcher) earn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.credit = min(d.credit+float64(d.Settings.Share), maxCredit)
}

// spend takes one retry from the credit and reports whether there was one.
func (d *Dispatcher) spend() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.credit < 1-freeCredit {
		return false
	}
	d.credit--
	return true
}

// pause waits before the next attempt and reports whether there is one.
func (d *Dispatcher) pause(ctx context.Context, attempt int) bool {
	if attempt >= d.Settings.Attempts || ctx.Err() != nil || !d.spend() {
		return false
	}
	wait := min(d.Settings.Backoff<<(attempt-1), d.Settings.Limit)
	wait = wait/2 + sd.Millis(d.Draw(int(wait/2)+1))
	return worker.Pause(ctx, wait)
}

// cancel tells an engine to stop a stream, also when the call's context has ended.
func (d *Dispatcher) cancel(ctx context.Context, engine sd.Engine, stream sd.StreamID) {
	detached, stop := context.WithTimeout(context.WithoutCancel(ctx), d.Settings.Cancel.Duration())
	defer stop()
	for attempt := 1; attempt <= d.Settings.Attempts; attempt++ {
		if engine.Cancel(detached, stream) == nil {
			return
		}
	}
}

// refuseService returns the refusal of a failed service call.
func refuseService(ctx context.Context, sent bool) *sd.Refusal {
	refusal := sd.NewRefusal(sd.TargetFailed, retryAfter, "the service cannot be reached")
	if sent {
		refusal.Outcome = sd.Unknown
		refusal.Detail = "the service's answer was lost"
	}
	if ctx.Err() != nil {
		refusal.Reason = sd.TimedOut
		refusal.Detail = "the call was given up before the service answered"
	}
	return refusal
}

const (
	// maxCredit bounds the retries that may come at once.
	maxCredit = 100
	// freeCredit lets a host that has just started retry a few calls.
	freeCredit = 10
	retryAfter = sd.Second
)
