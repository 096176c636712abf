package limiter

import (
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// account is one zone's account of a workspace. One bucket spends the zone's own
// share and the shares borrowed from other zones' accounts.
type account struct {
	workspace sapphiredrum.Workspace
	shard     sapphiredrum.ShardID
	// zones are in the order of HomeZones; shares has the same order.
	zones  []sapphiredrum.ZoneName
	shares []zoneShare
	// self is the index of the account's own zone, or -1 if the configuration lacks it.
	self int
	// plannedFrom is when the planned fractions come into force.
	plannedFrom sapphiredrum.Instant

	// borrower holds the own share until lentUntil; afterwards nobody has borrowed it.
	borrower  borrower
	lentUntil sapphiredrum.Instant
	// loanNumber is the number of the request that last made or renewed the loan.
	loanNumber uint64
	// wantedAt is when a home last requested the share while another had the loan;
	// wantedByRank is that home's rank.
	wantedAt     sapphiredrum.Instant
	wantedByRank int
	// voidThrough is the number of the last request whose Grant must not be used.
	voidThrough uint64
	// pendingReturns holds the loans to be returned with the next request.
	pendingReturns []pendingReturn

	bucket Bucket
	// nextChange is the first instant at which a share starts or stops being in force.
	nextChange sapphiredrum.Instant
}

// zoneShare is a zone's share as the account knows it.
type zoneShare struct {
	// fraction is in force; planned replaces it at plannedFrom.
	fraction float64
	planned  float64
	// borrowedUntil is when the loan of another zone's share expires.
	borrowedUntil sapphiredrum.Instant
}

// pendingReturn is a share to be returned to its lender.
type pendingReturn struct {
	zone sapphiredrum.ZoneName
	loan Loan
}

// borrower identifies a process as the holder of a home's shard.
type borrower struct {
	home        sapphiredrum.ShardID
	epoch       sapphiredrum.Epoch
	incarnation sapphiredrum.Incarnation
}

// advance brings the bucket to now, applying each change of the shares in force at
// its own instant. The own share counts until the lease deadline.
func (a *account) advance(now, deadline sapphiredrum.Instant, scale float64) {
	for a.nextChange <= now {
		a.updateBucket(a.nextChange, deadline, scale)
	}
	a.bucket.advance(now)
}

// updateBucket sets the bucket's rate and burst to the shares in force at the instant.
func (a *account) updateBucket(at, deadline sapphiredrum.Instant, scale float64) {
	if a.plannedFrom <= at {
		for i := range a.shares {
			a.shares[i].fraction = a.shares[i].planned
		}
	}
	fraction := a.activeFraction(at, deadline)
	a.nextChange = a.nextChangeAfter(at, deadline)
	rate := sapphiredrum.Rate(float64(a.workspace.Rate) * fraction * scale)
	a.bucket.Set(at, rate, sapphiredrum.Burst(float64(a.workspace.Burst)*fraction))
}

// nextChangeAfter returns the first later instant at which a share starts or stops
// being in force.
func (a *account) nextChangeAfter(at, deadline sapphiredrum.Instant) sapphiredrum.Instant {
	next := farFuture
	for _, i := range [...]sapphiredrum.Instant{a.lentUntil, a.plannedFrom, deadline} {
		if at < i {
			next = min(next, i)
		}
	}
	for _, p := range a.shares {
		if at < p.borrowedUntil {
			next = min(next, p.borrowedUntil)
		}
	}
	return next
}

// activeFraction sums the fractions of the shares in force at the instant.
func (a *account) activeFraction(at, deadline sapphiredrum.Instant) float64 {
	fraction := 0.0
	for i, p := range a.shares {
		if i == a.self && a.holdsOwnShare(at, deadline) || i != a.self && at < p.borrowedUntil {
			fraction += p.fraction
		}
	}
	return fraction
}

// holdsOwnShare reports whether the own share is in force here at the instant.
func (a *account) holdsOwnShare(at, deadline sapphiredrum.Instant) bool {
	return a.self >= 0 && a.lentUntil <= at && at < deadline
}

// rank returns the zone's position in the order of homes; unknown zones come last.
func (a *account) rank(zone sapphiredrum.ZoneName) int {
	if i := slices.Index(a.zones, zone); i >= 0 {
		return i
	}
	return len(a.zones)
}

// farFuture is later than any clock reading.
const farFuture = sapphiredrum.Instant(1 << 62)
