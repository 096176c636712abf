package archiver

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"unicode/utf8"

	sd "sapphiredrum.example/sapphiredrum"
)

// keySize is the length of a digest: with 128 bits, collisions are practically
// impossible.
const keySize = 16

// Key is the digest of a workspace and an identifier that is unique in it.
type Key [keySize]byte

// ProgramKey returns the key of a workspace's program.
func ProgramKey(workspace sd.WorkspaceID, program sd.ProgramID) Key {
	return digest("p", string(workspace), string(program))
}

// TurnKey returns the key of a workspace's turn.
func TurnKey(workspace sd.WorkspaceID, turn sd.CallID) Key {
	return digest("t", string(workspace), string(turn))
}

// holdKey returns the key of the nth reservation attempt for a turn.
func holdKey(turn Key, nth string) Key { return digest("h", string(turn[:]), nth) }

func digest(kind, workspace, id string) Key {
	sum := sha256.Sum256([]byte(kind + "\x00" + workspace + "\x00" + id))
	return Key(sum[:keySize])
}

// String returns the key's hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Errors are Malformed.
func (k *Key) UnmarshalText(text []byte) error {
	parsed, ok := ParseKey(string(text))
	if !ok {
		return Malformed.New("%q is not a key", text)
	}
	*k = parsed
	return nil
}

// ParseKey parses a key in the format of String.
func ParseKey(text string) (Key, bool) {
	var k Key
	n, err := hex.Decode(k[:], []byte(text[:min(len(text), 2*keySize)]))
	return k, err == nil && n == keySize && len(text) == 2*keySize
}

// Turn is a stored turn of a program.
type Turn struct {
	Program Key
	Key     Key
	// Previous is the turn that this one follows, and Origin the program of that turn;
	// both are zero for a first turn.
	Previous, Origin Key
	// Target is where the turn ran.
	Target sd.TargetID
	// Input is the caller's request. Output is the data of each event, followed by a
	// line feed.
	Input, Output Text
}

// Text is the input or output of a turn, nearly always valid UTF-8. In messages between
// hosts it is encoded as a JSON string, which mostly is shorter than base64 and compresses
// better, or as base64 if it is no valid UTF-8 or takes more room escaped.
type Text []byte

// First bytes of the JSON string of a Text: plain UTF-8, or base64.
const (
	plainText = 't'
	otherText = 'b'
)

// MarshalJSON implements json.Marshaler.
func (t Text) MarshalJSON() ([]byte, error) {
	if utf8.Valid(t) && len(t)+escapes(t) <= base64.StdEncoding.EncodedLen(len(t)) {
		return json.Marshal(string(plainText) + string(t))
	}
	out := make([]byte, 0, base64.StdEncoding.EncodedLen(len(t))+3)
	out = append(out, '"', otherText)
	out = base64.StdEncoding.AppendEncode(out, t)
	return append(out, '"'), nil
}

// escapes returns at least the number of bytes that a JSON string takes beyond a text.
func escapes(text []byte) (more int) {
	for _, b := range text {
		switch {
		case b == '"', b == '\\', b == '\n', b == '\r', b == '\t':
			more++
		case b < ' ', b == '<', b == '>', b == '&':
			more += len(`\u0000`) - 1
		}
	}
	separators := bytes.Count(text, []byte("\u2028")) + bytes.Count(text, []byte("\u2029"))
	return more + separators*(len(`\u2028`)-len("\u2028"))
}

// UnmarshalJSON implements json.Unmarshaler. Errors include Malformed.
func (t *Text) UnmarshalJSON(body []byte) error {
	var coded string
	if err := json.Unmarshal(body, &coded); err != nil {
		return err
	}
	switch {
	case coded == "":
		*t = nil
	case coded[0] == plainText:
		*t = Text(coded[1:])
	case coded[0] == otherText:
		text, err := base64.StdEncoding.DecodeString(coded[1:])
		*t = text
		return err
	default:
		return Malformed.New("unknown text encoding %q", coded[0])
	}
	return nil
}

// Size returns the approximate memory of the turn.
func (t *Turn) Size() int { return len(t.Input) + len(t.Output) + turnOverhead }

// turnOverhead is the approximate memory of a turn besides its texts.
const turnOverhead = 256

// Encode returns the stored encoding of a turn.
func (t *Turn) Encode() []byte {
	out := make([]byte, 0, t.Size())
	out = append(out, formatTurn)
	out = append(out, t.Previous[:]...)
	out = append(out, t.Origin[:]...)
	out = appendText(out, []byte(t.Target))
	out = appendText(out, t.Input)
	return appendText(out, t.Output)
}

// DecodeTurn decodes the encoding of Encode. Errors are Malformed.
func DecodeTurn(program, key Key, value []byte) (*Turn, error) {
	d := decoder{rest: value}
	if d.byte() != formatTurn {
		return nil, Malformed.New("row is not a turn")
	}
	t := &Turn{Program: program, Key: key, Previous: d.key(), Origin: d.key()}
	t.Target = sd.TargetID(d.text())
	t.Input, t.Output = d.text(), d.text()
	if d.failed || len(d.rest) > 0 {
		return nil, Malformed.New("cannot decode turn of %d bytes", len(value))
	}
	return t, nil
}

func appendText(out, text []byte) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

// decoder reads a stored encoding; failed is set if the data is truncated or invalid.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) take(n int) []byte {
	if n > len(d.rest) {
		d.failed, d.rest = true, nil
		return nil
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) byte() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) number() uint64 {
	value, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[n:]
	return value
}

// count reads the number of entries that follow, each at least size bytes long. It
// fails if that many cannot follow, so a forged count allocates no memory.
func (d *decoder) count(size int) int {
	value := d.number()
	if value > uint64(len(d.rest)/size) {
		d.failed, d.rest = true, nil
		return 0
	}
	return int(value)
}

func (d *decoder) key() Key {
	var k Key
	copy(k[:], d.take(keySize))
	return k
}

func (d *decoder) text() []byte {
	value := d.number()
	if value > uint64(len(d.rest)) {
		d.failed, d.rest = true, nil
		return nil
	}
	return d.take(int(value))
}
