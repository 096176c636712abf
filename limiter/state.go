package limiter

import (
	"slices"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// Settings are the times of the loan protocol. They must be the same on all
// hosts. Zero fields take the defaults.
type Settings struct {
	// LoanDuration is how long a home may use a share after it sent the request.
	LoanDuration sapphiredrum.Millis
	// MaxClockDrift bounds how far two hosts' clocks diverge within LoanDuration, plus
	// the millisecond to which clocks are read.
	MaxClockDrift sapphiredrum.Millis
	// MaxConfigDelay bounds how long a revision takes to reach every host.
	MaxConfigDelay sapphiredrum.Millis
	// MaxClockSkew bounds how much faster than true time a host's clock runs.
	MaxClockSkew sapphiredrum.Share
}

// The default settings.
const (
	DefaultLoanDuration   = 2 * sapphiredrum.Second
	DefaultMaxClockDrift  = 20 * sapphiredrum.Millisecond
	DefaultMaxConfigDelay = 6 * sapphiredrum.Second
	DefaultMaxClockSkew   = sapphiredrum.Share(0.0005)
)

// State holds one host's accounts. It is not safe for concurrent use: its owner
// calls it under one lock and reads the clock while holding it.
type State struct {
	settings    Settings
	incarnation sapphiredrum.Incarnation
	// fillScale slows the accrual of tokens to allow for clock skew.
	fillScale float64
	// latest is the latest instant seen; earlier ones are treated as this one.
	latest sapphiredrum.Instant
	// deadline is the end of the host's lease.
	deadline sapphiredrum.Instant
	number   uint64

	// revisions holds the revision in force and, before it, those that other hosts may
	// still use.
	revisions []configRevision

	shards map[sapphiredrum.ShardID]*shard
	// lenders is used by the homes on this host, borrowers by its lenders.
	lenders   map[loanEnds]*lenderState
	borrowers map[loanEnds]*homeState
}

// shard is a shard that this host holds.
type shard struct {
	id    sapphiredrum.ShardID
	epoch sapphiredrum.Epoch
	// restsUntil is when all loans granted by earlier holders have certainly expired.
	restsUntil sapphiredrum.Instant
	accounts   []*account
}

// loanEnds identifies the two ends of a loan.
type loanEnds struct {
	lender, home sapphiredrum.ShardID
}

// lenderState is what a home knows of a lender's shard.
type lenderState struct {
	lastMark EchoTimestamp
	// nextRequest is when the next request is due.
	nextRequest sapphiredrum.Instant
	pending     []pendingRequest
}

// pendingRequest is a request whose Grant may still be used.
type pendingRequest struct {
	number uint64
	at     sapphiredrum.Instant
}

// homeState is what a lender knows of a home's shard.
type homeState struct {
	borrower borrower
	number   uint64
}

// New returns the state of a host that holds no shard. The incarnation must differ
// for each start of the process.
func New(settings Settings, incarnation sapphiredrum.Incarnation) *State {
	s := &State{
		settings:    settings.withDefaults(),
		incarnation: incarnation,
		shards:      map[sapphiredrum.ShardID]*shard{},
		lenders:     map[loanEnds]*lenderState{},
		borrowers:   map[loanEnds]*homeState{},
	}
	s.fillScale = 1 / (1 + float64(s.settings.MaxClockSkew))
	return s
}

// RenewLease sets the end of the host's lease, on its own clock. Own shares are
// spent and lent only before it.
func (s *State) RenewLease(now, deadline sapphiredrum.Instant) {
	now = s.observe(now)
	if deadline <= s.deadline {
		return
	}
	lapsed := s.deadline <= now
	if lapsed {
		s.eachAccount(func(a *account) { a.advance(now, s.deadline, s.fillScale) })
	}
	s.deadline = deadline
	if lapsed {
		s.eachAccount(func(a *account) { a.updateBucket(now, s.deadline, s.fillScale) })
	}
}

// AddShard records that the host now holds the shard. Its accounts start empty, and
// their own shares are not used until every loan of an earlier holder has expired.
// Clean means that there are no such loans: the shard was never held before.
func (s *State) AddShard(now sapphiredrum.Instant, id sapphiredrum.ShardID, epoch sapphiredrum.Epoch, clean bool) {
	now = s.observe(now)
	h := &shard{id: id, epoch: epoch, restsUntil: now}
	if !clean {
		h.restsUntil = now.Add(s.loanTerm())
	}
	s.shards[id] = h
	s.updateAccounts(now, h, h.restsUntil)
}

// RemoveShard records that the host no longer holds the shard. It returns requests
// that give borrowed shares back early; losing them does no harm.
func (s *State) RemoveShard(now sapphiredrum.Instant, id sapphiredrum.ShardID) []LoanRequest {
	now = s.observe(now)
	h := s.shards[id]
	if h == nil {
		return nil
	}
	outbox := outbox{}
	for _, a := range h.accounts {
		a.advance(now, s.deadline, s.fillScale)
		a.returnLoans(now, s.deadline, s.number)
		outbox.addReturns(a)
	}
	asks := s.finishRequests(now, outbox)
	delete(s.shards, id)
	for p := range s.lenders {
		if p.home == id {
			delete(s.lenders, p)
		}
	}
	return asks
}

// Admit asks the workspace's account on the shard to admit one request now. The shard
// is one of those that Accounts returns.
func (s *State) Admit(now sapphiredrum.Instant, workspace sapphiredrum.WorkspaceID, id sapphiredrum.ShardID) Decision {
	now = s.observe(now)
	a := s.find(id, workspace)
	if a == nil {
		return Decision{NoShare: true, RetryAfter: s.settings.renewalInterval()}
	}
	a.advance(now, s.deadline, s.fillScale)
	if a.activeFraction(now, s.deadline) == 0 {
		return s.noShare(now, a)
	}
	admitted, wait := a.bucket.Take(now)
	if wait == Never && a.workspace.Rate > 0 && a.workspace.Burst >= 1 {
		wait = s.settings.renewalInterval()
	}
	return Decision{Admitted: admitted, RetryAfter: wait}
}

// noShare returns the decision of an account that has nothing to spend.
func (s *State) noShare(now sapphiredrum.Instant, a *account) Decision {
	v := Decision{NoShare: true, RetryAfter: s.settings.renewalInterval()}
	if now < a.lentUntil {
		v.RetryAfter = a.lentUntil.Since(now)
		v.Borrower = a.borrower.home
	}
	return v
}

// observe returns the latest instant seen, including now.
func (s *State) observe(now sapphiredrum.Instant) sapphiredrum.Instant {
	s.latest = max(s.latest, now)
	return s.latest
}

// find returns the shard's account of the workspace, or nil.
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

// eachAccount calls do for every account, in no particular order.
func (s *State) eachAccount(do func(a *account)) {
	for _, h := range s.shards {
		for _, a := range h.accounts {
			do(a)
		}
	}
}

// loanTerm is how long a share may be in use elsewhere after it was granted.
func (s *State) loanTerm() sapphiredrum.Millis {
	return s.settings.LoanDuration + s.settings.MaxClockDrift
}

// withDefaults fills in the defaults.
func (s Settings) withDefaults() Settings {
	if s.LoanDuration == 0 {
		s.LoanDuration = DefaultLoanDuration
	}
	if s.MaxClockDrift == 0 {
		s.MaxClockDrift = DefaultMaxClockDrift
	}
	if s.MaxConfigDelay == 0 {
		s.MaxConfigDelay = DefaultMaxConfigDelay
	}
	if s.MaxClockSkew == 0 {
		s.MaxClockSkew = DefaultMaxClockSkew
	}
	return s
}

// renewalInterval is the time between two requests of a home to a lender.
func (s Settings) renewalInterval() sapphiredrum.Millis {
	return max(sapphiredrum.Millisecond, s.LoanDuration/renewalsPerLoan)
}

// renewalsPerLoan is how often a loan is renewed before it would expire.
const renewalsPerLoan = 3
