package recorder

import (
	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// Key names a non-idempotent call. Program is empty for a call without one.
type Key struct {
	Workspace root.WorkspaceID
	Program   root.ProgramID
	Call      root.CallID
}

// Intent asks to run a non-idempotent call once.
type Intent struct {
	Key
	// Shard keeps the intent: the program's, or the caller's choice by key.
	Shard root.ShardID
	// Epoch is that of the attempt that asks; zero for a call without a program.
	// An attempt from before the shard was lost and taken back gets no permission.
	Epoch root.Epoch
	// Digest covers the whole request.
	Digest keeper.Digest
}

// Ticket identifies one permission to send a call.
type Ticket struct {
	Epoch  root.Epoch
	Number uint64
}

// Intended answers an intent. Only a fresh one may be sent, once, and must then
// be settled. Otherwise Outcome and Answer tell what became of the earlier one.
type Intended struct {
	Fresh   bool
	Ticket  Ticket
	Outcome root.Outcome
	Answer  string
	// Kept is set when Answer is the whole recorded answer.
	Kept bool
}

// MarkKind tells what a mark says about an intent.
type MarkKind string

// The kinds of marks.
const (
	MarkIntended MarkKind = "intended"
	MarkSettled  MarkKind = "settled"
)

// Mark is the stored form of a change of an intent.
type Mark struct {
	Kind    MarkKind
	Key     Key
	Digest  keeper.Digest
	Ticket  Ticket
	Outcome root.Outcome
	Answer  string `json:",omitempty"`
	Kept    bool   `json:",omitempty"`
}

// stage is how far an intent has come.
type stage int

const (
	// queued intents wait to be recorded; nothing was sent.
	queued stage = iota
	// open intents are recorded; the call may have been sent.
	open
	// settled intents have an outcome.
	settled
)

// intent is what the owner of a shard knows about a call.
type intent struct {
	digest   keeper.Digest
	ticket   Ticket
	stage    stage
	outcome  root.Outcome
	answer   string
	kept     bool
	since    root.Instant
	deadline root.Instant
}

// free reports whether the call may be sent (again): it certainly never was.
func (i *intent) free() bool {
	return i.stage == settled && i.outcome == root.NotRun
}

// intended answers for a recorded intent.
func (i *intent) intended() Intended {
	if i.stage != settled {
		return Intended{Ticket: i.ticket, Outcome: root.Unknown}
	}
	return Intended{Ticket: i.ticket, Outcome: i.outcome, Answer: i.answer, Kept: i.kept}
}

// marks returns the stored form of an intent for a checkpoint.
func (i *intent) marks(key Key) []Mark {
	marks := []Mark{{Kind: MarkIntended, Key: key, Digest: i.digest, Ticket: i.ticket}}
	if i.stage == settled {
		marks = append(marks, i.settlement(key))
	}
	return marks
}

func (i *intent) settlement(key Key) Mark {
	return Mark{
		Kind: MarkSettled, Key: key, Digest: i.digest, Ticket: i.ticket,
		Outcome: i.outcome, Answer: i.answer, Kept: i.kept,
	}
}

// restore applies a stored mark after a takeover. An intent without an outcome
// stays open: its call may have been sent.
func restore(intents map[Key]*intent, mark Mark, now root.Instant) {
	i := intents[mark.Key]
	switch mark.Kind {
	case MarkIntended:
		intents[mark.Key] = &intent{digest: mark.Digest, ticket: mark.Ticket, stage: open, since: now}
	case MarkSettled:
		if i != nil && i.ticket == mark.Ticket {
			i.stage, i.outcome, i.answer, i.kept = settled, mark.Outcome, mark.Answer, mark.Kept
		}
	}
}
