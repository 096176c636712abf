package estimator

import (
	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/reporter"
)

// samples is the number of samples that a ring of six hours keeps; they come
// every half minute.
const samples = 6 * 120

// newRing returns the counters of a host and their samples of six hours.
func newRing(workspaces int) (*reporter.Counters, *reporter.Ring) {
	counters, ring := reporter.NewCounters(hostName(1), 1, 0), &reporter.Ring{}
	counters.Configure([]sapphiredrum.ServiceLevel{{Tier: 0, FirstToken: 1800, TokenGap: 26, ProgramLatency: 60_000, RefusedShare: 0.001}})
	for i := range workspaces {
		counters.FirstToken(workspaceName(i), 0, 100)
		counters.Request(workspaceName(i), 0, false)
	}
	for n := range samples {
		ring.Add(counters.Snapshot(sapphiredrum.WallTime(n) * 30_000))
	}
	return counters, ring
}

// levels measures the reporter.
func levels(t Size) Role {
	r := Role{
		Name:       "reporter",
		State:      "counters by workspace and tier, and their samples of six hours",
		Mechanism:  "each host counts what it served; a report asks all hosts for their summaries",
		Unmeasured: "the histograms and the page of metrics; the command that asks all hosts",
	}
	sizes := []int{50, 200, 430}
	state := r.measure("counters and samples of six hours", "bytes", "workspaces", sizes, func(n int) float64 {
		return weigh(func() *reporter.Ring {
			_, ring := newRing(n)
			return ring
		})
	})
	sample := r.measure("take and keep a sample", "us", "workspaces", sizes, func(n int) float64 {
		counters, ring := newRing(n)
		return cost(func(i int) { ring.Add(counters.Snapshot(sapphiredrum.WallTime(samples+i) * 30_000)) })
	})
	count := r.measure("count the gap between two tokens", "us", "workspaces", sizes, func(n int) float64 {
		counters, _ := newRing(n)
		return cost(func(i int) { counters.TokenGap(workspaceName(i%n), 0, 20) })
	})
	summary := r.measure("summary, as JSON", "bytes", "workspaces", sizes, func(n int) float64 {
		_, ring := newRing(n)
		return size(ring.Summary())
	})
	w, tokens := float64(t.Workspaces), t.Tokens/float64(t.Hosts)
	r.add(Memory, Standing, state.At(w), "the line at %.0f workspaces, all of which every host serves", w)
	r.add(Processor, Standing, sample.At(w)/30, "%.0f us every 30 s", sample.At(w))
	r.add(Processor, PerCall, tokens*count.At(w), "%.0f tokens/s x %.2f us", tokens, count.At(w))
	r.add(Traffic, Standing, summary.At(w)/60, "a summary of %.0f bytes for one report a minute; the reporter takes in %.0f MB for each", summary.At(w), summary.At(w)*float64(t.Hosts)/1e6)
	return r
}
