package sapphiredrum

import "context"

// Message is one message of a program's history, in chat-completions format.
type Message struct {
	Role    string
	Content string
}

// EngineCall is a model call as sent to an engine. It does not contain the API
// key.
type EngineCall struct {
	Stream  StreamID
	Program ProgramID
	Model   ModelName
	// Fence is the fencing token: the epoch under which the call's permit was
	// granted.
	Fence    Epoch
	Messages []Message
	// Limit is the maximum number of tokens in the response.
	Limit Tokens
}

// Chunk is a part of a streamed response.
type Chunk struct {
	// Offset is the number of response tokens before this chunk.
	Offset Tokens
	// Count is the number of tokens in Text.
	Count Tokens
	Text  string
	// Cached is the number of prompt tokens served from the prefix cache; it is
	// set on the first chunk.
	Cached Tokens
	// Prompt is the number of prompt tokens; it is set on the first chunk.
	Prompt Tokens
}

// ResponseStream is a stream of chunks.
type ResponseStream interface {
	// Next returns the next chunk, an EndOfStream error after the last one, or a
	// BrokenResponse error if the response was truncated.
	Next(ctx context.Context) (Chunk, error)
	// Close abandons the response and waits until its resources are released.
	Close()
}

// Load is a target's report of its own load. It may be out of date.
type Load struct {
	Target      TargetID
	Incarnation Incarnation
	Running     Slots
	Waiting     Slots
	// CacheUsed is the part of the prefix cache in use.
	CacheUsed Tokens `json:"Held"`
	// Cold is set while the target is warming up.
	Cold bool
	// Programs lists the programs in the engine's prefix cache. ProgramsOmitted is
	// set if the report leaves the list out.
	Programs        []ProgramID
	ProgramsOmitted bool `json:"Brief"`
}

// CacheEvent reports that an engine cached or evicted a program's prefix.
type CacheEvent struct {
	Number  uint64
	Program ProgramID
	Tokens  Tokens
	Evicted bool `json:"Dropped"`
}

// Engine is a model engine.
//
// Its errors are Unavailable (no byte of the request was sent), Uncertain, Fenced,
// NotFound (the stream is unknown) and BrokenResponse.
type Engine interface {
	// Start sends a call. On an Uncertain error, the engine may run it.
	Start(ctx context.Context, call EngineCall) (ResponseStream, error)
	// Resume continues a stream from the given token offset.
	Resume(ctx context.Context, stream StreamID, offset Tokens) (ResponseStream, error)
	// Cancel stops a stream and frees its slot. It is idempotent.
	Cancel(ctx context.Context, stream StreamID) error
	// Release evicts a program's prefix from the cache. It is idempotent.
	Release(ctx context.Context, program ProgramID, fence Epoch) error
	// Load returns the engine's latest load report, with Programs if requested.
	Load(ctx context.Context, programs bool) (Load, error)
	// Events returns the cache events after the given number. Some may be missing.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// Header is one HTTP header field of a request or response.
type Header struct {
	Name  string
	Value string
}

// ServiceCall is a request to a plain service. It does not contain the API key.
type ServiceCall struct {
	Stream  StreamID
	Method  string
	Path    string
	Headers []Header
	Body    []byte
}

// ServiceResponse is a service's complete response.
type ServiceResponse struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Service is a plain service. Its errors are Unavailable (no byte of the request
// was sent), Uncertain and BrokenResponse.
type Service interface {
	Call(ctx context.Context, call ServiceCall) (ServiceResponse, error)
}
