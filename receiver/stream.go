package receiver

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/platform"
)

// stream is what a relayed stream leaves behind, from one target or, if it is resumed,
// from several.
type stream struct {
	// output is the data of each event and a line feed, of which room bytes are left; keeps
	// tells that it is needed.
	keeps  bool
	output buffer
	room   int
	events int
	// most bounds events: what the caller's limit on tokens allows; zero does not.
	most int
	// last is the id of the last event that the caller has, or empty.
	last string
	// begun tells that the caller has the head of the answer.
	begun bool
	// grant is the turn's reservation; nil if it needs none.
	grant *grant
	// finish is called after the last event, before the caller sees the end; false
	// breaks the answer off.
	finish func() bool
}

// add takes an event that is to be passed on. Errors are BrokenAnswer for one that is
// beyond the stream's bounds, or does not follow the last one.
func (s *stream) add(raw, data []byte, first bool) error {
	if s.most > 0 && s.events >= s.most {
		return sd.BrokenResponse.New("more than the %d events that the turn's limit allows", s.most)
	}
	id := eventID(raw)
	if first && s.last != "" && !follows(s.last, id) {
		return sd.BrokenResponse.New("stream goes on with event %q after event %q", id, s.last)
	}
	if s.keeps {
		if s.room -= len(data) + 1; s.room < 0 {
			return sd.BrokenResponse.New("turn longer than %d bytes", turnBytes)
		}
		if !s.output.write(data) || !s.output.write([]byte{'\n'}) {
			return sd.BrokenResponse.New("no memory to hold the turn after %d bytes", s.output.size)
		}
	}
	s.events++
	if id != "" {
		s.last = id
	}
	return nil
}

// follows reports whether an event may come right after the one with the id last.
func follows(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return id != last
	}
	now, err := strconv.ParseInt(id, 10, 64)
	return err == nil && now == before+1
}

// resumable reports whether another target may go on where the stream broke off.
func (q *request) resumable() bool {
	return q.rule.Resumable && (q.stream.events == 0 || q.stream.last != "")
}

// relay passes a stream's events on as they arrive.
func (q *request) relay(ctx context.Context, answer *exchanger.Answer, release func(balancer.Result)) ended {
	s := q.stream
	if !own(answer) {
		answer.Close(false)
		release(balancer.Failed)
		q.Log.Warn("answer broken", zap.Int("event", eventAttempt), q.id(), zap.String("target", string(q.target)), zap.Int("status", answer.Status))
		return q.repeat()
	}
	end, failure := q.forward(ctx, answer)
	answer.Close(end == answered)
	if end == answered {
		release(balancer.Served)
		q.begin(answer)
		if !s.finish() {
			q.breakOff("turn not kept")
		}
		q.note(answer.Status, "")
		return answered
	}
	if ctx.Err() != nil || end == over {
		release(balancer.Abandoned)
	} else {
		release(balancer.Failed)
	}
	q.Log.Warn("stream broke off", zap.Int("event", eventAttempt), q.id(), zap.String("target", string(q.target)),
		zap.Int("events", s.events), zap.String("last", s.last), zap.Error(failure))
	if end == again && ctx.Err() == nil && q.resumable() {
		return q.repeat()
	}
	return over
}

// forward passes the events of one target on: answered is the clean end of its stream,
// again a failure of the target, over any other.
func (q *request) forward(ctx context.Context, answer *exchanger.Answer) (ended, error) {
	reader := bufio.NewReader(answer.Body)
	controller := http.NewResponseController(q.w)
	filler, first := 0, true
	for {
		raw, data, err := readEvent(reader)
		if err != nil && err != io.EOF {
			return again, err
		}
		if err == nil {
			if isFiller(raw) {
				filler += max(len(raw), fillerLeast)
			} else {
				if failure := q.stream.add(raw, data, first); failure != nil {
					return again, failure
				}
				filler, first = 0, false
			}
			if filler > fillerBytes {
				return again, sd.BrokenResponse.New("over %d bytes without an event", fillerBytes)
			}
		}
		if failure := q.granted(ctx); failure != nil {
			// Nothing was handed out.
			q.stream.events = 0
			return over, failure
		}
		if len(raw) > 0 {
			q.begin(answer)
			_, failure := q.w.Write(raw)
			if failure == nil {
				failure = controller.Flush()
			}
			if failure != nil {
				return over, failure
			}
		}
		if err == io.EOF {
			return answered, nil
		}
	}
}

// begin sends the head of the answer, that of the first target.
func (q *request) begin(answer *exchanger.Answer) {
	if q.stream.begun {
		return
	}
	q.stream.begun = true
	h := q.w.Header()
	platform.CallerHeader(answer.Header, h)
	platform.MarkReply(h, q.ask.Request)
	q.w.WriteHeader(answer.Status)
}

// breakOff ends an answer whose head the caller has, so that it does not look whole.
func (q *request) breakOff(reason string) {
	q.note(http.StatusOK, reason)
	panic(http.ErrAbortHandler)
}
