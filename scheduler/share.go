package scheduler

import (
	"cmp"
	"math"
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

const (
	// serviceHalfLife is the half-life of a workspace's past service.
	serviceHalfLife = 30 * sapphiredrum.Second
	// promptTokensPerAnswerToken is the number of prompt tokens that cost as much as
	// one token of an answer.
	promptTokensPerAnswerToken = 20
)

// account tracks a workspace's recent service in the cell.
type account struct {
	workspace sapphiredrum.WorkspaceID
	weight    float64
	served    float64
	decayedAt sapphiredrum.Instant
	waiting   int
	running   int
}

// accounts are the workspaces with calls or recent service in the cell, sorted by
// name.
type accounts struct {
	list  []*account
	index map[sapphiredrum.WorkspaceID]*account
	// totalServed and totalWeight are sums over the accounts with calls in the cell.
	totalServed float64
	totalWeight float64
}

// serviceCost returns the service that a call takes, in answer tokens.
func serviceCost(prompt, cached, answer sapphiredrum.Tokens) sapphiredrum.Tokens {
	return max(prompt-cached, 0)/promptTokensPerAnswerToken + answer
}

// get returns the workspace's account, creating it if necessary.
func (a *accounts) get(now sapphiredrum.Instant, workspace sapphiredrum.WorkspaceID) *account {
	if found := a.index[workspace]; found != nil {
		return found
	}
	if a.index == nil {
		a.index = make(map[sapphiredrum.WorkspaceID]*account)
	}
	made := &account{workspace: workspace, weight: 1, decayedAt: now}
	a.index[workspace] = made
	place, _ := slices.BinarySearchFunc(a.list, workspace, func(x *account, w sapphiredrum.WorkspaceID) int {
		return cmp.Compare(x.workspace, w)
	})
	a.list = slices.Insert(a.list, place, made)
	return made
}

// decay brings all accounts up to date and sums those with calls in the cell.
func (a *accounts) decay(now sapphiredrum.Instant) {
	a.totalServed, a.totalWeight = 0, 0
	for _, x := range a.list {
		if now > x.decayedAt {
			x.served *= math.Exp2(-float64(now.Since(x.decayedAt)) / float64(serviceHalfLife))
			x.decayedAt = now
		}
		if x.waiting+x.running > 0 {
			a.totalServed += x.served
			a.totalWeight += x.weight
		}
	}
}

// charge adds service to an account. decay must have been called at the same time.
func (a *accounts) charge(x *account, tokens sapphiredrum.Tokens) {
	before := x.served
	x.served = max(0, x.served+float64(tokens))
	a.totalServed += x.served - before
}

// excess returns the service beyond the account's weighted share.
func (a *accounts) excess(x *account) sapphiredrum.Tokens {
	if a.totalWeight <= 0 {
		return 0
	}
	return sapphiredrum.Tokens(x.served - a.totalServed*x.weight/a.totalWeight)
}

// prune removes accounts without calls or recent service.
func (a *accounts) prune() {
	a.list = slices.DeleteFunc(a.list, func(x *account) bool {
		gone := x.waiting+x.running == 0 && x.served < 1
		if gone {
			delete(a.index, x.workspace)
		}
		return gone
	})
}
