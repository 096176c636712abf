package scheduler

import (
	"cmp"
	"math"
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

const (
	// halfLife is the time in which a workspace's past service halves in weight.
	halfLife = 30 * sapphiredrum.Second
	// prefillWorth is the number of prompt tokens that cost as much as one token
	// of an answer.
	prefillWorth = 20
)

// account holds a workspace's recent service in the cell.
type account struct {
	workspace sapphiredrum.WorkspaceID
	weight    float64
	served    float64
	at        sapphiredrum.Instant
	waiting   int
	running   int
}

// accounts are the workspaces with calls in the cell, ordered by name.
type accounts struct {
	list  []*account
	index map[sapphiredrum.WorkspaceID]*account
	// total and weights sum over the accounts with calls in the cell.
	total   float64
	weights float64
}

// cost returns the service that a call takes, in tokens of an answer.
func cost(prompt, cached, answer sapphiredrum.Tokens) sapphiredrum.Tokens {
	return max(prompt-cached, 0)/prefillWorth + answer
}

// get returns the workspace's account and makes it when it is absent.
func (a *accounts) get(now sapphiredrum.Instant, workspace sapphiredrum.WorkspaceID) *account {
	if found := a.index[workspace]; found != nil {
		return found
	}
	if a.index == nil {
		a.index = make(map[sapphiredrum.WorkspaceID]*account)
	}
	made := &account{workspace: workspace, weight: 1, at: now}
	a.index[workspace] = made
	place, _ := slices.BinarySearchFunc(a.list, workspace, func(x *account, w sapphiredrum.WorkspaceID) int {
		return cmp.Compare(x.workspace, w)
	})
	a.list = slices.Insert(a.list, place, made)
	return made
}

// settle decays all accounts to now and sums those with calls in the cell.
func (a *accounts) settle(now sapphiredrum.Instant) {
	a.total, a.weights = 0, 0
	for _, x := range a.list {
		if now > x.at {
			x.served *= math.Exp2(-float64(now.Since(x.at)) / float64(halfLife))
			x.at = now
		}
		if x.waiting+x.running > 0 {
			a.total += x.served
			a.weights += x.weight
		}
	}
}

// charge adds service to an account after settle.
func (a *accounts) charge(x *account, tokens sapphiredrum.Tokens) {
	before := x.served
	x.served = max(0, x.served+float64(tokens))
	a.total += x.served - before
}

// excess returns the service beyond the account's weighted share.
func (a *accounts) excess(x *account) sapphiredrum.Tokens {
	if a.weights <= 0 {
		return 0
	}
	return sapphiredrum.Tokens(x.served - a.total*x.weight/a.weights)
}

// trim removes accounts without calls or recent service.
func (a *accounts) trim() {
	a.list = slices.DeleteFunc(a.list, func(x *account) bool {
		gone := x.waiting+x.running == 0 && x.served < 1
		if gone {
			delete(a.index, x.workspace)
		}
		return gone
	})
}
