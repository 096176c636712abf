// Package measurer measures the scheduling policy in virtual time. It drives
// the shipped decision code of the packages scheduler and picker with a seeded
// workload over small fakes of batching engines and plain services, for the two
// deployments of the brief.
//
// Run measures one variant in one scenario with one seed. Compare runs several
// variants over the same seeds, and Table prints them. On the same seed every
// variant meets the same programs, so rows differ only by the policy.
//
// The fakes: an engine prefills prompts one after another, decodes a token of
// every running call per step, where a step takes longer the more calls run;
// it keeps programs' prefixes in limited memory with least recently used
// eviction; it reports load and publishes cache events late and with gaps; and
// while cold it collapses under more calls than it bears. Hosts are not
// simulated: every keeper sees the same load summary, one second old.
package measurer
