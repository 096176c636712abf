// Package reserver bounds the memory that bytes of callers, targets and other hosts take.
//
// A Budget has a small part, from which each Holder draws its first bytes, and a large one for
// all further bytes, so that large bodies leave room for small requests. Each group of holders
// (the requests of one workspace, those without a key, heads, targets, other hosts) may take a
// share of both parts. If there is no room, holders that may be evicted and have moved no bytes
// for some time give way, those that have held the most for the longest first. A holder whose
// request is whole and runs is never evicted. If nobody gives way, the reservation fails.
//
// State decides, and takes the time as an argument; Budget guards it and reads the clock.
package reserver
