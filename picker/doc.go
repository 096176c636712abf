// Package picker chooses the cell or target that a call is sent to, with the
// information that the keeper of the call's program has.
//
// PrefixAffinity is the chooser used in production. It compares expected times:
// the wait in a candidate's queue, the time to recompute the part of the prompt
// that is not expected in the candidate's cache, and a penalty for leaving the
// home zone. A prefix hint loses value with its age. Only the candidate expected
// to hold most of the prefix and up to two random ones from the home zone and two
// from the other zones, drawn by capacity, are compared, so that hosts with the
// same stale information do not all pick the same candidate.
//
// Random and LeastLoaded are baselines for measurements.
//
// Costs also decides whether transferring a prefix is cheaper than recomputing it,
// and whether to keep a prefix in the cache during a tool pause.
package picker
