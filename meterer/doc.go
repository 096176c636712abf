// Package meterer keeps every workspace within its rate and burst over all hosts
// together.
//
// Each host runs the whole fleet's token bucket: it takes its own admissions at
// once and those of the other hosts when they tell their counts, some ten times a
// second. In calm weather that admits what one bucket would.
//
// What the others admit and have not told yet is estimated from what they told
// lately, so that a flood in a large fleet, where counts are a second old, stays
// within the bound. A request of a program under way may borrow a little of the
// workspace's next seconds; new programs wait until that is paid back.
//
// A host that is silent may be admitting too, and does not hear of this one. Its
// even part of rate and burst is then left to it: a host that hears h of n hosts,
// itself included, fills its bucket at h/n of the rate. Groups of hosts that are
// cut off from one another so never admit more than the whole.
package meterer
