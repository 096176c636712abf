package limiter

import (
	"slices"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// revision is an accepted configuration as the limiter uses it.
type revision struct {
	number sapphiredrum.Revision
	// since is when this host took it in.
	since sapphiredrum.Instant
	zones []sapphiredrum.Zone
	// workspaces are by account shard, ordered by id.
	workspaces map[int][]sapphiredrum.Workspace
}

// Configure brings a revision into force; an old one changes nothing. Rates and
// bursts change at once. A zone's fraction of them falls at once but rises only
// after Settings.Settle, when no host can count with the old plan any more.
func (s *State) Configure(now sapphiredrum.Instant, number sapphiredrum.Revision, workspaces []sapphiredrum.Workspace, zones []sapphiredrum.Zone) {
	now = s.observe(now)
	if len(s.plans) > 0 && number <= s.current().number {
		return
	}
	r := revision{number: number, since: now, zones: slices.Clone(zones), workspaces: map[int][]sapphiredrum.Workspace{}}
	sorted := slices.Clone(workspaces)
	slices.SortFunc(sorted, func(a, b sapphiredrum.Workspace) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	for _, w := range sorted {
		n := AccountShard(w.ID)
		r.workspaces[n] = append(r.workspaces[n], w)
	}
	first := len(s.plans) == 0
	s.plans = append(s.plans, r)
	s.prune(now)
	for _, h := range s.shards {
		rested := now.Add(s.term())
		if first {
			rested = h.rested
		}
		s.reopen(now, h, rested)
	}
}

// current returns the revision in force, an empty one before the first.
func (s *State) current() revision {
	if len(s.plans) == 0 {
		return revision{}
	}
	return s.plans[len(s.plans)-1]
}

// prune forgets the revisions that no host can follow any more.
func (s *State) prune(now sapphiredrum.Instant) {
	for len(s.plans) > 1 && s.plans[1].since.Add(s.settings.Settle) <= now {
		s.plans = slices.Delete(s.plans, 0, 1)
	}
}

// reopen gives the shard the accounts of the revision in force. The own shares
// of new ones rest until the given instant.
func (s *State) reopen(now sapphiredrum.Instant, h *shard, rested sapphiredrum.Instant) {
	workspaces := s.current().workspaces[h.id.Number]
	accounts := make([]*account, 0, len(workspaces))
	for _, w := range workspaces {
		a := s.find(h.id, w.ID)
		if a == nil {
			a = s.open(now, h, w, rested)
		} else {
			a.refresh(now, s.deadline, s.scale)
			s.plan(now, a, w, s.current())
		}
		accounts = append(accounts, a)
	}
	h.accounts = accounts
}

// open returns an empty account. It follows the revisions that other hosts may
// still follow, as an account that existed before them would.
func (s *State) open(now sapphiredrum.Instant, h *shard, w sapphiredrum.Workspace, rested sapphiredrum.Instant) *account {
	a := &account{shard: h.id, lent: rested, barrier: s.number}
	a.bucket.at = now
	s.prune(now)
	for _, r := range s.plans {
		if old, found := r.find(w.ID); found {
			s.plan(now, a, old, r)
		}
	}
	return a
}

// find returns the workspace as the revision declares it.
func (r revision) find(id sapphiredrum.WorkspaceID) (sapphiredrum.Workspace, bool) {
	for _, w := range r.workspaces[AccountShard(id)] {
		if w.ID == id {
			return w, true
		}
	}
	return sapphiredrum.Workspace{}, false
}

// plan gives the account the workspace's rate and burst and the zones' parts.
func (s *State) plan(now sapphiredrum.Instant, a *account, w sapphiredrum.Workspace, r revision) {
	zones := HomeZones(w.ID, r.zones)
	fractions := divide(w.Burst, zones, r.zones)
	parts := make([]part, len(zones))
	for i, z := range zones {
		p := part{fraction: fractions[i], planned: fractions[i]}
		if a.zones != nil {
			p = a.follow(z, p)
		}
		if p.fraction < p.planned {
			a.settled = r.since.Add(s.settings.Settle)
		}
		parts[i] = p
	}
	a.workspace, a.zones, a.parts = w, zones, parts
	a.self = slices.Index(zones, a.shard.Zone)
	a.reshape(now, s.deadline, s.scale)
}

// follow keeps what the account knows of the zone, and its fraction if that is
// to rise.
func (a *account) follow(zone sapphiredrum.ZoneName, p part) part {
	i := slices.Index(a.zones, zone)
	if i < 0 {
		p.fraction = 0
		return p
	}
	p.until = a.parts[i].until
	p.fraction = min(a.parts[i].fraction, p.planned)
	return p
}
