// Package screener refuses requests that crash the targets that run them.
//
// Such a request comes again with another id, in another program and at any host. Its
// workspace, method, address and body stay the same: they are its fingerprint. Hosts
// count crashes by fingerprint in a table of the store that all of them follow, and
// refuse a request after maxCrashes.
//
// # Counting
//
// A crash ends all runs of its target, and only one of them caused it. So a count only
// grows by runs that follow one another without a success between them: a run that was
// sent when n crashes were known raises the count to n+1 at most, and one that the target
// survives clears it. Targets that crash at the same moment count once, whatever ran on
// them.
//
// # Limits
//
// A count that stays under maxCrashes is forgotten after suspectTime, and a request is
// refused for refusalTime, so that it crashes at most maxCrashes targets in that time,
// beside those that run it before the hosts have heard of the last crash. Targets that a
// release made crash on every request are the other side: requests that came three times
// are refused for that long although the next release would serve them, unless their rows
// are removed.
//
// A host that the store is away from counts for itself alone.
package screener
