package scheduler

import "sapphiredrum.example/sapphiredrum"

// CellID identifies a cell.
type CellID struct {
	Group  sapphiredrum.GroupName
	Zone   sapphiredrum.ZoneName
	Number int
}

// PermitNumber identifies a permit of a cell. Its upper half is the guard's epoch,
// so that permits of different guards never share a number.
type PermitNumber uint64

const epochShift = 32

// Settings configure a Cell. Zero durations take the defaults below.
type Settings struct {
	Cell CellID
	// Epoch is the fencing number of the guard's shard lease.
	Epoch  sapphiredrum.Epoch
	Policy sapphiredrum.Policy
	// Orderer ranks the waiting calls; nil selects OrderNamed(Policy.Order).
	Orderer sapphiredrum.QueueOrder
	// MaxReportAge bounds the age of a load report on arrival.
	MaxReportAge sapphiredrum.Millis
	// SendTimeout bounds the time from a grant until its keeper has sent the call.
	SendTimeout sapphiredrum.Millis
	// Lease is how long a permit lasts without renewal, and how long a waiting call
	// stays queued without a message from its keeper.
	Lease sapphiredrum.Millis
	// FirstReportTimeout is how long a new guard waits for a target's first report.
	FirstReportTimeout sapphiredrum.Millis
	// AffinityWait is how long a call waits for the target that has its prefix cached,
	// per thousand tokens cached there beyond those on the other target. A negative
	// value disables waiting.
	AffinityWait sapphiredrum.Millis
}

// Defaults of Settings and of the policy.
const (
	DefaultMaxReportAge       = 1000 * sapphiredrum.Millisecond
	DefaultSendTimeout        = 500 * sapphiredrum.Millisecond
	DefaultLease              = 10 * sapphiredrum.Second
	DefaultFirstReportTimeout = 10 * sapphiredrum.Second
	DefaultAffinityWait       = 1000 * sapphiredrum.Millisecond
	DefaultAgingLimit         = 90 * sapphiredrum.Second
	DefaultMaxQueueTime       = 60 * sapphiredrum.Second
)

// Member is a target as the configuration and the live list describe it.
type Member struct {
	Target sapphiredrum.Target
	// Targets that are Leaving or Drained receive no permits.
	Leaving bool
	Drained bool
}

// Request asks for a permit for one call.
type Request struct {
	Call sapphiredrum.StreamID
	// Keeper is the host that requests and renews the permit.
	Keeper    sapphiredrum.HostID
	Program   sapphiredrum.ProgramID
	Workspace sapphiredrum.WorkspaceID
	Tier      sapphiredrum.Tier
	// AttainedService is the service that the whole program has received.
	AttainedService sapphiredrum.Tokens `json:"Attained"`
	// Prompt estimates the prompt's length, MaxTokens bounds the answer's.
	Prompt    sapphiredrum.Tokens
	MaxTokens sapphiredrum.Tokens `json:"Limit"`
	// Weight is the workspace's weight in fair sharing; zero counts as 1.
	Weight float64
	// Preferred is the target that the keeper expects to hold CachedTokens tokens of
	// the prompt. It is used only if the guard has no hint for that target itself.
	Preferred    sapphiredrum.TargetID
	CachedTokens sapphiredrum.Tokens `json:"Held"`
	// Deadline is the caller's deadline; zero means none.
	Deadline sapphiredrum.Instant
}

// SubmitResult is the immediate result of Submit. Without a refusal, the call is
// queued or has its permit already.
type SubmitResult struct {
	Refusal *sapphiredrum.Refusal
}

// Summary is a cell's load, as it is reported to keepers.
type Summary struct {
	Waiting sapphiredrum.Slots
	// Running counts permits and orphans.
	Running sapphiredrum.Slots
	// Capacity is the number of calls that the cell's targets may run now; zero means
	// that the cell takes no new work.
	Capacity sapphiredrum.Slots `json:"Limit"`
	// MeanHoldTime is the mean time that a permit is held; zero if none has ended.
	MeanHoldTime sapphiredrum.Millis `json:"Hold"`
}

// Usage reports what a granted call consumed and how it ended.
type Usage struct {
	Prompt sapphiredrum.Tokens
	Cached sapphiredrum.Tokens
	Answer sapphiredrum.Tokens
	// Failed is set when the target failed to answer properly.
	Failed bool
	// Uncertain is set when the target may still be running the call.
	Uncertain bool
	// Unused is set when the call was never sent to the target.
	Unused bool
}

// Decision is a result of Tick: Granted or Refused.
type Decision interface{ decision() }

// Granted is the grant of a permit to a call.
type Granted struct {
	Call    sapphiredrum.StreamID
	Keeper  sapphiredrum.HostID
	Program sapphiredrum.ProgramID
	Target  sapphiredrum.TargetID
	Permit  PermitNumber
	Fence   sapphiredrum.Epoch
}

// Refused is the final refusal of a call that waited.
type Refused struct {
	Call    sapphiredrum.StreamID
	Keeper  sapphiredrum.HostID
	Refusal *sapphiredrum.Refusal
}

func (Granted) decision() {}
func (Refused) decision() {}

// withDefaults returns s with its zero durations and nil Orderer replaced.
func (s Settings) withDefaults() Settings {
	setDefault(&s.MaxReportAge, DefaultMaxReportAge)
	setDefault(&s.SendTimeout, DefaultSendTimeout)
	setDefault(&s.Lease, DefaultLease)
	setDefault(&s.FirstReportTimeout, DefaultFirstReportTimeout)
	setDefault(&s.AffinityWait, DefaultAffinityWait)
	setDefault(&s.Policy.AgingLimit, DefaultAgingLimit)
	setDefault(&s.Policy.MaxQueueTime, DefaultMaxQueueTime)
	if s.Orderer == nil {
		s.Orderer = OrderNamed(s.Policy.Order)
	}
	return s
}

// settleTime is the time after which every report shows a call that was granted
// before.
func (s Settings) settleTime() sapphiredrum.Millis {
	return s.MaxReportAge + s.SendTimeout
}

func setDefault(field *sapphiredrum.Millis, value sapphiredrum.Millis) {
	if *field == 0 {
		*field = value
	}
}
