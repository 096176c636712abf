// Package sweeper decides which programs' memory an engine is told to release.
// Each guard of a target keeps one State for it. State is pure: it takes the
// time and messages and returns orders.
//
// # Which programs are gone
//
// The engine's load reports and cache events tell whose memory it holds. For
// each of these programs the sweeper asks the host that keeps it (Ask); keepers
// answer living, gone or unknown, with the epoch of the program's shard. Gone is
// final: a keeper says it only of a program that has ended and that it, as the
// shard's owner, will run no call of again. Anything else but gone means wait: a
// keeper that can't be reached, one that has just taken over and hasn't read the
// program yet, an answer of an older epoch than the newest known one.
//
// A program counts as gone once its keeper has said so in answer to a question
// asked after the program's last permit, and Grace has passed in which no newer
// epoch of the shard turned up. Grace must be longer than it takes a guard to
// learn of a shard's new owner: then the word of a keeper that no longer owned
// the shard is found out in time. A pause of the guard's process, a lost lease
// and a new epoch of the guard or of the shard start all of this again.
//
// A target that ignores fencing numbers would obey a guard that was replaced.
// For such a target, the keeper is asked a second time once Grace has passed,
// and the order is given only after it has said gone again.
//
// # Release
//
// Orders carry the guard's epoch as their fencing number and are given only
// while the guard holds its lease. An order whose answer was lost is repeated;
// releasing twice is harmless. A report that still lists the program later than
// Lag after a release counts as memory held.
package sweeper
