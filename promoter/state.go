package promoter

import (
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
)

// Stage is the stage of a rollout. Stages only rise.
type Stage byte

// The stages.
const (
	// None: the stage is not known.
	None Stage = iota
	// Watch: the new version gets its share, and is compared with the old one.
	Watch
	// Move: all new requests go to the new version.
	Move
	// Done: nothing runs on the old version any more.
	Done
	// Back: the new version gets nothing.
	Back
)

var stageNames = [...]string{"none", "watch", "move", "done", "back"}

// String implements fmt.Stringer.
func (s Stage) String() string { return stageNames[min(int(s), len(stageNames)-1)] }

// MarshalText implements encoding.TextMarshaler.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Stages of later builds are None.
func (s *Stage) UnmarshalText(text []byte) error {
	*s = Stage(max(slices.Index(stageNames[:], string(text)), 0))
	return nil
}

// Decision is the row of a pool in the table of rollouts.
type Decision struct {
	// Order is the version of the order's row.
	Order uint64     `json:"order"`
	To    sd.Version `json:"to"`
	// From lists the old versions that were registered as the stage was reached. If there were none
	// as the order was given, the version is the present one, and nothing is held back.
	From []sd.Version `json:"from"`
	// Barred lists the versions of earlier orders that were not completed.
	Barred []sd.Version `json:"barred,omitempty"`
	Stage  Stage        `json:"stage"`
	// Began is when the order was first seen, for hosts that start later.
	Began sd.WallTime `json:"began"`
	// Reason tells operators why the stage was reached.
	Reason string `json:"reason"`
}

// Report is what a host tells the others of a rollout.
type Report struct {
	// Order is the version of the order's row, Stage the one that the host follows.
	Order uint64
	Stage Stage
	// Age is the time since the order.
	Age sd.Millis
	// OldInflight is the number of the host's requests that run on the old version.
	OldInflight uint64
	// Routes are the host's counts since it learned of the order.
	Routes map[RouteID]RouteCount
	// Targets are those of single targets of the new version.
	Targets map[TargetCode]Count
}

// Mode tells which targets get new requests.
type Mode byte

// The modes.
const (
	// Ordinary targets are used whatever their version.
	Ordinary Mode = iota
	// Shared: the new version gets Share of this host's requests.
	Shared
	// OldOnly: the new version gets nothing.
	OldOnly
	// OldFirst: the new version gets nothing while other targets are registered.
	OldFirst
	// NewFirst: the old versions get nothing while targets of the new one are registered.
	NewFirst
)

// Split tells a host which of a pool's targets get its requests.
type Split struct {
	Mode  Mode
	Order uint64
	To    sd.Version
	// From lists the old versions if they are not all others.
	From []sd.Version
	// Barred versions get nothing while targets of others are registered.
	Barred []sd.Version
	// Share is the part of this host's requests since the order that the new version may get,
	// and Extra a number of requests beyond it.
	Share, Extra float64
}

// New reports whether a version is the one to move to.
func (s *Split) New(v sd.Version) bool { return v == s.To }

// Old reports whether a version is one to move away from.
func (s *Split) Old(v sd.Version) bool {
	return v != s.To && (len(s.From) == 0 || slices.Contains(s.From, v))
}

// Settings are the bounds of a deployment.
type Settings struct {
	Host sd.HostID
	// Share and Slack bound the requests of an unproven version.
	Share sd.Share
	Slack float64
	// Rollback is the time after its 50th bad answer in which a bad version must get no more
	// requests.
	Rollback sd.Millis
}

// View is what a host sees as it decides.
type View struct {
	Now  sd.Instant
	Wall sd.WallTime
	// Own are this host's counts for the order; Own.Order is another one if it has none yet.
	Own Report
	// Hosts is the number of known hosts, zero while it is not known; Alive lists those heard.
	Hosts int
	Alive []sd.HostID
	// StoreAway is set while no host in reach reaches the store.
	StoreAway bool
	// Versions counts the registered targets that do not leave, by version.
	Versions map[sd.Version]int
	// Timeout is the longest timeout of the rules that lead to the pool.
	Timeout sd.Millis
	// Interval is that of heartbeats, Silence how long a host may be silent before it counts as
	// unreachable.
	Interval, Silence sd.Millis
}

