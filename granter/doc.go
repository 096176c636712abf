// Package granter gives permits for targets.
//
// The decisions are the scheduler package's. A Granter holds the cells whose
// shard this host holds: it takes requests for permits from keepers, answers each
// when its cell decides, and reads the targets' load and cache events. A request
// is a message that stays open until the decision; a keeper that gives up closes
// it, and the call leaves the queue.
//
// Seeker is the other side: it asks the guard of a cell, on this host or another,
// for a permit, renews the permits in use and reports how calls ended.
package granter
