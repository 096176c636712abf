package sapphiredrum

import "context"

// Message is one message of a program's history, in the chat-completions shape.
type Message struct {
	Role    string
	Content string
}

// EngineCall is a model call as it is sent to an engine. It holds no key.
type EngineCall struct {
	Stream  StreamID
	Program ProgramID
	Model   ModelName
	// Fence is the epoch of the guard that granted the permit.
	Fence    Epoch
	Messages []Message
	// Limit bounds the tokens of the answer.
	Limit Tokens
}

// Piece is a part of a streamed answer.
type Piece struct {
	// Offset counts the tokens of the answer before this piece.
	Offset Tokens
	// Count is the number of tokens in Text.
	Count Tokens
	Text  string
	// Cached is the number of prompt tokens served from the prefix cache; it is
	// set on the first piece.
	Cached Tokens
	// Prompt is the number of prompt tokens; it is set on the first piece.
	Prompt Tokens
}

// Answer is a stream of pieces.
type Answer interface {
	// Next returns the next piece, an EndOfStream error after the last one, or a
	// BrokenAnswer error when the answer ended early.
	Next(ctx context.Context) (Piece, error)
	// Close gives the answer up and waits until its resources are free.
	Close()
}

// Load is a target's report of its own load; it lags.
type Load struct {
	Target      TargetID
	Incarnation Incarnation
	Running     Slots
	Waiting     Slots
	// Held is the prefix memory in use.
	Held Tokens
	// Cold is set while the target warms up.
	Cold bool
	// Programs are the programs whose memory the engine holds; Brief is set where
	// they are left out.
	Programs []ProgramID
	Brief    bool
}

// CacheEvent tells that an engine stored or dropped a program's prefix.
type CacheEvent struct {
	Number  uint64
	Program ProgramID
	Tokens  Tokens
	Dropped bool
}

// Engine is a model engine.
//
// Errors are Unavailable (no byte of the request was sent), Uncertain, Fenced,
// Absent (an unknown stream) and BrokenAnswer.
type Engine interface {
	// Start sends a call. Uncertain means that the engine may run it.
	Start(ctx context.Context, call EngineCall) (Answer, error)
	// Resume continues a stream from the given token offset.
	Resume(ctx context.Context, stream StreamID, offset Tokens) (Answer, error)
	// Cancel stops a stream and frees its slot; repeating it is harmless.
	Cancel(ctx context.Context, stream StreamID) error
	// Release frees the memory that a program holds; repeating it is harmless.
	Release(ctx context.Context, program ProgramID, fence Epoch) error
	// Load returns the engine's latest report, with or without its programs.
	Load(ctx context.Context, programs bool) (Load, error)
	// Events returns cache events after the given number; some may be missing.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// Header is one header line of a request or an answer.
type Header struct {
	Name  string
	Value string
}

// ServiceCall is a request to a plain service. It holds no key.
type ServiceCall struct {
	Stream  StreamID
	Method  string
	Path    string
	Headers []Header
	Body    []byte
}

// ServiceAnswer is a service's whole answer.
type ServiceAnswer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Service is a plain service. Errors are Unavailable (no byte of the request
// was sent), Uncertain and BrokenAnswer.
type Service interface {
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}