// Output is what a host has to do.
type Output struct {
	Split Split
	// Write is the decision to write, if its row still has the version Expect; nil if none is due.
	Write  *Decision
	Expect uint64
	// State is to be written to the row of the rollout's state, if that has the version
	// StateExpect; empty if none is due.
	State       sd.RolloutState
	StateExpect uint64
	To          sd.Version
	Stage       Stage
	Verdict     Verdict
	// Undrained is the number of requests and silent hosts that keep the rollout from Done.
	Undrained int
	// Counts are those of all hosts since the order. Reports is the number of hosts with a report
	// on it, OldestReport the age of the oldest.
	Counts       RouteCount
	Reports      int
	OldestReport sd.Millis
}

const (
	// usedShare is the part of the share that hosts use: a request may be counted by a host and
	// not reach the service.
	usedShare = 0.8
	// leastShare is the part of the share that is used in rollouts too short to hold the bound if
	// the version turns bad after all traffic has moved. With a half, 1 in 400 versions that fail 8% of
	// their requests was moved in a rollout of 24 s (case 3 of TestModelOfRollouts), with this none.
	leastShare = 0.65
	// usedSlack is the part of the slack that the hosts of one order use. The rest is for hosts
	// that start in the middle, changed orders and answers after the decision to roll back.
	usedSlack = 0.25
	// tick is the least time between two looks at the counts: two of them must pass before the
	// evidence is enough, and the bound for rolling back allows for several.
	tick = 400 * sd.Millisecond
	// ticksPerRollback is the least number of ticks within the time for rolling back.
	ticksPerRollback = 8
	// writeTime is how long before the time limit the last row is written: a late write takes up
	// to 6 s, of which the store's troubles without late writes take under 4.
	writeTime = 4 * sd.Second
	// followTime is how long a row takes to reach the hosts that watch it: the longest wait of a
	// watch.
	followTime = 1300 * sd.Millisecond
	// earliestMove is the part of the duration for which a version is watched at least.
	earliestMove = 0.5
	// leastAnswers is the number of answers without which a version is not promoted before the
	// time limit, unless the service has fewer requests.
	leastAnswers = 20
	// afterTime is how long old targets of a completed rollout, and new ones of an order that was
	// withdrawn, are kept from requests: longer than their registrations last.
	afterTime = 30 * sd.Second
	// reportTTL is how many intervals a host's report counts as its present state.
	reportTTL = 4
)

type peer struct {
	report  Report
	heardAt sd.Instant
	// seen are the counts that the evidence has taken.
	seen Growth
	// own is set for this host itself.
	own bool
}

// State is a host's view of one pool's rollout. It is not safe for concurrent use.
type State struct {
	settings Settings
	order    *sd.RolloutOrder
	// since is when the order was given, as far as this host knows.
	since sd.Instant
	// live is set if the host saw the order being given.
	live bool
	// withdrawn is an unfinished order that was removed, until an instant.
	withdrawn      sd.RolloutOrder
	withdrawnUntil sd.Instant
	withdrawnMode  Mode

	row        Decision
	rowVersion uint64
	rowKnown   bool
	// stageAt is when the present stage was first seen.
	stage   Stage
	stageAt sd.Instant
	reason  string

	state        sd.RolloutState
	stateTo      sd.Version
	stateVersion uint64

	peers    map[sd.HostID]*peer
	evidence Evidence
	judgedAt sd.Instant
	verdict  Verdict
	away     bool
}

// New returns a State without an order.
func New(settings Settings) *State {
	return &State{settings: settings, peers: map[sd.HostID]*peer{}}
}

// Order returns the present order, or nil.
func (s *State) Order() *sd.RolloutOrder { return s.order }

// SetOrder takes the order's row; nil if there is none. Live tells that the row was written just
// now, otherwise it was there as the host started.
func (s *State) SetOrder(now sd.Instant, order *sd.RolloutOrder, live bool) {
	if order != nil && s.order != nil && order.Row <= s.order.Row {
		return
	}
	if s.order != nil && (order == nil || order.To != s.order.To) && s.stage != Done {
		// The targets may still be registered.
		s.withdrawn, s.withdrawnMode = *s.order, OldFirst
		s.withdrawnUntil = max(s.since.Add(s.order.Duration), now.Add(afterTime))
		if s.stage == Back {
			s.withdrawnMode = OldOnly
		}
	}
	s.order, s.since, s.live = order, now, live
	s.stage, s.stageAt, s.reason = None, now, ""
	s.evidence, s.verdict, s.judgedAt = Evidence{}, Verdict{}, now
	for _, p := range s.peers {
		p.seen = Growth{}
	}
	s.follow(now)
}

