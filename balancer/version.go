package balancer

import (
	"cmp"
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/promoter"
)

const (
	// maxRolloutRoutes bounds the routes that are counted apart, and so the size of a heartbeat.
	maxRolloutRoutes = 8
	// maxRolloutTargets bounds the targets that are counted apart, likewise.
	maxRolloutTargets = 16
	// minCanaries is the least number of targets that get the share, so that a bad target is told
	// from a bad version.
	minCanaries = 2
	// slowFactor is how many times the median of the old version an answer must take to count as
	// slow. A bad version is several times slower; load alone rarely doubles the median.
	slowFactor = 2.5
	// medianSize is the number of durations of which the median is taken, medianLeast the least.
	medianSize  = 31
	medianLeast = 8
)

// rollout is what this host counts of a pool's rollout. Counts begin with the order.
type rollout struct {
	split promoter.Split
	// sent and sentNew are the requests since the order, of both sides and of the new one.
	sent, sentNew float64
	// canaries are the targets of the new version that get its share, each with the requests that it
	// had from this host.
	canaries map[sd.TargetID]int
	routes   map[promoter.RouteID]*rolloutRoute
	// targets counts the answers of targets of the new version.
	targets map[gossiper.IDHash]promoter.Count
}

// rolloutRoute counts one route.
type rolloutRoute struct {
	promoter.RouteCount
	sent, sentNew float64
	// durations are the last ones of the old version.
	durations []sd.Millis
	next      int
}

// SetSplit sets which targets of a pool get new requests. Counts start anew with another order.
func (s *State) SetSplit(now sd.Instant, name sd.GroupName, split promoter.Split) {
	p := s.pool(name)
	if split.Mode == promoter.Ordinary && split.Order == 0 {
		p.rollout = nil
		return
	}
	if p.rollout == nil || p.rollout.split.Order != split.Order {
		p.rollout = &rollout{routes: map[promoter.RouteID]*rolloutRoute{}, targets: map[gossiper.IDHash]promoter.Count{}}
	}
	p.rollout.split = split
	if split.Mode == promoter.Shared {
		p.rollout.canaries = s.canaries(now, p)
	}
}

// canaries returns the targets of the new version that get its share: so few that each has about
// the load of an old target, as some faults show only under load. All hosts choose the same ones
// by a hash of the order.
func (s *State) canaries(now sd.Instant, p *pool) map[sd.TargetID]int {
	var fresh []*target
	old := 0
	for _, t := range p.members {
		switch {
		case !s.accepts(t):
		case !p.rollout.split.New(t.Version):
			old += int(t.Slots)
		case now >= t.backoffUntil && !slices.Contains(s.unreachableZones, t.Zone):
			fresh = append(fresh, t)
		}
	}
	order := p.rollout.split.Order
	slices.SortFunc(fresh, func(a, b *target) int { return cmp.Compare(affinityRank(order, b.code), affinityRank(order, a.code)) })
	chosen, slots := map[sd.TargetID]int{}, 0
	for _, t := range fresh {
		if len(chosen) >= minCanaries && float64(slots) >= p.rollout.split.Share*float64(old) {
			break
		}
		chosen[t.ID] = p.rollout.canaries[t.ID]
		slots += int(t.Slots)
	}
	return chosen
}

// RolloutReport returns this host's counts of a pool's rollout. Its stage and age are not set.
func (s *State) RolloutReport(name sd.GroupName) promoter.Report {
	p := s.pool(name)
	r := p.rollout
	if r == nil {
		return promoter.Report{}
	}
	report := promoter.Report{Order: r.split.Order, Routes: map[promoter.RouteID]promoter.RouteCount{}, Targets: map[promoter.TargetCode]promoter.Count{}}
	for code, c := range r.targets {
		report.Targets[promoter.TargetCode(code)] = c
	}
	for _, version := range p.flights {
		if r.split.Old(version) {
			report.OldInflight++
		}
	}
	for id, route := range r.routes {
		report.Routes[id] = route.RouteCount
	}
	return report
}

// Versions counts the targets of a pool that do not leave, by version.
func (s *State) Versions(name sd.GroupName) map[sd.Version]int {
	versions := map[sd.Version]int{}
	for _, t := range s.pool(name).members {
		if !t.Leaving && !t.announced {
			versions[t.Version]++
		}
	}
	return versions
}

// takesVersion reports whether a request may go to a target by the version of the target.
func (s *State) takesVersion(now sd.Instant, p *pool, req *Request, t *target) bool {
	r := p.rollout
	if r == nil {
		return true
	}
	if slices.Contains(r.split.Barred, t.Version) && s.serves(p, func(v sd.Version) bool { return !slices.Contains(r.split.Barred, v) }) {
		return false
	}
	isNew, isOld := r.split.New(t.Version), r.split.Old(t.Version)
	switch r.split.Mode {
	case promoter.OldOnly:
		return !isNew
	case promoter.OldFirst:
		return !isNew || !s.serves(p, func(v sd.Version) bool { return !r.split.New(v) })
	case promoter.NewFirst:
		return !isOld || !s.serves(p, func(v sd.Version) bool { return !r.split.Old(v) })
	case promoter.Shared:
		if r.allowsNew(req) {
			if canary := s.canary(now, p); canary != nil {
				return t == canary
			}
		}
		return !isNew
	case promoter.Ordinary:
	}
	return true
}

// serves reports whether the pool has a target that accepts requests of a version.
func (s *State) serves(p *pool, version func(sd.Version) bool) bool {
	return slices.ContainsFunc(p.members, func(t *target) bool { return version(t.Version) && s.accepts(t) })
}

