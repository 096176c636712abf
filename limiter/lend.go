package limiter

import (
	"cmp"
	"slices"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// Tick returns the requests that are due now, each to be sent to the holder of its
// lender's shard.
func (s *State) Tick(now sapphiredrum.Instant) []LoanRequest {
	now = s.observe(now)
	outbox := outbox{}
	for _, h := range s.shards {
		for _, a := range h.accounts {
			a.advance(now, s.deadline, s.fillScale)
			outbox.addReturns(a)
			s.addRequests(now, a, outbox)
		}
	}
	return s.finishRequests(now, outbox)
}

// addRequests adds the workspace to the requests that its account has to send.
func (s *State) addRequests(now sapphiredrum.Instant, a *account, o outbox) {
	if a.self < 0 || now >= s.deadline {
		return
	}
	if a.self > 0 && (now < a.lentUntil.Add(s.rankDelay(a.self)) || a.wantedByBetter(now, a.self, s.settings.LoanDuration)) {
		return
	}
	if now < a.lentUntil && a.borrower != (borrower{}) {
		return
	}
	for i := a.self + 1; i < len(a.zones); i++ {
		if a.shares[i].fraction == 0 && a.shares[i].planned == 0 {
			continue
		}
		p := loanEnds{lender: sapphiredrum.ShardID{Zone: a.zones[i], Number: a.shard.Number}, home: a.shard}
		l := s.lenders[p]
		if l == nil {
			l = &lenderState{}
			s.lenders[p] = l
		}
		if now >= l.nextRequest {
			m := o[p]
			m.Workspaces = append(m.Workspaces, a.workspace.ID)
			o[p] = m
		}
	}
}

// rankDelay is how long a home of the given rank, after its own share has returned,
// lets homes of better rank request shares first.
func (s *State) rankDelay(rank int) sapphiredrum.Millis {
	return s.settings.renewalInterval() * sapphiredrum.Millis(rank-1)
}

// wantedByBetter reports whether a home of better rank than the given one has
// requested the own share within the given time.
func (a *account) wantedByBetter(now sapphiredrum.Instant, rank int, lately sapphiredrum.Millis) bool {
	return a.wantedAt != 0 && a.wantedByRank < rank && now < a.wantedAt.Add(lately)
}

// Lend answers a request at the host that holds the lender's shard. A repeated or
// outdated request gets no loan.
func (s *State) Lend(now sapphiredrum.Instant, ask LoanRequest) Grant {
	now = s.observe(now)
	grant := Grant{
		Lender: ask.Lender, Home: ask.Home, Incarnation: ask.Incarnation, Number: ask.Number,
		Timestamp: EchoTimestamp{Incarnation: s.incarnation, At: now},
	}
	from := borrower{home: ask.Home, epoch: ask.Epoch, incarnation: ask.Incarnation}
	if s.shards[ask.Lender] == nil || !s.acceptRequest(loanEnds{lender: ask.Lender, home: ask.Home}, from, ask.Number) {
		return grant
	}
	for _, loan := range ask.Returned {
		s.endLoan(now, s.find(ask.Lender, loan.Workspace), from, ask.Number, loan.Tokens)
	}
	heard := ask.Echo.Incarnation == s.incarnation && now.Since(ask.Echo.At) <= s.settings.LoanDuration
	if now >= s.deadline || !heard || ask.LoanDuration > s.settings.LoanDuration {
		return grant
	}
	for _, w := range ask.Workspaces {
		a := s.find(ask.Lender, w)
		if a == nil || a.self < 0 {
			continue
		}
		if loan, ok := s.grantLoan(now, a, from, ask); ok {
			grant.Lent = append(grant.Lent, loan)
		}
	}
	return grant
}

// endLoan ends the loan of the own share before it expires.
func (s *State) endLoan(now sapphiredrum.Instant, a *account, from borrower, number uint64, tokens float64) {
	if a == nil || a.borrower != from || number <= a.loanNumber || a.lentUntil <= now {
		return
	}
	a.advance(now, s.deadline, s.fillScale)
	a.lentUntil = now
	a.updateBucket(now, s.deadline, s.fillScale)
	a.bucket.add(now, tokens)
}

// acceptRequest reports whether the request is the newest of its home's newest holder,
// and records it.
func (s *State) acceptRequest(p loanEnds, from borrower, number uint64) bool {
	known := s.borrowers[p]
	switch {
	case known == nil:
	case from.epoch < known.borrower.epoch:
		return false
	case from == known.borrower && number <= known.number:
		return false
	}
	s.borrowers[p] = &homeState{borrower: from, number: number}
	return true
}

// grantLoan lends the account's own share or renews the loan, unless a home of better
// rank wants the share.
func (s *State) grantLoan(now sapphiredrum.Instant, a *account, to borrower, ask LoanRequest) (Loan, bool) {
	a.advance(now, s.deadline, s.fillScale)
	loan := Loan{Workspace: a.workspace.ID}
	rank, until := a.rank(to.home.Zone), now.Add(ask.LoanDuration+s.settings.MaxClockDrift)
	switch {
	case rank >= a.self, a.wantedByBetter(now, rank, s.settings.LoanDuration):
		return loan, false
	case a.lentUntil <= now:
		loan.Tokens = a.returnLoans(now, s.deadline, s.number)
	case a.borrower != to:
		a.wantedAt, a.wantedByRank = now, rank
		return loan, false
	}
	a.borrower, a.loanNumber, a.lentUntil = to, ask.Number, max(a.lentUntil, until)
	a.updateBucket(now, s.deadline, s.fillScale)
	return loan, true
}

// returnLoans ends all borrowing immediately and queues the loans to be returned. It
// empties the bucket: every returned share takes its part of the tokens with it, and
// the own share's part is the result. Grants for requests up to number become void.
func (a *account) returnLoans(now, deadline sapphiredrum.Instant, number uint64) float64 {
	a.voidThrough = number
	each, own := 0.0, 0.0
	if total := a.activeFraction(now, deadline); total > 0 {
		each = a.bucket.tokens / total
	}
	for i := range a.shares {
		p := &a.shares[i]
		switch {
		case i == a.self && a.holdsOwnShare(now, deadline):
			own = each * p.fraction
		case now < p.borrowedUntil:
			p.borrowedUntil = now
			loan := Loan{Workspace: a.workspace.ID, Tokens: each * p.fraction}
			a.pendingReturns = append(a.pendingReturns, pendingReturn{zone: a.zones[i], loan: loan})
		}
	}
	a.bucket.tokens = 0
	return own
}

// Receive handles a lender's answer at the home. It tolerates delayed, duplicated and
// reordered Grants.
func (s *State) Receive(now sapphiredrum.Instant, grant Grant) {
	now = s.observe(now)
	l := s.lenders[loanEnds{lender: grant.Lender, home: grant.Home}]
	if l == nil || s.shards[grant.Home] == nil || grant.Incarnation != s.incarnation {
		return
	}
	i := slices.IndexFunc(l.pending, func(a pendingRequest) bool { return a.number == grant.Number })
	if i < 0 {
		return
	}
	asked := l.pending[i]
	l.pending = slices.Delete(l.pending, 0, i+1)
	if grant.Timestamp.Incarnation != l.lastMark.Incarnation {
		l.nextRequest = now
	}
	l.lastMark = grant.Timestamp
	until := asked.at.Add(s.settings.LoanDuration)
	if until <= now {
		return
	}
	for _, loan := range grant.Lent {
		s.borrow(now, grant, asked.number, until, loan)
	}
}

// borrow adds or renews a loan at the home's account.
func (s *State) borrow(now sapphiredrum.Instant, grant Grant, number uint64, until sapphiredrum.Instant, loan Loan) {
	a := s.find(grant.Home, loan.Workspace)
	if a == nil || number <= a.voidThrough {
		return
	}
	i := slices.Index(a.zones, grant.Lender.Zone)
	if i < 0 || i == a.self {
		return
	}
	a.advance(now, s.deadline, s.fillScale)
	a.shares[i].borrowedUntil = max(a.shares[i].borrowedUntil, until)
	a.updateBucket(now, s.deadline, s.fillScale)
	a.bucket.add(now, loan.Tokens)
}

// outbox collects what is to be sent to each lender.
type outbox map[loanEnds]LoanRequest

// addReturns adds the loans that the account has ended.
func (o outbox) addReturns(a *account) {
	for _, g := range a.pendingReturns {
		p := loanEnds{lender: sapphiredrum.ShardID{Zone: g.zone, Number: a.shard.Number}, home: a.shard}
		m := o[p]
		m.Returned = append(m.Returned, g.loan)
		o[p] = m
	}
	a.pendingReturns = nil
}

// finishRequests numbers the collected requests in a deterministic order and records when they are sent.
func (s *State) finishRequests(now sapphiredrum.Instant, o outbox) []LoanRequest {
	asks := make([]LoanRequest, 0, len(o))
	for p, m := range o {
		m.Lender, m.Home = p.lender, p.home
		asks = append(asks, m)
	}
	slices.SortFunc(asks, func(a, b LoanRequest) int {
		return cmp.Or(compareShards(a.Home, b.Home), compareShards(a.Lender, b.Lender))
	})
	for i := range asks {
		s.finishRequest(now, &asks[i])
	}
	return asks
}

// finishRequest fills in the header fields of a request and records it as pending.
func (s *State) finishRequest(now sapphiredrum.Instant, m *LoanRequest) {
	s.number++
	m.Epoch, m.Incarnation, m.Number = s.shards[m.Home].epoch, s.incarnation, s.number
	m.LoanDuration = s.settings.LoanDuration
	l := s.lenders[loanEnds{lender: m.Lender, home: m.Home}]
	if l == nil {
		return
	}
	m.Echo = l.lastMark
	if len(m.Workspaces) > 0 {
		l.nextRequest = now.Add(s.settings.renewalInterval())
	}
	l.pending = slices.DeleteFunc(l.pending, func(a pendingRequest) bool { return a.at.Add(s.settings.LoanDuration) <= now })
	l.pending = append(l.pending, pendingRequest{number: s.number, at: now})
}

// compareShards orders shards by zone and number.
func compareShards(a, b sapphiredrum.ShardID) int {
	return cmp.Or(strings.Compare(string(a.Zone), string(b.Zone)), cmp.Compare(a.Number, b.Number))
}