// SetDecision takes the pool's row in the table of rollouts; version 0 means that there is none.
func (s *State) SetDecision(now sd.Instant, row Decision, version uint64) {
	if s.rowKnown && version != 0 && version <= s.rowVersion {
		return
	}
	s.row, s.rowVersion, s.rowKnown = row, version, true
	s.follow(now)
}

// SetState takes the row of the rollout's state.
func (s *State) SetState(state sd.RolloutState, to sd.Version, version uint64) {
	s.state, s.stateTo, s.stateVersion = state, to, version
}

// follow takes over the stage of the row. Back is not left but for Done, after which nothing else
// can serve the requests.
func (s *State) follow(now sd.Instant) {
	if s.order == nil || !s.rowKnown || s.row.Order != s.order.Row {
		return
	}
	s.raise(now, s.row.Stage, s.row.Reason)
}

func (s *State) raise(now sd.Instant, to Stage, reason string) {
	if to == s.stage || s.stage == Done || (to < s.stage && !(s.stage == Back && to == Done)) {
		return
	}
	s.stage, s.stageAt, s.reason = to, now, reason
}

// Hear takes another host's report.
func (s *State) Hear(now sd.Instant, host sd.HostID, r Report) {
	p := s.peers[host]
	if p == nil {
		p = &peer{}
		s.peers[host] = p
	}
	p.report, p.heardAt = r, now
	if s.order == nil || r.Order != s.order.Row {
		return
	}
	switch r.Stage {
	case Back:
		// Final for the order, before its row is written.
		s.raise(now, Back, "reported by "+string(host))
	case Move:
		s.raise(now, Move, "reported by "+string(host))
	case None, Watch, Done:
	}
}

// RemoveHost forgets a host that is gone.
func (s *State) RemoveHost(host sd.HostID) { delete(s.peers, host) }

// Age returns the time since the order.
func (s *State) Age(now sd.Instant) sd.Millis { return now.Since(s.since) }

// Stage returns the stage that this host follows.
func (s *State) Stage() Stage { return s.stage }

// Settled reports whether the rollout has ended for long enough that all hosts have read its row.
func (s *State) Settled(now sd.Instant) bool {
	return (s.stage == Done || s.stage == Back) && now.Since(s.stageAt) >= afterTime
}

// Reason tells why the stage was reached.
func (s *State) Reason() string { return s.reason }

// Decide returns what the host has to do now.
func (s *State) Decide(v View) Output {
	if s.order == nil {
		return Output{Split: s.afterwards(v)}
	}
	if !s.live {
		s.date(v)
	}
	s.look(v)
	out := Output{To: s.order.To, Expect: s.rowVersion, StateExpect: s.stateVersion, Verdict: s.verdict, Counts: s.sum()}
	for _, p := range s.peers {
		if p.report.Order == s.order.Row {
			out.Reports++
			out.OldestReport = max(out.OldestReport, v.Now.Since(p.heardAt))
		}
	}
	if s.rowKnown && !v.StoreAway {
		s.decide(v, &out)
	}
	out.Stage, out.Split = s.stage, s.split(v)
	return out
}

// date sets the age of an order that was there as this host started: the least that another host
// reports, as a wrong clock must not end the watch early, otherwise that of the row.
func (s *State) date(v View) {
	age, known := sd.Millis(0), false
	for _, p := range s.peers {
		if p.report.Order == s.order.Row && p.report.Stage != None && p.heardAt > 0 && !p.own {
			if reported := p.report.Age + v.Now.Since(p.heardAt); !known || reported < age {
				age, known = reported, true
			}
		}
	}
	if !known && s.rowKnown && s.row.Order == s.order.Row && s.row.Began > 0 {
		age, known = sd.Millis(max(v.Wall-s.row.Began, 0)), true
	}
	if known {
		s.since = v.Now.Add(-min(age, s.order.Duration))
	}
}

