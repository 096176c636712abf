// Package allotter lets turns of programs run while the store cannot take their
// reservations, within the programs' budgets.
//
// # Shares of a budget
//
// A program may be given its budget and beyond it the most that one turn is charged, which is
// the turn's token limit in whole events. That has three parts: what accounts in the store may
// reserve, and maxStarts shares (Share) that may be allotted from the memory of a host, without
// the store. An account reserves the most that a turn may be charged, and only if the rest of the
// budget holds the turn's limit, and holds what may have been allotted. So the sum holds whatever
// the hosts know of each other.
//
// # Grantors
//
// At any time at most one host, the program's grantor, allots its share: the host with
// the highest rendezvous hash in a table of the store. The hosts of a new fleet enter the
// table before any of them is settled, which the first to be settled ends with a row of the
// fleet, and each reads the table once more before it grants. A host that comes later joins:
// it waits until the programs of the others have ended (joinTime), which have read of it
// by then, as a host grants only while its copy of the table is at most leaseTime old.
// An entry is removed only after its host was silent for a multiple of that. So over
// the whole life of a program one host alone allots to it.
//
// The grantor counts what it has allotted in memory only. A host that starts again has
// lost the count, so its entry holds how often it has started: each start within
// programLife has a share of its own, and the third allots nothing. A host that stops as planned
// writes to its entry what it has allotted, if that was to no more than maxRecorded programs; such
// a start counts by that. All starts together allot maxStarts shares at most.
//
// # Closing
//
// A program that needs more than accounts may reserve beside all shares is closed: a row that every host reads
// ends its allotments, and the rest of its budget, less what may have been allotted, can be
// reserved. The table of grantors tells who may have allotted, and how many starts of that
// host: the grantor, or, while the grantor joins, the host whose place it takes. So any host
// closes the program, on the condition that the entries that it relies on are unchanged; a host
// that starts or has joined changes its entry, and reads the table again, before it allots. Only
// if whole shares leave too little is the host asked for what it has allotted.
//
// state.go decides, allotter.go does the I/O.
package allotter
