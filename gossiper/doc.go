// Package gossiper lets hosts tell one another how they are.
//
// Each host sends every other one a small datagram some ten times a second: its
// requests under way, what it has admitted, whether it reaches the store. A lost
// datagram does no harm, the next one says the same and more. A host that is
// silent for a while counts as cut off. To another zone a datagram goes twice, and
// the two hosts that get it pass it on to the others there.
//
// Hosts learn of one another from rows in the store, which they write when they
// start and remove when they leave.
package gossiper
