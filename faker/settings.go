package faker

import "sapphiredrum.example/sapphiredrum"

// Pace is a time per token in milliseconds.
type Pace float64

// EngineSettings describe an engine. NewEngine replaces zero Slots, Words and
// Keep by defaults.
type EngineSettings struct {
	Target sapphiredrum.TargetID
	// Model is the only model served; empty serves any.
	Model sapphiredrum.ModelName
	// Slots is the size of the batch when warm, Cold what is borne when cold, zero
	// meaning Slots; Ramp is the time under work from cold to warm.
	Slots sapphiredrum.Slots
	Cold  sapphiredrum.Slots
	Ramp  sapphiredrum.Millis
	// Collapse makes a call beyond what is borne while cold break all calls and
	// turn the engine cold again. Without it such calls are only counted.
	Collapse bool
	// Memory is the prefix memory; zero is unlimited.
	Memory sapphiredrum.Tokens
	// Prefill is the time per prompt token outside the prefix memory, Token the
	// time per token of an answer; each other call of the batch adds the fraction
	// Slowdown to both.
	Prefill  Pace
	Token    Pace
	Slowdown float64
	// Words is the length of an answer unless the call's limit is lower.
	Words sapphiredrum.Tokens
	// Fenced refuses calls and releases with an old fencing number; otherwise they
	// are served and counted as stale.
	Fenced bool
	// Lag is the greatest age of a load report.
	Lag sapphiredrum.Millis
	// Delay holds back cache events; each Gap-th event is lost, none if zero.
	Delay sapphiredrum.Millis
	Gap   uint64
	// Keep is how long an ended answer can be resumed.
	Keep sapphiredrum.Millis
}

// EngineFaults are the faults of an engine; the zero value has none.
type EngineFaults struct {
	// Away makes every operation fail as Unavailable.
	Away bool
	// Hang holds calls and orders back until it is cleared.
	Hang bool
	// Slow delays every operation.
	Slow sapphiredrum.Millis
	// LoseAnswers is the number of next calls, cancels and releases that take
	// effect and are reported as Uncertain.
	LoseAnswers int
	// Cuts is the number of answers, resumed ones too, that break after CutAfter
	// tokens; the engine goes on generating and they can be resumed.
	Cuts     int
	CutAfter sapphiredrum.Tokens
}

// EngineCounters tell what an engine did.
type EngineCounters struct {
	Starts uint64
	// Repeats counts starts of a stream that was started before.
	Repeats  uint64
	Resumes  uint64
	Cancels  uint64
	Releases uint64
	// Refused counts orders refused for their fencing number, Stale those served
	// in spite of it.
	Refused  uint64
	Stale    uint64
	Finished uint64
	Broken   uint64
	// Overloads counts calls beyond what the engine bore while cold.
	Overloads uint64
	Collapses uint64
	// Prompt, Cached and Answered count tokens.
	Prompt   sapphiredrum.Tokens
	Cached   sapphiredrum.Tokens
	Answered sapphiredrum.Tokens
	// Evicted counts prefixes dropped for want of memory.
	Evicted uint64
	Running sapphiredrum.Slots
	Waiting sapphiredrum.Slots
	Peak    sapphiredrum.Slots
	Held    sapphiredrum.Tokens
	// Programs are the programs whose memory is held now.
	Programs []sapphiredrum.ProgramID
}
