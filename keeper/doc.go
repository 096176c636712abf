// Package keeper holds the program aggregate: the order of a program's calls,
// its history with a chained head, and its budget with those of its children.
//
// The package is pure. A Shelf is the set of program trees of the shards that
// one host keeps; its methods take the time and a command, and return what the
// host has to do. It opens no socket and starts no goroutine.
//
// # Trees and records
//
// A program and its descendants form a tree, the unit of consistency. Every
// change of a tree is a Record with the tree's next number. Commands only emit
// records and apply them through the same code that rebuilds a tree after a
// takeover, so a rebuilt tree equals the one that was lost, up to its last safe
// record.
//
// A record is safe once it is durable or held by a peer that the recorder has
// named in the table. Shelf.Drain hands records out in order; Shelf.Safe is told
// what became safe. Two things wait for that: an answer with a new head, and the
// use of a raised allotment.
//
// # Order
//
// A program runs one call at a time. A call that names a head runs only on the
// head that the keeper holds. A call without a head queues behind the call that
// was issued before it, and runs only if that one succeeded.
//
// # Budget
//
// A program spends only from its allotment, an amount already recorded as spent.
// A takeover counts the whole allotment as spent, because the former owner may
// still be spending it. A child's budget is carved out of its parent's when the
// child is created; what is left comes back when the child is closed.
//
// # Stale owners
//
// Records carry the epoch of their owner. Durable appends of a former owner fail
// in the recorder; its copies are refused by a peer that was sealed at takeover
// (see Copies). So it can acknowledge nothing that the next owner lacks.
package keeper
