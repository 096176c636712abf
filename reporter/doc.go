// Package reporter reports on service-level burn: how fast each tier uses up what
// its service levels tolerate, over several windows, and which workspace is
// served worst.
//
// A host records into Counters, takes a Snapshot of them at least once a minute
// and keeps it in a Ring. Whoever wants a report collects a Summary from each
// host's Ring and compiles them into a Report, which can be written as a table,
// as JSON or as an HTML page. A host that dies takes its samples along: the
// report then covers what the others served.
//
// # Burn rates
//
// An Objective's budget is the tolerated share of bad events: 5 in 100 for times,
// Level.Refused for requests refused although within rate. The burn rate is the
// share of bad events divided by the budget: at 1 the level is just kept. A line
// burns fast when both 5 minutes and 1 hour are at FastBurn or more, slowly when
// both 30 minutes and 6 hours are at SlowBurn or more: the long window shows that
// it matters, the short one that it goes on. With a budget of 5 in 100 no rate
// exceeds 20, so the thresholds lie below those customary for budgets of 1 in 1000.
package reporter
