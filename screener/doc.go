// Package screener refuses requests that crash the targets that run them.
//
// Such a request comes again with another id, in another program and at any host. Its
// workspace, method, address and body stay the same, or at least the start of its body:
// they are its signature. Hosts count crashes by both parts of the signature in a table of
// the store that all of them follow, and refuse a request after maxCrashes.
//
// # Counting
//
// A crash ends all runs of its target, and only one of them caused it. So a count only
// grows by runs that follow one another without a success between them: a run that was
// sent when n crashes were known raises the count to n+1 at most, and one that the target
// survives clears it. Targets that crash at the same moment count once, whatever ran on
// them.
//
// Copies of a request that are sent together would outrun the count. So the row also has the
// targets that crashed, and from the second one on, copies run one at a time on all hosts: a host
// writes a trial into the row before it sends one, and the others wait until the count changes
// or trialTime has passed. A host that the store is away from does so for itself. Requests that
// only share the start of their body do not wait for one another.
//
// Requests that share the start of their body, such as a long prompt, are counted together
// too. A single faulty body must not have the others refused, so it adds at most
// maxSameBody to their count.
//
// # Limits
//
// A request is refused for refusalTime after maxCrashes, and for twice as long after each
// further crash. Until the hosts have heard of a crash, they go on sending the request. A
// count that stays under maxCrashes is forgotten after suspectTime.
//
// If targets crash on every request, as after a faulty release, requests that came three
// times are refused although the next release would serve them, until refusalTime has
// passed or their rows are removed.
//
// A host that the store is away from counts for itself alone.
package screener
