package faker

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"

	"sapphiredrum.example/sapphiredrum"
)

// engineWeb serves an engine.
type engineWeb struct {
	engine *Engine
	watch  watch
}

// Bodies of the engine's and the control requests and answers.
type (
	completionBody struct {
		Model     sapphiredrum.ModelName `json:"model"`
		Messages  []messageBody          `json:"messages"`
		MaxTokens sapphiredrum.Tokens    `json:"max_tokens"`
		Stream    bool                   `json:"stream"`
	}
	messageBody struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	chunkBody struct {
		ID      sapphiredrum.StreamID `json:"id"`
		Object  string                `json:"object"`
		Offset  sapphiredrum.Tokens   `json:"offset"`
		Count   sapphiredrum.Tokens   `json:"count"`
		Choices []choiceBody          `json:"choices"`
		Usage   *usageBody            `json:"usage,omitempty"`
	}
	choiceBody struct {
		Index  int         `json:"index"`
		Delta  messageBody `json:"delta"`
		Finish *string     `json:"finish_reason"`
	}
	usageBody struct {
		Prompt  sapphiredrum.Tokens `json:"prompt_tokens"`
		Details usageDetailsBody    `json:"prompt_tokens_details"`
	}
	usageDetailsBody struct {
		Cached sapphiredrum.Tokens `json:"cached_tokens"`
	}
	releaseBody struct {
		Program sapphiredrum.ProgramID `json:"program"`
		Fence   sapphiredrum.Epoch     `json:"fence"`
	}
	eventsBody struct {
		Events []sapphiredrum.CacheEvent `json:"events"`
	}
	engineFaultsBody struct {
		Faults  EngineFaults `json:"faults"`
		Secrets []string     `json:"secrets"`
	}
	engineCountersBody struct {
		Engine   EngineCounters  `json:"engine"`
		Requests RequestCounters `json:"requests"`
	}
)

// endMark ends a complete answer.
const endMark = "data: [DONE]\n\n"

// EngineHandler serves an engine over HTTP.
//
// POST /v1/chat/completions starts a call and streams the answer as server-sent
// events; the headers Sapphiredrum-Stream, -Program and -Fence name the stream,
// the program and the fencing number. GET /streams/ID?offset=N resumes a stream,
// POST /streams/ID/cancel stops it, POST /release frees a program's memory, GET
// /load (with ?brief=true without programs) and GET /events?after=N report. POST /faults sets the faults, POST
// /restart makes the engine cold; GET /counters tells what was done.
func EngineHandler(engine *Engine) http.Handler {
	w := &engineWeb{engine: engine}
	web := newWeb(&w.watch)
	web.POST("/v1/chat/completions", w.start)
	web.GET("/streams/:stream", w.resume)
	web.POST("/streams/:stream/cancel", w.cancel)
	web.POST("/release", w.release)
	web.GET("/load", w.load)
	web.GET("/events", w.events)
	web.POST("/faults", w.setFaults)
	web.POST("/restart", w.restart)
	web.GET("/counters", w.counters)
	return web
}

// start serves POST /v1/chat/completions.
func (w *engineWeb) start(c echo.Context) error {
	var body completionBody
	if err := c.Bind(&body); err != nil {
		return err
	}
	header := c.Request().Header
	fence, err := number(header.Get(fenceHeader))
	if err != nil {
		return err
	}
	call := sapphiredrum.EngineCall{
		Stream:  sapphiredrum.StreamID(header.Get(streamHeader)),
		Program: sapphiredrum.ProgramID(header.Get(programHeader)),
		Model:   body.Model,
		Fence:   sapphiredrum.Epoch(fence),
		Limit:   body.MaxTokens,
	}
	if !body.Stream || call.Stream == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "only named streams are served")
	}
	for _, m := range body.Messages {
		call.Messages = append(call.Messages, sapphiredrum.Message{Role: m.Role, Content: m.Content})
	}
	answer, err := w.engine.Start(c.Request().Context(), call)
	if err != nil {
		return err
	}
	return relay(c, call.Stream, answer)
}

