package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// Settings of a State; zero fields take the defaults.
type Settings struct {
	Host sd.HostID
	Zone sd.ZoneName
	// Neighbours is the number of targets of the own zone that are tried first.
	Neighbours int
	// ColdOver and ColdSlack bound the requests to a target in a second: its cold
	// rate times ColdOver plus ColdSlack.
	ColdOver, ColdSlack float64
	// Connected reports whether a connection to a target is at hand; nil means never.
	Connected func(sd.Address) bool
	// Random returns a number from 0 to below n.
	Random func(n int) int
}

const (
	// DefaultNeighbours is the number at which trials opened the fewest connections
	// without losing work on busy days.
	DefaultNeighbours = 3
	// heardFor is how long a load that a target or host told counts: a few of the
	// intervals in which they are told.
	heardFor = 1500 * sd.Millisecond
	// toldFor is how long the load in a target's answer counts: about as long as a
	// request runs.
	toldFor = 300 * sd.Millisecond
	// nearlyFull is the load above which a connection at hand counts for less than a
	// free slot; targets slow down when they are nearly full.
	nearlyFull = 0.7
	// longPrompt is the prompt that is worth a new connection to the target that
	// holds it: engines read some 100 tokens in a millisecond.
	longPrompt = 4000
	// restFirst and restMost are how long a target rests after failed connections.
	restFirst = 300 * sd.Millisecond
	restMost  = 3 * sd.Second
	// coldWindow is the span over which the bound of cold targets holds.
	coldWindow = sd.Second
	// startQuiet is how long hosts that have started together send nothing to targets with a
	// cold bound. With the least time in which a process is started again it spans the
	// window.
	startQuiet = 500 * sd.Millisecond
	// coldEven is the part of the bound that the hosts may use without hearing of one
	// another.
	coldEven = 0.5
	// coldMargin is kept free of the rest, for a beat that is lost.
	coldMargin = 0.2
	// beginWait is the longest wait for which a request that begins a program is
	// queued: more of it and the program ends late, so its caller had better come
	// back. goOnWait is that of a request of a program under way.
	beginWait = 120 * sd.Millisecond
	goOnWait  = 700 * sd.Millisecond
	// crowdFull is the part of a pool's slots from which programs no longer begin if
	// hosts know one another's load at once; it falls by crowdAge for each time that a
	// request takes by which the knowledge is older, to crowdLeast. TestCrowds compares.
	crowdFull  = 1.1
	crowdAge   = 0.15
	crowdLeast = 0.85
	// crowdTiers is how much later the most urgent programs of a pool wait than the
	// least urgent.
	crowdTiers = 0.1
	// guess is the expected time of a request at a target until one was measured.
	guess = 100 * sd.Millisecond
	// smoothing is the weight of a new measurement in an average.
	smoothing = 0.1
)

// State is one host's view of all targets.
type State struct {
	settings  Settings
	targets   map[sd.TargetID]*target
	pools     map[sd.GroupName]*pool
	evacuated map[sd.ZoneName]bool
	// silent zones are probably cut off from this host.
	silent []sd.ZoneName
	// hosts is the number of hosts among which the cold bound is shared; zero until they
	// are known.
	hosts int
	// began is when this host began to count what it sends; joined tells that others ran
	// before it.
	began  sd.Instant
	joined bool
	// removed holds what targets got that were removed lately: their registrations may lapse
	// for a moment.
	removed map[sd.TargetID][]sd.Instant
	peers   map[sd.HostID]report
	queue   []*Ticket
	next    uint64
}

type pool struct {
	settings sd.Pool
	// service is the average time of a request at a target.
	service float64
	// tiers are those of the programs that begin here, the most urgent first.
	tiers   []sd.Tier
	members []*target
}

type target struct {
	sd.TargetRegistration
	inflight int
	// told is the load by the target's own word, of which own was this host's.
	told     int
	toldAt   sd.Instant
	ownThen  int
	failures int
	rest     sd.Instant
	// sent holds when the last requests were sent, for the cold bound.
	sent []sd.Instant
	// announced is the number sent in a second by the last word to the others.
	announced int
	// before is the number of hosts that take what is left of the bound before this one.
	before int
	rank   uint64
	code   gossiper.Code
}

// Ticket is a request that waits for a target.
type Ticket struct {
	Pool sd.GroupName
	// Prefer is the target that holds the request's prefix, or empty.
	Prefer sd.TargetID
	// Prompt is the length of the request's prompt: what is read again elsewhere.
	Prompt sd.Tokens
	// Avoid are targets that have refused the request.
	Avoid []sd.TargetID
	Tier  sd.Tier
	// Begins tells that the request begins a program.
	Begins bool
	// Due is when the request's program should be finished; zero comes last.
	Due sd.Instant
	// Latest is when the request must start to be of use.
	Latest sd.Instant

	// Target and Address are set once the request may be sent.
	Target  sd.TargetID
	Address sd.Address
	// Refused tells why the request was given up, Wait how long it would have waited.
	Refused Refusal
	Wait    sd.Millis
	// Running is what ran in the pool when a program asked to begin, Bound from how
	// much on none does.
	Running int
	Bound   float64

	number uint64
	queued bool
}