// allowsNew reports whether the share allows one more request to the new version, and the request's
// route has not had more than its part. A request that a target has failed or rejected goes to the
// old version.
func (r *rollout) allowsNew(req *Request) bool {
	if len(req.ExcludedTargets) > 0 || r.sentNew+1 > r.split.Share*r.sent+r.split.Extra {
		return false
	}
	route := r.routes[routeOf(req)]
	return route == nil || route.sentNew <= r.split.Share*route.sent+r.split.Extra
}

// canary returns the target of the new version that gets the next request of the share: of those
// with room the one that had the fewest, so that the evidence is about all of them. It is nil if none
// has room; the request then goes to the old version at once.
func (s *State) canary(now sd.Instant, p *pool) (least *target) {
	heard, sent := s.heardHosts(now), p.rollout.canaries
	for _, t := range p.members {
		if _, chosen := sent[t.ID]; !chosen || least != nil && sent[t.ID] >= sent[least.ID] {
			continue
		}
		if s.accepts(t) && now >= t.backoffUntil && !slices.Contains(s.unreachableZones, t.Zone) && s.hasRoom(now, p, t, heard) {
			least = t
		}
	}
	return least
}

func routeOf(req *Request) promoter.RouteID { return promoter.RouteID(gossiper.HashID(req.Rule)) }

// route returns the counts of a request's route; those of routes beyond maxRolloutRoutes are
// summed.
func (r *rollout) route(req *Request) *rolloutRoute {
	id := routeOf(req)
	if r.routes[id] == nil && len(r.routes) >= maxRolloutRoutes {
		id = promoter.AllRoutes
	}
	if r.routes[id] == nil {
		r.routes[id] = &rolloutRoute{}
	}
	return r.routes[id]
}

// countDispatch counts a request that is sent to a target.
func (s *State) countDispatch(req *Request, t *target) {
	p := s.pool(req.Pool)
	if p.flights == nil {
		p.flights = map[*Request]sd.Version{}
	}
	p.flights[req] = t.Version
	r := p.rollout
	if r == nil {
		return
	}
	req.rollout = r
	// A prompt that another target has read takes longer, and a cold target does.
	req.untimed = t.ColdRemaining > 0 || req.PreferredTarget != "" || req.Affinity != 0 && !req.StartsProgram
	route := r.route(req)
	r.sent++
	route.sent++
	if r.split.New(t.Version) {
		r.sentNew++
		route.sentNew++
		if _, chosen := r.canaries[t.ID]; chosen {
			r.canaries[t.ID]++
		}
	}
}

// countDone counts the outcome of a request. One that did not run no longer counts as sent, except
// to the new version.
func (s *State) countDone(req *Request, result Result, took sd.Millis) {
	flights := s.pool(req.Pool).flights
	version, flies := flights[req]
	delete(flights, req)
	r := req.rollout
	if r == nil || !flies {
		return
	}
	req.rollout = nil
	route := r.route(req)
	if result == Rejected || result == ConnectFailed {
		r.sent--
		route.sent--
		return
	}
	one := route.judge(req.untimed, result, took)
	if !r.split.New(version) {
		route.Old = route.Old.Plus(one)
		route.learn(req.untimed, result, took)
		return
	}
	route.New = route.New.Plus(one)
	code := gossiper.HashID(req.Target)
	if _, known := r.targets[code]; !known && len(r.targets) >= maxRolloutTargets {
		code = 0
	}
	r.targets[code] = r.targets[code].Plus(one)
}

// judge returns the count of one answer. Abandoned requests count only if they were slow, as callers
// may leave at any time; untimed requests are not judged by their time.
func (r *rolloutRoute) judge(untimed bool, result Result, took sd.Millis) (c promoter.Count) {
	median, known := r.median()
	slow := known && float64(took) > slowFactor*float64(max(median, 1))
	if result != Abandoned {
		c.Answers++
	}
	switch {
	case result == Failed:
		c.Failures++
	case known && !untimed && (result == Served || slow):
		c.Timed++
		if slow {
			c.Slow++
		}
	}
	return c
}

// learn takes the duration of an answer of the old version.
func (r *rolloutRoute) learn(untimed bool, result Result, took sd.Millis) {
	switch {
	case untimed || result != Served:
	case len(r.durations) < medianSize:
		r.durations = append(r.durations, took)
	default:
		r.durations[r.next] = took
		r.next = (r.next + 1) % medianSize
	}
}

// median returns the median duration of the old version, if it is known.
func (r *rolloutRoute) median() (sd.Millis, bool) {
	if len(r.durations) < medianLeast {
		return 0, false
	}
	sorted := slices.Clone(r.durations)
	slices.Sort(sorted)
	return sorted[len(sorted)/2], true
}

// openSlots returns a target's slots as far as its version gets requests: while two versions run
// side by side, the pool has no more room than the side that gets nearly all of them.
func (s *State) openSlots(p *pool, t *target) int {
	r := p.rollout
	if r == nil || r.split.Mode == promoter.Ordinary {
		return int(t.Slots)
	}
	isNew := r.split.New(t.Version)
	if r.split.Mode == promoter.NewFirst {
		if r.split.Old(t.Version) && s.serves(p, func(v sd.Version) bool { return !r.split.Old(v) }) {
			return 0
		}
		return int(t.Slots)
	}
	if isNew && s.serves(p, func(v sd.Version) bool { return !r.split.New(v) }) {
		return 0
	}
	return int(t.Slots)
}
