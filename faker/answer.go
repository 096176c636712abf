package faker

import (
	"context"

	"sapphiredrum.example/sapphiredrum"
)

// answer reads a stream of an engine from an offset on.
type answer struct {
	engine *Engine
	stream *stream
	offset sapphiredrum.Tokens
	// cut is the offset at which the answer breaks; zero for none.
	cut    sapphiredrum.Tokens
	begun  bool
	closed bool
}

// Next waits for tokens and returns all that are there.
func (a *answer) Next(ctx context.Context) (sapphiredrum.Chunk, error) {
	for {
		piece, wait, err := a.poll()
		if err != nil || wait == 0 {
			return piece, err
		}
		if err := pause(ctx, wait); err != nil {
			return sapphiredrum.Chunk{}, sapphiredrum.BrokenResponse.Wrap(err, "the caller gave up")
		}
	}
}

// Close gives the answer up. The stream runs on until it is cancelled.
func (a *answer) Close() {
	a.engine.mutex.Lock()
	defer a.engine.mutex.Unlock()
	a.closed = true
}

// poll returns a piece, an error or the time to wait for the next token.
func (a *answer) poll() (sapphiredrum.Chunk, sapphiredrum.Millis, error) {
	e, s := a.engine, a.stream
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	limit := s.done
	if a.cut > 0 {
		limit = min(limit, a.cut)
	}
	switch {
	case a.closed:
		return sapphiredrum.Chunk{}, 0, sapphiredrum.BrokenResponse.New("the answer was closed")
	case limit > a.offset:
		return a.take(limit), 0, nil
	case s.state == streamFinished && a.offset >= s.length:
		return sapphiredrum.Chunk{}, 0, sapphiredrum.EndOfStream.New("all %d tokens were read", s.length)
	case s.state == streamBroken:
		return sapphiredrum.Chunk{}, 0, sapphiredrum.BrokenResponse.New("the engine gave the stream up")
	case a.cut > 0 && a.offset >= a.cut:
		return sapphiredrum.Chunk{}, 0, sapphiredrum.BrokenResponse.New("the answer was cut")
	}
	return sapphiredrum.Chunk{}, e.patience(s), nil
}

// take returns the tokens from the answer's offset up to limit.
func (a *answer) take(limit sapphiredrum.Tokens) sapphiredrum.Chunk {
	piece := sapphiredrum.Chunk{
		Offset: a.offset,
		Count:  limit - a.offset,
		Text:   span(a.stream.digest, a.offset, limit),
	}
	if !a.begun {
		a.begun = true
		piece.Cached, piece.Prompt = a.stream.cached, a.stream.prompt
	}
	a.offset = limit
	return piece
}

// patience returns the time until a running stream's next token is due.
func (e *Engine) patience(s *stream) sapphiredrum.Millis {
	if s.state != streamRunning {
		return pollInterval
	}
	left := sapphiredrum.Millis(s.due - float64(e.clock.Now()))
	return min(max(left, 1), sapphiredrum.Second)
}
