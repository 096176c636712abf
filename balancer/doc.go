// Package balancer selects the target for each request, and the next request to
// run when all targets are busy.
//
// State is one host's view of the targets: their registrations, the requests that
// this host has sent them, and the load reported by the targets and by the other
// hosts. It does no I/O and reads no clock; its owner passes the time in and
// serializes the calls with a lock.
//
// # Target selection
//
// A request goes to the target that holds its prefix if that target has room.
// Otherwise the less loaded of two random targets in the host's own zone is taken
// (power of two choices); other zones are used when the own zone is full. Each host
// chooses from a small subset of the targets, selected by rendezvous hashing, to
// keep its number of connections low, and from all targets of the zone when the
// subset has no room.
//
// # Engines
//
// Targets of pools whose engines have a known memory, and tell how long work takes or do
// not keep turns, are chosen by the time that the request is expected to take there. That
// follows from the present speed of the target, its load, and the prompt tokens that it has
// to read. A program stays at the target that probably holds its prompt unless that takes
// much longer than elsewhere. Long prompts wait while their target has as much to read as
// it can in time, and the tokens in flight at a target stay below its memory. See
// docs/design/targets.md and docs/design/prompts.md.
//
// # Queueing
//
// Targets run requests in order of arrival, so requests are queued on the hosts.
// The queue is ordered by tier; programs that can still meet their deadline go
// before those that cannot, then running programs before new ones, then programs
// with an earlier deadline. A request that would wait too long is refused at once.
// So is a request that starts a program while nearly all slots are taken, since it
// would make the running programs end late.
//
// # Cold targets
//
// Any target may be cold, and then handles only a limited number of requests per
// second from all hosts together. Each host may always send its even share of half
// of that limit. Beyond that, a host counts what the other hosts report as sent. It
// may send as many requests as it has reported itself, plus its share of the unused
// rest: an even share, and one of the remainder if its rank is low enough.
package balancer
