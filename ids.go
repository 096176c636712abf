package sapphiredrum

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Identifiers that operators choose. All consist of a-z, 0-9, '-' and '_'.
type (
	// HostID names an entry host.
	HostID string
	// ZoneName names an availability zone.
	ZoneName string
	// RegionName names a region, a set of availability zones.
	RegionName string
	// WorkspaceID names a workspace.
	WorkspaceID string
	// KeyID names a caller's key without revealing it.
	KeyID string
	// RouteName names a route.
	RouteName string
	// GroupName names a set of targets that serve the same requests.
	GroupName string
	// TargetID names a target.
	TargetID string
	// ModelName names a model.
	ModelName string
)

// Identifiers that the system makes.
type (
	// CallID identifies one request of a program, as its caller named it.
	CallID string
	// OperationID identifies one write to the platform, so that a write whose
	// answer was lost can be settled by reading.
	OperationID string
	// StreamID identifies one exchange with a target: a call and its attempt.
	StreamID string
	// Address is a host's IP number and port.
	Address string
	// Incarnation identifies one start of a process.
	Incarnation uint64
	// Epoch is a fencing number: it grows with every change of a shard's owner.
	Epoch uint64
	// Revision numbers accepted configurations; it only grows.
	Revision uint64
	// Tier is a priority class; 0 is served first.
	Tier int
)

// ShardID identifies a shard: a unit of ownership within an availability zone.
type ShardID struct {
	Zone   ZoneName
	Number int
}

// ShardsPerZone is the fixed number of shards of each availability zone.
const ShardsPerZone = 64

// String returns "zone.number".
func (s ShardID) String() string {
	return string(s.Zone) + "." + strconv.Itoa(s.Number)
}

// ParseShard reads the form that ShardID.String writes. It returns a
// BadIdentifier error for any other text.
func ParseShard(text string) (ShardID, error) {
	zone, number, found := strings.Cut(text, ".")
	n, err := strconv.Atoi(number)
	if !found || err != nil || zone == "" || n < 0 || n >= ShardsPerZone {
		return ShardID{}, BadIdentifier.New("shard %q is not of the form zone.number", text)
	}
	return ShardID{Zone: ZoneName(zone), Number: n}, nil
}

// ProgramID identifies a program. Its text carries the program's shard, so that
// any host can forward a call without a look-up: "zone.number.random".
type ProgramID string

// NewProgramID returns a fresh identifier for a program kept in shard.
func NewProgramID(shard ShardID) ProgramID {
	return ProgramID(shard.String() + "." + RandomText())
}

// Shard returns the shard that keeps the program, or a BadIdentifier error.
func (p ProgramID) Shard() (ShardID, error) {
	cut := strings.LastIndexByte(string(p), '.')
	if cut < 0 || cut == len(p)-1 {
		return ShardID{}, BadIdentifier.New("program %q is not of the form zone.number.random", string(p))
	}
	return ParseShard(string(p[:cut]))
}

// RandomText returns 128 random bits as 32 hexadecimal digits.
func RandomText() string {
	var bits [16]byte
	_, _ = rand.Read(bits[:])
	return hex.EncodeToString(bits[:])
}

// NewIncarnation returns a random non-zero incarnation.
func NewIncarnation() Incarnation {
	var bits [8]byte
	_, _ = rand.Read(bits[:])
	number := Incarnation(1)
	for _, b := range bits[:7] {
		number = number<<8 | Incarnation(b)
	}
	return number
}

// ValidName reports whether text may name something in a sheet: 1 to 64 of
// a-z, 0-9, '-' and '_'.
func ValidName(text string) bool {
	if len(text) == 0 || len(text) > maxNameLength {
		return false
	}
	for _, r := range text {
		if !strings.ContainsRune(nameAlphabet, r) {
			return false
		}
	}
	return true
}

// String returns the incarnation as hexadecimal digits.
func (i Incarnation) String() string {
	return fmt.Sprintf("%x", uint64(i))
}

const (
	maxNameLength = 64
	nameAlphabet  = "abcdefghijklmnopqrstuvwxyz0123456789-_"
)
