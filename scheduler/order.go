package scheduler

import "sapphiredrum.example/sapphiredrum"

// Names of the orders, as Policy.Order gives them.
const (
	OrderAttained = "attained"
	OrderWorking  = "working"
	OrderShare    = "share"
	OrderArrival  = "fcfs"
)

// DefaultAllowance is the service by which a workspace may exceed its weighted
// share before its calls rank after those of the others in the same tier.
const DefaultAllowance sapphiredrum.Tokens = 3000

// OrderNamed returns the order with the given name; any other name gives
// Working.
func OrderNamed(name string) sapphiredrum.QueueOrder {
	switch name {
	case OrderAttained:
		return Attained{}
	case OrderShare:
		return ShareFirst{}
	case OrderArrival:
		return Arrival{}
	}
	return Working{Allowance: DefaultAllowance}
}

// Arrival serves calls first come, first served, whatever their tier.
type Arrival struct{}

// Before implements Orderer.
func (Arrival) Before(_ sapphiredrum.Instant, a, b sapphiredrum.QueuedCall) bool {
	return a.QueuedAt < b.QueuedAt
}

// Attained serves by tier, then the program with the least attained service.
type Attained struct{}

// Before implements Orderer.
func (Attained) Before(_ sapphiredrum.Instant, a, b sapphiredrum.QueuedCall) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	return leastAttained(a, b)
}

// Working serves by tier, then workspaces within their share, then calls whose
// prefix the target holds, then the program with the least attained service.
// So a target rotates no more programs than its memory holds.
type Working struct {
	// Allowance is the service by which a workspace may exceed its weighted
	// share before its calls rank after those of the others.
	Allowance sapphiredrum.Tokens
}

// Before implements Orderer.
func (o Working) Before(_ sapphiredrum.Instant, a, b sapphiredrum.QueuedCall) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	if o.beyond(a) != o.beyond(b) {
		return o.beyond(b)
	}
	if holds(a) != holds(b) {
		return holds(a)
	}
	return leastAttained(a, b)
}

// ShareFirst serves by tier, then the workspace that is furthest behind its
// weighted share, then the program with the least attained service.
type ShareFirst struct{}

// Before implements Orderer.
func (ShareFirst) Before(_ sapphiredrum.Instant, a, b sapphiredrum.QueuedCall) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	if a.Workspace != b.Workspace && a.ExcessService != b.ExcessService {
		return a.ExcessService < b.ExcessService
	}
	return leastAttained(a, b)
}

func leastAttained(a, b sapphiredrum.QueuedCall) bool {
	if a.AttainedService != b.AttainedService {
		return a.AttainedService < b.AttainedService
	}
	return a.QueuedAt < b.QueuedAt
}

func (o Working) beyond(w sapphiredrum.QueuedCall) bool {
	return w.ExcessService > o.Allowance
}

func holds(w sapphiredrum.QueuedCall) bool {
	return w.Cached > 0 && 2*w.Cached >= w.Prompt
}
