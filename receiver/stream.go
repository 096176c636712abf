package receiver

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/platform"
)

// stream is the state of a streamed response, which comes from several targets if it
// is resumed.
type stream struct {
	// output holds the data of each event followed by a line feed, if retain is set;
	// outputLeft is the number of bytes that may still be added.
	retain     bool
	output     buffer
	outputLeft int
	events     int
	// delivered is the number of events forwarded to the caller.
	delivered int
	// demand is what a turn asks of its budget, and perEvent what each event is charged. Events
	// are limited to what may be charged, unless that is zero.
	demand   archiver.Demand
	perEvent sd.Tokens
	// lastID is the ID of the last event accepted for the caller, or empty.
	lastID string
	// headSent is set once the response header was sent to the caller.
	headSent bool
	// reservation is the turn's budget reservation; nil if none is needed.
	reservation *reservation
	// allotted is what the turn may deliver before it has its reservation.
	allotted allotment
	// finish is called after the last event and before the end of the response. If it
	// returns false, the response is aborted.
	finish func() bool
}

// full reports whether the turn may not be charged for one more event.
func (s *stream) full() bool {
	return s.demand.MaxCharge > 0 && sd.Tokens(s.events+1)*s.perEvent > s.demand.MaxCharge
}

// accept adds an event that is about to be forwarded. The error is BrokenResponse if
// the event exceeds a limit of the stream or does not follow the last one.
func (s *stream) accept(raw, data []byte, first bool) error {
	if s.full() {
		return sd.BrokenResponse.New("stream exceeds the %d tokens that the turn may be charged", s.demand.MaxCharge)
	}
	id := eventID(raw)
	if first && s.lastID != "" && !follows(s.lastID, id) {
		return sd.BrokenResponse.New("stream resumed with event %q after event %q", id, s.lastID)
	}
	if s.retain {
		if s.outputLeft -= len(data) + 1; s.outputLeft < 0 {
			return sd.BrokenResponse.New("turn exceeds the limit of %d bytes", maxTurnBytes)
		}
		if !s.output.write(data) || !s.output.write([]byte{'\n'}) {
			return sd.BrokenResponse.New("no buffer memory for the turn after %d bytes", s.output.size)
		}
	}
	s.events++
	if id != "" {
		s.lastID = id
	}
	return nil
}

// follows reports whether an event with the given ID may come directly after the one
// with the ID last.
func follows(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return id != last
	}
	now, err := strconv.ParseInt(id, 10, 64)
	return err == nil && now == before+1
}

// resumable reports whether another target may continue the interrupted stream.
func (q *request) resumable() bool {
	return q.rule.Resumable && (q.stream.events == 0 || q.stream.lastID != "")
}

// forwardStream forwards the events of a stream as they arrive.
func (q *request) forwardStream(ctx context.Context, response *exchanger.Answer, release func(balancer.Result)) attemptResult {
	s := q.stream
	// A resumed run that fails says nothing about the stream's end.
	if response.Status >= 300 || !isTargetResponse(response) {
		response.Close(false)
		release(balancer.Failed)
		q.Log.Warn("invalid response from target", zap.Int("event", eventAttempt), q.idField(), zap.String("target", string(q.target)), zap.Int("status", response.Status))
		return q.retryResult()
	}
	end, failure := q.forwardEvents(ctx, response)
	response.Close(end == attemptAnswered)
	if end == attemptAnswered {
		release(balancer.Served)
		q.reportSurvived()
		q.sendHead(response)
		if !s.finish() {
			q.abort("turn not kept")
		}
		q.releaseEnd()
		q.recordOutcome(response.Status, "")
		return attemptAnswered
	}
	if ctx.Err() != nil || end == attemptGiveUp {
		release(balancer.Abandoned)
	} else {
		release(balancer.Failed)
	}
	q.Log.Warn("stream from target interrupted", q.attemptFields(zap.Int("events", s.events), zap.String("last", s.lastID), zap.Error(failure))...)
	if end != attemptRetry || ctx.Err() != nil {
		return attemptGiveUp
	}
	q.reportBroken(ctx)
	if q.resumable() {
		return q.retryResult()
	}
	return attemptGiveUp
}

// forwardEvents forwards the events of one target. It returns attemptAnswered at the
// regular end of the stream, attemptRetry if the target failed, and attemptGiveUp on
// any other failure.
func (q *request) forwardEvents(ctx context.Context, response *exchanger.Answer) (attemptResult, error) {
	reader := &eventReader{Reader: bufio.NewReader(response.Body), holder: q.holder}
	defer reader.release()
	controller := http.NewResponseController(q.w)
	keepAliveBytes, first := 0, true
	for {
		reader.release()
		raw, data, err := reader.next()
		switch {
		case err == io.EOF:
			q.recordEnd(response, io.EOF, len(raw))
			if !endsBetweenEvents(raw) {
				return attemptRetry, sd.BrokenResponse.New("stream ends inside an event, after %d bytes of it", len(raw))
			}
			if first && !response.Framed {
				// Without a frame, a target that failed before its first event looks the same as
				// one that had none to send.
				return attemptRetry, sd.BrokenResponse.New("stream without a frame ends before its first event")
			}
		case err != nil:
			q.recordEnd(response, err, len(raw))
			return attemptRetry, err
		case isKeepAlive(raw):
			if keepAliveBytes += max(len(raw), minKeepAliveBytes); keepAliveBytes > maxKeepAliveBytes {
				return attemptRetry, sd.BrokenResponse.New("more than %d bytes without an event", maxKeepAliveBytes)
			}
		default:
			if q.takesRest() && q.stream.full() {
				// The target was told no limit, so that it is not at fault.
				return attemptGiveUp, archiver.BudgetExhausted.New("budget exhausted after %d events", q.stream.events)
			}
			if failure := q.stream.accept(raw, data, first); failure != nil {
				return attemptRetry, failure
			}
			if first {
				q.recordFirstEvent()
			}
			keepAliveBytes, first = 0, false
		}
		if failure := q.waitBacked(ctx, q.usedTokens()); failure != nil {
			q.stream.events = q.stream.delivered
			return attemptGiveUp, failure
		}
		q.stream.delivered = q.stream.events
		if len(raw) > 0 {
			q.sendHead(response)
			_, failure := q.w.Write(raw)
			if failure == nil {
				failure = controller.Flush()
			}
			if failure != nil {
				return attemptGiveUp, failure
			}
		}
		if err == io.EOF {
			return attemptAnswered, nil
		}
	}
}

// sendHead sends the response header, unless that of an earlier target was sent.
func (q *request) sendHead(response *exchanger.Answer) {
	if q.stream.headSent {
		return
	}
	q.stream.headSent = true
	h := q.w.Header()
	platform.CallerHeader(response.Header, h)
	platform.MarkReply(h, q.params.Request)
	q.holdEnd()
	q.w.WriteHeader(response.Status)
}
