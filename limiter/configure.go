package limiter

import (
	"slices"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// Configure brings a revision into force; an old one changes nothing. Rates and
// bursts change at once. A zone's fraction of them falls at once but rises only
// after Settings.Settle, when no host can count with the old plan any more.
func (s *State) Configure(now sapphiredrum.Instant, revision sapphiredrum.Revision, workspaces []sapphiredrum.Workspace, zones []sapphiredrum.Zone) {
	now = s.observe(now)
	if revision <= s.revision {
		return
	}
	first := s.revision == 0
	s.revision, s.zones = revision, slices.Clone(zones)
	s.workspaces = map[int][]sapphiredrum.Workspace{}
	sorted := slices.Clone(workspaces)
	slices.SortFunc(sorted, func(a, b sapphiredrum.Workspace) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	for _, w := range sorted {
		n := AccountShard(w.ID)
		s.workspaces[n] = append(s.workspaces[n], w)
	}
	for _, h := range s.shards {
		s.reopen(now, h, first)
	}
}

// reopen gives the shard the accounts of the revision now in force.
func (s *State) reopen(now sapphiredrum.Instant, h *shard, first bool) {
	accounts := make([]*account, 0, len(s.workspaces[h.id.Number]))
	for _, w := range s.workspaces[h.id.Number] {
		a := s.find(h.id, w.ID)
		if a == nil {
			rested := h.rested
			if !first {
				rested = now.Add(s.term())
			}
			accounts = append(accounts, s.open(now, h, w, rested))
			continue
		}
		a.refresh(now, s.deadline, s.scale)
		s.plan(now, a, w, false)
		accounts = append(accounts, a)
	}
	h.accounts = accounts
}

// open returns an empty account whose own share rests until the given instant.
func (s *State) open(now sapphiredrum.Instant, h *shard, w sapphiredrum.Workspace, rested sapphiredrum.Instant) *account {
	a := &account{shard: h.id, lent: rested, barrier: s.number}
	a.bucket.at = now
	s.plan(now, a, w, true)
	return a
}

// plan gives the account the workspace's rate and burst and the zones' parts.
func (s *State) plan(now sapphiredrum.Instant, a *account, w sapphiredrum.Workspace, first bool) {
	zones := HomeZones(w.ID, s.zones)
	fractions := divide(w.Burst, zones, s.zones)
	parts := make([]part, len(zones))
	for i, z := range zones {
		p := part{fraction: fractions[i], planned: fractions[i]}
		if !first {
			old := slices.Index(a.zones, z)
			p.fraction = 0
			if old >= 0 {
				p.until = a.parts[old].until
				p.fraction = min(a.parts[old].fraction, p.planned)
			}
			if p.fraction < p.planned {
				a.settled = now.Add(s.settings.Settle)
			}
		}
		parts[i] = p
	}
	a.workspace, a.zones, a.parts = w, zones, parts
	a.self = slices.Index(zones, a.shard.Zone)
	a.reshape(now, s.deadline, s.scale)
}
