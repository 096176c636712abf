package limiter

import (
	"cmp"
	"slices"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// Tick returns the Asks that are due now, each to be sent to the holder of its
// lender's shard.
func (s *State) Tick(now sapphiredrum.Instant) []Ask {
	now = s.observe(now)
	outbox := outbox{}
	for _, h := range s.shards {
		for _, a := range h.accounts {
			a.refresh(now, s.deadline, s.scale)
			outbox.collectReturned(a)
			s.collect(now, a, outbox)
		}
	}
	return s.seal(now, outbox)
}

// collect adds the workspace to the Asks that its account has to send.
func (s *State) collect(now sapphiredrum.Instant, a *account, o outbox) {
	if a.self < 0 || now >= s.deadline {
		return
	}
	if a.self > 0 && (now < a.lent.Add(s.patience(a.self)) || a.wantedBefore(now, a.self, s.settings.Loan)) {
		return
	}
	if now < a.lent && a.borrower != (borrower{}) {
		return
	}
	for i := a.self + 1; i < len(a.zones); i++ {
		if a.parts[i].fraction == 0 && a.parts[i].planned == 0 {
			continue
		}
		p := pair{lender: sapphiredrum.ShardID{Zone: a.zones[i], Number: a.shard.Number}, home: a.shard}
		l := s.lenders[p]
		if l == nil {
			l = &lender{}
			s.lenders[p] = l
		}
		if now >= l.next {
			m := o[p]
			m.Workspaces = append(m.Workspaces, a.workspace.ID)
			o[p] = m
		}
	}
}

// patience is how long a home of the given rank waits for better ones to ask
// after its own share has come back.
func (s *State) patience(rank int) sapphiredrum.Millis {
	return s.settings.renewal() * sapphiredrum.Millis(rank-1)
}

// wantedBefore reports whether a home better than the given rank has asked for
// the own share lately.
func (a *account) wantedBefore(now sapphiredrum.Instant, rank int, lately sapphiredrum.Millis) bool {
	return a.wanted != 0 && a.suitor < rank && now < a.wanted.Add(lately)
}

// Lend answers an Ask at the host that holds the lender's shard. A repeated or
// overtaken Ask gets no loan.
func (s *State) Lend(now sapphiredrum.Instant, ask Ask) Grant {
	now = s.observe(now)
	grant := Grant{
		Lender: ask.Lender, Home: ask.Home, Incarnation: ask.Incarnation, Number: ask.Number,
		Mark: Mark{Incarnation: s.incarnation, At: now},
	}
	from := borrower{home: ask.Home, epoch: ask.Epoch, incarnation: ask.Incarnation}
	if s.shards[ask.Lender] == nil || !s.fresh(pair{lender: ask.Lender, home: ask.Home}, from, ask.Number) {
		return grant
	}
	for _, loan := range ask.Returned {
		s.takeBack(now, s.find(ask.Lender, loan.Workspace), from, ask.Number, loan.Tokens)
	}
	heard := ask.Heard.Incarnation == s.incarnation && now.Since(ask.Heard.At) <= s.settings.Loan
	if now >= s.deadline || !heard || ask.Loan > s.settings.Loan {
		return grant
	}
	for _, w := range ask.Workspaces {
		a := s.find(ask.Lender, w)
		if a == nil || a.self < 0 {
			continue
		}
		if loan, ok := s.lend(now, a, from, ask); ok {
			grant.Lent = append(grant.Lent, loan)
		}
	}
	return grant
}

// takeBack ends the loan of the own share before its time.
func (s *State) takeBack(now sapphiredrum.Instant, a *account, from borrower, number uint64, tokens float64) {
	if a == nil || a.borrower != from || number <= a.number || a.lent <= now {
		return
	}
	a.refresh(now, s.deadline, s.scale)
	a.lent = now
	a.reshape(now, s.deadline, s.scale)
	a.bucket.add(now, tokens)
}

// fresh reports whether the Ask is the newest of the newest holder of its home,
// and notes it.
func (s *State) fresh(p pair, from borrower, number uint64) bool {
	known := s.borrowers[p]
	switch {
	case known == nil:
	case from.epoch < known.borrower.epoch:
		return false
	case from == known.borrower && number <= known.number:
		return false
	}
	s.borrowers[p] = &seen{borrower: from, number: number}
	return true
}

// lend lends the account's own share or renews the loan, but not while a better
// home wants the share.
func (s *State) lend(now sapphiredrum.Instant, a *account, to borrower, ask Ask) (Loan, bool) {
	a.refresh(now, s.deadline, s.scale)
	loan := Loan{Workspace: a.workspace.ID}
	rank, until := a.rank(to.home.Zone), now.Add(ask.Loan+s.settings.Drift)
	switch {
	case rank >= a.self, a.wantedBefore(now, rank, s.settings.Loan):
		return loan, false
	case a.lent <= now:
		loan.Tokens = a.giveBack(now, s.deadline, s.number)
	case a.borrower != to:
		a.wanted, a.suitor = now, rank
		return loan, false
	}
	a.borrower, a.number, a.lent = to, ask.Number, max(a.lent, until)
	a.reshape(now, s.deadline, s.scale)
	return loan, true
}

// giveBack ends all borrowing at once and notes the loans to return. It empties
// the bucket: every returned share takes its part of the tokens along, and the
// own share's part is returned. Grants of Asks up to the number are void.
func (a *account) giveBack(now, deadline sapphiredrum.Instant, number uint64) float64 {
	a.barrier = number
	each, own := 0.0, 0.0
	if total := a.inForce(now, deadline); total > 0 {
		each = a.bucket.tokens / total
	}
	for i := range a.parts {
		p := &a.parts[i]
		switch {
		case i == a.self && a.owns(now, deadline):
			own = each * p.fraction
		case now < p.until:
			p.until = now
			loan := Loan{Workspace: a.workspace.ID, Tokens: each * p.fraction}
			a.returning = append(a.returning, giving{zone: a.zones[i], loan: loan})
		}
	}
	a.bucket.tokens = 0
	return own
}

// Receive takes a lender's answer at the home. It tolerates late, repeated and
// crossed Grants.
func (s *State) Receive(now sapphiredrum.Instant, grant Grant) {
	now = s.observe(now)
	l := s.lenders[pair{lender: grant.Lender, home: grant.Home}]
	if l == nil || s.shards[grant.Home] == nil || grant.Incarnation != s.incarnation {
		return
	}
	i := slices.IndexFunc(l.asks, func(a sent) bool { return a.number == grant.Number })
	if i < 0 {
		return
	}
	asked := l.asks[i]
	l.asks = slices.Delete(l.asks, 0, i+1)
	if grant.Mark.Incarnation != l.heard.Incarnation {
		l.next = now
	}
	l.heard = grant.Mark
	until := asked.at.Add(s.settings.Loan)
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
	if a == nil || number <= a.barrier {
		return
	}
	i := slices.Index(a.zones, grant.Lender.Zone)
	if i < 0 || i == a.self {
		return
	}
	a.refresh(now, s.deadline, s.scale)
	a.parts[i].until = max(a.parts[i].until, until)
	a.reshape(now, s.deadline, s.scale)
	a.bucket.add(now, loan.Tokens)
}

// outbox collects what is to be sent to each lender.
type outbox map[pair]Ask

// collectReturned adds the loans that the account has ended.
func (o outbox) collectReturned(a *account) {
	for _, g := range a.returning {
		p := pair{lender: sapphiredrum.ShardID{Zone: g.zone, Number: a.shard.Number}, home: a.shard}
		m := o[p]
		m.Returned = append(m.Returned, g.loan)
		o[p] = m
	}
	a.returning = nil
}

// seal numbers the collected Asks in a fixed order and notes when they are sent.
func (s *State) seal(now sapphiredrum.Instant, o outbox) []Ask {
	asks := make([]Ask, 0, len(o))
	for p, m := range o {
		m.Lender, m.Home = p.lender, p.home
		asks = append(asks, m)
	}
	slices.SortFunc(asks, func(a, b Ask) int {
		return cmp.Or(compareShards(a.Home, b.Home), compareShards(a.Lender, b.Lender))
	})
	for i := range asks {
		s.stamp(now, &asks[i])
	}
	return asks
}

// stamp completes an Ask and remembers it.
func (s *State) stamp(now sapphiredrum.Instant, m *Ask) {
	s.number++
	m.Epoch, m.Incarnation, m.Number = s.shards[m.Home].epoch, s.incarnation, s.number
	m.Loan = s.settings.Loan
	l := s.lenders[pair{lender: m.Lender, home: m.Home}]
	if l == nil {
		return
	}
	m.Heard = l.heard
	if len(m.Workspaces) > 0 {
		l.next = now.Add(s.settings.renewal())
	}
	l.asks = slices.DeleteFunc(l.asks, func(a sent) bool { return a.at.Add(s.settings.Loan) <= now })
	l.asks = append(l.asks, sent{number: s.number, at: now})
}

// compareShards orders shards by zone and number.
func compareShards(a, b sapphiredrum.ShardID) int {
	return cmp.Or(strings.Compare(string(a.Zone), string(b.Zone)), cmp.Compare(a.Number, b.Number))
}
