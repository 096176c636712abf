package keeper

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	root "sapphiredrum.example/sapphiredrum"
)

// Digest is a SHA-256 digest; its text form has 64 hexadecimal digits.
type Digest [sha256.Size]byte

// Head identifies a program's history: the number of its finished calls and a
// digest chained over them. The zero Head is that of a new program.
type Head struct {
	Turn   uint64
	Digest Digest
}

// Kind tells what a record changes.
type Kind string

// The kinds of records.
const (
	// Created opens a program; it sets Workspace, Parent, Budget, TTL, Allotted.
	Created Kind = "created"
	// Allotted sets the amount recorded as spent; it sets Allotted.
	Allotted Kind = "allotted"
	// Turned adds a finished call to the history; it sets Call, Digest, Head,
	// Messages, Answer, Spent, Known and Outcome.
	Turned Kind = "turned"
	// Noted keeps a call's result or its use of the budget without a new head;
	// Call is empty when only Spent changed.
	Noted Kind = "noted"
	// Closed ends a program; it sets State and Spent.
	Closed Kind = "closed"
	// Refunded gives back the unused part of a call that was running at the close.
	Refunded Kind = "refunded"
	// Forgotten removes a closed program.
	Forgotten Kind = "forgotten"
	// Imaged replaces the whole tree; it sets Images.
	Imaged Kind = "imaged"
)

// Record is one change of a tree, in the form that is stored and copied.
type Record struct {
	// Tree is the program at the tree's root, Number counts the tree's records.
	Tree   root.ProgramID
	Number uint64
	Epoch  root.Epoch
	// After is the epoch of the record before it.
	After   root.Epoch `json:",omitempty"`
	Program root.ProgramID
	Kind    Kind

	Workspace root.WorkspaceID `json:",omitempty"`
	Parent    root.ProgramID   `json:",omitempty"`
	Budget    root.Tokens      `json:",omitempty"`
	TTL       root.Millis      `json:",omitempty"`
	State     Condition        `json:",omitempty"`
	// Allotted, Spent and Known are absolute; Refund is a difference.
	Allotted root.Tokens `json:",omitempty"`
	Spent    root.Tokens `json:",omitempty"`
	Known    root.Tokens `json:",omitempty"`
	Refund   root.Tokens `json:",omitempty"`

	Call     root.CallID    `json:",omitempty"`
	Route    root.RouteName `json:",omitempty"`
	Model    bool           `json:",omitempty"`
	Digest   Digest         `json:",omitzero"`
	Head     Head           `json:",omitzero"`
	Messages []root.Message `json:",omitempty"`
	Answer   string         `json:",omitempty"`
	Outcome  root.Outcome   `json:",omitempty"`
	Images   []Image        `json:",omitempty"`
}

// Size estimates the record's memory in bytes.
func (r *Record) Size() root.Bytes {
	size := recordOverhead + len(r.Answer) + len(r.Call) + len(r.Tree) + len(r.Program)
	for _, m := range r.Messages {
		size += len(m.Role) + len(m.Content) + messageOverhead
	}
	for i := range r.Images {
		size += r.Images[i].size()
	}
	return root.Bytes(size)
}

// DigestOf returns the digest of the parts, each with its length before it.
func DigestOf(parts ...string) Digest {
	buffer := make([]byte, 0, digestBuffer)
	for _, p := range parts {
		buffer = appendText(buffer, p)
	}
	return sha256.Sum256(buffer)
}

// MarshalText returns the digest as hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText reads what MarshalText returns.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != 2*len(d) {
		return root.BadIdentifier.New("digest of %d characters, want %d", len(text), 2*len(d))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return root.BadIdentifier.Wrap(err, "digest %q", text)
	}
	return nil
}

// next returns the head after a call with the given request, messages and answer.
func (h Head) next(call root.CallID, request Digest, messages []root.Message, answer string) Head {
	size := 2*len(h.Digest) + 3*lengthBytes + len(call) + len(answer)
	for _, m := range messages {
		size += 2*lengthBytes + len(m.Role) + len(m.Content)
	}
	buffer := make([]byte, 0, size)
	buffer = append(buffer, h.Digest[:]...)
	buffer = binary.BigEndian.AppendUint64(buffer, h.Turn+1)
	buffer = append(buffer, request[:]...)
	buffer = appendText(buffer, string(call))
	for _, m := range messages {
		buffer = appendText(appendText(buffer, m.Role), m.Content)
	}
	buffer = appendText(buffer, answer)
	return Head{Turn: h.Turn + 1, Digest: sha256.Sum256(buffer)}
}

func appendText(buffer []byte, text string) []byte {
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(len(text)))
	return append(buffer, text...)
}

const (
	lengthBytes     = 8
	digestBuffer    = 512
	recordOverhead  = 400
	messageOverhead = 32
)
