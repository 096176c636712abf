package balancer

import (
	"math"
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
)

const (
	// workTimeMemory is the age at which a reported work time counts for 1/e of its deviation
	// from the target's mean. Work times change several times a second, so after half a second
	// 14% of the deviation is left, less than the noise of the learned speeds.
	workTimeMemory = 250 * sd.Millisecond
	// workTimeWeight is the weight of a new work time in a target's mean: a mean over ten
	// reports shows lasting differences, which are 1.0 to 1.3, and little of the changes.
	workTimeWeight = 0.1
	// speedWeight is the weight of a new duration in the learned speed. Targets turn slow by 4 to
	// 8 times; with 0.3 two answers suffice to see that, and durations that vary by half their
	// mean leave a noise of about 20%.
	speedWeight = 0.3
	// speedMemory is the age at which learned slowness and failures count for 1/e. There are no
	// probe requests, so a target that is avoided must look usable again by time alone.
	speedMemory = 5 * sd.Second
	// misfitWeight is the weight of a new duration in the correction of the expected times. It is
	// far below speedWeight, so that one slow target does not make the others look fast.
	misfitWeight = 0.03
	// maxDurationRatio bounds the influence of one long answer on the learned speed.
	maxDurationRatio = 8
	// maxFailing bounds the learned share of failed requests.
	maxFailing = 0.9
	// overdueFactor is the multiple of the mean duration from which a request in flight shows
	// that its target is slow. Answers of ordinary length take less than twice the mean.
	overdueFactor = 2
	// crowdingFactor is how much longer a request takes in a full batch than alone. It orders
	// targets of the same speed by load.
	crowdingFactor = 1
	// homeQueueShare is how many requests may queue at the home of a program, as a share of the
	// target's slots.
	homeQueueShare = 0.5
	// toleratedTime is the multiple of the pool's typical time up to which a request goes to the
	// target that rendezvous order or the connection suggests. It exceeds the noise of learned
	// speeds, so that programs do not move back and forth.
	toleratedTime = 1.5
)

// speed is what is known of how fast a target is.
type speed struct {
	// workTime is the last work time that the target reported, as a multiple of the usual time,
	// and meanWorkTime the moving average. Both are zero if it has reported none.
	workTime, meanWorkTime float64
	workTimeAt             sd.Instant
	// slowness is the logarithm of the learned ratio of the durations of the target's answers to
	// the pool's, beyond what the work times explain.
	slowness   float64
	slownessAt sd.Instant
	// failing is the learned share of failed requests.
	failing   float64
	failingAt sd.Instant
}

// decayed returns a value that falls with age as exp(-age/memory).
func decayed(value float64, age, memory sd.Millis) float64 {
	return value * math.Exp(-float64(max(age, 0))/float64(memory))
}

// reported returns the multiple of the usual time that work takes at present according to the
// reported work times: the last one if it is fresh, the mean if it is old.
func (v *speed) reported(now sd.Instant) float64 {
	if v.workTime == 0 {
		return 1
	}
	return v.meanWorkTime + decayed(v.workTime-v.meanWorkTime, now.Since(v.workTimeAt), workTimeMemory)
}

// factor returns the multiple of the pool's mean duration that a request takes at present.
func (v *speed) factor(now sd.Instant) float64 {
	learned := math.Exp(decayed(v.slowness, now.Since(v.slownessAt), speedMemory))
	return v.reported(now) * learned / (1 - decayed(v.failing, now.Since(v.failingAt), speedMemory))
}

// report records a work time.
func (v *speed) report(now sd.Instant, workTime float64) {
	if v.meanWorkTime == 0 {
		v.meanWorkTime = workTime
	}
	v.meanWorkTime += workTimeWeight * (workTime - v.meanWorkTime)
	v.workTime, v.workTimeAt = workTime, now
}

// learn records the ratio of a request's duration to the one expected at a target of factor 1.
func (v *speed) learn(now sd.Instant, ratio float64) {
	ratio = min(max(ratio/v.reported(now), 1.0/maxDurationRatio), maxDurationRatio)
	old := decayed(v.slowness, now.Since(v.slownessAt), speedMemory)
	v.slowness, v.slownessAt = old+speedWeight*(math.Log(ratio)-old), now
}

