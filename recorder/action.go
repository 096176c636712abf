package recorder

import (
	"github.com/joomcode/errorx"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// Action is one thing that a State asks the host to do: Put, Commit, Read, Get,
// Delete or Image.
type Action interface{ action() }

// Put stores an object. Its name is never used for other content.
type Put struct {
	Name  string
	Value []byte
}

// Commit applies a transaction.
type Commit struct{ Transaction root.Transaction }

// Read reads rows of the table.
type Read struct{ Keys []root.RowKey }

// Get reads an object.
type Get struct{ Name string }

// Delete removes an object.
type Delete struct{ Name string }

// Image asks the keeper for the whole state of shards.
type Image struct{ Shards []root.ShardID }

func (Put) action()    {}
func (Commit) action() {}
func (Read) action()   {}
func (Get) action()    {}
func (Delete) action() {}
func (Image) action()  {}

// Answer is the result of an action; the fields that the action asks for are set.
type Answer struct {
	Error    error
	Rows     []root.Row
	Value    []byte
	Pictures []Picture
}

// Picture is the whole state of a shard.
type Picture struct {
	Shard   root.ShardID
	Epoch   root.Epoch
	Records []keeper.Record
}

// Event is what a State tells: Recorded, Decided, Lost, Loaded, Refused, Based,
// Named or Failing.
type Event interface{ event() }

// Recorded tells that a tree's records up to Number are durable.
type Recorded struct {
	Shard  root.ShardID
	Tree   root.ProgramID
	Epoch  root.Epoch
	Number uint64
}

// Decided answers a waiting intent: by Intended, or by Refusal if that is set.
type Decided struct {
	Ticket   Ticket
	Intended Intended
	Refusal  *root.Refusal
}

// Lost tells that another host has taken a shard over.
type Lost struct{ Tenure Tenure }

// Loaded ends a claim: the shard's durable records, and the peers that may hold
// later ones. The host seals those peers, restores the shard and calls Rebase.
type Loaded struct {
	Tenure  Tenure
	Records []keeper.Record
	Peers   []keeper.Peer
}

// Refused ends a claim without success.
type Refused struct {
	Tenure Tenure
	Cause  error
}

// Based tells that a taken shard is stored whole in this host's log.
type Based struct{ Tenure Tenure }

// Named tells which peers the log's row names; copies at one of them are safe.
type Named struct{ Peers []keeper.Peer }

// Failing tells that the platform did not do an action, and how.
type Failing struct{ Cause error }

func (Recorded) event() {}
func (Decided) event()  {}
func (Lost) event()     {}
func (Loaded) event()   {}
func (Refused) event()  {}
func (Based) event()    {}
func (Named) event()    {}
func (Failing) event()  {}

// effect tells what is known about a commit.
type effect int

const (
	done effect = iota
	none
	conflict
	unsure
)

// effectOf reads an error of the platform. Errors of unknown types count as
// unsure: a cancelled commit may have taken effect.
func effectOf(err error) effect {
	switch {
	case err == nil:
		return done
	case errorx.IsOfType(err, root.Unavailable):
		return none
	case errorx.IsOfType(err, root.Conflict):
		return conflict
	}
	return unsure
}
