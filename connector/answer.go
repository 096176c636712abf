package connector

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"sapphiredrum.example/sapphiredrum"
)

// answer reads the server-sent events of a streamed answer.
type answer struct {
	stream sapphiredrum.StreamID
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
	offset sapphiredrum.Tokens
	// end is the error that every further Next returns.
	end error
}

// chunk is one event of a streamed answer.
type chunk struct {
	ID      sapphiredrum.StreamID `json:"id"`
	Offset  *sapphiredrum.Tokens  `json:"offset"`
	Count   *sapphiredrum.Tokens  `json:"count"`
	Choices []struct {
		Delta completionMessage `json:"delta"`
	} `json:"choices"`
	Usage struct {
		Prompt  sapphiredrum.Tokens `json:"prompt_tokens"`
		Details struct {
			Cached sapphiredrum.Tokens `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// Parts of the event stream's syntax.
const (
	dataField = "data:"
	endMark   = "[DONE]"
	maxLine   = 1 << 20
)

// newAnswer reads a stream's body whose first token has the given offset.
func newAnswer(stream sapphiredrum.StreamID, body io.ReadCloser, cancel context.CancelFunc, offset sapphiredrum.Tokens) *answer {
	return &answer{stream: stream, body: body, reader: bufio.NewReader(body), cancel: cancel, offset: offset}
}

// Next returns the next piece. When ctx ends, so does the answer.
func (a *answer) Next(ctx context.Context) (sapphiredrum.Chunk, error) {
	if a.end != nil {
		return sapphiredrum.Chunk{}, a.end
	}
	stop := context.AfterFunc(ctx, a.cancel)
	defer stop()
	piece, err := a.read()
	if err != nil {
		a.end = err
	}
	return piece, err
}

// Close ends the exchange and waits until its connection is free. Close may be
// called while Next runs, which then fails.
func (a *answer) Close() {
	a.cancel()
	_ = a.body.Close()
}

// read returns the piece of the next event.
func (a *answer) read() (sapphiredrum.Chunk, error) {
	data, err := a.event()
	if err != nil {
		return sapphiredrum.Chunk{}, sapphiredrum.BrokenResponse.Wrap(err, "the answer ended early at offset %d", a.offset)
	}
	if string(data) == endMark {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.reader, maxLine))
		return sapphiredrum.Chunk{}, sapphiredrum.EndOfStream.New("%d tokens", a.offset)
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return sapphiredrum.Chunk{}, sapphiredrum.BrokenResponse.Wrap(err, "the event at offset %d does not parse", a.offset)
	}
	if !a.follows(c) {
		return sapphiredrum.Chunk{}, sapphiredrum.BrokenResponse.New("the event at offset %d of stream %q does not follow", a.offset, a.stream)
	}
	a.offset += *c.Count
	return sapphiredrum.Chunk{
		Offset: *c.Offset,
		Count:  *c.Count,
		Text:   c.Choices[0].Delta.Content,
		Cached: c.Usage.Details.Cached,
		Prompt: c.Usage.Prompt,
	}, nil
}

// follows reports whether a chunk is the answer's next one. An answer of another
// stream, crossed with this one, does not.
func (a *answer) follows(c chunk) bool {
	return c.ID == a.stream && c.Offset != nil && c.Count != nil && len(c.Choices) == 1 &&
		*c.Offset == a.offset && *c.Count >= 0
}

// event returns the data of the next event. An event counts only with the empty
// line that ends it, so that one cut inside is not taken for whole.
func (a *answer) event() ([]byte, error) {
	var data []byte
	for {
		line, err := a.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if data != nil {
				return data, nil
			}
			continue
		}
		if rest, found := bytes.CutPrefix(line, []byte(dataField)); found {
			data = append(data, bytes.TrimPrefix(rest, []byte(" "))...)
		}
	}
}

// line returns the next line without its end.
func (a *answer) line() ([]byte, error) {
	var line []byte
	for {
		part, err := a.reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(line) > maxLine {
			return nil, sapphiredrum.BrokenResponse.New("a line is longer than %d bytes", maxLine)
		}
	}
}
