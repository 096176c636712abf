package limiter

import (
	"slices"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// Settings are the times of the loan protocol. They must be the same on all
// hosts. Zero fields take the defaults.
type Settings struct {
	// Loan is how long a home may use a share after it asked for it.
	Loan sapphiredrum.Millis
	// Drift bounds how far two hosts' clocks part within a Loan, plus the
	// millisecond to which clocks are read.
	Drift sapphiredrum.Millis
	// Settle bounds how long a revision takes to reach every host.
	Settle sapphiredrum.Millis
	// Skew bounds how much faster than true time a host's clock runs.
	Skew sapphiredrum.Share
}

// The default settings.
const (
	DefaultLoan   = 2 * sapphiredrum.Second
	DefaultDrift  = 20 * sapphiredrum.Millisecond
	DefaultSettle = 6 * sapphiredrum.Second
	DefaultSkew   = sapphiredrum.Share(0.0005)
)

// State holds one host's accounts. It is not safe for concurrent use: its owner
// calls it under one lock and reads the clock while holding it.
type State struct {
	settings    Settings
	incarnation sapphiredrum.Incarnation
	// scale slows the accrual of tokens by the skew of clocks.
	scale float64
	// latest is the latest instant seen; earlier ones count as this.
	latest sapphiredrum.Instant
	// deadline is the end of the host's lease.
	deadline sapphiredrum.Instant
	number   uint64

	// plans holds the revision in force and before it those that other hosts may
	// still follow.
	plans []revision

	shards map[sapphiredrum.ShardID]*shard
	// lenders are known to the homes of this host, borrowers to its lenders.
	lenders   map[pair]*lender
	borrowers map[pair]*seen
}

// shard is a shard that this host holds.
type shard struct {
	id    sapphiredrum.ShardID
	epoch sapphiredrum.Epoch
	// rested is when loans granted by earlier holders have surely ended.
	rested   sapphiredrum.Instant
	accounts []*account
}

// pair names the two ends of a loan.
type pair struct {
	lender, home sapphiredrum.ShardID
}

// lender is what a home knows of a lender's shard.
type lender struct {
	heard Mark
	// next is when the next Ask is due.
	next sapphiredrum.Instant
	asks []sent
}

// sent is an Ask whose Grant may still be used.
type sent struct {
	number uint64
	at     sapphiredrum.Instant
}

// seen is what a lender knows of a home's shard.
type seen struct {
	borrower borrower
	number   uint64
}

// New returns the state of a host that holds no shard. Incarnation must differ
// for each start of the process.
func New(settings Settings, incarnation sapphiredrum.Incarnation) *State {
	s := &State{
		settings:    settings.complete(),
		incarnation: incarnation,
		shards:      map[sapphiredrum.ShardID]*shard{},
		lenders:     map[pair]*lender{},
		borrowers:   map[pair]*seen{},
	}
	s.scale = 1 / (1 + float64(s.settings.Skew))
	return s
}

// Renew sets the end of the host's lease, on its own clock. Own shares are
// spent and lent only before it.
func (s *State) Renew(now, deadline sapphiredrum.Instant) {
	now = s.observe(now)
	if deadline <= s.deadline {
		return
	}
	lapsed := s.deadline <= now
	if lapsed {
		s.eachAccount(func(a *account) { a.refresh(now, s.deadline, s.scale) })
	}
	s.deadline = deadline
	if lapsed {
		s.eachAccount(func(a *account) { a.reshape(now, s.deadline, s.scale) })
	}
}

// Gain tells that the host now holds the shard. Its accounts start empty and
// their own shares rest until no loan of an earlier holder can run. Clean tells
// that there is none: the shard was never held before.
func (s *State) Gain(now sapphiredrum.Instant, id sapphiredrum.ShardID, epoch sapphiredrum.Epoch, clean bool) {
	now = s.observe(now)
	h := &shard{id: id, epoch: epoch, rested: now}
	if !clean {
		h.rested = now.Add(s.term())
	}
	s.shards[id] = h
	s.reopen(now, h, h.rested)
}

// Lose tells that the host no longer holds the shard. It returns messages that
// give borrowed shares back; they may be dropped.
func (s *State) Lose(now sapphiredrum.Instant, id sapphiredrum.ShardID) []Ask {
	now = s.observe(now)
	h := s.shards[id]
	if h == nil {
		return nil
	}
	outbox := outbox{}
	for _, a := range h.accounts {
		a.refresh(now, s.deadline, s.scale)
		a.giveBack(now, s.deadline, s.number)
		outbox.collectReturned(a)
	}
	asks := s.seal(now, outbox)
	delete(s.shards, id)
	for p := range s.lenders {
		if p.home == id {
			delete(s.lenders, p)
		}
	}
	return asks
}

// Admit asks the account that the shard keeps for the workspace to admit one
// request now. The shard is an account's, as listed by Accounts.
func (s *State) Admit(now sapphiredrum.Instant, workspace sapphiredrum.WorkspaceID, id sapphiredrum.ShardID) Verdict {
	now = s.observe(now)
	a := s.find(id, workspace)
	if a == nil {
		return Verdict{NotHere: true, RetryAfter: s.settings.renewal()}
	}
	a.refresh(now, s.deadline, s.scale)
	if a.inForce(now, s.deadline) == 0 {
		return s.absent(now, a)
	}
	admitted, wait := a.bucket.Take(now)
	if wait == Never && a.workspace.Rate > 0 && a.workspace.Burst >= 1 {
		wait = s.settings.renewal()
	}
	return Verdict{Admitted: admitted, RetryAfter: wait}
}

// absent explains why the account has nothing to spend.
func (s *State) absent(now sapphiredrum.Instant, a *account) Verdict {
	v := Verdict{NotHere: true, RetryAfter: s.settings.renewal()}
	if now < a.lent {
		v.RetryAfter = a.lent.Since(now)
		v.Holder = a.borrower.home
	}
	return v
}

// observe returns the latest instant seen.
func (s *State) observe(now sapphiredrum.Instant) sapphiredrum.Instant {
	s.latest = max(s.latest, now)
	return s.latest
}

// find returns the account of the workspace that the shard keeps, or nil.
func (s *State) find(id sapphiredrum.ShardID, workspace sapphiredrum.WorkspaceID) *account {
	h := s.shards[id]
	if h == nil {
		return nil
	}
	i, found := slices.BinarySearchFunc(h.accounts, workspace, func(a *account, w sapphiredrum.WorkspaceID) int {
		return strings.Compare(string(a.workspace.ID), string(w))
	})
	if !found {
		return nil
	}
	return h.accounts[i]
}

// eachAccount calls do for every account; the order must not matter.
func (s *State) eachAccount(do func(a *account)) {
	for _, h := range s.shards {
		for _, a := range h.accounts {
			do(a)
		}
	}
}

// term is how long a share may be in use elsewhere after it was granted.
func (s *State) term() sapphiredrum.Millis {
	return s.settings.Loan + s.settings.Drift
}

// complete fills in the defaults.
func (s Settings) complete() Settings {
	if s.Loan == 0 {
		s.Loan = DefaultLoan
	}
	if s.Drift == 0 {
		s.Drift = DefaultDrift
	}
	if s.Settle == 0 {
		s.Settle = DefaultSettle
	}
	if s.Skew == 0 {
		s.Skew = DefaultSkew
	}
	return s
}

// renewal is the time between two Asks of a home to a lender.
func (s Settings) renewal() sapphiredrum.Millis {
	return max(sapphiredrum.Millisecond, s.Loan/renewalsPerLoan)
}

// renewalsPerLoan is how often a loan is renewed within its time.
const renewalsPerLoan = 3