// learnFailure records whether a request failed.
func (v *speed) learnFailure(now sd.Instant, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	old := decayed(v.failing, now.Since(v.failingAt), speedMemory)
	v.failing, v.failingAt = min(old+speedWeight*(value-old), maxFailing), now
}

// ConfigureRules records which pools serve turns that are not kept: those with streaming rules of
// which none retains turns.
func (s *State) ConfigureRules(rules []sd.RoutingRule) {
	for _, p := range s.pools {
		p.keepsTurns = true
	}
	retained := map[sd.GroupName]bool{}
	for _, r := range rules {
		for _, share := range r.PoolShares {
			if r.Streaming {
				retained[share.Pool] = retained[share.Pool] || r.RetainTurns
			}
		}
	}
	for name, keeps := range retained {
		s.pool(name).keepsTurns = keeps
	}
}

// ReportWorkTime records how long work takes at a target at present, in hundredths of the usual
// time.
func (s *State) ReportWorkTime(now sd.Instant, id sd.TargetID, hundredths float64) {
	t := s.targets[id]
	if t == nil || hundredths <= 0 {
		return
	}
	t.speed.report(now, hundredths/100)
	t.ownWorkTime, t.ownWorkTimeAt = hundredths, now
	s.pool(t.Pool).reportsWorkTime = true
}

// forecasts reports whether targets of a pool are chosen by expected time: those of engines whose
// targets report their work time or whose turns are not kept. For other pools the load alone
// decides.
func (p *pool) forecasts() bool {
	return p.settings.CacheCapacity > 0 && (p.reportsWorkTime || !p.keepsTurns)
}

// expectedTime estimates how long a request that goes to a target now takes there, given the
// target's load: its time in the batch, the wait for a slot if all are taken, and the time to read
// its prompt and those before it. The time that its neighbours lose while its prompt is read counts
// as well: prompts are read between the tokens of the others.
func (s *State) expectedTime(now sd.Instant, p *pool, t *target) float64 {
	factor := t.speed.factor(now)
	for _, req := range t.running {
		factor = max(factor, float64(now.Since(req.sentAt))/(overdueFactor*p.usualTime(req)))
	}
	t.lastFactor = factor
	slots := float64(max(t.Slots, 1))
	ahead := t.lastLoad
	batch := 1 + crowdingFactor*min(ahead/slots, 1)
	wait := max(ahead-slots+1, 0) / slots * (1 + crowdingFactor)
	// The mean duration was measured on targets that were half full on average.
	running := p.serviceTime * factor * (batch + wait) / (1 + crowdingFactor/2.0)
	neighbours := min(ahead, slots)
	return running + factor*(t.lastBacklog+float64(t.lastUnread)*(1+neighbours))/p.reading.rate()
}

// prepare records that a target is looked for.
func (s *State) prepare(now sd.Instant, p *pool, req *Request) {
	if req.firstTried == 0 {
		req.firstTried = now
	}
	req.Choice.HeldBy, req.Choice.HeldFor, req.waitsAtHome = "", now.Since(req.firstTried), false
	p.reading.seeObjective(now, req.Objective)
	s.estimateOthers(now, p)
}

// mayTake reports whether a target can take a request now. The program's home may take some more
// than it has slots: to wait there can be shorter than to read the prompt elsewhere, which
// chooseByTime weighs.
func (s *State) mayTake(now sd.Instant, p *pool, t *target, req *Request, home *target, heard int) bool {
	t.lastLoad = float64(t.inflight) + t.others.requests
	slots := float64(t.Slots)
	if t == home {
		slots += homeQueueShare * slots
	}
	if t.lastLoad+0.5 >= slots {
		if t == home && s.worthWaiting(now, p, t, req, heldBackShare) {
			req.Choice.HeldBy, req.waitsAtHome = HeldBySlots, true
		}
		return false
	}
	return s.withinColdLimit(now, p, t, heard) && s.admitsPrompt(now, p, t, req, home)
}