// resume serves GET /streams/ID.
func (w *engineWeb) resume(c echo.Context) error {
	offset, err := number(c.QueryParam("offset"))
	if err != nil {
		return err
	}
	name, err := parameter(c, "stream")
	if err != nil {
		return err
	}
	stream := sapphiredrum.StreamID(name)
	answer, err := w.engine.Resume(c.Request().Context(), stream, sapphiredrum.Tokens(offset))
	if err != nil {
		return err
	}
	return relay(c, stream, answer)
}

// cancel serves POST /streams/ID/cancel.
func (w *engineWeb) cancel(c echo.Context) error {
	stream, err := parameter(c, "stream")
	if err != nil {
		return err
	}
	if err := w.engine.Cancel(detached(c), sapphiredrum.StreamID(stream)); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// release serves POST /release.
func (w *engineWeb) release(c echo.Context) error {
	var body releaseBody
	if err := c.Bind(&body); err != nil {
		return err
	}
	if err := w.engine.Release(detached(c), body.Program, body.Fence); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// load serves GET /load.
func (w *engineWeb) load(c echo.Context) error {
	load, err := w.engine.Load(c.Request().Context(), c.QueryParam("brief") != "true")
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, load)
}

// events serves GET /events.
func (w *engineWeb) events(c echo.Context) error {
	after, err := number(c.QueryParam("after"))
	if err != nil {
		return err
	}
	events, err := w.engine.Events(c.Request().Context(), after)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, eventsBody{Events: events})
}

// setFaults serves POST /faults.
func (w *engineWeb) setFaults(c echo.Context) error {
	var body engineFaultsBody
	if err := c.Bind(&body); err != nil {
		return err
	}
	w.engine.SetFaults(body.Faults)
	w.watch.watchFor(body.Secrets)
	return c.NoContent(http.StatusNoContent)
}

// restart serves POST /restart.
func (w *engineWeb) restart(c echo.Context) error {
	w.engine.Restart()
	return c.NoContent(http.StatusNoContent)
}

// counters serves GET /counters.
func (w *engineWeb) counters(c echo.Context) error {
	return c.JSON(http.StatusOK, engineCountersBody{Engine: w.engine.Counters(), Requests: w.watch.seen()})
}

// relay writes an answer as server-sent events, ending with the end mark.
func relay(c echo.Context, stream sapphiredrum.StreamID, answer sapphiredrum.ResponseStream) error {
	defer answer.Close()
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	response.WriteHeader(http.StatusOK)
	response.Flush()
	for {
		piece, err := answer.Next(c.Request().Context())
		if errorx.IsOfType(err, sapphiredrum.EndOfStream) {
			_, err = response.Write([]byte(endMark))
			return err
		}
		if err != nil {
			return err
		}
		if err := writeChunk(response, stream, piece); err != nil {
			return err
		}
	}
}

// writeChunk writes a piece as one event.
func writeChunk(response *echo.Response, stream sapphiredrum.StreamID, piece sapphiredrum.Chunk) error {
	chunk := chunkBody{
		ID:      stream,
		Object:  "chat.completion.chunk",
		Offset:  piece.Offset,
		Count:   piece.Count,
		Choices: []choiceBody{{Delta: messageBody{Role: Role, Content: piece.Text}}},
	}
	if piece.Prompt > 0 || piece.Cached > 0 {
		chunk.Usage = &usageBody{Prompt: piece.Prompt, Details: usageDetailsBody{Cached: piece.Cached}}
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	line := append(append([]byte("data: "), data...), '\n', '\n')
	if _, err := response.Write(line); err != nil {
		return err
	}
	response.Flush()
	return nil
}

// number reads a number that may be missing.
func number(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, "not a number: "+text)
	}
	return n, nil
}
