// Package archiver keeps what agent programs said and what they may still spend.
//
// # Rows
//
// All rows of a program lie in one part of the store, chosen by the program's
// digest, so that one transaction can touch them all. Keys are digests of the
// workspace and the identifier, so that no workspace can name another's rows:
//
//	programs  PROGRAM/        the program's Account
//	programs  PROGRAM/TURN    a Turn: what came in, what was answered, what it follows
//	turns     TURN            the program of a turn, for those that come from another program
//
// # Accounts
//
// No host owns a program. A host reserves the most that a turn may generate
// before it sends the turn to a target, and settles what was handed to the caller
// when the turn ends, both in transactions under the condition that the account
// is the one the host has seen. When another host was faster, the store returns
// the current row and the decision is made anew. Every operation names its
// request, so that applying it twice changes nothing: a transaction whose answer
// was lost is simply sent again.
//
// A Lane gathers the operations of one part while a transaction is under way, so
// that the number of transactions does not grow with the load. To that end all
// hosts send a part's operations to one of them, its Sequencer; being chosen gives
// no right, and another host's lane only costs a conflict.
//
// # Without the store
//
// Hosts keep nothing on disk, so what only they know does not outlive a power loss of
// all. A turn therefore runs once the store has its reservation, and its end is
// passed on once the store has the turn. Callers wait for that or are refused; the
// memory of hosts only saves reads.
//
// # Reading order
//
// account.go and turn.go hold what is stored, lane.go the transactions, archive.go
// what a host asks for, read.go the way to a turn, sequence.go, peers.go and recall.go
// what hosts do for one another.
package archiver
