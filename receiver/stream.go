package receiver

import (
	"bufio"
	"context"
	"io"
	"net/http"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/platform"
)

// stream is what a relayed stream leaves behind.
type stream struct {
	output []byte
	events int
	// most bounds events: what the caller's limit on tokens allows; zero does not.
	most int
	// whole tells that the target's stream came to its end.
	whole bool
	// finish is called after the last event, before the caller sees the end; false
	// breaks the answer off.
	finish func() bool
}

// relay passes a stream's events on as they arrive.
func (q *request) relay(ctx context.Context, answer *exchanger.Answer, s *stream, release func(balancer.Result)) ended {
	if !own(answer) {
		answer.Close(false)
		release(balancer.Failed)
		q.Log.Warn("answer broken", zap.Int("event", eventAttempt), q.id(), zap.String("target", string(q.target)), zap.Int("status", answer.Status))
		return over
	}
	reader := bufio.NewReader(answer.Body)
	controller := http.NewResponseController(q.w)
	begun := false
	begin := func() {
		if !begun {
			begun = true
			h := q.w.Header()
			platform.CallerHeader(answer.Header, h)
			platform.MarkReply(h, q.ask.Request)
			q.w.WriteHeader(answer.Status)
		}
	}
	var failure error
	filler := 0
	for {
		raw, data, err := readEvent(reader)
		if err != nil && err != io.EOF {
			failure = err
			break
		}
		if err == nil {
			if isFiller(raw) {
				filler += len(raw)
			} else {
				filler = 0
				s.events++
				s.output = append(append(s.output, data...), '\n')
			}
			if filler > fillerBytes {
				failure = sd.BrokenAnswer.New("over %d bytes without an event", fillerBytes)
				break
			}
			if s.most > 0 && s.events > s.most {
				// This one is not handed out.
				s.events--
				failure = sd.BrokenAnswer.New("more than the %d events that the turn's limit allows", s.most)
				break
			}
		}
		if len(raw) > 0 {
			begin()
			_, writeErr := q.w.Write(raw)
			if writeErr == nil {
				writeErr = controller.Flush()
			}
			if writeErr != nil {
				failure = writeErr
				break
			}
		}
		if err == io.EOF {
			s.whole = true
			break
		}
	}
	answer.Close(s.whole)
	if s.whole {
		release(balancer.Served)
		begin()
		if !s.finish() {
			q.note(answer.Status, "turn not kept")
			panic(http.ErrAbortHandler)
		}
		q.note(answer.Status, "")
		return answered
	}
	if ctx.Err() != nil {
		release(balancer.Abandoned)
	} else {
		release(balancer.Failed)
	}
	q.Log.Warn("stream broke off", zap.Int("event", eventAttempt), q.id(), zap.String("target", string(q.target)),
		zap.Int("events", s.events), zap.Error(failure))
	if begun {
		s.finish()
		q.note(answer.Status, "stream broke off")
		panic(http.ErrAbortHandler)
	}
	return over
}
