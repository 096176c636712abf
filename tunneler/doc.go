// Package tunneler connects a host to targets by way of another host while it does not
// reach them itself.
//
// A host may be partitioned from some or all targets while callers, the store and the
// other hosts still reach it. A Tunneler then opens a tunnel: it asks another host to
// connect to the target and to copy bytes in both directions. The host that took a
// request keeps deciding everything about it, so what holds for a request on a direct
// connection holds in a tunnel: a request that was sent and not answered may have run,
// closing the connection cancels it, and its rate, budget and the limit of a cold target
// are counted once. A host connects others only to registered targets and never through
// a second tunnel.
//
// # Detection
//
// Dial connects directly and opens a tunnel as well if that fails or takes longer than
// usual; the first connection wins. A target that was reached only through a tunnel is
// dialled both ways at once from then on, until a direct connection succeeds. A host that
// has missed several targets, and reached none since, counts as detached: it uses
// tunnels only, probes the targets, and tells the other hosts, which then open
// no tunnels through it.
//
// A connection that was opened before a partition shows nothing of it until something is
// sent. After a missed target, no connection that was idle before is used again.
package tunneler
