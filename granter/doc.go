// Package granter serves and requests permits for targets.
//
// A Granter runs the cells of the shards that this host owns; package scheduler
// makes their decisions. The Granter receives requests for permits from keepers,
// answers each when its cell has decided, and polls the targets' load and cache
// events. A request is answered at intervals while the call still waits, and the
// keeper repeats it; a keeper that gives up cancels the request, and the call
// leaves the queue.
//
// PermitClient is the requesting side: it asks the guard of a cell, on this host
// or another, for a permit, renews the permits in use and reports how calls ended.
package granter
