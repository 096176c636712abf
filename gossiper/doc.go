// Package gossiper exchanges heartbeats between hosts over UDP.
//
// Each host sends a small datagram to the other hosts about ten times a second in
// a small fleet. It carries the requests in flight, the requests admitted and
// whether the host reaches the store. A lost datagram does no harm because the
// next one repeats its content. A host that stays silent for a while is treated
// as unreachable. A heartbeat crosses to another zone twice: it is sent to two
// hosts there, which relay it to the rest of their zone.
//
// Hosts discover each other through rows in the store, which they write at
// startup and remove when they leave.
package gossiper
