package sapphiredrum

// Config is one accepted revision of the configuration written by operators. It
// is stored as JSON in the platform's object store. Field names and json tags are
// part of the stored format.
type Config struct {
	Workspaces []Workspace
	Keys       []APIKey
	Routes     []Route
	Targets    []Target
	Zones      []Zone
	Levels     []ServiceLevel
	Policy     Policy
}

// Workspace is a tenant: a customer with its own limits and priority.
type Workspace struct {
	ID   WorkspaceID
	Tier Tier
	// Rate and Burst limit the workspace's requests over all hosts together.
	Rate  Rate
	Burst Burst
	// Budget is a program's token limit unless its CreateRequest asks for less.
	Budget Tokens
	// Weight is the workspace's relative share of an overloaded target; zero means 1.
	Weight float64
}

// APIKey is a caller's credential. Only its SHA-256 digest is stored.
type APIKey struct {
	ID        KeyID
	Workspace WorkspaceID
	// Digest is "sha256:" and 64 hexadecimal digits.
	Digest  string
	Revoked bool `json:"Withdrawn"`
}

// RouteKind distinguishes model calls from calls to plain services.
type RouteKind string

// The kinds of routes.
const (
	ModelRoute   RouteKind = "model"
	ServiceRoute RouteKind = "service"
)

// Route maps a path to a group of targets.
type Route struct {
	Name  RouteName
	Path  string
	Kind  RouteKind
	Group GroupName
	Model ModelName
	// Public is set if requests need no API key.
	Public bool `json:"Open"`
	// Idempotent is set if the system may repeat a request.
	Idempotent bool
	// Timeout limits the time from a call's admission to the end of its response.
	Timeout Millis
	// Cost is the amount deducted from a program's budget for one call to a service.
	Cost Tokens
}

// Target is a backend: a model engine or a plain service.
type Target struct {
	ID      TargetID
	Address Address
	Zone    ZoneName
	Group   GroupName
	// Fenced is set if the target rejects commands with a stale fencing token.
	Fenced bool
	// Slots is the number of concurrent requests when warm; ColdSlots applies
	// just after a start.
	Slots     Slots
	ColdSlots Slots `json:"Cold"`
	// WarmUp is the time under load until a cold target is warm.
	WarmUp Millis `json:"Ramp"`
	// CacheCapacity is the size of an engine's prefix cache.
	CacheCapacity Tokens `json:"Memory"`
}

// Zone configures an availability zone.
type Zone struct {
	Name   ZoneName
	Region RegionName
	// Drained is set if the zone takes no new work from the time DrainedFrom on.
	Drained     bool     `json:"Out"`
	DrainedFrom WallTime `json:"From"`
	// Share is the zone's fraction of every workspace's rate and burst. If it is
	// zero for all zones, they get equal fractions.
	Share Share
}

// ServiceLevel is the service-level objective of a tier.
type ServiceLevel struct {
	Tier Tier
	// FirstToken is the time to the first token and TokenGap the time between
	// tokens, both for 95% of calls. ProgramLatency is the latency of 95% of
	// programs.
	FirstToken     Millis `json:"First"`
	TokenGap       Millis `json:"Gap"`
	ProgramLatency Millis `json:"Program"`
	// RefusedShare is the tolerated fraction of refusals among requests within
	// the rate limit.
	RefusedShare Share `json:"Refused"`
}

// Policy holds the parameters of the scheduler.
type Policy struct {
	// Order selects the queue order: "attained", "working", "share" or "fcfs".
	Order string
	// AgingLimit is the longest time that other calls of the same tier may
	// overtake a queued call.
	AgingLimit Millis `json:"Wait"`
	// PrefixHold is the longest time that a prefix stays preferred while its
	// program is paused for a tool call.
	PrefixHold Millis `json:"Keep"`
	// MaxQueueTime is the longest expected queueing time; calls expected to wait
	// longer are refused immediately.
	MaxQueueTime Millis `json:"Queue"`
	// CellsPerGroup is the number of cells into which a group's targets in an
	// availability zone are split; zero means 1. Each cell grants its permits
	// independently.
	CellsPerGroup int `json:"Cells"`
}

// Workspace returns the workspace with the given id.
func (s *Config) Workspace(id WorkspaceID) (Workspace, bool) {
	for _, w := range s.Workspaces {
		if w.ID == id {
			return w, true
		}
	}
	return Workspace{}, false
}

// Zone returns the configuration of the named availability zone.
func (s *Config) Zone(name ZoneName) (Zone, bool) {
	for _, z := range s.Zones {
		if z.Name == name {
			return z, true
		}
	}
	return Zone{}, false
}

// DrainedAt reports whether the zone takes no new work at the given time.
func (z Zone) DrainedAt(date WallTime) bool {
	return z.Drained && date >= z.DrainedFrom
}
