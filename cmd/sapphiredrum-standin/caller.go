package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// caller sends requests to hosts with one key.
type caller struct {
	client *http.Client
	// pick returns the address of the host for the next request.
	pick func() sapphiredrum.Address
	key  string
}

// request is a request to a host.
type request struct {
	method  string
	path    string
	program sapphiredrum.ProgramID
	call    sapphiredrum.CallID
	head    string
	body    any
}

// Headers of the callers' protocol.
const (
	programHeader = "Sapphiredrum-Program"
	callHeader    = "Sapphiredrum-Call"
	headHeader    = "Sapphiredrum-Head"
)

// Bodies of the callers' protocol.
type (
	programBody struct {
		Parent  sapphiredrum.ProgramID `json:"parent,omitempty"`
		Budget  sapphiredrum.Tokens    `json:"budget,omitempty"`
		Program sapphiredrum.ProgramID `json:"program,omitempty"`
		Head    string                 `json:"head,omitempty"`
	}
	chatBody struct {
		Messages []messageBody       `json:"messages"`
		Limit    sapphiredrum.Tokens `json:"max_tokens"`
		Stream   bool                `json:"stream"`
	}
	messageBody struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	chunkBody struct {
		Choices []struct {
			Delta messageBody `json:"delta"`
		} `json:"choices"`
		Head  string       `json:"head"`
		Error *refusalBody `json:"error"`
	}
	problemBody struct {
		Error refusalBody `json:"error"`
	}
	refusalBody struct {
		Reason  sapphiredrum.Reason `json:"reason"`
		Outcome string              `json:"outcome"`
		Retry   sapphiredrum.Millis `json:"retry_after_ms"`
		Detail  string              `json:"detail"`
	}
)

// maxConnects bounds the hosts tried for one request.
const maxConnects = 20

// maxEvent bounds a line of a streamed answer in bytes.
const maxEvent = 1 << 20

// send sends a request and returns its answer, a *Refusal, or an Uncertain
// error when there was no answer.
func (c *caller) send(ctx context.Context, r request) (*http.Response, error) {
	data, err := json.Marshal(r.body)
	if err != nil {
		return nil, sapphiredrum.Unavailable.Wrap(err, "the request cannot be formed")
	}
	response, err := c.reach(ctx, r, data)
	if err != nil {
		return nil, sapphiredrum.Uncertain.Wrap(err, "%s %s", r.method, r.path)
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer response.Body.Close()
	var problem problemBody
	if err := json.NewDecoder(response.Body).Decode(&problem); err != nil {
		return nil, sapphiredrum.BrokenResponse.Wrap(err, "status %d without a reason", response.StatusCode)
	}
	return nil, problem.Error.refusal()
}

// reach sends a request to one host after another until one can be connected to,
// as a balancer does.
func (c *caller) reach(ctx context.Context, r request, data []byte) (*http.Response, error) {
	for tries := 1; ; tries++ {
		out, err := http.NewRequestWithContext(ctx, r.method, "http://"+string(c.pick())+r.path, bytes.NewReader(data))
		if err != nil {
			return nil, err
		}
		// Without GetBody the transport never repeats the request.
		out.GetBody = nil
		out.Header.Set("Authorization", "Bearer "+c.key)
		out.Header.Set("Content-Type", "application/json")
		for name, value := range map[string]string{programHeader: string(r.program), callHeader: string(r.call), headHeader: r.head} {
			if value != "" {
				out.Header.Set(name, value)
			}
		}
		response, err := c.client.Do(out)
		var failed *net.OpError
		if err == nil || tries == maxConnects || !errors.As(err, &failed) || failed.Op != "dial" {
			return response, err
		}
	}
}

// whole sends a request and reads its whole answer and the head it carries.
func (c *caller) whole(ctx context.Context, r request) ([]byte, string, error) {
	response, err := c.send(ctx, r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, "", sapphiredrum.BrokenResponse.Wrap(err, "%s %s", r.method, r.path)
	}
	return body, response.Header.Get(headHeader), nil
}

// stream sends a model call and returns the text of its answer and the new head.
// It calls first when the first token arrives.
func (c *caller) stream(ctx context.Context, r request, first func()) (string, string, error) {
	response, err := c.send(ctx, r)
	if err != nil {
		return "", "", err
	}
	defer response.Body.Close()
	var text strings.Builder
	head := ""
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			_, _ = io.Copy(io.Discard, response.Body)
			return text.String(), head, nil
		}
		var chunk chunkBody
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", "", sapphiredrum.BrokenResponse.Wrap(err, "an event does not parse")
		}
		if chunk.Error != nil {
			return "", "", chunk.Error.refusal()
		}
		if chunk.Head != "" {
			head = chunk.Head
		}
		for _, choice := range chunk.Choices {
			if text.Len() == 0 && choice.Delta.Content != "" {
				first()
			}
			text.WriteString(choice.Delta.Content)
		}
	}
	return "", "", sapphiredrum.BrokenResponse.New("the answer ended early: %v", lines.Err())
}

// refusal returns the refusal that a body describes.
func (r *refusalBody) refusal() *sapphiredrum.Refusal {
	refusal := &sapphiredrum.Refusal{Reason: r.Reason, Outcome: sapphiredrum.Unknown, RetryAfter: r.Retry, Detail: r.Detail}
	for _, outcome := range []sapphiredrum.Outcome{sapphiredrum.NotRun, sapphiredrum.Ran} {
		if outcome.String() == r.Outcome {
			refusal.Outcome = outcome
		}
	}
	return refusal
}
