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
	// output is the data of each event and a line feed, of which room bytes are left.
	output buffer
	room   int
	events int
	// most bounds events: what the caller's limit on tokens allows; zero does not.
	most int
	// whole tells that the target's stream came to its end.
	whole bool
	// finish is called after the last event, before the caller sees the end; false
	// breaks the answer off.
	finish func() bool
}

// add takes an event that is to be passed on. Errors are BrokenAnswer for one that is
// beyond the stream's bounds.
func (s *stream) add(data []byte) error {
	if s.most > 0 && s.events >= s.most {
		return sd.BrokenAnswer.New("more than the %d events that the turn's limit allows", s.most)
	}
	if s.room -= len(data) + 1; s.room < 0 {
		return sd.BrokenAnswer.New("turn longer than %d bytes", turnBytes)
	}
	if !s.output.write(data) || !s.output.write([]byte{'\n'}) {
		return sd.BrokenAnswer.New("no memory to hold the turn after %d bytes", s.output.size)
	}
	s.events++
	return nil
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
				filler += max(len(raw), fillerLeast)
			} else {
				filler = 0
				failure = s.add(data)
			}
			if filler > fillerBytes {
				failure = sd.BrokenAnswer.New("over %d bytes without an event", fillerBytes)
			}
			if failure != nil {
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
