package sweeper

import "sapphiredrum.example/sapphiredrum"

// Settings are the settings of one target's sweeper.
type Settings struct {
	// Fenced targets refuse orders with an old fencing number.
	Fenced bool
	// Grace is the time from the first word that a program is gone to its release.
	Grace sapphiredrum.Millis
	// Ask is the time between questions about one program.
	Ask sapphiredrum.Millis
	// Retry is the time after which an order without an answer is repeated.
	Retry sapphiredrum.Millis
	// Lag bounds how old a load report can be when it arrives.
	Lag sapphiredrum.Millis
	// Pause is the longest time between ticks that counts as uninterrupted.
	Pause sapphiredrum.Millis
}

// Guard is what the guard of the target knows of itself at the time of a tick.
type Guard struct {
	// Epoch is the fencing number; Holds tells that the lease is good now.
	Epoch sapphiredrum.Epoch
	Holds bool
}

// Life is what a keeper says of a program.
type Life int

// The words of a keeper.
const (
	// Unknown: the keeper doesn't own the shard or hasn't read the program yet.
	Unknown Life = iota
	// Living: the program may run further calls.
	Living
	// Gone: the program has ended, and no call of it will run again.
	Gone
)

// AskNumber tags a question.
type AskNumber uint64

// ReleaseNumber tags an order to the target.
type ReleaseNumber uint64

// Order is what the sweeper wants done: Ask or Release.
type Order interface {
	order()
}

// Ask is a question to the owner of a shard about some of its programs.
type Ask struct {
	Number   AskNumber
	Shard    sapphiredrum.ShardID
	Programs []sapphiredrum.ProgramID
}

// Answer is a keeper's answer to an Ask. Lives goes with the Ask's Programs.
type Answer struct {
	Number AskNumber
	// Epoch is the fencing number under which the keeper owns the shard.
	Epoch sapphiredrum.Epoch
	Lives []Life
}

// Release is an order to the target to free a program's memory.
type Release struct {
	Number  ReleaseNumber
	Program sapphiredrum.ProgramID
	Fence   sapphiredrum.Epoch
}

func (Ask) order()     {}
func (Release) order() {}

// Outcome is what became of a Release.
type Outcome int

// The outcomes of a Release, after the errors of sapphiredrum.Engine.
const (
	// Done: the target has released the memory.
	Done Outcome = iota
	// Lost: the target may have released it, or was not reached.
	Lost
	// Refused: the target knows a higher fencing number.
	Refused
)
