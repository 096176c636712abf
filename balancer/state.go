package balancer

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// Settings configure a State; zero fields take the defaults.
type Settings struct {
	Host sd.HostID
	Zone sd.ZoneName
	// SubsetSize is the number of targets in the host's own zone that are tried first.
	SubsetSize int
	// ColdRateFactor and ColdSlack limit the requests to a cold target within a second to
	// its cold rate times ColdRateFactor plus ColdSlack.
	ColdRateFactor, ColdSlack float64
	// ColdUnlimited turns that limit off.
	ColdUnlimited bool
	// Connected reports whether an idle connection to a target exists. If nil, connections
	// are not considered.
	Connected func(sd.Address) bool
	// Random returns a number in [0, n).
	Random func(n int) int
}

const (
	// DefaultSubsetSize is the number of targets in its own zone that a host tries first. A
	// larger subset opens more connections, and a smaller one loses work on busy days.
	DefaultSubsetSize = 3
	// peerLoadTTL is how long the load report of another host is used: a few report intervals.
	peerLoadTTL = 1500 * sd.Millisecond
	// targetLoadTTL is how long the load in a target's response is used: about the duration
	// of a request.
	targetLoadTTL = 300 * sd.Millisecond
	// nearlyFull is the utilization from which an existing connection no longer takes
	// precedence over a free slot, since targets slow down when they are nearly full.
	nearlyFull = 0.7
	// longPromptTokens is the prompt length that justifies a new connection to the target
	// that has the prompt cached: engines read some 100 tokens in a millisecond.
	longPromptTokens = 4000
	// minBackoff and maxBackoff limit the exponential backoff of a target after failed
	// connections.
	minBackoff = 300 * sd.Millisecond
	maxBackoff = 3 * sd.Second
	// coldWindow is the period over which requests to cold targets are limited.
	coldWindow = sd.Second
	// startupHold is how long hosts that have started together send nothing to targets with
	// a cold limit. Together with the minimum time that a process takes to restart, it covers
	// coldWindow.
	startupHold = 500 * sd.Millisecond
	// coldGuaranteedFraction is the fraction of the cold limit that the hosts may use without
	// knowledge of one another's requests.
	coldGuaranteedFraction = 0.5
	// coldReserveFraction is the fraction of the cold limit that is kept free in case a load
	// report is lost.
	coldReserveFraction = 0.2
	// maxStartWait is the longest expected wait for which a request that starts a program is
	// queued. With a longer wait the program would end late, so its caller should retry
	// instead. maxContinueWait is the limit for requests of running programs.
	maxStartWait    = 120 * sd.Millisecond
	maxContinueWait = 700 * sd.Millisecond
	// saturationLimit is the load of a pool, as a fraction of its slots, above which new
	// programs are refused if the hosts' load reports are current. The limit falls by
	// saturationAgePenalty for each average request duration of the reports' age, but not
	// below minSaturationLimit. TestCrowds compares such settings.
	saturationLimit      = 1.1
	saturationAgePenalty = 0.15
	minSaturationLimit   = 0.85
	// saturationTierSpread is how much higher the limit is for the most urgent tier of a pool
	// than for the least urgent one.
	saturationTierSpread = 0.1
	// initialServiceTime is the expected duration of a request until one has been measured.
	initialServiceTime = 100 * sd.Millisecond
	// serviceTimeWeight is the weight of a new measurement in the moving average.
	serviceTimeWeight = 0.1
)

