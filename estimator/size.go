package estimator

import "sapphiredrum.example/sapphiredrum"

// Size is a deployment's size and load.
type Size struct {
	Hosts, Zones, Runners, Models, Workspaces int
	// Requests and Tokens are those of a second at the peak; Tokens are generated.
	Requests, Tokens float64
	// Programs are under way, each of at most Turns turns and History tokens.
	Programs, Turns int
	History         sapphiredrum.Tokens
	// Changes are accepted configurations a day.
	Changes float64
}

// Target is the size that the users design for.
var Target = Size{
	Hosts: 410, Zones: 7, Runners: 600, Models: 11, Workspaces: 430, Requests: 9200, Tokens: 2.4e6,
	Programs: 120_000, Turns: 160, History: 160_000, Changes: 1100,
}

// Assumed values, which the users have not stated.
const (
	// MeanHistory is the mean history of a program under way.
	MeanHistory = 20_000.0
	// TokenBytes is the text of a token.
	TokenBytes = 4.0
	// TokenGap is the time between two tokens of an answer, in seconds: the
	// service level, so the most that 95 in 100 answers take.
	TokenGap = 0.026
	// HeldPrograms is the number of programs whose prefix an engine holds: all
	// programs under way over all runners.
	HeldPrograms = 200.0
	// LargestWorkspace is the part of all requests that the largest workspace sends.
	LargestWorkspace = 0.1
	// KeysPerWorkspace is the number of callers' keys.
	KeysPerWorkspace = 2
)

// HeaderBytes and ReplyBytes are the HTTP headers of a message between hosts and
// of its answer, with the messenger's envelope, in bytes. TCP and IP add more.
const (
	HeaderBytes = 130
	ReplyBytes  = 125
)

// HostsPerZone returns the mean number of hosts of a zone.
func (s Size) HostsPerZone() float64 { return float64(s.Hosts) / float64(s.Zones) }

// PerHost returns the requests of a second at one host.
func (s Size) PerHost() float64 { return s.Requests / float64(s.Hosts) }

// Streams returns the answers under way at once in the fleet.
func (s Size) Streams() float64 { return s.Tokens * TokenGap }

// ProgramsPerHost returns the mean number of programs that a host keeps.
func (s Size) ProgramsPerHost() float64 { return float64(s.Programs) / float64(s.Hosts) }

// FullestShards returns the shards of the host that holds the most of them: an
// even part rounded up.
func (s Size) FullestShards() float64 {
	hosts := s.Hosts / s.Zones
	return float64((sapphiredrum.ShardsPerZone + hosts - 1) / hosts)
}

// ProgramsPerShard returns the programs that one shard keeps.
func (s Size) ProgramsPerShard() float64 {
	return float64(s.Programs) / float64(s.Zones*sapphiredrum.ShardsPerZone)
}