// forecast sets the expected time of each candidate and returns the typical one: the mean over
// all candidates. It is zero if there are none.
func (s *State) forecast(now sd.Instant, p *pool, req *Request, lists ...[]*target) float64 {
	sum, n := 0.0, 0
	for _, list := range lists {
		for _, t := range list {
			t.expected, t.seenFor = s.expectedTime(now, p, t), req
			sum += t.expected
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// tolerable returns the targets of a list that are not much slower than the typical one.
func tolerable(list []*target, typical float64) []*target {
	return slices.DeleteFunc(slices.Clone(list), func(t *target) bool { return t.expected > toleratedTime*typical })
}

// chooseByTime chooses among the targets that have room. The one that probably holds the prompt
// is taken unless another would probably end the request sooner even though it has to read the
// prompt. Targets that are too slow are passed over. The first of the others in the program's
// rendezvous order is taken, or without a program the better of two random ones, own zone first:
// if all hosts took the best one, they would overload it together.
func (s *State) chooseByTime(now sd.Instant, p *pool, req *Request, preferred, home *target, subset, sameZone, otherZones []*target) *target {
	typical := s.forecast(now, p, req, subset, sameZone, otherZones)
	t := s.chooseTolerable(now, req, typical, preferred, subset, sameZone, otherZones)
	if t != nil {
		s.describe(now, t, home, req, typical)
	}
	return t
}

func (s *State) chooseTolerable(now sd.Instant, req *Request, typical float64, preferred *target, subset, sameZone, otherZones []*target) *target {
	limit := toleratedTime * typical
	if preferred != nil && preferred.expected <= limit {
		return preferred
	}
	if req.Affinity != 0 {
		if t := highestRanked(req.Affinity, homeLists(req, subset, sameZone, otherZones)...); t != nil && t.expected <= limit {
			return t
		}
	}
	subset, sameZone, otherZones = tolerable(subset, typical), tolerable(sameZone, typical), tolerable(otherZones, typical)
	if req.Affinity != 0 {
		if t := highestRanked(req.Affinity, homeLists(req, subset, sameZone, otherZones)...); t != nil {
			return t
		}
	}
	for _, list := range [][]*target{subset, sameZone, otherZones} {
		if len(list) > 0 {
			return s.pickSooner(s.preferConnected(now, list))
		}
	}
	return nil
}

// homeLists returns the lists in which a program's home may be.
func homeLists(req *Request, subset, sameZone, otherZones []*target) [][]*target {
	if leavesZone(req) {
		return [][]*target{subset, sameZone, otherZones}
	}
	return [][]*target{subset, sameZone}
}

// pickSooner returns the one of two randomly chosen targets that is expected to end a request sooner.
func (s *State) pickSooner(list []*target) *target {
	a, b := s.pickTwo(list)
	if b.expected < a.expected {
		return b
	}
	return a
}

// usualTime returns how long a request that was sent takes at a target of factor 1: what was
// expected, corrected by how long requests of the pool took in comparison.
func (p *pool) usualTime(req *Request) float64 {
	if req.modelled == 0 {
		return p.serviceTime
	}
	return req.modelled * math.Exp(p.misfit)
}

// learn records the outcome and duration of a request for the speed of its target.
func (s *State) learn(now sd.Instant, p *pool, t *target, req *Request, result Result, took sd.Millis) {
	ratio := float64(max(took, 1)) / p.usualTime(req)
	switch result {
	case Served:
		t.speed.learn(now, ratio)
		t.speed.learnFailure(now, false)
		if req.modelled > 0 {
			bounded := min(max(ratio, 1.0/maxDurationRatio), maxDurationRatio)
			p.misfit += misfitWeight * math.Log(bounded/t.speed.reported(now))
		}
	case Failed:
		t.speed.learnFailure(now, true)
	case Abandoned:
		// The request would have taken longer.
		if ratio > overdueFactor {
			t.speed.learn(now, ratio)
		}
	case Rejected, ConnectFailed:
	}
}
