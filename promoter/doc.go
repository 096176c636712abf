// Package promoter decides how a pool's traffic moves to targets of another version.
//
// It is pure: orders, counts, reports of other hosts, rows and the time are arguments.
// State turns them into the Split that a host follows and the row that is to be written;
// Evidence is the sequential test that compares the versions. docs/design/rollouts.md states
// the bounds, the alternatives and the failures considered.
package promoter
