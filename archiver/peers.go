package archiver

import (
	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// Peers are the other hosts, as an Archive sees them. The zero Peers are none.
type Peers struct {
	Self gossiper.Peer
	// Alive returns the hosts that were heard lately.
	Alive func() []gossiper.Peer
	// Hosts returns the number of hosts known, this one included.
	Hosts func() int
	// Away reports whether no host in reach reaches the store in good time.
	Away   func() bool
	Client *messenger.Client
}

// askTimeout bounds a message to a peer: a hundred round trips.
const askTimeout = 250 * sd.Millisecond

// Messages between hosts.
const (
	messageReserve = "reserve"
	messageSettle  = "settle"
	messageRecall  = "recall"
	messageCache   = "cache"
)

// Done is the answer to messages that need none.
type Done struct{}

// Answer registers what this host answers to others.
func (a *Archive) Answer(router messenger.Router) {
	messenger.Stream(router, messageReserve, a.answerReserve)
	messenger.Stream(router, messageSettle, a.answerSettle)
	messenger.Handle(router, messageRecall, a.answerRecall)
	messenger.Handle(router, messageCache, a.answerCache)
}

func (a *Archive) away() bool { return a.peers.Away != nil && a.peers.Away() }

func (a *Archive) alive() []gossiper.Peer {
	if a.peers.Alive == nil {
		return nil
	}
	return a.peers.Alive()
}
