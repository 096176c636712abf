package keeper

import (
	root "sapphiredrum.example/sapphiredrum"
)

// Condition is a program's stage of life.
type Condition string

// The conditions of a program.
const (
	Open      Condition = "open"
	Ended     Condition = "ended"
	Cancelled Condition = "cancelled"
)

// Done is a finished call whose result can be given again.
type Done struct {
	Call    root.CallID
	Digest  Digest
	Outcome root.Outcome
	// Head is the head after the call.
	Head Head
	// Place is one more than the index of the answer in the history; zero means
	// that Answer holds it.
	Place  int    `json:",omitempty"`
	Answer string `json:",omitempty"`
	// Dropped is set where the answer is no longer kept.
	Dropped bool `json:",omitempty"`
}

// Image is the recorded state of a program.
type Image struct {
	ID        root.ProgramID
	Workspace root.WorkspaceID
	Parent    root.ProgramID `json:",omitempty"`
	Budget    root.Tokens
	TTL       root.Millis
	State     Condition
	Head      Head
	History   []root.Message
	// Spent is what the program's own calls have used, Allotted what is recorded
	// as spent by them, Carved what its children hold or have used.
	Spent    root.Tokens
	Allotted root.Tokens
	Carved   root.Tokens
	// Known is the number of tokens of the history as the engine last counted
	// them, Counted the number of messages that Known covers.
	Known   root.Tokens
	Counted int
	Calls   []Done
}

// program is an image with what one owner knows besides.
type program struct {
	Image
	tree *tree
	// usable is the part of the allotment whose record is safe.
	usable root.Tokens
	raises []raise
	// after is the record that must be safe before the next call starts: that
	// of the call before it.
	after   uint64
	current *attempt
	queue   []Call
	touched root.Instant
}

// raise is an allotment that becomes usable once its record is safe.
type raise struct {
	number uint64
	amount root.Tokens
}

// tree is a program with its descendants.
type tree struct {
	id     root.ProgramID
	number uint64
	// epoch is the lowest that the next record may have, last that of the latest
	// record.
	epoch    root.Epoch
	last     root.Epoch
	safe     uint64
	programs map[root.ProgramID]*program
	// order lists the programs by creation.
	order []root.ProgramID
}

// attained is the service of the whole tree, in tokens.
func (t *tree) attained() root.Tokens {
	var sum root.Tokens
	for _, id := range t.order {
		sum += t.programs[id].Spent
	}
	return sum
}

// free is what could still be allotted or carved.
func (p *program) free() root.Tokens {
	return p.Budget - p.Allotted - p.Carved
}

// left is what the program gives back when it is closed; it is negative where
// a target used more than it was allowed.
func (p *program) left() root.Tokens {
	return p.Budget - p.Spent - p.Carved
}

// find returns the remembered result of a call.
func (p *program) find(call root.CallID) (Done, bool) {
	for i := len(p.Calls) - 1; i >= 0; i-- {
		if p.Calls[i].Call == call {
			return p.Calls[i], true
		}
	}
	return Done{}, false
}

// answer returns the text of a finished call and whether it is still kept.
func (p *program) answer(d Done) (string, bool) {
	if d.Dropped {
		return "", false
	}
	if d.Place > 0 {
		return p.History[d.Place-1].Content, true
	}
	return d.Answer, true
}

// bound returns an upper bound of the prompt's tokens: a token has at least one
// byte, and what the engine counted before need not be estimated again.
func (p *program) bound(messages []root.Message) root.Tokens {
	bound := p.Known
	for _, m := range p.History[p.Counted:] {
		bound += cost(m)
	}
	for _, m := range messages {
		bound += cost(m)
	}
	return bound
}

func cost(m root.Message) root.Tokens {
	return root.Tokens(len(m.Role) + len(m.Content) + messageTokens)
}

func (i *Image) size() int {
	size := recordOverhead
	for _, m := range i.History {
		size += len(m.Role) + len(m.Content) + messageOverhead
	}
	for _, d := range i.Calls {
		size += len(d.Call) + len(d.Answer) + doneOverhead
	}
	return size
}

const (
	// messageTokens bounds the tokens that a chat template adds to a message.
	messageTokens = 8
	doneOverhead  = 128
)