// State is one host's view of all targets. It is not safe for concurrent use.
type State struct {
	settings  Settings
	targets   map[sd.TargetID]*target
	pools     map[sd.GroupName]*pool
	evacuated map[sd.ZoneName]bool
	// unreachableZones are probably partitioned from this host.
	unreachableZones []sd.ZoneName
	// unreachableHosts is the number of hosts in these zones.
	unreachableHosts int
	// hosts is the number of hosts that share the cold limit; zero until it is known.
	hosts int
	// countingSince is when this host began to count the requests it sends. fleetRunning is set
	// once another host is known to have been running before it.
	countingSince sd.Instant
	fleetRunning  bool
	// removedSent holds the send times of recently removed targets, since a registration may
	// lapse for a moment.
	removedSent map[sd.TargetID][]sd.Instant
	// announced holds the instances that have announced that they leave, and when that or their
	// registration was last seen.
	announced map[instance]sd.Instant
	peers     map[sd.HostID]*peerLoad
	// peerList holds the peers in the order in which they were first heard.
	peerList []*peerLoad
	// shares holds the parts of the hosts' load reports by target.
	shares map[gossiper.IDHash][]peerShare
	// byCode holds the targets by the hash of their ID.
	byCode map[gossiper.IDHash]*target
	// reports counts the load reports of hosts and targets.
	reports    uint64
	queue      []*Request
	nextNumber uint64
}

type pool struct {
	settings sd.Pool
	// serviceTime is the moving average of the duration of a request.
	serviceTime float64
	// tiers are the tiers of the programs that start in the pool, the most urgent first.
	tiers   []sd.Tier
	members []*target
	// rollout is nil without an order. flights holds the version that runs each request.
	rollout *rollout
	flights map[*Request]sd.Version
	// keepsTurns is set unless the pool has streaming rules of which none retains turns.
	keepsTurns bool
	// reportsWorkTime is set once a target of the pool has reported its work time.
	reportsWorkTime bool
	reading         reading
	// estimatedAt is when the other hosts' requests were last estimated, and estimatedFrom the
	// number of reports then.
	estimatedAt   sd.Instant
	estimatedFrom uint64
	// misfit is the logarithm of how much longer requests take than expected.
	misfit float64
}

type target struct {
	sd.TargetRegistration
	// announced is set once the instance has announced that it leaves, which its registration
	// may not tell.
	announced bool
	inflight  int
	// reportedLoad is the load that the target last reported; ownAtReport is how much of it
	// came from this host.
	reportedLoad int
	reportedAt   sd.Instant
	ownAtReport  int
	failures     int
	backoffUntil sd.Instant
	// sent holds the times of the last requests, for the cold limit.
	sent []sd.Instant
	// announcedSent is the number of requests within coldWindow that this host last reported
	// to the others.
	announcedSent int
	// hostsBefore is the number of hosts that precede this one in the division of the
	// remainder of the cold limit.
	hostsBefore int
	rank        uint64
	// precededBy reports for each host of State.peerList whether it precedes this one in the
	// target's rendezvous order. It is extended when it is read.
	precededBy []bool
	code       gossiper.IDHash
	speed      speed
	// running holds this host's requests in flight.
	running []*Request
	// ownWorkTime is the last work time that the target reported to this host, in hundredths.
	ownWorkTime   float64
	ownWorkTimeAt sd.Instant
	// unread counts this host's prompt tokens in flight that are not read yet, and tokens those
	// that its requests in flight may come to hold.
	unread, tokens sd.Tokens
	kept           keptPrompts
	others         others

	// The results of the last look at the target for a request: its load, the unread tokens there
	// and those that requests may come to hold, what it would have to read of the prompt, how many
	// milliseconds the request would take, and the target's factor in that.
	lastLoad, lastBacklog, lastHeld float64
	lastUnread                      sd.Tokens
	lastOrigin                      origin
	expected, lastFactor            float64
	// seenFor is the request for which expected was last set.
	seenFor *Request
}

