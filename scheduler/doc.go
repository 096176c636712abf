// Package scheduler implements the scheduling of a cell: a queue of the calls that
// wait for a few targets, and the permits to run calls on those targets.
//
// A cell is one or more targets of one group in one availability zone. One host,
// the guard, schedules it under a shard lease, whose epoch is the fencing number
// of every permit. Engines have no priorities and accept whatever arrives, so the
// guard grants no more permits than a target can run at once; the other calls
// wait in the guard's queue.
//
// # Queue
//
// Submit adds a call to the queue and Tick returns the decisions. A QueueOrder
// ranks the calls of a tier. With any QueueOrder, two rules bound how long a call
// is passed over:
//
//   - A call that has waited Policy.AgingLimit is aged. No later call of its tier
//     is granted before an aged call.
//   - Of any AgedGrantWindow consecutive grants made while some call is aged, at
//     least one goes to the call that has waited longest in the whole cell.
//
// So an aged call with n calls before it in order of arrival is granted within
// (n+1) x AgedGrantWindow grants of the cell, in any tier.
//
// # Permits
//
// A permit allows one call to run on one target. It ends with Done, with Withdraw,
// or when its keeper has not renewed it for Settings.Lease. A keeper silent for
// Settings.Lease also loses its waiting calls. Work whose permit ended without
// Done, and work that an earlier guard granted, is an orphan: it counts against
// the target until the target's reports no longer show it. A keeper sends a
// granted call within Settings.SendTimeout or gives the permit back.
//
// # Warm-up
//
// A target takes Target.ColdSlots permits when it has just started and
// Target.Slots once it has worked for Target.WarmUp. The guard counts only the
// working time that reports and completed calls prove. The warm-up starts again on
// a changed incarnation, a report that the target has become cold, reports that
// show none of the calls granted earlier, or consecutive failures. A new guard
// treats every target as cold, and waits for a report before its first grant.
//
// # Overload
//
// A call whose expected wait exceeds Policy.MaxQueueTime or its deadline is
// refused at once, or displaces a waiting call: the refused call always belongs to
// the workspace that exceeds its weighted share the most.
//
// A Cell holds all state and is not safe for concurrent use. The package does no
// I/O; the time and all messages are passed in as arguments.
package scheduler
