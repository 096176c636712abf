package sweeper

import "sapphiredrum.example/sapphiredrum"

// State decides for one target. It is pure; callers serialize their calls. Use New.
type State struct {
	settings    Settings
	incarnation sapphiredrum.Incarnation
	programs    map[sapphiredrum.ProgramID]*program
	// epochs are the newest known epochs of shards.
	epochs map[sapphiredrum.ShardID]sapphiredrum.Epoch
	asks   map[AskNumber]question
	// releases maps the orders in flight to their programs.
	releases map[ReleaseNumber]Release
	lastAsk  AskNumber
	lastSent ReleaseNumber
	// guard and tick are those of the last tick.
	guard Guard
	tick  sapphiredrum.Instant
	// refused is the highest fencing number that the target has refused.
	refused sapphiredrum.Epoch
}

// program is what is known of a program whose memory the target holds, or that
// was granted a permit lately.
type program struct {
	shard sapphiredrum.ShardID
	held  bool
	// granted is the last permit, or the time just before the record was made.
	granted sapphiredrum.Instant
	// gone tells that the keeper said so at since, confirmed that it did again.
	gone, confirmed bool
	since           sapphiredrum.Instant
	nextAsk         sapphiredrum.Instant
	// retry is the earliest time of the next order.
	retry sapphiredrum.Instant
	// cleared tells that the target released the memory, at released.
	cleared  bool
	released sapphiredrum.Instant
}

// question is an Ask without an answer.
type question struct {
	ask Ask
	at  sapphiredrum.Instant
}

// New returns the state of a guard that knows nothing of its target yet.
func New(settings Settings) *State {
	return &State{
		settings: settings,
		programs: map[sapphiredrum.ProgramID]*program{},
		epochs:   map[sapphiredrum.ShardID]sapphiredrum.Epoch{},
		asks:     map[AskNumber]question{},
		releases: map[ReleaseNumber]Release{},
	}
}

// Load takes a load report. A new incarnation has an empty memory; otherwise
// programs that the report doesn't list are held no longer.
func (s *State) Load(now sapphiredrum.Instant, load sapphiredrum.Load) {
	if load.Incarnation != s.incarnation {
		s.incarnation = load.Incarnation
		for _, p := range s.programs {
			p.cleared = false
		}
	}
	for _, p := range s.programs {
		p.held = false
	}
	for _, id := range load.Programs {
		s.hold(now, id)
	}
}

// Cache takes cache events, which may be late and have gaps.
func (s *State) Cache(now sapphiredrum.Instant, events []sapphiredrum.CacheEvent) {
	for _, event := range events {
		if !event.Evicted {
			s.hold(now, event.Program)
		} else if p, found := s.programs[event.Program]; found {
			p.held = false
		}
	}
}

// Granted notes that the guard gave the program a permit.
func (s *State) Granted(now sapphiredrum.Instant, id sapphiredrum.ProgramID) {
	p := s.program(now, id)
	if p == nil {
		return
	}
	p.granted, p.cleared = now, false
	p.doubt(now.Add(s.settings.Ask))
}

// Owner notes the epoch of a shard's owner as the table tells it.
func (s *State) Owner(now sapphiredrum.Instant, shard sapphiredrum.ShardID, epoch sapphiredrum.Epoch) {
	if epoch <= s.epochs[shard] {
		return
	}
	s.epochs[shard] = epoch
	for _, p := range s.programs {
		if p.shard == shard {
			p.doubt(now)
		}
	}
}

// Answered takes a keeper's answer. Answers to unknown questions are ignored, as
// are those of older epochs and those to questions older than the last permit.
func (s *State) Answered(now sapphiredrum.Instant, answer Answer) {
	asked, found := s.asks[answer.Number]
	if !found {
		return
	}
	delete(s.asks, answer.Number)
	s.Owner(now, asked.ask.Shard, answer.Epoch)
	if answer.Epoch < s.epochs[asked.ask.Shard] || len(answer.Lives) != len(asked.ask.Programs) {
		return
	}
	for i, id := range asked.ask.Programs {
		p, known := s.programs[id]
		if !known || asked.at <= p.granted {
			continue
		}
		s.judge(now, p, asked.at, answer.Lives[i])
	}
}

// judge takes a keeper's word on one program.
func (s *State) judge(now sapphiredrum.Instant, p *program, asked sapphiredrum.Instant, life Life) {
	switch {
	case life != Gone:
		p.doubt(now.Add(s.settings.Ask))
	case !p.gone:
		p.gone, p.since = true, now
	case asked >= p.since.Add(s.settings.Grace):
		p.confirmed = true
	}
}

// Released takes the outcome of an order.
func (s *State) Released(now sapphiredrum.Instant, number ReleaseNumber, outcome Outcome) {
	order, found := s.releases[number]
	delete(s.releases, number)
	if found && outcome == Refused {
		s.refused = max(s.refused, order.Fence)
	}
	if p, known := s.programs[order.Program]; found && known && outcome == Done {
		p.held, p.cleared, p.released = false, true, now
	}
}

// Held returns the number of programs whose memory the target holds, and how
// many of them are known to be gone.
func (s *State) Held() (held, gone int) {
	for _, p := range s.programs {
		if p.held {
			held++
		}
		if p.held && p.gone {
			gone++
		}
	}
	return held, gone
}

// Releasing reports whether an order to release the program's memory may be in
// flight; the guard grants it no permit meanwhile.
func (s *State) Releasing(id sapphiredrum.ProgramID) bool {
	for _, order := range s.releases {
		if order.Program == id {
			return true
		}
	}
	return false
}

// hold notes that the target holds memory of a program, unless that may be old
// news about memory released since.
func (s *State) hold(now sapphiredrum.Instant, id sapphiredrum.ProgramID) {
	p := s.program(now, id)
	if p == nil || p.cleared && now.Since(p.released) < s.settings.Lag {
		return
	}
	p.held, p.cleared = true, false
}

// program returns the record of a program, or nil for text that isn't an id.
func (s *State) program(now sapphiredrum.Instant, id sapphiredrum.ProgramID) *program {
	if p, found := s.programs[id]; found {
		return p
	}
	shard, err := id.Shard()
	if err != nil {
		return nil
	}
	p := &program{shard: shard, granted: now - 1, nextAsk: now}
	s.programs[id] = p
	return p
}

// doubt forgets that the program was said to be gone and asks again later.
func (p *program) doubt(ask sapphiredrum.Instant) {
	p.gone, p.confirmed, p.nextAsk = false, false, ask
}
