// Package picker chooses where a call goes, as the keeper of its program sees
// the targets or cells that could take it.
//
// Prefix is the chooser that the system uses. It compares expected times: the
// wait in a candidate's queue, the time to recompute the part of the prompt
// that the candidate is not believed to hold, and the price of leaving the
// home zone. A belief about a prefix loses value with its age. Only the best
// believed holder and two candidates drawn by capacity are compared, so that
// hosts with the same stale view do not all pick the same candidate.
//
// Random and LeastLoaded are naive choosers to measure against.
//
// Costs also decides whether moving a prefix beats recomputing it and whether a
// prefix is worth keeping over a tool pause.
package picker
