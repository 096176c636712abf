package scheduler

import "sapphiredrum.example/sapphiredrum"

// CellID names a cell.
type CellID struct {
	Group  sapphiredrum.GroupName
	Zone   sapphiredrum.ZoneName
	Number int
}

// PermitNumber numbers the permits of a cell. Its upper half is the epoch of
// the guard, so that permits of different guards never share a number.
type PermitNumber uint64

const epochShift = 32

// Settings are fixed for the life of a Cell. Zero lengths of time take the
// defaults of this package.
type Settings struct {
	Cell CellID
	// Epoch is the fencing number of the guard's shard lease.
	Epoch  sapphiredrum.Epoch
	Policy sapphiredrum.Policy
	// Orderer ranks the calls of the queue; nil takes OrderNamed(Policy.Order).
	Orderer sapphiredrum.QueueOrder
	// Lag bounds the age of a load report when it arrives.
	Lag sapphiredrum.Millis
	// Start bounds the time from a grant until its keeper has sent the call.
	Start sapphiredrum.Millis
	// Lease is how long a permit lasts without being renewed, and a waiting call
	// without a word from its keeper.
	Lease sapphiredrum.Millis
	// Blind is how long a new guard waits for a target's first report.
	Blind sapphiredrum.Millis
	// Patience is how long a call waits for the target that holds its prefix,
	// for each thousand tokens held there beyond what the other target holds.
	// Negative means not at all.
	Patience sapphiredrum.Millis
}

// Defaults of Settings and of the policy.
const (
	DefaultLag      = 1000 * sapphiredrum.Millisecond
	DefaultStart    = 500 * sapphiredrum.Millisecond
	DefaultLease    = 10 * sapphiredrum.Second
	DefaultBlind    = 10 * sapphiredrum.Second
	DefaultPatience = 1000 * sapphiredrum.Millisecond
	DefaultWait     = 90 * sapphiredrum.Second
	DefaultQueue    = 60 * sapphiredrum.Second
)

// Member is a target as the guard's host knows it from the configuration and
// the live list.
type Member struct {
	Target sapphiredrum.Target
	// Leaving and Out targets receive no permits.
	Leaving bool
	Out     bool
}

// Request asks for a permit for one call.
type Request struct {
	Call sapphiredrum.StreamID
	// Keeper is the host that asks and that renews the permit.
	Keeper    sapphiredrum.HostID
	Program   sapphiredrum.ProgramID
	Workspace sapphiredrum.WorkspaceID
	Tier      sapphiredrum.Tier
	// Attained is the service that the whole program has had.
	Attained sapphiredrum.Tokens
	// Prompt estimates the prompt, Limit bounds the answer.
	Prompt sapphiredrum.Tokens
	Limit  sapphiredrum.Tokens
	// Weight is the workspace's share; zero counts as 1.
	Weight float64
	// Preferred is the target that the keeper believes to hold Held tokens of
	// the prompt. It counts only where the guard knows nothing better.
	Preferred sapphiredrum.TargetID
	Held      sapphiredrum.Tokens
	// Deadline is when the caller's time runs out; zero means never.
	Deadline sapphiredrum.Instant
}

// Verdict is the immediate answer to Ask: the call waits unless it is refused.
type Verdict struct {
	Refusal *sapphiredrum.Refusal
}

// Summary is a cell's load, as it is told to keepers.
type Summary struct {
	Waiting sapphiredrum.Slots
	// Running counts permits and strays.
	Running sapphiredrum.Slots
	// Limit is what the cell's targets bear now; zero means no new work.
	Limit sapphiredrum.Slots
	// Hold is the mean time that a permit is held, zero before the first.
	Hold sapphiredrum.Millis
}

// Usage tells what a granted call used.
type Usage struct {
	Prompt sapphiredrum.Tokens
	Cached sapphiredrum.Tokens
	Answer sapphiredrum.Tokens
	// Failed is set when the target did not answer as it should.
	Failed bool
	// Uncertain is set when the target may still be running the call.
	Uncertain bool
	// Unused is set when the call never reached the target.
	Unused bool
}

// Decision is what Tick returns: Granted or Refused.
type Decision interface{ decision() }

// Granted gives a call its permit.
type Granted struct {
	Call    sapphiredrum.StreamID
	Keeper  sapphiredrum.HostID
	Program sapphiredrum.ProgramID
	Target  sapphiredrum.TargetID
	Permit  PermitNumber
	Fence   sapphiredrum.Epoch
}

// Refused is the final answer to a call that waited.
type Refused struct {
	Call    sapphiredrum.StreamID
	Keeper  sapphiredrum.HostID
	Refusal *sapphiredrum.Refusal
}

func (Granted) decision() {}
func (Refused) decision() {}

// withDefaults fills the lengths of time that are zero.
func (s Settings) withDefaults() Settings {
	fill(&s.Lag, DefaultLag)
	fill(&s.Start, DefaultStart)
	fill(&s.Lease, DefaultLease)
	fill(&s.Blind, DefaultBlind)
	fill(&s.Patience, DefaultPatience)
	fill(&s.Policy.AgingLimit, DefaultWait)
	fill(&s.Policy.MaxQueueTime, DefaultQueue)
	if s.Orderer == nil {
		s.Orderer = OrderNamed(s.Policy.Order)
	}
	return s
}

// settling is the time after which every report shows what was started before.
func (s Settings) settling() sapphiredrum.Millis {
	return s.Lag + s.Start
}

func fill(field *sapphiredrum.Millis, value sapphiredrum.Millis) {
	if *field == 0 {
		*field = value
	}
}