// Request is a request for a target, assigned at once or queued.
type Request struct {
	Pool sd.GroupName
	// Rule is the rule of the request, by which its answers are counted in a rollout.
	Rule sd.RouteName
	// PreferredTarget is the target that has the request's prefix cached, or empty.
	PreferredTarget sd.TargetID
	// Affinity is a hash of the request's program, or zero. All hosts prefer the same target for
	// it if none is named by PreferredTarget.
	Affinity uint64
	// Prompt is the length of the request's prompt, which any other target has to read
	// again.
	Prompt sd.Tokens
	// Longest is the most that the request may generate.
	Longest sd.Tokens
	// PromptKey identifies the line of turns whose prompts extend one another; zero if there is
	// none. PromptParts are the parts at the prompt's start that other programs share.
	PromptKey   uint64
	PromptParts []PromptPart
	// Objective is the time in which the first event should come; zero if there is none.
	Objective sd.Millis
	// ExcludedTargets have already rejected the request.
	ExcludedTargets []sd.TargetID
	Tier            sd.Tier
	// StartsProgram is set on the first request of a program.
	StartsProgram bool
	// ProgramDeadline is when the request's program should finish; zero sorts last.
	ProgramDeadline sd.Instant
	// StartDeadline is the latest time at which starting the request is still useful.
	StartDeadline sd.Instant

	// Target, Address and Incarnation are set once the request may be sent.
	Target      sd.TargetID
	Address     sd.Address
	Incarnation sd.Incarnation
	// RefusalReason is set if the request was refused; ExpectedWait is the estimated wait in
	// the queue.
	RefusalReason Refusal
	ExpectedWait  sd.Millis
	// PoolRunning is the pool's load when the request asked to start a program; above
	// RunningLimit no program may start.
	PoolRunning  int
	RunningLimit float64
	// Choice tells how the target was chosen by expected time.
	Choice Choice

	number uint64
	queued bool
	// rollout counts the request, also by its time unless untimed is set.
	rollout *rollout
	untimed bool
	// firstTried is when a target was first looked for.
	firstTried sd.Instant
	// waitsAtHome is set if the home is to read the request's prompt, but not yet.
	waitsAtHome bool
	sentAt      sd.Instant
	// unread is the number of prompt tokens that the target had to read when the request was
	// sent, estimated from origin; backlog is what it had to read before, and full is set if all
	// its slots were taken. counted is set while the tokens are in the counts of the target,
	// promptRead once the unread ones are not any more.
	unread sd.Tokens
	// modelled is the expected time at a target of factor 1, or zero.
	modelled   float64
	origin     origin
	backlog    float64
	full       bool
	counted    bool
	promptRead bool
}

// Refusal is the reason why a request got no target.
type Refusal string

// The reasons of refusal.
const (
	// NoTarget: the pool has no target that accepts requests.
	NoTarget Refusal = "no target"
	// WaitTooLong: the wait would exceed, or has exceeded, the request's limit.
	WaitTooLong Refusal = "wait too long"
	// Saturated: the remaining slots of the pool are reserved for running programs.
	Saturated Refusal = "left to programs under way"
)

// New returns a State without targets.
func New(settings Settings) *State {
	if settings.SubsetSize == 0 {
		settings.SubsetSize = DefaultSubsetSize
	}
	if settings.Random == nil {
		settings.Random = rand.IntN
	}
	return &State{
		settings: settings, targets: map[sd.TargetID]*target{}, pools: map[sd.GroupName]*pool{},
		evacuated: map[sd.ZoneName]bool{}, removedSent: map[sd.TargetID][]sd.Instant{}, peers: map[sd.HostID]*peerLoad{},
		shares: map[gossiper.IDHash][]peerShare{}, byCode: map[gossiper.IDHash]*target{}, announced: map[instance]sd.Instant{},
	}
}

// Configure sets the pools of a fleet configuration.
func (s *State) Configure(pools []sd.Pool) {
	for _, p := range pools {
		s.pool(p.Name).settings = p
	}
}

func (s *State) pool(name sd.GroupName) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{serviceTime: float64(initialServiceTime), keepsTurns: true}
		s.pools[name] = p
	}
	return p
}

// SetEvacuated sets whether a zone is evacuated. Targets of an evacuated zone get no requests.
func (s *State) SetEvacuated(zone sd.ZoneName, evacuated bool) {
	if evacuated {
		s.evacuated[zone] = true
	} else {
		delete(s.evacuated, zone)
	}
}

// SetUnreachableZones sets the zones that are probably partitioned: none of their hosts is
// heard from. Their targets get requests only if the pool has no usable target elsewhere.
// hosts is the number of hosts in these zones.
func (s *State) SetUnreachableZones(zones []sd.ZoneName, hosts int) {
	s.unreachableZones, s.unreachableHosts = zones, hosts
}