// look takes the growth of all counts into the evidence.
func (s *State) look(v View) {
	if v.StoreAway != s.away {
		// The count of bad answers starts again when trouble ends.
		if s.away = v.StoreAway; !s.away {
			s.evidence = Evidence{}
		}
	}
	span := v.Now.Since(s.judgedAt)
	if span < min(tick, s.settings.Rollback/ticksPerRollback) {
		return
	}
	s.judgedAt = v.Now
	grown := map[sd.HostID]Growth{}
	take := func(host sd.HostID, p *peer, r Report) {
		if r.Order != s.order.Row {
			return
		}
		g := Growth{map[RouteID]RouteCount{}, map[TargetCode]Count{}}
		for route, c := range r.Routes {
			before := p.seen.Routes[route]
			g.Routes[route] = RouteCount{New: c.New.since(before.New), Old: c.Old.since(before.Old)}
		}
		for target, c := range r.Targets {
			g.Targets[target] = c.since(p.seen.Targets[target])
		}
		p.seen, grown[host] = Growth{r.Routes, r.Targets}, g
	}
	for host, p := range s.peers {
		take(host, p, p.report)
	}
	own := s.peers[s.settings.Host]
	if own == nil {
		own = &peer{own: true}
		s.peers[s.settings.Host] = own
	}
	own.report, own.heardAt = v.Own, v.Now
	take(s.settings.Host, own, v.Own)
	s.evidence.Add(span, grown)
	s.verdict = s.evidence.Judge(v.Hosts, v.Versions[s.order.To])
	if s.verdict.Bad() && (s.stage == Watch || s.stage == Move) && !s.present() {
		reason := "failed answers"
		if s.verdict.Slow {
			reason = "slow answers"
		}
		s.raise(v.Now, Back, reason)
	}
}

// present reports whether the version was the only one as it was ordered, or as all requests moved:
// there is nothing to go back to.
func (s *State) present() bool {
	return s.row.Order == s.order.Row && (s.row.Stage == Watch || s.row.Stage == Move) && len(s.row.From) == 0
}

// barred returns the versions of earlier orders that were not completed.
func (s *State) barred(now sd.Instant) []sd.Version {
	var list []sd.Version
	if s.rowKnown && s.rowVersion != 0 {
		list = slices.Clone(s.row.Barred)
		if s.row.Order != s.order.Row && s.row.Stage != Done {
			list = append(list, s.row.To)
		}
	}
	if now < s.withdrawnUntil {
		list = append(list, s.withdrawn.To)
	}
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(v sd.Version) bool { return v == s.order.To })
}

// decide determines the row to write.
func (s *State) decide(v View, out *Output) {
	current := s.row.Order == s.order.Row && s.rowVersion != 0
	write := func(stage Stage, reason string) {
		began := s.row.Began
		if !current || began == 0 {
			began = v.Wall - sd.WallTime(s.Age(v.Now))
		}
		out.Write = &Decision{Order: s.order.Row, To: s.order.To, From: s.oldVersions(v), Barred: s.barred(v.Now), Stage: stage, Began: began, Reason: reason}
		if current && s.present() {
			out.Write.From = nil
		}
	}
	switch {
	case s.row.Order > s.order.Row:
		// A newer order, which this host has not read yet, has a decision.
		return
	case !current:
		if len(v.Versions) > 0 {
			write(Watch, "ordered")
		}
		return
	case s.row.Stage == Watch && s.stage == Back, s.row.Stage == Move && s.stage == Back:
		write(Back, s.reason)
		return
	case s.row.Stage == Watch && s.moveDue(v):
		if s.verdict.Doubt && !s.present() {
			write(Back, "in doubt at the time limit")
			return
		}
		write(Move, "no evidence against it")
		return
	case s.row.Stage == Move:
		out.Undrained = s.undrained(v)
		if s.doneDue(v, out.Undrained) {
			write(Done, "moved")
			return
		}
	}
	wanted := sd.RolloutRunning
	switch s.row.Stage {
	case Done:
		wanted = sd.RolloutCompleted
	case Back:
		wanted = sd.RolloutRolledBack
	case None, Watch, Move:
	}
	if s.state != wanted || s.stateTo != s.order.To {
		out.State = wanted
	}
}

// oldVersions lists the registered versions other than the new one.
func (s *State) oldVersions(v View) []sd.Version {
	var list []sd.Version
	for version, n := range v.Versions {
		if version != s.order.To && n > 0 {
			list = append(list, version)
		}
	}
	slices.Sort(list)
	return list
}

