package sapphiredrum

// Sheet is one accepted configuration: everything that operators declare. The
// platform's object store holds it as JSON with these field names.
type Sheet struct {
	Workspaces []Workspace
	Keys       []Key
	Routes     []Route
	Targets    []Target
	Zones      []Zone
	Levels     []Level
	Policy     Policy
}

// Workspace is a customer's share of the system.
type Workspace struct {
	ID   WorkspaceID
	Tier Tier
	// Rate and Burst bound the workspace's requests over all hosts together.
	Rate  Rate
	Burst Burst
	// Budget is what a program may spend unless its creation asks for less.
	Budget Tokens
	// Weight is the workspace's share of a contended target; zero counts as 1.
	Weight float64
}

// Key is a caller's credential. The sheet holds only its SHA-256 digest.
type Key struct {
	ID        KeyID
	Workspace WorkspaceID
	// Digest is "sha256:" and 64 hexadecimal digits.
	Digest    string
	Withdrawn bool
}

// RouteKind tells model calls from calls of plain services.
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
	// Open routes need no key.
	Open bool
	// Idempotent requests may be repeated by the system.
	Idempotent bool
	// Timeout bounds one call from admission to the end of its answer.
	Timeout Millis
	// Cost is what one call of a service route takes from a program's budget.
	Cost Tokens
}

// Target is a back end: a model engine or a plain service.
type Target struct {
	ID      TargetID
	Address Address
	Zone    ZoneName
	Group   GroupName
	// Fenced targets refuse orders with an old fencing number.
	Fenced bool
	// Slots is what the target runs at once when warm, Cold when just started.
	Slots Slots
	Cold  Slots
	// Ramp is the time from cold to warm under work.
	Ramp Millis
	// Memory is the prefix memory of an engine.
	Memory Tokens
}

// Zone is the plan of an availability zone.
type Zone struct {
	Name   ZoneName
	Region RegionName
	// Out zones receive no new work from the date From on.
	Out  bool
	From Date
	// Share is the part of every workspace's rate and burst that the zone owns;
	// all zero means even parts.
	Share Share
}

// Level is the service level promised to a tier.
type Level struct {
	Tier Tier
	// First is the time to the first token, Gap the time between tokens, both
	// for 95 in 100 calls. Program is the latency of 95 in 100 programs.
	First   Millis
	Gap     Millis
	Program Millis
	// Refused is the tolerated share of requests refused although within rate.
	Refused Share
}

// Policy holds the weights of the scheduling policy.
type Policy struct {
	// Order names the order of waiting calls: "attained", "working", "share" or "fcfs".
	Order string
	// Wait bounds how long a call may be passed over by others of its tier.
	Wait Millis
	// Keep bounds how long a tool pause keeps a prefix preferred.
	Keep Millis
	// Queue bounds the time that a call may be expected to wait before it is refused early.
	Queue Millis
	// Cells is the number of guards that share a group's targets in an
	// availability zone; zero counts as 1.
	Cells int
}

// Workspace returns the workspace with the given id.
func (s *Sheet) Workspace(id WorkspaceID) (Workspace, bool) {
	for _, w := range s.Workspaces {
		if w.ID == id {
			return w, true
		}
	}
	return Workspace{}, false
}

// Zone returns the plan of the named availability zone.
func (s *Sheet) Zone(name ZoneName) (Zone, bool) {
	for _, z := range s.Zones {
		if z.Name == name {
			return z, true
		}
	}
	return Zone{}, false
}

// Leaves reports whether the zone takes no new work at the given date.
func (z Zone) Leaves(date Date) bool {
	return z.Out && date >= z.From
}
