package dispatcher

import (
	"context"
	"strings"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
)

// exchange is the state of one model call on one engine.
type exchange struct {
	dispatcher *Dispatcher
	engine     sd.Engine
	call       sd.EngineCall
	sink       Sink

	result  Result
	text    strings.Builder
	sent    bool
	sinkErr error
}

// run starts the call and resumes it until it ends whole or is given up.
func (x *exchange) run(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		before := x.result.Used
		err := x.once(ctx)
		x.result.Text = x.text.String()
		if err == nil || x.sinkErr != nil || !retryable(err) {
			return err
		}
		if x.result.Used > before {
			attempt = 1
		}
		if !x.retry(ctx, attempt, err) {
			return err
		}
	}
}

// retry waits before the next exchange and reports whether there is one. A stream
// that broke is resumed at once the first time: if its engine has restarted, the
// guard has to know soon.
func (x *exchange) retry(ctx context.Context, attempt int, err error) bool {
	if attempt == 1 && errorx.IsOfType(err, sd.BrokenResponse) {
		return ctx.Err() == nil && x.dispatcher.spend()
	}
	return x.dispatcher.pause(ctx, attempt)
}

// once makes one exchange: the first one starts the stream, later ones resume it.
func (x *exchange) once(ctx context.Context) error {
	answer, err := x.open(ctx)
	if err != nil {
		return err
	}
	defer answer.Close()
	for {
		piece, err := answer.Next(ctx)
		if errorx.IsOfType(err, sd.EndOfStream) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := x.pass(piece); err != nil {
			return err
		}
	}
}

// open starts the stream, or resumes it when it may be running already.
func (x *exchange) open(ctx context.Context) (sd.ResponseStream, error) {
	if x.sent {
		return x.engine.Resume(ctx, x.call.Stream, x.result.Used)
	}
	answer, err := x.engine.Start(ctx, x.call)
	x.sent = err == nil || errorx.IsOfType(err, sd.Uncertain) || errorx.IsOfType(err, sd.BrokenResponse)
	return answer, err
}

// pass hands a piece on once: repeated ones are dropped, a gap is an error.
func (x *exchange) pass(piece sd.Chunk) error {
	if piece.Prompt > 0 {
		x.result.Prompt, x.result.Cached = piece.Prompt, piece.Cached
	}
	if piece.Offset+piece.Count <= x.result.Used {
		return nil
	}
	if piece.Offset != x.result.Used {
		return sd.BrokenResponse.New("a piece at offset %d follows offset %d", piece.Offset, x.result.Used)
	}
	if err := x.sink(piece); err != nil {
		x.sinkErr = err
		return err
	}
	x.text.WriteString(piece.Text)
	x.result.Used += piece.Count
	return nil
}

// refusal says why the answer is not whole and what is known of the call.
func (x *exchange) refusal(ctx context.Context, err error) *sd.Refusal {
	refusal := &sd.Refusal{Reason: sd.TargetFailed, Outcome: sd.NotRun, RetryAfter: retryAfter, Detail: "the engine cannot be reached"}
	switch {
	case x.sinkErr != nil:
		refusal.Reason, refusal.RetryAfter, refusal.Detail = sd.CallCancelled, 0, "the caller no longer reads"
	case ctx.Err() != nil:
		refusal.Reason, refusal.Detail = sd.TimedOut, "the call was given up before its answer ended"
	case x.result.Used > 0:
		refusal.Reason, refusal.Detail = sd.ResponseTruncated, "the answer was cut and could not be resumed"
	case errorx.IsOfType(err, sd.Fenced):
		refusal.Reason, refusal.Detail = sd.KeeperMoving, "the permit is of an earlier owner"
	}
	if x.sent {
		refusal.Outcome = sd.Unknown
	}
	if x.result.Used > 0 {
		refusal.Outcome = sd.Ran
	}
	return refusal
}

// retryable reports whether another exchange with the same engine may succeed.
func retryable(err error) bool {
	return errorx.IsOfType(err, sd.Unavailable) || errorx.IsOfType(err, sd.Uncertain) || errorx.IsOfType(err, sd.BrokenResponse)
}
