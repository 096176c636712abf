// Package follower keeps the configuration in force on a host.
//
// A configuration is a numbered sheet. The platform's table holds one row,
// "config/head", with the highest accepted revision and the name of the object
// that holds its sheet. A host polls that row; peers tell their revision with
// every heartbeat, and a host that hears of a higher one fetches it from the
// peer when the platform does not answer. A host never goes back to a lower
// revision, whatever a stale read or an older peer says.
//
// Committer writes a revision: the sheet as an object first, then the row, on
// condition that the row still holds the revision that the operator compared
// with. Of two operators who race, one gets a Conflict error that names the
// other's change. A commit whose answer was lost is settled by the row of its own
// revision; where that is absent, the head row is rewritten as it is, after which
// the commit can no longer take effect.
package follower
