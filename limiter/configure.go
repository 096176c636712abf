package limiter

import (
	"slices"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// configRevision is an accepted configuration as the limiter uses it.
type configRevision struct {
	number sapphiredrum.Revision
	// since is when this host applied it.
	since sapphiredrum.Instant
	zones []sapphiredrum.Zone
	// workspaces are grouped by account shard and sorted by ID.
	workspaces map[int][]sapphiredrum.Workspace
}

// Configure applies a revision; older revisions are ignored. Rates and bursts change
// immediately. A zone's fraction of them decreases immediately but increases only
// after Settings.MaxConfigDelay, when no host can use the old configuration any more.
func (s *State) Configure(now sapphiredrum.Instant, number sapphiredrum.Revision, workspaces []sapphiredrum.Workspace, zones []sapphiredrum.Zone) {
	now = s.observe(now)
	if len(s.revisions) > 0 && number <= s.current().number {
		return
	}
	r := configRevision{number: number, since: now, zones: slices.Clone(zones), workspaces: map[int][]sapphiredrum.Workspace{}}
	sorted := slices.Clone(workspaces)
	slices.SortFunc(sorted, func(a, b sapphiredrum.Workspace) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	for _, w := range sorted {
		n := AccountShard(w.ID)
		r.workspaces[n] = append(r.workspaces[n], w)
	}
	first := len(s.revisions) == 0
	s.revisions = append(s.revisions, r)
	s.prune(now)
	for _, h := range s.shards {
		restsUntil := now.Add(s.loanTerm())
		if first {
			restsUntil = h.restsUntil
		}
		s.updateAccounts(now, h, restsUntil)
	}
}

// current returns the revision in force, or an empty one before the first.
func (s *State) current() configRevision {
	if len(s.revisions) == 0 {
		return configRevision{}
	}
	return s.revisions[len(s.revisions)-1]
}

// prune drops the revisions that no host can use any more.
func (s *State) prune(now sapphiredrum.Instant) {
	for len(s.revisions) > 1 && s.revisions[1].since.Add(s.settings.MaxConfigDelay) <= now {
		s.revisions = slices.Delete(s.revisions, 0, 1)
	}
}

// updateAccounts gives the shard the accounts of the revision in force. The own
// shares of new accounts are not used until restsUntil.
func (s *State) updateAccounts(now sapphiredrum.Instant, h *shard, restsUntil sapphiredrum.Instant) {
	workspaces := s.current().workspaces[h.id.Number]
	accounts := make([]*account, 0, len(workspaces))
	for _, w := range workspaces {
		a := s.find(h.id, w.ID)
		if a == nil {
			a = s.newAccount(now, h, w, restsUntil)
		} else {
			a.advance(now, s.deadline, s.fillScale)
			s.applyRevision(now, a, w, s.current())
		}
		accounts = append(accounts, a)
	}
	h.accounts = accounts
}

// newAccount returns an empty account. It applies the revisions that other hosts may
// still use, as an account that existed before them would have done.
func (s *State) newAccount(now sapphiredrum.Instant, h *shard, w sapphiredrum.Workspace, restsUntil sapphiredrum.Instant) *account {
	a := &account{shard: h.id, lentUntil: restsUntil, voidThrough: s.number}
	a.bucket.updatedAt = now
	s.prune(now)
	for _, r := range s.revisions {
		if old, found := r.find(w.ID); found {
			s.applyRevision(now, a, old, r)
		}
	}
	return a
}

// find returns the workspace as the revision defines it.
func (r configRevision) find(id sapphiredrum.WorkspaceID) (sapphiredrum.Workspace, bool) {
	for _, w := range r.workspaces[AccountShard(id)] {
		if w.ID == id {
			return w, true
		}
	}
	return sapphiredrum.Workspace{}, false
}

// applyRevision sets the account's rate and burst and the shares of the zones.
func (s *State) applyRevision(now sapphiredrum.Instant, a *account, w sapphiredrum.Workspace, r configRevision) {
	zones := HomeZones(w.ID, r.zones)
	fractions := zoneFractions(w.Burst, zones, r.zones)
	parts := make([]zoneShare, len(zones))
	for i, z := range zones {
		p := zoneShare{fraction: fractions[i], planned: fractions[i]}
		if a.zones != nil {
			p = a.carryOver(z, p)
		}
		if p.fraction < p.planned {
			a.plannedFrom = r.since.Add(s.settings.MaxConfigDelay)
		}
		parts[i] = p
	}
	a.workspace, a.zones, a.shares = w, zones, parts
	a.self = slices.Index(zones, a.shard.Zone)
	a.updateBucket(now, s.deadline, s.fillScale)
}

// carryOver keeps the zone's loan, and its current fraction if the planned one is
// larger.
func (a *account) carryOver(zone sapphiredrum.ZoneName, p zoneShare) zoneShare {
	i := slices.Index(a.zones, zone)
	if i < 0 {
		p.fraction = 0
		return p
	}
	p.borrowedUntil = a.shares[i].borrowedUntil
	p.fraction = min(a.shares[i].fraction, p.planned)
	return p
}
