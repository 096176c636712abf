package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"sapphiredrum.example/sapphiredrum"
)

// Engine is the client of one model engine.
type Engine struct {
	Pool    *Pool
	Address sapphiredrum.Address
	// Timeout bounds every operation but Start and Resume; zero leaves it to the
	// context.
	Timeout sapphiredrum.Millis
}

var _ sapphiredrum.Engine = (*Engine)(nil)

// Headers by which a call names its stream, program and fencing number.
const (
	streamHeader  = "Sapphiredrum-Stream"
	programHeader = "Sapphiredrum-Program"
	fenceHeader   = "Sapphiredrum-Fence"
)

// Bodies of an engine's requests and answers.
type (
	completionRequest struct {
		Model     sapphiredrum.ModelName `json:"model"`
		Messages  []completionMessage    `json:"messages"`
		MaxTokens sapphiredrum.Tokens    `json:"max_tokens,omitempty"`
		Stream    bool                   `json:"stream"`
	}
	completionMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	releaseRequest struct {
		Program sapphiredrum.ProgramID `json:"program"`
		Fence   sapphiredrum.Epoch     `json:"fence"`
	}
	eventsAnswer struct {
		Events []sapphiredrum.CacheEvent `json:"events"`
	}
)

// Start sends a call. The context bounds the whole answer.
func (e *Engine) Start(ctx context.Context, call sapphiredrum.EngineCall) (sapphiredrum.ResponseStream, error) {
	body := completionRequest{Model: call.Model, MaxTokens: call.Limit, Stream: true}
	for _, m := range call.Messages {
		body.Messages = append(body.Messages, completionMessage{Role: m.Role, Content: m.Content})
	}
	data, err := marshal(body)
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(streamHeader, string(call.Stream))
	header.Set(programHeader, string(call.Program))
	header.Set(fenceHeader, strconv.FormatUint(uint64(call.Fence), 10))
	return e.stream(ctx, order{method: http.MethodPost, target: "/v1/chat/completions", header: header, body: data}, call.Stream, 0)
}

// Resume continues a stream. The context bounds the whole answer.
func (e *Engine) Resume(ctx context.Context, stream sapphiredrum.StreamID, offset sapphiredrum.Tokens) (sapphiredrum.ResponseStream, error) {
	target := "/streams/" + url.PathEscape(string(stream)) + "?offset=" + strconv.FormatInt(int64(offset), 10)
	answer, err := e.stream(ctx, order{method: http.MethodGet, target: target}, stream, offset)
	return answer, settle(err)
}

// Cancel stops a stream.
func (e *Engine) Cancel(ctx context.Context, stream sapphiredrum.StreamID) error {
	target := "/streams/" + url.PathEscape(string(stream)) + "/cancel"
	return e.exchange(ctx, http.MethodPost, target, nil, nil)
}

// Release frees the memory that a program holds.
func (e *Engine) Release(ctx context.Context, program sapphiredrum.ProgramID, fence sapphiredrum.Epoch) error {
	return e.exchange(ctx, http.MethodPost, "/release", releaseRequest{Program: program, Fence: fence}, nil)
}

// Load returns the engine's latest report, with or without its programs.
func (e *Engine) Load(ctx context.Context, programs bool) (sapphiredrum.Load, error) {
	var load sapphiredrum.Load
	target := "/load"
	if !programs {
		target += "?brief=true"
	}
	err := e.exchange(ctx, http.MethodGet, target, nil, &load)
	return load, settle(err)
}

// Events returns cache events after the given number.
func (e *Engine) Events(ctx context.Context, after uint64) ([]sapphiredrum.CacheEvent, error) {
	var answer eventsAnswer
	err := e.exchange(ctx, http.MethodGet, "/events?after="+strconv.FormatUint(after, 10), nil, &answer)
	return answer.Events, settle(err)
}

// stream sends an order whose successful answer is a stream of events.
func (e *Engine) stream(ctx context.Context, o order, stream sapphiredrum.StreamID, offset sapphiredrum.Tokens) (sapphiredrum.ResponseStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	o.address = e.Address
	response, err := e.Pool.send(ctx, o)
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, failure(response)
	}
	return newAnswer(stream, response.Body, cancel, offset), nil
}

// exchange sends a body as JSON and reads the answer's JSON unless answer is nil.
func (e *Engine) exchange(ctx context.Context, method, target string, body, answer any) error {
	if e.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, e.Timeout.Duration())
		defer cancel()
	}
	data, err := marshal(body)
	if err != nil {
		return err
	}
	header := jsonHeader()
	value, err := e.Pool.exchange(ctx, order{method: method, address: e.Address, target: target, header: header, body: data})
	if err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(value, answer); err != nil {
		return sapphiredrum.Uncertain.Wrap(err, "%s %s: the answer does not parse", method, target)
	}
	return nil
}

// jsonHeader returns the header of a JSON body.
func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}
