package balancer

import (
	"math"
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

const (
	// initialReadingRate is the expected number of prompt tokens that an engine reads in a
	// millisecond until it has been learned, and minReadingRate and maxReadingRate bound what is
	// learned: engines read 77 to 140, and times to the first event contain other delays.
	initialReadingRate = 100
	minReadingRate     = 50
	maxReadingRate     = 200
	// minLearnedTokens is the smallest unread prompt from which the reading rate is learned. A
	// shorter one is read in less than the other delays before the first event take.
	minLearnedTokens = 1000
	// readingDecay is the weight of the earlier samples of reading at each new one.
	readingDecay = 0.95
	// initialHomeUnread is the expected unread share of a prompt at its program's home until it
	// has been learned.
	initialHomeUnread = 0.5
	// readingShare is the share of the latency objective in which the unread tokens at a target
	// should be read. The rest is for the reservation, the network and the first tokens.
	readingShare = 0.75
	// longPromptShare is the share of a target's unread tokens from which a prompt counts as long.
	// Long prompts leave the same share free for short ones.
	longPromptShare = 0.25
	// heldBackShare is the share of the latency objective after which a request is no longer held
	// back for the unread tokens at the targets or the slots of its home, so that none starves.
	heldBackShare = 0.25
	// emptyShare is the share of its memory up to which a target counts as empty: what other
	// hosts may have there is never known to be nothing.
	emptyShare = 0.1
	// maxHeldTries is how many requests of a pool are tried at a time while targets with free
	// slots hold some back.
	maxHeldTries = 8
	// minSharedPrompt is the prompt from which a program has one home for all zones. Shorter ones are
	// read in less than the time that a request to another zone loses, some milliseconds.
	minSharedPrompt = 500
	// homeWaitShare is the share of the latency objective for which a request waits for memory at
	// its home before it is read elsewhere. Requests that leave full homes fill other targets, whose
	// own programs then leave as well.
	homeWaitShare = 0.5
	// urgencyMemory is how long the objective of a kind of request counts after the last one. Each
	// host sees a few requests of an active kind in that time.
	urgencyMemory = 2 * sd.Second
	// minUnreadTokens is what is read of a prompt at least: what the turn itself adds.
	minUnreadTokens = 16
	// maxKeptPrompts limits each generation of prompts known to be kept by a target. An engine
	// keeps some ten prompts beside those that it runs.
	maxKeptPrompts = 128
	// estimateTTL is how long an estimate of the other hosts' requests is used.
	estimateTTL = 5 * sd.Millisecond
	// workTimeTTL is how old a work time may be to be told to other hosts, see workTimeMemory.
	workTimeTTL = 2 * workTimeMemory
)

// PromptPart is a part of a prompt that prompts of other programs may share.
type PromptPart struct {
	ID     uint64
	Tokens sd.Tokens
}

// origin tells where the estimate of a request's unread tokens comes from.
type origin int

const (
	// readElsewhere: the target is not known to hold any of the prompt.
	readElsewhere origin = iota
	// readHere: this host has sent an earlier turn or a shared part to the target.
	readHere
	// readAtHome: all hosts prefer the target for the program.
	readAtHome
)

// keptPrompts are the prompts that this host knows a target to have read, by key. When the
// current generation is full, the previous one is dropped.
type keptPrompts struct {
	current, previous map[uint64]keptPrompt
}

type keptPrompt struct {
	tokens sd.Tokens
	at     sd.Instant
}

func (k *keptPrompts) record(now sd.Instant, key uint64, tokens sd.Tokens) {
	if k.current == nil || len(k.current) >= maxKeptPrompts {
		k.current, k.previous = map[uint64]keptPrompt{}, k.current
	}
	k.current[key] = keptPrompt{tokens, now}
}

// since returns the tokens of a prompt that was read not before an instant.
func (k *keptPrompts) since(oldest sd.Instant, key uint64) sd.Tokens {
	kept, known := k.current[key]
	if !known {
		kept = k.previous[key]
	}
	if kept.at < oldest {
		return 0
	}
	return kept.tokens
}

// reading is what is known of how a pool's engines read prompts. The sums decay with each sample.
type reading struct {
	// tokens were read in millis, scaled to a target of factor 1.
	tokens, millis float64
	// homeUnread tokens of homePrompt were read at the homes of programs.
	homeUnread, homePrompt float64
	// meanUnread and meanTokens are the moving averages of the unread tokens and of the tokens
	// that a request may come to hold.
	meanUnread, meanTokens float64
	// urgent holds when a request of each latency objective was last seen.
	urgent map[sd.Millis]sd.Instant
}

// rate returns the number of prompt tokens that an engine of average speed reads in a millisecond.
func (r *reading) rate() float64 {
	if r.millis == 0 {
		return initialReadingRate
	}
	return min(max(r.tokens/r.millis, minReadingRate), maxReadingRate)
}

// homeShare returns the share of a prompt that is unread at the home of a program of which this
// host has sent no turn there.
func (r *reading) homeShare() float64 {
	if r.homePrompt == 0 {
		return initialHomeUnread
	}
	return r.homeUnread / r.homePrompt
}

// seeObjective records the latency objective of a request.
func (r *reading) seeObjective(now sd.Instant, objective sd.Millis) {
	if objective == 0 {
		return
	}
	if r.urgent == nil {
		r.urgent = map[sd.Millis]sd.Instant{}
	}
	r.urgent[objective] = now
	for each, at := range r.urgent {
		if now.Since(at) > urgencyMemory {
			delete(r.urgent, each)
		}
	}
}

// mostUrgent returns the shortest latency objective seen lately, or zero.
func (r *reading) mostUrgent() sd.Millis {
	shortest := sd.Millis(0)
	for objective := range r.urgent {
		if shortest == 0 || objective < shortest {
			shortest = objective
		}
	}
	return shortest
}

// tokensOf returns the tokens that a request may come to hold at its target.
func tokensOf(req *Request) sd.Tokens { return req.Prompt + req.Longest }

// others is what is estimated of the other hosts' requests at a target: how many there are, the
// prompt tokens that are not read yet, and the tokens that the requests may come to hold.
type others struct {
	requests, unread, held float64
}

// estimateOthers estimates the other hosts' requests at all targets of a pool. Reports are kept for
// estimateTTL unless new ones come. A request lasts about as long as it takes for a report to
// arrive, so a part of the reported requests that grows with the report's age has ended by now,
// and others have come that may be at any target. That part is spread over all targets by their
// slots. Unread tokens fall by what the target has read since the report. For hosts that do not
// report tokens, those are estimated from their requests.
func (s *State) estimateOthers(now sd.Instant, p *pool) {
	if p.estimatedAt == now || (p.estimatedFrom == s.reports && now.Since(p.estimatedAt) < estimateTTL) {
		return
	}
	p.estimatedAt, p.estimatedFrom = now, s.reports
	spread, spreadHeld, slots := 0.0, 0.0, 0.0
	for _, t := range p.members {
		t.others = others{}
		weighted := 0.0
		for _, share := range s.shares[t.code] {
			age := now.Since(share.peer.heardAt)
			if age >= peerLoadTTL {
				continue
			}
			weight := decayed(1, age, sd.Millis(p.serviceTime))
			held := float64(share.tokens)
			if !share.peer.reportsTokens {
				held = float64(share.inflight) * p.reading.meanTokens
			}
			t.others.requests += weight * float64(share.inflight)
			spread += (1 - weight) * float64(share.inflight)
			t.others.held += weight * held
			spreadHeld += (1 - weight) * held
			t.others.unread += float64(share.unread)
			weighted += float64(share.unread) * float64(age)
		}
		if t.others.unread > 0 {
			t.others.unread = max(t.others.unread-p.reading.rate()/t.speed.factor(now)*weighted/t.others.unread, 0)
		}
		slots += float64(t.Slots)
	}
	for _, t := range p.members {
		part := float64(t.Slots) / max(slots, 1)
		t.others.requests += spread * part
		t.others.held += spreadHeld * part
		if age := now.Since(t.reportedAt); age < targetLoadTTL && t.reportedAt != 0 {
			weight := decayed(1, age, sd.Millis(p.serviceTime))
			t.others.requests += weight * (float64(max(t.reportedLoad-t.ownAtReport, 0)) - t.others.requests)
		}
	}
}

// retention estimates how long a target keeps a prompt that it does not use: the memory beside
// the running requests, over the rate at which requests fill it.
func (p *pool) retention(held, load float64) sd.Millis {
	free := max(float64(p.settings.CacheCapacity)-held, 0)
	filling := load / p.serviceTime * max(p.reading.meanUnread, minUnreadTokens)
	if load == 0 || free/filling > float64(sd.Minute) {
		return sd.Minute
	}
	return sd.Millis(free / filling)
}

// unreadTokens estimates how much of a request's prompt a target has to read.
func (s *State) unreadTokens(now sd.Instant, p *pool, t *target, req *Request, home *target) (sd.Tokens, origin) {
	oldest := now.Add(-p.retention(t.lastHeld, t.lastLoad))
	kept := sd.Tokens(0)
	if req.PromptKey != 0 {
		kept = t.kept.since(oldest, req.PromptKey)
	}
	parts := sd.Tokens(0)
	for _, part := range req.PromptParts {
		tokens := t.kept.since(oldest, part.ID)
		if tokens == 0 {
			break
		}
		parts += min(tokens, part.Tokens)
	}
	if kept = max(kept, parts); kept > 0 {
		return max(req.Prompt-kept, min(req.Prompt, minUnreadTokens)), readHere
	}
	if t == home {
		return sd.Tokens(float64(req.Prompt) * p.reading.homeShare()), readAtHome
	}
	return req.Prompt, readElsewhere
}

// home returns the target that all hosts prefer for a request whether or not it has room, or nil if
// there is none.
func (s *State) home(now sd.Instant, p *pool, req *Request) *target {
	if t := s.targets[req.PreferredTarget]; t != nil && t.Pool == req.Pool && s.accepts(t) && s.takesVersion(now, p, req, t) && !slices.Contains(s.unreachableZones, t.Zone) {
		return t
	}
	if req.Affinity == 0 {
		return nil
	}
	var best *target
	most := uint64(0)
	for _, t := range p.members {
		if (t.Zone != s.settings.Zone && !leavesZone(req)) || !s.accepts(t) || !s.takesVersion(now, p, req, t) || slices.Contains(s.unreachableZones, t.Zone) {
			continue
		}
		if rank := affinityRank(req.Affinity, t.code); best == nil || rank > most {
			best, most = t, rank
		}
	}
	return best
}

// leavesZone reports whether a program's home may be in another zone than the host. Turns of one
// program come through hosts of several zones, and with a home in each the prompt is read in each.
func leavesZone(req *Request) bool { return req.Prompt >= minSharedPrompt }

// admitsPrompt reports whether a target with a free slot can take a request's prompt: what its
// requests may come to hold must fit in its memory, and what it has yet to read must be read
// within the objective of the most urgent kind of request. A long prompt waits for its home to read
// others, but not for longer than a part of that objective. One that hardly fits in any memory waits
// for a target that holds nearly nothing.
func (s *State) admitsPrompt(now sd.Instant, p *pool, t *target, req *Request, home *target) bool {
	t.lastBacklog, t.lastHeld = t.others.unread+float64(t.unread), t.others.held+float64(t.tokens)
	tokens, from := s.unreadTokens(now, p, t, req, home)
	t.lastUnread, t.lastOrigin = tokens, from
	if capacity := float64(p.settings.CacheCapacity); t.lastHeld > emptyShare*capacity && t.lastHeld+float64(tokensOf(req)) > capacity {
		req.Choice.HeldBy = HeldByMemory
		req.waitsAtHome = req.waitsAtHome || (t == home && s.worthWaiting(now, p, t, req, homeWaitShare))
		return false
	}
	if t.lastBacklog == 0 || !p.waitsFor(now, req, heldBackShare) {
		return true
	}
	limit := readingShare * p.reading.rate() * float64(p.reading.mostUrgent()) / t.speed.factor(now)
	if float64(tokens) > longPromptShare*limit && t.lastBacklog+float64(tokens) > limit {
		if req.Choice.HeldBy == "" {
			req.Choice.HeldBy = HeldByReading
		}
		req.waitsAtHome = req.waitsAtHome || (t == home && s.worthWaiting(now, p, t, req, heldBackShare))
		return false
	}
	return true
}

// waitsFor reports whether a request has waited for less than a share of the shortest latency
// objective. It is false if there is none.
func (p *pool) waitsFor(now sd.Instant, req *Request, share float64) bool {
	return float64(now.Since(req.firstTried)) < share*float64(p.reading.mostUrgent())
}

// worthWaiting reports whether a request should wait for its home: it has waited for less than a
// share of the latency objective, and the home is not slow.
func (s *State) worthWaiting(now sd.Instant, p *pool, t *target, req *Request, share float64) bool {
	return p.waitsFor(now, req, share) && t.speed.factor(now) <= toleratedTime
}

// Held is the reason why a request was not sent to a target although one had a free slot.
type Held string

// The reasons to hold a request back.
const (
	// HeldByReading: the target has to read as many prompt tokens as it can in time.
	HeldByReading Held = "reading"
	// HeldByMemory: the tokens in flight would exceed the target's memory.
	HeldByMemory Held = "memory"
	// HeldBySlots: the home has no free slot, others may have.
	HeldBySlots Held = "slots"
)

// Choice is how a target was chosen by expected time, for logs. Times are in milliseconds.
type Choice struct {
	// Home is the target that probably holds the program's prompt. HomeTime is the time that was
	// expected there; zero if it had no room.
	Home     sd.TargetID
	HomeTime float64
	// Time was expected at the target that was chosen, and Typical is the mean of all that had room.
	Time, Typical float64
	// Load is the estimated number of requests at the target, Backlog and Unread are the prompt
	// tokens that it had to read before and for the request, Held those that its requests may
	// come to hold.
	Load, Backlog, Held float64
	Unread              sd.Tokens
	// Factor is how much slower than usual the target was thought to be, from a work time of
	// WorkTimeAge; that is negative if there was none.
	Factor      float64
	WorkTimeAge sd.Millis
	// HeldBy is why targets with a free slot were passed over at the last try, and HeldFor how
	// long the request has waited since the first one.
	HeldBy  Held
	HeldFor sd.Millis
}

// describe records how a target was chosen.
func (s *State) describe(now sd.Instant, t, home *target, req *Request, typical float64) {
	c := &req.Choice
	c.Time, c.Typical, c.Load, c.Backlog, c.Held, c.Unread, c.Factor = t.expected, typical, t.lastLoad, t.lastBacklog, t.lastHeld, t.lastUnread, t.lastFactor
	c.WorkTimeAge = -1
	if t.speed.workTime != 0 {
		c.WorkTimeAge = now.Since(t.speed.workTimeAt)
	}
	if home != nil {
		c.Home = home.ID
		if home.seenFor == req {
			c.HomeTime = home.expected
		}
	}
}

// startPrompt counts the tokens of a request that is sent to a target.
func (s *State) startPrompt(p *pool, t *target, req *Request) {
	req.unread, req.origin, req.backlog, req.full = t.lastUnread, t.lastOrigin, t.lastBacklog, t.lastLoad >= float64(t.Slots)
	req.modelled = t.expected / t.lastFactor
	t.unread += req.unread
	t.tokens += tokensOf(req)
	p.reading.meanUnread += serviceTimeWeight * (float64(req.unread) - p.reading.meanUnread)
	p.reading.meanTokens += serviceTimeWeight * (float64(tokensOf(req)) - p.reading.meanTokens)
	req.counted = true
}

// PromptRead records that the first event of a request's answer has come: its prompt is read.
func (s *State) PromptRead(now sd.Instant, req *Request) {
	t := s.targets[req.Target]
	if t == nil || t.Address != req.Address || !req.counted || req.promptRead {
		return
	}
	s.endReading(t, req)
	p := s.pool(t.Pool)
	s.keepPrompt(now, t, req)
	first, r := float64(max(now.Since(req.sentAt), 1))/t.speed.factor(now), &p.reading
	switch {
	case req.full:
	case req.origin == readElsewhere && req.unread >= minLearnedTokens:
		r.tokens = r.tokens*readingDecay + float64(req.unread) + req.backlog
		r.millis = r.millis*readingDecay + first
	case req.origin == readAtHome && req.Prompt >= minLearnedTokens:
		r.homeUnread = r.homeUnread*readingDecay + min(max(first*r.rate()-req.backlog, 0), float64(req.Prompt))
		r.homePrompt = r.homePrompt*readingDecay + float64(req.Prompt)
	}
}

// keepPrompt records that a target has read a request's prompt.
func (s *State) keepPrompt(now sd.Instant, t *target, req *Request) {
	if req.PromptKey != 0 {
		t.kept.record(now, req.PromptKey, req.Prompt)
	}
	for _, part := range req.PromptParts {
		t.kept.record(now, part.ID, part.Tokens)
	}
}

// endReading removes a request's unread tokens from the count of its target.
func (s *State) endReading(t *target, req *Request) {
	if !req.promptRead {
		req.promptRead = true
		t.unread = max(t.unread-req.unread, 0)
	}
}

// endPrompt removes the tokens of a request that has ended from the counts of its target.
func (s *State) endPrompt(now sd.Instant, t *target, req *Request, result Result) {
	if !req.counted {
		return
	}
	req.counted = false
	s.endReading(t, req)
	t.tokens = max(t.tokens-tokensOf(req), 0)
	if result == Served {
		s.keepPrompt(now, t, req)
	}
}

// Tokens is what a host reports to the others of the prompts at targets, by target.
type Tokens struct {
	// Unread are the prompt tokens in flight that are not read yet; InFlight are the tokens that
	// the requests in flight may come to hold.
	Unread, InFlight map[gossiper.IDHash]int
	// WorkTimes are the fresh work times that targets have reported to this host.
	WorkTimes map[gossiper.IDHash]gossiper.WorkTime
}

// LocalTokens returns what this host reports to the others of the prompts at targets. It is empty
// for pools whose targets are not chosen by expected time.
func (s *State) LocalTokens(now sd.Instant) Tokens {
	local := Tokens{map[gossiper.IDHash]int{}, map[gossiper.IDHash]int{}, map[gossiper.IDHash]gossiper.WorkTime{}}
	for _, t := range s.targets {
		if t.unread > 0 {
			local.Unread[t.code] = int(t.unread)
		}
		if t.tokens > 0 {
			local.InFlight[t.code] = int(t.tokens)
		}
		if age := now.Since(t.ownWorkTimeAt); t.ownWorkTime > 0 && age < workTimeTTL && s.pool(t.Pool).forecasts() {
			local.WorkTimes[t.code] = gossiper.WorkTime{Hundredths: uint64(math.Round(t.ownWorkTime)), Age: age}
		}
	}
	return local
}

// ReportPeerTokens records what another host reports of the prompts at targets. It belongs to the
// last call of ReportPeerLoad for that host; a report without tokens leaves its requests to be
// estimated.
func (s *State) ReportPeerTokens(now sd.Instant, host sd.HostID, tokens Tokens) {
	r := s.peers[host]
	if r == nil {
		return
	}
	r.reportsTokens = r.reportsTokens || len(tokens.InFlight) > 0
	for code, inflight := range tokens.InFlight {
		shares := s.shares[code]
		for i := range shares {
			if shares[i].peer == r {
				shares[i].tokens, shares[i].unread = inflight, tokens.Unread[code]
			}
		}
	}
	for code, w := range tokens.WorkTimes {
		t := s.byCode[code]
		if t == nil || w.Hundredths == 0 || w.Hundredths > maxWorkTime {
			continue
		}
		if at := now.Add(-w.Age); at > t.speed.workTimeAt {
			t.speed.report(at, float64(w.Hundredths)/100)
			s.pool(t.Pool).reportsWorkTime = true
		}
	}
}

// maxWorkTime bounds the work times of other hosts: a hundred times the usual.
const maxWorkTime = 100 * 100

// UnreadTokens returns the prompt tokens in flight from this host that are not read yet.
func (s *State) UnreadTokens() sd.Tokens {
	sum := sd.Tokens(0)
	for _, t := range s.targets {
		sum += t.unread
	}
	return sum
}
