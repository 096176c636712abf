package allotter

import (
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

// ReservableBudget is the part of a budget that accounts in the store may reserve
// while the program is not closed.
func ReservableBudget(budget sd.Tokens) sd.Tokens { return budget - maxStarts*Share(budget) }

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
}

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
		own.Incarnation = s.incarnation
		if own.Phase == Settled {
			own.Starts++
		}
		return own, true
	case own.Phase == Joining && now.Since(s.phaseAt) >= joinTime,
		own.Phase == Starting && now.Since(s.phaseAt) >= startTime:
		own.Phase = Settled
		return own, true
	case own.Starts > 1 && now.Since(s.startedAt) >= programLife:
		own.Starts = 1
		return own, true
	}
	return Entry{}, false
}

// Leave ends the allotments of a host that stops. It returns the entry to write if this
// start needs no share, as it has allotted nothing.
func (s *State) Leave() (Entry, bool) {
	own := s.entries[s.host]
	again := s.left
	s.left = true
	if again || own.Incarnation != s.incarnation || own.Phase != Settled || len(s.allotted) > 0 {
		return Entry{}, false
	}
	own.Starts--
	return own, true
}

// NeverAllotted reports whether nobody can have allotted tokens to the program if its
// grantor's entry is still the one that this host has read, or, for an empty host ID, if
// the fleet has not settled. Whoever is settled has read the entries of all hosts that
// started with the fleet.
func (s *State) NeverAllotted(now sd.Instant, program archiver.Key) (sd.HostID, bool) {
	if !s.fleetSettled {
		return "", true
	}
	grantor := s.Grantor(program)
	e, known := s.entries[grantor]
	return grantor, known && e.Phase == Starting && now.Since(s.readAt) <= leaseTime
}

// Grantor returns the host that may allot to a program, or an empty ID.
func (s *State) Grantor(program archiver.Key) sd.HostID {
	var best sd.HostID
	highest := uint64(0)
	for host := range s.entries {
		if rank := xxhash.Sum64String(string(host) + "|" + string(program[:])); best == "" || rank > highest {
			best, highest = host, rank
		}
	}
	return best
}

// grants reports whether this host is the program's grantor. It has read the table since
// it became settled, and so knows all hosts that have started with it and the programs that
// were closed while its entry was starting.
func (s *State) grants(now sd.Instant, program archiver.Key) bool {
	own := s.entries[s.host]
	return !s.left && own.Incarnation == s.incarnation && own.Phase == Settled && s.readAt > s.settledAt && now.Since(s.readAt) <= leaseTime &&
		s.Grantor(program) == s.host
}

// Allot allots up to the wanted number of tokens to a program, and at least the given
// one. It returns zero if this host must not, or has too little left.
func (s *State) Allot(now sd.Instant, program archiver.Key, budget, atLeast, wanted sd.Tokens) sd.Tokens {
	if !s.grants(now, program) || s.entries[s.host].Starts > maxStarts || s.closed[program] {
		return 0
	}
	before := s.allotted[program].tokens
	tokens := min(wanted, Share(budget)-before)
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

// Close ends the allotments of a program and returns what the starts of this host may
// have allotted to it. The caller must write the program's row before it relies on
// the result. It returns false if this host is not the program's grantor.
func (s *State) Close(now sd.Instant, program archiver.Key, budget sd.Tokens) (sd.Tokens, bool) {
	if !s.grants(now, program) {
		return 0, false
	}
	s.closed[program] = true
	earlier := sd.Tokens(min(s.entries[s.host].Starts-1, maxStarts))
	return s.allotted[program].tokens + earlier*Share(budget), true
}
