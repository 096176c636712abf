package reporter

import (
	"cmp"
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// Objective names what a service level promises.
type Objective string

// The objectives.
const (
	// FirstToken is the time to the first token of a call.
	FirstToken Objective = "first-token"
	// TokenGap is the time between two tokens.
	TokenGap Objective = "token-gap"
	// ProgramTime is the latency of a whole program.
	ProgramTime Objective = "program"
	// Refusals are requests refused although within rate.
	Refusals Objective = "refused"
)

// Objectives lists all objectives in the order of reports.
var Objectives = [...]Objective{FirstToken, TokenGap, ProgramTime, Refusals}

// Count counts events and the bad ones among them.
type Count struct {
	Total int64
	Bad   int64
}

// Counts holds a Count for each objective, in the order of Objectives.
type Counts [len(Objectives)]Count

// Row holds the counts of one workspace in one tier.
type Row struct {
	Workspace sapphiredrum.WorkspaceID `json:",omitempty"`
	Tier      sapphiredrum.Tier
	Counts    Counts
}

// Snapshot is what a host has counted since its process started.
type Snapshot struct {
	Host        sapphiredrum.HostID
	Incarnation sapphiredrum.Incarnation
	Started     sapphiredrum.WallTime
	Date        sapphiredrum.WallTime
	// Rows are ordered by workspace and tier.
	Rows []Row
}

// plus returns the sums of both.
func (c Counts) plus(d Counts) Counts {
	for i := range c {
		c[i].Total += d[i].Total
		c[i].Bad += d[i].Bad
	}
	return c
}

// since returns what was counted after d, a reading of the same counters.
func (c Counts) since(d Counts) Counts {
	for i := range c {
		c[i].Total -= d[i].Total
		c[i].Bad -= d[i].Bad
	}
	return c
}

// rowKey identifies a row.
type rowKey struct {
	workspace sapphiredrum.WorkspaceID
	tier      sapphiredrum.Tier
}

// rowSums sums rows by key.
type rowSums map[rowKey]Counts

// add adds rows, without their workspaces if merged is set.
func (s rowSums) add(rows []Row, merged bool) {
	for _, r := range rows {
		k := rowKey{workspace: r.Workspace, tier: r.Tier}
		if merged {
			k.workspace = ""
		}
		s[k] = s[k].plus(r.Counts)
	}
}

// rows returns the sums that are not zero in the order of a Snapshot.
func (s rowSums) rows() []Row {
	rows := make([]Row, 0, len(s))
	for k, c := range s {
		if c != (Counts{}) {
			rows = append(rows, Row{Workspace: k.workspace, Tier: k.tier, Counts: c})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Tier, b.Tier))
	})
	return rows
}
