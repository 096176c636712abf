package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	sd "sapphiredrum.example/sapphiredrum"
)

// answerWriter writes the frames of one answer to the caller.
type answerWriter struct {
	context   echo.Context
	model     sd.ModelName
	stream    bool
	meter     sd.Meter
	clock     sd.Clock
	tier      sd.Tier
	workspace sd.WorkspaceID

	started bool
	pieces  int
	text    strings.Builder
	service *sd.ServiceResponse
	last    sd.Instant
}

// frame writes one frame, or keeps it until the end of an unstreamed answer.
func (w *answerWriter) frame(frame sd.Frame) error {
	switch {
	case frame.Chunk != nil:
		w.measure()
		return w.piece(frame.Chunk)
	case frame.Response != nil:
		w.service = frame.Response
		return nil
	}
	return w.end(frame.End)
}

// measure records the time since the previous piece.
func (w *answerWriter) measure() {
	now := w.clock.Now()
	wait := now.Since(w.last)
	if w.pieces == 0 {
		w.meter.FirstToken(w.tier, w.workspace, wait)
	} else {
		w.meter.TokenGap(w.tier, w.workspace, wait)
	}
	w.pieces++
	w.last = now
}

// piece writes a piece as an event, or keeps its text.
func (w *answerWriter) piece(piece *sd.Chunk) error {
	if !w.stream {
		w.text.WriteString(piece.Text)
		return nil
	}
	return w.event("", chunkOf(w.model, piece))
}

// end writes the last event, or the whole answer of an unstreamed call.
func (w *answerWriter) end(end *sd.CallEnd) error {
	if w.service != nil {
		return w.serviceEnd(end)
	}
	if w.stream {
		if err := w.event("", lastChunk(w.model, end)); err != nil {
			return err
		}
		return w.line("data: [DONE]\n\n")
	}
	w.context.Response().Header().Set(headHeader, end.Head)
	w.started = true
	return writeJSON(w.context, http.StatusOK, wholeAnswer(w.model, w.text.String(), end))
}

// serviceEnd writes a service's whole answer with the headers that may pass.
func (w *answerWriter) serviceEnd(end *sd.CallEnd) error {
	w.started = true
	response := w.context.Response()
	for _, h := range w.service.Headers {
		if allowedAnswerHeader(h.Name) {
			response.Header().Set(h.Name, h.Value)
		}
	}
	if end.Head != "" {
		response.Header().Set(headHeader, end.Head)
	}
	response.Header().Set(outcomeHeader, sd.Ran.String())
	w.expire()
	setLength(response.Header(), w.service.Body)
	response.WriteHeader(w.service.Status)
	if _, err := response.Write(w.service.Body); err != nil {
		return sd.Uncertain.Wrap(err, "the caller no longer reads")
	}
	return nil
}

// writeJSON writes a whole answer in JSON.
func writeJSON(c echo.Context, status int, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return sd.BrokenResponse.Wrap(err, "encode an answer")
	}
	encoded = append(encoded, '\n')
	setLength(c.Response().Header(), encoded)
	if err := c.JSONBlob(status, encoded); err != nil {
		return sd.Uncertain.Wrap(err, "the caller no longer reads")
	}
	return nil
}

// setLength sets the length of an answer that has a body. HTTP/1.0 callers could not tell one
// that breaks off from a whole one without it.
func setLength(header http.Header, body []byte) {
	if len(body) > 0 {
		header.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	}
}

// expire bounds the time that the next write waits for a slow reader.
func (w *answerWriter) expire() {
	control := http.NewResponseController(w.context.Response().Writer)
	_ = control.SetWriteDeadline(time.Now().Add(readerTimeout.Duration()))
}

// refuse writes a refusal: as the response, or as the last event of a stream
// that has begun.
func (w *answerWriter) refuse(refusal *sd.Refusal) error {
	if !w.started {
		return refuse(w.context, refusal)
	}
	if w.stream {
		return w.event("refusal", detailOf(refusal))
	}
	return nil
}

// event writes one server-sent event.
func (w *answerWriter) event(name string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return sd.BrokenResponse.Wrap(err, "encode an event")
	}
	if name != "" {
		name = "event: " + name + "\n"
	}
	return w.line(name + "data: " + string(encoded) + "\n\n")
}

// line writes text of the event stream and flushes it.
func (w *answerWriter) line(text string) error {
	response := w.context.Response()
	if !w.started {
		w.started = true
		response.Header().Set(echo.HeaderContentType, "text/event-stream")
		response.Header().Set("Cache-Control", "no-store")
		response.WriteHeader(http.StatusOK)
	}
	w.expire()
	if _, err := response.Write([]byte(text)); err != nil {
		return sd.Uncertain.Wrap(err, "the caller no longer reads")
	}
	response.Flush()
	return nil
}

// allowedAnswerHeader reports whether a service's header may reach the caller.
func allowedAnswerHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Content-Type", "Content-Language", "Content-Disposition", "Location":
		return true
	}
	return false
}

// readerTimeout bounds one write to a caller who reads slowly.
const readerTimeout = 30 * sd.Second