// Register adds or updates a target. It reports whether this is a new instance of the target:
// one with another incarnation, address or pool than the known one.
func (s *State) Register(r sd.TargetRegistration) bool {
	t := s.targets[r.ID]
	fresh := t == nil || t.Incarnation != r.Incarnation || t.Address != r.Address || t.Pool != r.Pool
	if fresh {
		if t != nil {
			s.Remove(r.ID)
		}
		t = &target{rank: rank(s.settings.Host, r.ID), code: gossiper.HashID(r.ID)}
		t.ID, t.sent = r.ID, s.removedSent[r.ID]
		delete(s.removedSent, r.ID)
		t.hostsBefore = s.hostsRankedBefore(0, t)
		s.targets[r.ID], s.byCode[t.code] = t, t
		p := s.pool(r.Pool)
		p.members = append(p.members, t)
		slices.SortFunc(p.members, func(a, b *target) int { return cmp.Compare(a.rank, b.rank) })
	}
	t.TargetRegistration = r
	_, t.announced = s.announced[t.instance()]
	return fresh
}

// Remove removes a target.
func (s *State) Remove(id sd.TargetID) {
	t := s.targets[id]
	if t == nil {
		return
	}
	delete(s.targets, id)
	delete(s.byCode, t.code)
	s.removedSent[id] = t.sent
	p := s.pool(t.Pool)
	p.members = slices.DeleteFunc(p.members, func(m *target) bool { return m == t })
}

// Targets returns the known registrations in no particular order. Leaving is also set on those
// whose target has announced it in a response.
func (s *State) Targets() []sd.TargetRegistration {
	list := make([]sd.TargetRegistration, 0, len(s.targets))
	for _, t := range s.targets {
		r := t.TargetRegistration
		r.Leaving = r.Leaving || t.announced
		list = append(list, r)
	}
	return list
}

// Submit assigns the request to a target, refuses it, or queues it. It reports whether the
// request was assigned or refused; DispatchQueued decides on queued ones.
func (s *State) Submit(now sd.Instant, req *Request) bool {
	s.housekeep(now)
	if req.StartsProgram && s.saturated(now, req) {
		req.RefusalReason = Saturated
		return true
	}
	if s.assign(now, req) {
		return true
	}
	if req.RefusalReason != "" {
		return true
	}
	req.ExpectedWait = s.expectedWait(now, req)
	maxWait := maxContinueWait
	if req.StartsProgram {
		maxWait = maxStartWait
	}
	if req.ExpectedWait > maxWait || now.Add(req.ExpectedWait) > req.StartDeadline {
		req.RefusalReason = WaitTooLong
		return true
	}
	req.StartDeadline = min(req.StartDeadline, now.Add(2*maxWait))
	req.number = s.nextNumber
	s.nextNumber++
	req.queued = true
	s.queue = append(s.queue, req)
	return false
}

// DispatchQueued assigns the queued requests for which targets have room, refuses those whose
// StartDeadline has passed, and returns both.
func (s *State) DispatchQueued(now sd.Instant) []*Request {
	if len(s.queue) == 0 {
		return nil
	}
	slices.SortFunc(s.queue, func(a, b *Request) int { return compareRequests(now, a, b) })
	var settled []*Request
	poolFull, heldTries := map[sd.GroupName]bool{}, map[sd.GroupName]int{}
	s.queue = slices.DeleteFunc(s.queue, func(req *Request) bool {
		if now > req.StartDeadline {
			req.RefusalReason = WaitTooLong
		} else if !poolFull[req.Pool] && !s.assign(now, req) {
			// A long prompt that is held back must not hold up the short ones behind it.
			if req.Choice.HeldBy != "" {
				heldTries[req.Pool]++
			}
			poolFull[req.Pool] = req.RefusalReason == "" && (req.Choice.HeldBy == "" || heldTries[req.Pool] >= maxHeldTries)
		}
		if req.Target == "" && req.RefusalReason == "" {
			return false
		}
		settled = append(settled, req)
		return true
	})
	return settled
}

