package archiver

import (
	"context"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// Peers gives an Archive access to the other hosts. The zero Peers means that there
// are none.
type Peers struct {
	Self gossiper.Peer
	// Alive returns the hosts that were heard from recently.
	Alive func() []gossiper.Peer
	// HostCount returns the number of known hosts, including this one.
	HostCount func() int
	// StoreUnreachable reports whether no reachable host has timely access to the store.
	StoreUnreachable func() bool
	Client           *messenger.Client
	// Budgets, if set, divides budgets between accounts and allotments.
	Budgets Budgets
}

// Budgets divides each program's budget between its account and what hosts allot
// without the store.
type Budgets interface {
	// Reservable returns the part of a budget that the account may reserve for a turn.
	Reservable(budget sd.Tokens, demand Demand) sd.Tokens
	// Close ends the allotments of a program and returns the part of its budget that the
	// account may reserve for the turn from then on. It fails if it is uncertain whether that is
	// what is needed.
	Close(ctx context.Context, program Key, budget sd.Tokens, demand Demand, needed sd.Tokens) (sd.Tokens, error)
}

// requestTimeout limits a request to a peer: about 100 round trips.
const requestTimeout = 250 * sd.Millisecond

// Names of the messages between hosts.
const (
	messageReserve = "reserve"
	messageSettle  = "settle"
	messageCancel  = "cancel"
	messageRecall  = "recall"
	messageCache   = "cache"
)

// EmptyResponse is the response to requests that return no data.
type EmptyResponse struct{}

// RegisterHandlers registers the handlers for requests from other hosts.
func (a *Archive) RegisterHandlers(router messenger.Router) {
	messenger.Stream(router, messageReserve, a.handleReserve)
	messenger.Stream(router, messageSettle, a.handleSettle)
	messenger.Handle(router, messageCancel, a.handleCancel)
	messenger.Handle(router, messageRecall, a.handleRecall)
	messenger.Handle(router, messageCache, a.handleCache)
}

// StoreUnreachable reports whether no reachable host has timely access to the store.
func (a *Archive) StoreUnreachable() bool {
	return a.peers.StoreUnreachable != nil && a.peers.StoreUnreachable()
}

func (a *Archive) alive() []gossiper.Peer {
	if a.peers.Alive == nil {
		return nil
	}
	return a.peers.Alive()
}
