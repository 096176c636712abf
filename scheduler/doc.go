// Package scheduler holds the guard of a cell: the one queue of the calls that
// wait for a few targets, and the permits by which those targets are used.
//
// A cell is one or more targets of one group in one availability zone. Exactly
// one host guards it, under a shard lease whose epoch is the fencing number of
// every permit. Engines know no priorities and admit what comes, so the guard
// grants no more permits than a target runs at once; calls wait here, in order.
//
// # Queue
//
// Ask enters a call, Tick returns the decisions. An Orderer ranks the calls of
// a tier. Whatever the Orderer, two rules bound how long a call is passed over:
//
//   - A call that has waited Policy.Wait is aged. No later call of its tier is
//     granted before an aged call.
//   - Of any Turn consecutive grants made while some call is aged, at least one
//     goes to the call that has waited longest in the whole cell.
//
// So an aged call with n calls before it in the queue's order of arrival is
// granted within (n+1) x Turn grants of the cell, in any tier.
//
// # Permits
//
// A permit is granted to a call for one target. It ends with Done, with
// Withdraw, or when its keeper has not renewed it for Settings.Lease (a keeper
// silent for as long loses its waiting calls too); work whose
// permit ended without Done, and work that an earlier guard granted, is a stray:
// it counts against the target until the target's reports no longer show it.
// A keeper sends a granted call within Settings.Start or gives the permit back.
//
// # Ramp
//
// A target bears Target.Cold permits when it has just started and Target.Slots
// when it has worked for Target.Ramp. The guard counts the time under work that
// reports and ended calls prove. A changed incarnation, a report that turns
// cold, a report that shows none of the work granted earlier, or failures in a
// row start the ramp again. A new guard starts every target cold, and waits for
// a report before its first grant.
//
// # Overload
//
// A call whose expected wait exceeds Policy.Queue or its deadline is refused at
// once, or displaces a waiting call: the refused call is always one of the
// workspace that exceeds its weighted share the most.
//
// All state is in Cell, which is not safe for concurrent use. Nothing here does
// input or output; time and messages come in as arguments.
package scheduler