// compareRequests orders queued requests: by tier; programs that can still meet their deadline
// before those that cannot; running programs before new ones, since the work done for a program
// is wasted unless it ends; then by deadline.
func compareRequests(now sd.Instant, a, b *Request) int {
	return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(lateRank(now, a), lateRank(now, b)),
		cmp.Compare(startRank(a), startRank(b)), cmp.Compare(a.ProgramDeadline, b.ProgramDeadline), cmp.Compare(a.number, b.number))
}

func startRank(req *Request) int {
	if req.StartsProgram {
		return 1
	}
	return 0
}

// lateRank sorts programs that can no longer meet their deadline behind those that can.
func lateRank(now sd.Instant, req *Request) int {
	if req.ProgramDeadline == 0 || now > req.ProgramDeadline {
		return 1
	}
	return 0
}

// Cancel removes a request from the queue after its caller has gone.
func (s *State) Cancel(req *Request) {
	s.queue = slices.DeleteFunc(s.queue, func(q *Request) bool { return q == req })
}

// Queued returns the length of the queue.
func (s *State) Queued() int { return len(s.queue) }

// expectedWait estimates how long a request would wait behind those ahead of it.
func (s *State) expectedWait(now sd.Instant, req *Request) sd.Millis {
	p := s.pool(req.Pool)
	ahead, slots := 1, 0
	for _, q := range s.queue {
		if q.Pool == req.Pool && compareRequests(now, q, req) < 0 {
			ahead++
		}
	}
	for _, t := range p.members {
		slots += int(t.Slots)
	}
	share := max(float64(slots)/float64(max(s.hosts, 1)), 1)
	return sd.Millis(p.serviceTime * float64(ahead) / share)
}

// assign sends the request to a target that has room, if there is one. It refuses the request
// if the pool has no usable target.
func (s *State) assign(now sd.Instant, req *Request) bool {
	p := s.pool(req.Pool)
	var subset, sameZone, otherZones, unreachable []*target
	var preferred, home *target
	usable, reachableCount, heard, forecasts := 0, 0, s.heardHosts(now), p.forecasts()
	if forecasts {
		s.prepare(now, p, req)
		home = s.home(now, p, req)
	}
	for _, t := range p.members {
		if !s.accepts(t) || slices.Contains(req.ExcludedTargets, t.ID) || !s.takesVersion(now, p, req, t) {
			continue
		}
		usable++
		isUnreachable := slices.Contains(s.unreachableZones, t.Zone)
		if !isUnreachable {
			reachableCount++
		}
		if now < t.backoffUntil || (!forecasts && !s.hasRoom(now, p, t, heard)) || (forecasts && !s.mayTake(now, p, t, req, home, heard)) {
			continue
		}
		if isUnreachable {
			unreachable = append(unreachable, t)
			continue
		}
		if t.ID == req.PreferredTarget && (req.Prompt >= longPromptTokens || s.settings.Connected == nil || s.settings.Connected(t.Address)) {
			if !forecasts {
				s.dispatch(now, req, t)
				return true
			}
			preferred = t
		}
		switch {
		case t.Zone != s.settings.Zone:
			otherZones = append(otherZones, t)
		case len(subset) < s.settings.SubsetSize:
			subset = append(subset, t)
		default:
			sameZone = append(sameZone, t)
		}
	}
	if usable == 0 {
		req.RefusalReason = NoTarget
		return false
	}
	if forecasts && req.waitsAtHome {
		return false
	}
	if forecasts {
		if t := s.chooseByTime(now, p, req, preferred, home, subset, sameZone, otherZones); t != nil {
			s.startPrompt(p, t, req)
			s.dispatch(now, req, t)
			return true
		}
	}
	if req.Affinity != 0 {
		if t := highestRanked(req.Affinity, subset, sameZone); t != nil {
			s.dispatch(now, req, t)
			return true
		}
	}
	for _, list := range [][]*target{subset, sameZone, otherZones} {
		if len(list) > 0 {
			s.dispatch(now, req, s.pickLessLoaded(now, s.preferConnected(now, list)))
			return true
		}
	}
	if reachableCount == 0 && len(unreachable) > 0 {
		s.dispatch(now, req, s.pickLessLoaded(now, unreachable))
		return true
	}
	return false
}