// doneAt is the age of the order at which Done is written: late, as a version may turn bad late
// and the old targets are gone afterwards.
func (s *State) doneAt(v View) sd.Millis {
	return s.order.Duration - min(writeTime+2*v.Interval, s.order.Duration/4)
}

// tail is the time that moving takes: hosts learn of it, and the requests that run on the old
// version end.
func (s *State) tail(v View) sd.Millis {
	return followTime + v.Silence + v.Timeout
}

// moveAt is the age of the order at which all requests move.
func (s *State) moveAt(v View) sd.Millis {
	return max(s.doneAt(v)-s.tail(v), sd.Millis(earliestMove*float64(s.order.Duration)))
}

func (s *State) moveDue(v View) bool {
	if s.Age(v.Now) < s.moveAt(v) || v.Versions[s.order.To] == 0 {
		return false
	}
	if s.Age(v.Now) >= s.order.Duration || s.present() {
		return true
	}
	// Without evidence the bound on exposure takes precedence, unless there are hardly any requests.
	sum := s.sum()
	all := float64(sum.New.Answers + sum.Old.Answers)
	if enough := min(leastAnswers, leastShare*float64(s.settings.Share)*all); float64(sum.New.Answers) < enough {
		return false
	}
	return !s.verdict.Doubt || s.Age(v.Now) >= s.doneAt(v)
}

// sum returns the counts of all hosts since the order.
func (s *State) sum() (sum RouteCount) {
	for _, p := range s.peers {
		if p.report.Order == s.order.Row {
			for _, c := range p.report.Routes {
				sum.New.add(c.New)
				sum.Old.add(c.Old)
			}
		}
	}
	return sum
}

// undrained returns the number of requests that may run on the old version, where a host that has
// not told that it follows the move counts as one.
func (s *State) undrained(v View) int {
	n := int(v.Own.OldInflight)
	if v.Own.Order != s.order.Row || v.Own.Stage < Move {
		n++
	}
	for _, host := range v.Alive {
		p := s.peers[host]
		if p == nil || v.Now.Since(p.heardAt) > max(v.Silence, reportTTL*v.Interval) || p.report.Order != s.order.Row || p.report.Stage < Move {
			n++
			continue
		}
		n += int(p.report.OldInflight)
	}
	return n + max(v.Hosts-1-len(v.Alive), 0)
}

// doneDue reports whether nothing can run on the old version any more and the version has been
// watched for long enough. Hosts that do not report are waited for until their requests must have
// ended.
func (s *State) doneDue(v View, undrained int) bool {
	if s.stage != Move || s.Age(v.Now) < s.doneAt(v) || s.verdict.Doubt && !s.present() && s.Age(v.Now) < s.order.Duration {
		return false
	}
	return undrained == 0 || v.Now.Since(s.stageAt) >= s.tail(v)+2*v.Interval
}

// share returns the part of its requests that a host may send to the new version. The requests
// after the move count as well if the version turns bad then, and are set aside as far as the
// duration allows.
func (s *State) share(v View) float64 {
	bound, all := float64(s.settings.Share), float64(s.order.Duration)
	moved := min(all-float64(s.moveAt(v)), 0.9*all)
	return min(max((bound*all-moved)/(all-moved), leastShare*bound), usedShare*bound)
}

// split returns which targets get this host's requests.
func (s *State) split(v View) Split {
	split := Split{Order: s.order.Row, To: s.order.To, Barred: s.barred(v.Now)}
	switch s.stage {
	case None:
		// What the others have decided is not known.
		split.Mode = OldFirst
	case Watch:
		if s.present() {
			break
		}
		split.Mode, split.Share = Shared, s.share(v)
		if v.Hosts > 0 {
			split.Extra = usedSlack * s.settings.Slack / float64(v.Hosts)
		}
	case Move:
		split.Mode = NewFirst
	case Done:
		if v.Now.Since(s.stageAt) >= afterTime {
			split.Barred = nil
		} else if split.From = s.row.From; len(split.From) > 0 {
			split.Mode = NewFirst
		}
	case Back:
		split.Mode = OldOnly
	}
	return split
}

// afterwards returns the split after an order was withdrawn.
func (s *State) afterwards(v View) Split {
	if v.Now >= s.withdrawnUntil {
		return Split{}
	}
	return Split{Mode: s.withdrawnMode, Order: s.withdrawn.Row, To: s.withdrawn.To}
}
