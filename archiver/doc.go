// Package archiver stores the turns of agent programs and accounts for their token
// budgets.
//
// # Rows
//
// All rows of a program are in one part (partition) of the store, selected by the
// program's digest, so that a single transaction can update them all. Keys are
// digests of the workspace and the identifier, so that a workspace cannot address
// the rows of another:
//
//	programs  PROGRAM/        the program's Account
//	programs  PROGRAM/TURN    a Turn: its input, its output and the turn it follows
//	turns     TURN            index from a turn to its program, for turns continued by another program
//
// # Accounts
//
// No host owns a program. A host reserves a turn's token limit before it sends the
// turn to a target, and settles the tokens delivered to the caller when the turn
// ends. Both are transactions with optimistic concurrency control: they require the
// account to have the version that the host last saw. On a conflict the store returns
// the current row and the operation is applied to that. Every operation carries the
// key of its reservation and is idempotent, so a transaction whose response was lost
// is sent again. A turn is charged as its reservation ends: while the account lists the
// reservation as open, the turn has not been charged, and afterwards it is not charged again,
// whichever host settles it.
//
// A Batcher collects the operations of one part while a transaction is in flight, so
// that the number of transactions does not grow with the load. All hosts therefore
// send a part's operations to the same host, its Sequencer. The sequencer has no
// exclusive rights: a transaction from another host only causes a conflict.
//
// # Store outages
//
// Hosts keep nothing on disk, so state held only in memory is lost if all of them lose
// power. A turn therefore runs only after the store has its reservation, or within an
// allotment for which accounts leave room (Budgets), and its end is reported only after
// the store has the turn. Callers wait for that or are refused; the memory of hosts is
// only a read cache of turns that the store has, so that no chain rests on a turn that
// the store may never get.
//
// # Reading order
//
// account.go and turn.go define the stored rows, lane.go the transactions, archive.go
// the operations of a host, read.go the lookup of turns, and sequence.go, peers.go and
// recall.go the requests between hosts.
package archiver
