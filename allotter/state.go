package allotter

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
)

const (
	// shareDivisor is the divisor of a budget that gives a Share. Programs use a small part
	// of their budget, which a share has to cover, while the reservable rest has to hold the
	// limit of a turn of a short program.
	shareDivisor = 5
	// maxStarts is the number of starts of a host within programLife that have a share.
	maxStarts = 2
	// maxRecorded is the number of programs in an entry whose allotments are recorded.
	maxRecorded = 128
	// programLife is longer than any program runs.
	programLife = sd.Hour
	// leaseTime is how old a host's copy of the table may be. It bounds the outages in which
	// programs run on.
	leaseTime = 10 * sd.Minute
	// joinTime is how long the entry of a host that joins a fleet waits before its host
	// grants: until no other host has a copy of the table without it, and programs to which
	// others have allotted have ended. It allows for clocks that differ in speed.
	joinTime = programLife + 2*leaseTime
	// startTime is how long the entry of a host waits that starts with its fleet. Hosts that
	// start later join.
	startTime = 5 * sd.Second
)

// Share is the part of a budget that one start of a grantor may allot.
func Share(budget sd.Tokens) sd.Tokens { return budget / shareDivisor }

// reservable is the part of a budget that an account may reserve for a turn, if the given
// tokens may have been allotted: a program may have the most that one turn is charged beyond its
// budget.
func reservable(budget sd.Tokens, demand archiver.Demand, allotted sd.Tokens) sd.Tokens {
	return budget + demand.MaxCharge - max(allotted, demand.Limit)
}

// Phase is how far a host has come to be a grantor. Hosts that have read of its entry do not
// grant in its place, whatever its phase.
type Phase int

const (
	// Joining hosts wait until the programs to which others have allotted have ended.
	Joining Phase = iota
	// Starting hosts are those of a new fleet, in which nobody is settled. Whoever becomes
	// settled reads of all of them before it grants.
	Starting
	// Settled hosts grant.
	Settled
)

// Entry is a host's row in the table of grantors.
type Entry struct {
	Host        sd.HostID      `json:"host"`
	Incarnation sd.Incarnation `json:"incarnation"`
	// Starts is the number of starts within programLife that may have allotted tokens, this
	// one included.
	Starts int   `json:"starts"`
	Phase  Phase `json:"phase"`
	// Recorded is the number of those starts that ended as planned, and Allotted all that these have
	// allotted. Earlier builds take them for starts that may have allotted whole shares.
	Recorded int                        `json:"recorded,omitempty"`
	Allotted map[archiver.Key]sd.Tokens `json:"allotted,omitempty"`
	// unreadable is set in place of an entry that cannot be decoded.
	unreadable bool
}

// mayHaveAllotted is the most that the host's starts may have allotted of a program's budget.
func (e Entry) mayHaveAllotted(program archiver.Key, budget sd.Tokens) sd.Tokens {
	if e.Phase != Settled {
		return 0
	}
	return e.allottedBy(e.unrecorded(), program, budget)
}

// unrecorded is the number of starts of which is not known what they have allotted.
func (e Entry) unrecorded() int { return e.Starts - e.Recorded }

// allottedBy is the most that so many starts may have allotted of a program's budget, and those that
// are recorded. All starts together allot no more than maxStarts shares.
func (e Entry) allottedBy(starts int, program archiver.Key, budget sd.Tokens) sd.Tokens {
	return min(e.Allotted[program]+sd.Tokens(min(starts, maxStarts))*Share(budget), maxStarts*Share(budget))
}

// joins reports whether the host waits for the programs of others to end.
func (e Entry) joins() bool { return e.Phase == Joining && !e.unreadable }

// State is one host's copy of the table and what it has allotted. It is not safe for
// concurrent use.
type State struct {
	host        sd.HostID
	incarnation sd.Incarnation
	entries     map[sd.HostID]Entry
	// fleetSettled is set once some host has been settled.
	fleetSettled bool
	// readAt is when the last successful read of the table was sent; zero means never.
	readAt sd.Instant
	// startedAt is when this host first saw its entry, phaseAt when it saw it in its
	// present phase. settledAt is when it has become settled in this start, or zero.
	startedAt, phaseAt, settledAt sd.Instant
	// allotted is what this start has allotted to each program.
	allotted map[archiver.Key]allotted
	// closed holds the programs to which nobody allots.
	closed map[archiver.Key]bool
	// left is set once the host stops.
	left bool
}

