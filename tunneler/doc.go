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
// dialled both ways at once from then on, until a direct connection succeeds, and its idle
// connections are not used again, as those from before a partition show nothing of it.
//
// After a missed target a survey tries a few others directly. A host that reaches none of
// them is detached: it uses tunnels only, probes the targets until it reaches one, and tells
// the other hosts, which then open no tunnels through it.
//
// A host that is asked for a tunnel says that the target refuses connections only if it
// reaches other targets; otherwise it may be partitioned itself.
//
// # Reading order
//
// tunneler.go defines the Tunneler, race.go the two ways to a target, reach.go what is known
// of the paths, and tunnel.go the tunnels on both hosts.
package tunneler
