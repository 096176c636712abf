// Package performer runs programs' calls at the host that keeps them.
//
// The rules of programs are the keeper package's and what has to last is the
// recorder's. A Performer takes a call from its caller's host, has it admitted,
// gives it to the program's shelf, waits for its turn, gets a permit for a target,
// records the intent of a call that must not be repeated, runs it and records what
// came of it. A caller sees the end of an answer, with the program's new head,
// only once that head is safe.
//
// Lock order: Performer.mu is the only lock; no message is sent while it is held.
package performer
