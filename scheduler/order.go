package scheduler

import "sapphiredrum.example/sapphiredrum"

// Names of the queue orders in Policy.Order.
const (
	OrderLeastAttained = "attained"
	OrderCacheAffinity = "working"
	OrderFairShare     = "share"
	OrderFCFS          = "fcfs"
)

// DefaultAllowance is the service by which a workspace may exceed its weighted
// share before its calls rank behind other workspaces' calls of the same tier.
const DefaultAllowance sapphiredrum.Tokens = 3000

// OrderNamed returns the queue order with the given name. Unknown names select
// CacheAffinity.
func OrderNamed(name string) sapphiredrum.QueueOrder {
	switch name {
	case OrderLeastAttained:
		return LeastAttained{}
	case OrderFairShare:
		return FairShare{}
	case OrderFCFS:
		return FCFS{}
	}
	return CacheAffinity{Allowance: DefaultAllowance}
}

// FCFS serves calls first come, first served, regardless of tier.
type FCFS struct{}

// Before implements sapphiredrum.QueueOrder.
func (FCFS) Before(_ sapphiredrum.Instant, a, b sapphiredrum.QueuedCall) bool {
	return a.QueuedAt < b.QueuedAt
}

// LeastAttained serves by tier, then by the program's attained service, least
// first.
type LeastAttained struct{}

// Before implements sapphiredrum.QueueOrder.
func (LeastAttained) Before(_ sapphiredrum.Instant, a, b sapphiredrum.QueuedCall) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	return lessAttained(a, b)
}

// CacheAffinity serves by tier, then workspaces within their share, then calls
// whose prefix the target has cached, then by the program's attained service,
// least first. This keeps the number of programs that a target alternates between
// within its cache capacity.
type CacheAffinity struct {
	// Allowance is the service by which a workspace may exceed its weighted share
	// before its calls rank behind those of other workspaces.
	Allowance sapphiredrum.Tokens
}

// Before implements sapphiredrum.QueueOrder.
func (o CacheAffinity) Before(_ sapphiredrum.Instant, a, b sapphiredrum.QueuedCall) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	if o.overAllowance(a) != o.overAllowance(b) {
		return o.overAllowance(b)
	}
	if mostlyCached(a) != mostlyCached(b) {
		return mostlyCached(a)
	}
	return lessAttained(a, b)
}

// FairShare serves by tier, then the workspace furthest below its weighted share,
// then by the program's attained service, least first.
type FairShare struct{}

// Before implements sapphiredrum.QueueOrder.
func (FairShare) Before(_ sapphiredrum.Instant, a, b sapphiredrum.QueuedCall) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	if a.Workspace != b.Workspace && a.ExcessService != b.ExcessService {
		return a.ExcessService < b.ExcessService
	}
	return lessAttained(a, b)
}

func lessAttained(a, b sapphiredrum.QueuedCall) bool {
	if a.AttainedService != b.AttainedService {
		return a.AttainedService < b.AttainedService
	}
	return a.QueuedAt < b.QueuedAt
}

func (o CacheAffinity) overAllowance(w sapphiredrum.QueuedCall) bool {
	return w.ExcessService > o.Allowance
}

// mostlyCached reports whether at least half of the call's prompt is cached.
func mostlyCached(w sapphiredrum.QueuedCall) bool {
	return w.Cached > 0 && 2*w.Cached >= w.Prompt
}
