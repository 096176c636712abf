package limiter

import (
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// account is one zone's account of a workspace: the zone's own share and the
// shares that other zones' accounts have lent to it, spent from one bucket.
type account struct {
	workspace sapphiredrum.Workspace
	shard     sapphiredrum.ShardID
	// zones are in the order of HomeZones; parts runs parallel to it.
	zones []sapphiredrum.ZoneName
	parts []part
	// self is the index of the account's own zone, -1 if the plan lacks it.
	self int
	// settled is when the planned fractions come into force.
	settled sapphiredrum.Instant

	// borrower has the own share until lent; nobody has it from then on.
	borrower borrower
	lent     sapphiredrum.Instant
	// number is that of the Ask that last made or renewed the loan.
	number uint64
	// wanted is the last time that a home asked while another had the loan, and
	// suitor is that home's rank.
	wanted sapphiredrum.Instant
	suitor int
	// barrier is the number of the last Ask whose Grant must not be used.
	barrier uint64
	// returning holds the loans to be given back with the next Ask.
	returning []giving

	bucket Bucket
	// next is the first instant at which a part comes or goes.
	next sapphiredrum.Instant
}

// part is a zone's share as the account knows it.
type part struct {
	// fraction is in force, planned will be once the plan has settled.
	fraction float64
	planned  float64
	// until ends the loan of another zone's share.
	until sapphiredrum.Instant
}

// giving is a share on its way back to its lender.
type giving struct {
	zone sapphiredrum.ZoneName
	loan Loan
}

// borrower identifies one process in its role as the holder of a home's shard.
type borrower struct {
	home        sapphiredrum.ShardID
	epoch       sapphiredrum.Epoch
	incarnation sapphiredrum.Incarnation
}

// refresh brings the bucket to now through every instant at which a part came
// or went. The own share counts until the lease's deadline.
func (a *account) refresh(now, deadline sapphiredrum.Instant, scale float64) {
	for a.next <= now {
		a.reshape(a.next, deadline, scale)
	}
	a.bucket.advance(now)
}

// reshape sets the bucket to the parts in force at the instant.
func (a *account) reshape(at, deadline sapphiredrum.Instant, scale float64) {
	if a.settled <= at {
		for i := range a.parts {
			a.parts[i].fraction = a.parts[i].planned
		}
	}
	fraction := a.inForce(at, deadline)
	a.next = a.following(at, deadline)
	rate := sapphiredrum.Rate(float64(a.workspace.Rate) * fraction * scale)
	a.bucket.Set(at, rate, sapphiredrum.Burst(float64(a.workspace.Burst)*fraction))
}

// following returns the first instant after the given one at which a part comes
// or goes.
func (a *account) following(at, deadline sapphiredrum.Instant) sapphiredrum.Instant {
	next := distant
	for _, i := range [...]sapphiredrum.Instant{a.lent, a.settled, deadline} {
		if at < i {
			next = min(next, i)
		}
	}
	for _, p := range a.parts {
		if at < p.until {
			next = min(next, p.until)
		}
	}
	return next
}

// inForce sums the fractions of the parts in force at the instant.
func (a *account) inForce(at, deadline sapphiredrum.Instant) float64 {
	fraction := 0.0
	for i, p := range a.parts {
		if i == a.self && a.owns(at, deadline) || i != a.self && at < p.until {
			fraction += p.fraction
		}
	}
	return fraction
}

// owns reports whether the own share is here at the instant.
func (a *account) owns(at, deadline sapphiredrum.Instant) bool {
	return a.self >= 0 && a.lent <= at && at < deadline
}

// rank returns the zone's place in the order of homes; unknown zones are last.
func (a *account) rank(zone sapphiredrum.ZoneName) int {
	if i := slices.Index(a.zones, zone); i >= 0 {
		return i
	}
	return len(a.zones)
}

// distant lies after every instant of a clock.
const distant = sapphiredrum.Instant(1 << 62)
