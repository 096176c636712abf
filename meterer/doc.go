// Package meterer keeps the requests of every workspace within its rate and burst,
// over all hosts together.
//
// Each host maintains the token bucket of the whole fleet: it takes tokens for its
// own admissions at once and for those of the other hosts when they report their
// counts, up to about ten times a second. Without failures this admits what a
// single bucket would.
//
// Admissions that the other hosts have not reported yet are estimated from their
// recent reports, so that a flood stays within the limit in a large fleet too,
// where the counts are a second old. A request of a running program may borrow a
// little of the workspace's next seconds; new programs wait until that is repaid.
//
// A host that is not heard from may still be admitting, without knowledge of this
// host's admissions. Its even share of rate and burst is therefore left to it: a
// host that hears h of n hosts, itself included, fills its bucket at h/n of the
// rate. Groups of hosts that are partitioned from one another thus never admit more
// than the whole.
package meterer
