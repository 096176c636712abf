package measurer

import "sapphiredrum.example/sapphiredrum"

// Tenant is a workspace of the workload.
type Tenant struct {
	ID   sapphiredrum.WorkspaceID
	Tier sapphiredrum.Tier
	// Part is the workspace's part of the offered programs.
	Part float64
	// Calls is the median number of model calls of a program.
	Calls float64
	// Pause is the mean tool pause.
	Pause sapphiredrum.Millis
	// Floods marks the workspace that sends several times its rate.
	Floods bool
}

// Deployment is the shape of a customer's system.
type Deployment struct {
	Name    string
	Zones   []sapphiredrum.ZoneName
	Models  int
	Desks   int
	Hosts   int
	Tenants []Tenant
	// Programs is the rate of programs per second that loads the warm model
	// engines fully.
	Programs sapphiredrum.Rate
	// Policy is the deployment's own default.
	Policy sapphiredrum.Policy
}

// Potrdilo returns the deployment of the Potrdilo Group.
func Potrdilo() Deployment {
	return Deployment{
		Name: "potrdilo", Zones: []sapphiredrum.ZoneName{"si-1", "si-2", "si-3"},
		Models: 12, Desks: 7, Hosts: 12, Programs: 2.6,
		Tenants: []Tenant{
			{ID: "status", Tier: 0, Part: 0.15, Calls: 2, Pause: 500},
			{ID: "reissue-a", Tier: 1, Part: 0.25, Calls: 5, Pause: 2000},
			{ID: "reissue-b", Tier: 1, Part: 0.08, Calls: 5, Pause: 2000},
			{ID: "reissue-c", Tier: 1, Part: 0.04, Calls: 5, Pause: 2000},
			{ID: "intake-a", Tier: 2, Part: 0.25, Calls: 8, Pause: 6000, Floods: true},
			{ID: "intake-b", Tier: 2, Part: 0.13, Calls: 8, Pause: 6000},
			{ID: "intake-c", Tier: 2, Part: 0.06, Calls: 8, Pause: 6000},
			{ID: "intake-d", Tier: 2, Part: 0.04, Calls: 8, Pause: 6000},
		},
		Policy: sapphiredrum.Policy{Order: "working", AgingLimit: 90 * sapphiredrum.Second, MaxQueueTime: 60 * sapphiredrum.Second},
	}
}

// Consorzio returns the deployment of Consorzio Insegne Padane.
func Consorzio() Deployment {
	return Deployment{
		Name: "consorzio", Zones: []sapphiredrum.ZoneName{"it-1", "it-2", "it-3"},
		Models: 9, Desks: 8, Hosts: 9, Programs: 1.7,
		Tenants: []Tenant{
			{ID: "quote-a", Tier: 0, Part: 0.28, Calls: 4, Pause: 1500, Floods: true},
			{ID: "quote-b", Tier: 0, Part: 0.10, Calls: 4, Pause: 1500},
			{ID: "quote-c", Tier: 0, Part: 0.06, Calls: 4, Pause: 1500},
			{ID: "quote-d", Tier: 0, Part: 0.04, Calls: 4, Pause: 1500},
			{ID: "permit-a", Tier: 1, Part: 0.30, Calls: 10, Pause: 5000},
			{ID: "permit-b", Tier: 1, Part: 0.12, Calls: 10, Pause: 5000},
			{ID: "permit-c", Tier: 1, Part: 0.06, Calls: 10, Pause: 5000},
			{ID: "permit-d", Tier: 1, Part: 0.04, Calls: 10, Pause: 5000},
		},
		Policy: sapphiredrum.Policy{Order: "working", AgingLimit: 90 * sapphiredrum.Second, MaxQueueTime: 120 * sapphiredrum.Second},
	}
}

// Scenario is a course of load and faults.
type Scenario struct {
	Name string
	// Load is the offered part of the full load.
	Load float64
	// Flood is the factor by which the flooding workspace exceeds its part
	// during the middle third of the run; at most 1 means no flood.
	Flood float64
	// ZoneOut takes the last zone out in the middle third of the run.
	ZoneOut bool
	// GuardDies ends the guard of the first model cell at a third of the run; a
	// new guard takes over after takeover.
	GuardDies bool
	// Length is the time in which programs arrive.
	Length sapphiredrum.Millis
}

const (
	// takeover is the time until a dead guard's cell is guarded again.
	takeover = 17 * sapphiredrum.Second
	// shun is the silence after which keepers ask another cell.
	shun = 2 * sapphiredrum.Second
)

// The scenarios of the measures.
func scenario(name string, load, flood float64) Scenario {
	return Scenario{Name: name, Load: load, Flood: flood, Length: 600 * sapphiredrum.Second}
}

// Calm returns a load that the engines bear easily.
func Calm() Scenario { return scenario("calm", 0.55, 1) }

// Overload returns a load beyond the engines for a third of the time, while one
// workspace sends several times its rate.
func Overload() Scenario { return scenario("overload", 0.85, 4) }

// ZoneOut returns a calm load while one zone is taken out and returns.
func ZoneOut() Scenario {
	s := scenario("zone", 0.5, 1)
	s.ZoneOut = true
	return s
}

// GuardDies returns a calm load while a guard's host dies.
func GuardDies() Scenario {
	s := scenario("host", 0.55, 1)
	s.GuardDies = true
	return s
}

// leaves and returns are the seconds at which the middle third begins and ends.
func (s Scenario) leaves() int  { return int(s.Length / 3 / sapphiredrum.Second) }
func (s Scenario) returns() int { return 2 * s.leaves() }