// allotted is what a program has been allotted, and when it last was.
type allotted struct {
	tokens sd.Tokens
	at     sd.Instant
}

// NewState returns the state of a host that has read nothing.
func NewState(host sd.HostID, incarnation sd.Incarnation) *State {
	return &State{
		host: host, incarnation: incarnation, entries: map[sd.HostID]Entry{},
		allotted: map[archiver.Key]allotted{}, closed: map[archiver.Key]bool{},
	}
}

// SetEntry takes an entry that was read.
func (s *State) SetEntry(now sd.Instant, e Entry) {
	old := s.entries[e.Host]
	s.entries[e.Host] = e
	if e.Host != s.host || e.Incarnation != s.incarnation {
		return
	}
	if s.startedAt == 0 {
		s.startedAt = now
	}
	if old.Incarnation != e.Incarnation || old.Phase != e.Phase {
		s.phaseAt = now
	}
	if old.Incarnation == e.Incarnation && old.Phase != e.Phase && e.Phase == Settled {
		s.settledAt = now
	}
}

// SetFleetSettled takes the row that the first settled host writes along with its entry.
func (s *State) SetFleetSettled() { s.fleetSettled = true }

// RemoveEntry takes the removal of a host's entry.
func (s *State) RemoveEntry(host sd.HostID) { delete(s.entries, host) }

// SetClosed takes a program's row, or its removal, that was read.
func (s *State) SetClosed(program archiver.Key, closed bool) {
	if closed {
		s.closed[program] = true
	} else {
		delete(s.closed, program)
	}
}

// MarkRead records that a read sent at the given time has brought the copy up to date.
func (s *State) MarkRead(sent sd.Instant) { s.readAt = max(s.readAt, sent) }

// NextEntry returns the entry that this host should write in place of its present one,
// or false if that is right. An entry with the phase Starting must be written under
// the condition that the fleet has not settled, if it is new.
func (s *State) NextEntry(now sd.Instant) (Entry, bool) {
	if s.readAt == 0 || s.left {
		return Entry{}, false
	}
	own, known := s.entries[s.host]
	switch {
	case !known:
		own = Entry{Host: s.host, Incarnation: s.incarnation, Starts: 1, Phase: Starting}
		if s.fleetSettled {
			own.Phase = Joining
		}
		return own, true
	case own.Incarnation != s.incarnation:
		own.Incarnation, own.unreadable = s.incarnation, false
		if own.Phase == Settled {
			own.Starts++
		}
		return own, true
	case own.Phase == Joining && now.Since(s.phaseAt) >= joinTime,
		own.Phase == Starting && now.Since(s.phaseAt) >= startTime:
		own.Phase = Settled
		return own, true
	case own.Starts > 1 && now.Since(s.startedAt) >= programLife:
		own.Starts, own.Recorded, own.Allotted = 1, 0, nil
		return own, true
	}
	return Entry{}, false
}

// Leave ends the allotments of a host that stops. It returns the entry to write, in which this start
// no longer counts, or counts by what it has allotted. If that was to too many programs, there is none.
func (s *State) Leave(now sd.Instant) (Entry, bool) {
	own := s.entries[s.host]
	again := s.left
	s.left = true
	if again || own.Incarnation != s.incarnation || own.Phase != Settled {
		return Entry{}, false
	}
	all := maps.Clone(own.Allotted)
	if all == nil {
		all = map[archiver.Key]sd.Tokens{}
	}
	some := false
	for program, known := range s.allotted {
		if known.tokens > 0 && now.Since(known.at) < programLife {
			all[program] += known.tokens
			some = true
		}
	}
	switch {
	case !some:
		own.Starts--
	case len(all) > maxRecorded:
		return Entry{}, false
	default:
		own.Recorded++
		own.Allotted = all
	}
	return own, true
}

// Grantor returns the host that allots to a program once it has joined, or an empty ID.
func (s *State) Grantor(program archiver.Key) sd.HostID {
	host, _ := s.highest(program, func(Entry) bool { return true })
	return host
}

// highest returns the host with the highest rank for a program among those that match.
func (s *State) highest(program archiver.Key, match func(Entry) bool) (best sd.HostID, rank uint64) {
	for host, e := range s.entries {
		if !match(e) {
			continue
		}
		if r := rankOf(host, program); best == "" || r > rank {
			best, rank = host, r
		}
	}
	return best, rank
}