// Refusal tells why a request got no target.
type Refusal string

// The reasons of refusal.
const (
	// NoTarget: the pool has no target that takes requests.
	NoTarget Refusal = "no target"
	// TooLate: the wait would be longer than the request can bear.
	TooLate Refusal = "wait too long"
	// Crowded: the pool's slots are left to the programs under way.
	Crowded Refusal = "left to programs under way"
)

// New returns a State without targets.
func New(settings Settings) *State {
	if settings.Neighbours == 0 {
		settings.Neighbours = DefaultNeighbours
	}
	if settings.Random == nil {
		settings.Random = rand.IntN
	}
	return &State{
		settings: settings, targets: map[sd.TargetID]*target{}, pools: map[sd.GroupName]*pool{},
		evacuated: map[sd.ZoneName]bool{}, removed: map[sd.TargetID][]sd.Instant{}, peers: map[sd.HostID]report{},
	}
}

// Configure sets the pools of a plan.
func (s *State) Configure(pools []sd.Pool) {
	for _, p := range pools {
		s.pool(p.Name).settings = p
	}
}

func (s *State) pool(name sd.GroupName) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{service: float64(guess)}
		s.pools[name] = p
	}
	return p
}

// Evacuate tells whether targets of a zone may get requests.
func (s *State) Evacuate(zone sd.ZoneName, out bool) {
	if out {
		s.evacuated[zone] = true
	} else {
		delete(s.evacuated, zone)
	}
}

// Silent sets the zones that are probably cut off: none of their hosts is heard.
// Their targets get requests only when no other target is in sight.
func (s *State) Silent(zones []sd.ZoneName) { s.silent = zones }

// Register takes what a target says of itself. It reports whether the target is
// another start than the one known.
func (s *State) Register(r sd.TargetRegistration) bool {
	t := s.targets[r.ID]
	fresh := t == nil || t.Incarnation != r.Incarnation || t.Address != r.Address || t.Pool != r.Pool
	if fresh {
		if t != nil {
			s.Remove(r.ID)
		}
		t = &target{rank: rank(s.settings.Host, r.ID), code: gossiper.CodeOf(r.ID)}
		t.ID, t.sent = r.ID, s.removed[r.ID]
		delete(s.removed, r.ID)
		t.before = s.before(0, t)
		s.targets[r.ID] = t
		p := s.pool(r.Pool)
		p.members = append(p.members, t)
		slices.SortFunc(p.members, func(a, b *target) int { return cmp.Compare(a.rank, b.rank) })
	}
	t.TargetRegistration = r
	return fresh
}

// Remove forgets a target that is gone.
func (s *State) Remove(id sd.TargetID) {
	t := s.targets[id]
	if t == nil {
		return
	}
	delete(s.targets, id)
	s.removed[id] = t.sent
	p := s.pool(t.Pool)
	p.members = slices.DeleteFunc(p.members, func(m *target) bool { return m == t })
}

// Targets returns the registrations known, in no order.
func (s *State) Targets() []sd.TargetRegistration {
	list := make([]sd.TargetRegistration, 0, len(s.targets))
	for _, t := range s.targets {
		list = append(list, t.TargetRegistration)
	}
	return list
}

// Ask gives the ticket a target, refuses it, or queues it. It reports whether the
// ticket is settled; a queued one is settled by Advance.
func (s *State) Ask(now sd.Instant, k *Ticket) bool {
	s.begin(now)
	if k.Begins && s.crowded(now, k) {
		k.Refused = Crowded
		return true
	}
	if s.grant(now, k) {
		return true
	}
	if k.Refused != "" {
		return true
	}
	k.Wait = s.wait(now, k)
	patience := goOnWait
	if k.Begins {
		patience = beginWait
	}
	if k.Wait > patience || now.Add(k.Wait) > k.Latest {
		k.Refused = TooLate
		return true
	}
	k.Latest = min(k.Latest, now.Add(2*patience))
	k.number = s.next
	s.next++
	k.queued = true
	s.queue = append(s.queue, k)
	return false
}

// Advance settles the queued tickets that may be sent or come too late, and
// returns them.
func (s *State) Advance(now sd.Instant) []*Ticket {
	if len(s.queue) == 0 {
		return nil
	}
	slices.SortFunc(s.queue, func(a, b *Ticket) int { return order(now, a, b) })
	var settled []*Ticket
	full := map[sd.GroupName]bool{}
	s.queue = slices.DeleteFunc(s.queue, func(k *Ticket) bool {
		if now > k.Latest {
			k.Refused = TooLate
		} else if full[k.Pool] || !s.grant(now, k) {
			full[k.Pool] = k.Refused == ""
		}
		if k.Target == "" && k.Refused == "" {
			return false
		}
		settled = append(settled, k)
		return true
	})
	return settled
}

// order compares waiting requests: by tier; programs that can be on time before
// those that cannot; programs under way before new ones, as what was spent on a
// program counts only if it ends; then the one that is due first.
func order(now sd.Instant, a, b *Ticket) int {
	return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(late(now, a), late(now, b)),
		cmp.Compare(begins(a), begins(b)), cmp.Compare(a.Due, b.Due), cmp.Compare(a.number, b.number))
}

