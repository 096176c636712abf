package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	sd "sapphiredrum.example/sapphiredrum"
)

// tryCaller sends a program's requests.
type tryCaller struct {
	trial   *trial
	program string
	head    string
}

// tryAnswer is an HTTP answer.
type tryAnswer struct {
	header http.Header
	body   string
}

// tryChunk is a streamed part of an answer.
type tryChunk struct {
	Choices []struct {
		Delta struct{ Content string }
	}
	Head string
}

// send sends one request and returns its answer, or an error that quotes a refusal.
func (c *tryCaller) send(ctx context.Context, method, path, body string) (tryAnswer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+callerPort+path, strings.NewReader(body))
	if err != nil {
		return tryAnswer{}, sd.Unavailable.Wrap(err, "the request cannot be formed")
	}
	request.Header.Set("Authorization", "Bearer "+c.trial.secret)
	if c.program != "" {
		request.Header.Set("Sapphiredrum-Program", c.program)
		request.Header.Set("Sapphiredrum-Head", c.head)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return tryAnswer{}, sd.Unavailable.Wrap(err, "%s %s", method, path)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return tryAnswer{}, sd.BrokenResponse.Wrap(err, "%s %s", method, path)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return tryAnswer{}, sd.Unavailable.New("%s %s: %s", method, path, text)
	}
	return tryAnswer{header: response.Header, body: strings.TrimSpace(string(text))}, nil
}

// field returns a text field of a JSON answer.
func (a tryAnswer) field(name string) string {
	var fields map[string]json.RawMessage
	_ = json.Unmarshal([]byte(a.body), &fields)
	var text string
	_ = json.Unmarshal(fields[name], &text)
	return text
}

// text returns the text of a streamed answer.
func (a tryAnswer) text() string {
	var text strings.Builder
	for _, chunk := range a.chunks() {
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String()
}

// lastHead returns the head that a streamed answer ended with.
func (a tryAnswer) lastHead() string {
	head := ""
	for _, chunk := range a.chunks() {
		if chunk.Head != "" {
			head = chunk.Head
		}
	}
	return head
}

// chunks parses a streamed answer.
func (a tryAnswer) chunks() []tryChunk {
	var chunks []tryChunk
	lines := bufio.NewScanner(strings.NewReader(a.body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		var chunk tryChunk
		if found && json.Unmarshal([]byte(data), &chunk) == nil {
			chunks = append(chunks, chunk)
		}
	}
	return chunks
}
