package sapphiredrum

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Identifiers chosen by operators. They consist of a-z, 0-9, '-' and '_'.
type (
	// HostID names an entry host.
	HostID string
	// ZoneName names an availability zone.
	ZoneName string
	// RegionName names a region, a set of availability zones.
	RegionName string
	// WorkspaceID names a workspace.
	WorkspaceID string
	// KeyID names an API key without revealing it.
	KeyID string
	// RouteName names a route.
	RouteName string
	// GroupName names a group of interchangeable targets.
	GroupName string
	// TargetID names a target.
	TargetID string
	// ModelName names a model.
	ModelName string
)

// Identifiers assigned at run time.
type (
	// CallID identifies one request of a program. The caller chooses it.
	CallID string
	// OperationID identifies one write to the platform. After a lost response, a
	// read that finds the ID shows whether the write took effect.
	OperationID string
	// StreamID identifies one exchange with a target: a call and the attempt.
	StreamID string
	// Address is a host's IP address and port.
	Address string
	// Incarnation identifies one start of a process.
	Incarnation uint64
	// Epoch is a fencing token. It increases whenever a shard changes its owner.
	Epoch uint64
	// Revision numbers accepted configurations; it only increases.
	Revision uint64
	// Tier is a priority class; 0 is the highest priority.
	Tier int
)

// ShardID identifies a shard, the unit of ownership within an availability zone.
type ShardID struct {
	Zone   ZoneName
	Number int
}

// ShardsPerZone is the fixed number of shards in each availability zone.
const ShardsPerZone = 64

// String returns "zone.number".
func (s ShardID) String() string {
	return string(s.Zone) + "." + strconv.Itoa(s.Number)
}

// ParseShard parses the format of ShardID.String. It returns a BadIdentifier
// error for malformed text.
func ParseShard(text string) (ShardID, error) {
	zone, number, found := strings.Cut(text, ".")
	n, err := strconv.Atoi(number)
	if !found || err != nil || zone == "" || n < 0 || n >= ShardsPerZone {
		return ShardID{}, BadIdentifier.New("invalid shard ID %q: expected zone.number", text)
	}
	return ShardID{Zone: ZoneName(zone), Number: n}, nil
}

// ProgramID identifies a program in the format "zone.number.random". It includes
// the program's shard so that any host can route a call without a lookup.
type ProgramID string

// NewProgramID returns a new random identifier for a program in shard.
func NewProgramID(shard ShardID) ProgramID {
	return ProgramID(shard.String() + "." + RandomID())
}

// Shard returns the shard that the program belongs to. It returns a
// BadIdentifier error if p is malformed.
func (p ProgramID) Shard() (ShardID, error) {
	cut := strings.LastIndexByte(string(p), '.')
	if cut < 0 || cut == len(p)-1 {
		return ShardID{}, BadIdentifier.New("invalid program ID %q: expected zone.number.random", string(p))
	}
	return ParseShard(string(p[:cut]))
}

// RandomID returns 128 random bits as 32 hexadecimal digits.
func RandomID() string {
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

// ValidName reports whether text is a valid name in a configuration: 1 to 64
// characters of a-z, 0-9, '-' and '_'.
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

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string {
	return fmt.Sprintf("%x", uint64(i))
}

const (
	maxNameLength = 64
	nameAlphabet  = "abcdefghijklmnopqrstuvwxyz0123456789-_"
)