func begins(k *Ticket) int {
	if k.Begins {
		return 1
	}
	return 0
}

// late sorts programs that can no longer be on time behind those that can.
func late(now sd.Instant, k *Ticket) int {
	if k.Due == 0 || now > k.Due {
		return 1
	}
	return 0
}

// Leave takes a ticket out of the queue, whose caller has gone.
func (s *State) Leave(k *Ticket) {
	s.queue = slices.DeleteFunc(s.queue, func(q *Ticket) bool { return q == k })
}

// Queued returns the number of waiting tickets.
func (s *State) Queued() int { return len(s.queue) }

// wait estimates how long a ticket would wait behind those before it.
func (s *State) wait(now sd.Instant, k *Ticket) sd.Millis {
	p := s.pool(k.Pool)
	ahead, slots := 1, 0
	for _, q := range s.queue {
		if q.Pool == k.Pool && order(now, q, k) < 0 {
			ahead++
		}
	}
	for _, t := range p.members {
		slots += int(t.Slots)
	}
	share := max(float64(slots)/float64(max(s.hosts, 1)), 1)
	return sd.Millis(p.service * float64(ahead) / share)
}

// grant gives the ticket a target if one has room; it refuses the ticket if no
// target is in sight.
func (s *State) grant(now sd.Instant, k *Ticket) bool {
	p := s.pool(k.Pool)
	var near, zone, far, dark []*target
	usable, lit := 0, 0
	for _, t := range p.members {
		if t.Leaving || s.evacuated[t.Zone] || slices.Contains(k.Avoid, t.ID) {
			continue
		}
		usable++
		cut := slices.Contains(s.silent, t.Zone)
		if !cut {
			lit++
		}
		if now < t.rest || !s.room(now, p, t) {
			continue
		}
		if cut {
			dark = append(dark, t)
			continue
		}
		if t.ID == k.Prefer && (k.Prompt >= longPrompt || s.settings.Connected == nil || s.settings.Connected(t.Address)) {
			s.send(now, k, t)
			return true
		}
		switch {
		case t.Zone != s.settings.Zone:
			far = append(far, t)
		case len(near) < s.settings.Neighbours:
			near = append(near, t)
		default:
			zone = append(zone, t)
		}
	}
	if usable == 0 {
		k.Refused = NoTarget
		return false
	}
	for _, list := range [][]*target{near, zone, far} {
		if len(list) > 0 {
			s.send(now, k, s.draw(now, s.connected(now, list)))
			return true
		}
	}
	if lit == 0 && len(dark) > 0 {
		s.send(now, k, s.draw(now, dark))
		return true
	}
	return false
}

// connected returns the targets of the list to which a connection is at hand and
// that are not nearly full; if there are none, the list.
func (s *State) connected(now sd.Instant, list []*target) []*target {
	if s.settings.Connected == nil {
		return list
	}
	var at []*target
	for _, t := range list {
		if s.relative(now, t) < nearlyFull && s.settings.Connected(t.Address) {
			at = append(at, t)
		}
	}
	if len(at) == 0 {
		return list
	}
	return at
}

// draw returns the less loaded of two drawn targets.
func (s *State) draw(now sd.Instant, list []*target) *target {
	first := s.settings.Random(len(list))
	if len(list) == 1 {
		return list[0]
	}
	second := s.settings.Random(len(list) - 1)
	if second >= first {
		second++
	}
	a, b := list[first], list[second]
	if s.relative(now, b) < s.relative(now, a) {
		return b
	}
	return a
}

func (s *State) send(now sd.Instant, k *Ticket, t *target) {
	k.Target, k.Address = t.ID, t.Address
	t.inflight++
	if n := len(t.sent) - t.lately(now); n > 32 {
		t.sent = slices.Delete(t.sent, 0, n)
	}
	t.sent = append(t.sent, now)
}

// Result is how a request ended at its target.
type Result int

// The results.
const (
	// Served: the target answered.
	Served Result = iota
	// Shed: the target refused the request, and did not run it.
	Shed
	// Failed: the connection failed or the answer broke off.
	Failed
	// Unreached: the target could not be connected to.
	Unreached
	// Abandoned: the caller left or the time was up.
	Abandoned
)

// Done tells how a ticket's request ended, after took.
func (s *State) Done(now sd.Instant, k *Ticket, result Result, took sd.Millis) {
	t := s.targets[k.Target]
	if t == nil || t.Address != k.Address {
		return
	}
	t.inflight = max(t.inflight-1, 0)
	switch result {
	case Served:
		p := s.pool(t.Pool)
		p.service += smoothing * (float64(took) - p.service)
		t.failures = 0
	case Unreached:
		t.failures++
		t.rest = now.Add(min(restFirst<<min(t.failures-1, 4), restMost))
	case Shed:
		// A full target frees a slot within one request's time.
		t.rest = now.Add(restFirst / 6)
	case Failed, Abandoned:
	}
}