// highestRanked returns the target with the highest rendezvous hash for an affinity, or nil if
// the lists are empty. Hosts that see room at the same targets choose the same one without a
// message, so that the prompts of a program are read once.
func highestRanked(affinity uint64, lists ...[]*target) *target {
	var best *target
	most := uint64(0)
	for _, list := range lists {
		for _, t := range list {
			if rank := affinityRank(affinity, t.code); best == nil || rank > most {
				best, most = t, rank
			}
		}
	}
	return best
}

// affinityRank returns the rendezvous hash of an affinity and a target.
func affinityRank(affinity uint64, code gossiper.IDHash) uint64 {
	var key [12]byte
	binary.BigEndian.PutUint64(key[:8], affinity)
	binary.BigEndian.PutUint32(key[8:], uint32(code))
	return xxhash.Sum64(key[:])
}

// preferConnected returns the targets of the list that have an idle connection and are not
// nearly full, or the whole list if there are none.
func (s *State) preferConnected(now sd.Instant, list []*target) []*target {
	if s.settings.Connected == nil {
		return list
	}
	var connected []*target
	for _, t := range list {
		if s.utilization(now, t) < nearlyFull && s.settings.Connected(t.Address) {
			connected = append(connected, t)
		}
	}
	if len(connected) == 0 {
		return list
	}
	return connected
}

// pickLessLoaded returns the less loaded of two randomly chosen targets.
func (s *State) pickLessLoaded(now sd.Instant, list []*target) *target {
	a, b := s.pickTwo(list)
	if s.utilization(now, b) < s.utilization(now, a) {
		return b
	}
	return a
}

// pickTwo returns two randomly chosen targets, which are the same if there is only one.
func (s *State) pickTwo(list []*target) (a, b *target) {
	first := s.settings.Random(len(list))
	if len(list) == 1 {
		return list[0], list[0]
	}
	second := s.settings.Random(len(list) - 1)
	if second >= first {
		second++
	}
	return list[first], list[second]
}

func (s *State) dispatch(now sd.Instant, req *Request, t *target) {
	req.Target, req.Address, req.Incarnation = t.ID, t.Address, t.Incarnation
	t.inflight++
	s.countDispatch(req, t)
	req.sentAt = now
	t.running = append(t.running, req)
	if n := len(t.sent) - t.sentInWindow(now); n > 32 {
		t.sent = slices.Delete(t.sent, 0, n)
	}
	t.sent = append(t.sent, now)
}

// Result is the outcome of a request at its target.
type Result int

// The results.
const (
	// Served: the target answered.
	Served Result = iota
	// Rejected: the target refused the request without running it.
	Rejected
	// Failed: the connection failed or the response was truncated.
	Failed
	// ConnectFailed: no connection to the target could be opened.
	ConnectFailed
	// Abandoned: the caller left or the deadline passed.
	Abandoned
)

// Done records the outcome and duration of a request at its target.
func (s *State) Done(now sd.Instant, req *Request, result Result, took sd.Millis) {
	s.countDone(req, result, took)
	t := s.targets[req.Target]
	if t == nil || t.Address != req.Address {
		return
	}
	t.inflight = max(t.inflight-1, 0)
	t.running = slices.DeleteFunc(t.running, func(r *Request) bool { return r == req })
	p := s.pool(t.Pool)
	s.learn(now, p, t, req, result, took)
	s.endPrompt(now, t, req, result)
	switch result {
	case Served:
		p.serviceTime += serviceTimeWeight * (float64(took) - p.serviceTime)
		t.failures = 0
	case ConnectFailed:
		t.failures++
		t.backoffUntil = now.Add(min(minBackoff<<min(t.failures-1, 4), maxBackoff))
	case Rejected:
		// A full target frees a slot within the time of one request.
		t.backoffUntil = now.Add(minBackoff / 6)
	case Failed, Abandoned:
	}
}