// rankOf is the rendezvous hash of a host for a program.
func rankOf(host sd.HostID, program archiver.Key) uint64 {
	return xxhash.Sum64String(string(host) + "|" + string(program[:]))
}

// allotter returns the host that may have allotted to a program, or an empty ID, and the hosts
// of higher rank, which take its place once they have joined. No other host allots to the program before
// one of these entries changes.
func (s *State) allotter(program archiver.Key) (host sd.HostID, joining []sd.HostID) {
	host, rank := s.highest(program, func(e Entry) bool { return !e.joins() })
	for other, e := range s.entries {
		if e.joins() && (host == "" || rankOf(other, program) > rank) {
			joining = append(joining, other)
		}
	}
	return host, joining
}

// fresh reports whether this host's copy of the table is young enough to be relied on.
func (s *State) fresh(now sd.Instant) bool { return s.readAt > 0 && now.Since(s.readAt) <= leaseTime }

// ClosedByTable returns the part of a budget that the account of a program may reserve for a
// turn, as far as the table tells, once the program is closed under the condition that the entries
// of the given hosts are unchanged. It returns false if the table does not tell.
func (s *State) ClosedByTable(now sd.Instant, program archiver.Key, budget sd.Tokens, demand archiver.Demand) (rest sd.Tokens, unchanged []sd.HostID, known bool) {
	if !s.fleetSettled {
		// The caller's condition holds that this is still so.
		return reservable(budget, demand, 0), nil, true
	}
	host, unchanged := s.allotter(program)
	e := s.entries[host]
	if host != "" {
		unchanged = append(unchanged, host)
	}
	if !s.fresh(now) || e.unreadable || len(unchanged) == 0 {
		return 0, nil, false
	}
	return reservable(budget, demand, e.mayHaveAllotted(program, budget)), unchanged, true
}

// settled reports whether this host may have allotted tokens in this start, and has read the
// table since: it knows all hosts that have started with it and the programs that were closed
// while its entry was starting.
func (s *State) settled(now sd.Instant) bool {
	own := s.entries[s.host]
	return !s.left && own.Incarnation == s.incarnation && own.Phase == Settled && s.readAt > s.settledAt && s.fresh(now)
}

// Allot allots up to the wanted number of tokens to a program, and at least the given
// one. It returns zero if this host must not, or has too little left.
func (s *State) Allot(now sd.Instant, program archiver.Key, budget, atLeast, wanted sd.Tokens) sd.Tokens {
	own := s.entries[s.host]
	if !s.settled(now) || s.Grantor(program) != s.host || own.unrecorded() > maxStarts || s.closed[program] {
		return 0
	}
	before := s.allotted[program].tokens
	left := maxStarts*Share(budget) - own.allottedBy(own.unrecorded()-1, program, budget)
	tokens := min(wanted, min(Share(budget), left)-before)
	if tokens <= 0 || tokens < atLeast {
		return 0
	}
	s.allotted[program] = allotted{before + tokens, now}
	return tokens
}

// Return takes back tokens that the given incarnation of this host has allotted and that
// were not delivered.
func (s *State) Return(program archiver.Key, incarnation sd.Incarnation, tokens sd.Tokens) {
	if known, ok := s.allotted[program]; ok && incarnation == s.incarnation && tokens > 0 {
		known.tokens = max(known.tokens-tokens, 0)
		s.allotted[program] = known
	}
}

// Forget drops what was allotted to programs that have ended long ago.
func (s *State) Forget(now sd.Instant) {
	for program, known := range s.allotted {
		if now.Since(known.at) >= 2*programLife {
			delete(s.allotted, program)
		}
	}
}

// Close ends the allotments of a program. It returns what the starts of this host may have
// allotted to it, and the hosts whose entries must be unchanged as the caller writes the program's
// row, before it relies on the result. It returns false if this host does not know.
func (s *State) Close(now sd.Instant, program archiver.Key, budget sd.Tokens) (allotted sd.Tokens, unchanged []sd.HostID, ok bool) {
	host, joining := s.allotter(program)
	if !s.settled(now) || host != s.host {
		return 0, nil, false
	}
	s.closed[program] = true
	own := s.entries[s.host]
	return s.allotted[program].tokens + own.allottedBy(own.unrecorded()-1, program, budget), joining, true
}
