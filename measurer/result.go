package measurer

import (
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// Result is what one run measured.
type Result struct {
	Deployment string
	Scenario   string
	Variant    string
	Seed       uint64
	// Latencies are the latencies of the programs within their workspaces'
	// rates, by tier, sorted.
	Latencies map[sapphiredrum.Tier][]sapphiredrum.Millis
	// All are the latencies of all these programs, sorted.
	All []sapphiredrum.Millis
	// Total are the latencies of all programs, those of the flooder included.
	Total []sapphiredrum.Millis
	// Slowdown is each workspace's mean of latency over ideal latency.
	Slowdown map[sapphiredrum.WorkspaceID]float64
	// Flooder is the workspace that exceeded its rate, if any.
	Flooder sapphiredrum.WorkspaceID
	// Lost counts the flooder's programs whose first call was beyond its rate;
	// their callers gave up.
	Lost int
	// Unfinished counts programs that had not ended when the run was stopped.
	Unfinished int
	// Computed, Wasted and Reusable count prefill tokens: all that was computed,
	// what had been computed before, and what a boundless cache would hold.
	Computed, Wasted, Reusable sapphiredrum.Tokens
	// Within counts requests within their rate, Wrong those of them refused.
	Within, Wrong int
	// Beyond counts requests refused because they were beyond their rate.
	Beyond int
	// Collapsed is the time engines spent overloaded while cold.
	Collapsed sapphiredrum.Millis
	// Served counts the model calls that ended in each second.
	Served []int
	// Moved counts prefixes moved between engines.
	Moved int
}

// Percentile returns the latency that the given part of sorted values does not
// exceed, zero for none.
func Percentile(sorted []sapphiredrum.Millis, part float64) sapphiredrum.Millis {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// Worst returns the workspace with the highest slowdown and its slowdown, but
// for the flooder.
func (r *Result) Worst() (sapphiredrum.WorkspaceID, float64) {
	var found sapphiredrum.WorkspaceID
	worst := 0.0
	for _, id := range r.workspaces() {
		if r.Slowdown[id] > worst && id != r.Flooder {
			found, worst = id, r.Slowdown[id]
		}
	}
	return found, worst
}

// Mean returns the mean slowdown over the workspaces but for the flooder.
func (r *Result) Mean() float64 {
	sum, count := 0.0, 0
	for _, id := range r.workspaces() {
		if id != r.Flooder {
			sum += r.Slowdown[id]
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// WrongShare returns the part of the requests within rate that was refused.
func (r *Result) WrongShare() float64 {
	return float64(r.Wrong) / float64(max(r.Within, 1))
}

// WastedShare returns the part of the reusable prefixes that was recomputed.
func (r *Result) WastedShare() float64 {
	return float64(r.Wasted) / float64(max(r.Reusable, 1))
}

// Service returns the model calls that ended per second between two seconds.
func (r *Result) Service(from, to int) float64 {
	sum := 0
	for i := max(from, 0); i < min(to, len(r.Served)); i++ {
		sum += r.Served[i]
	}
	return float64(sum) / float64(to-from)
}

// LeastService returns the least service of any five seconds between two seconds.
func (r *Result) LeastService(from, to int) float64 {
	const window = 5
	least := r.Service(from, from+window)
	for i := from; i+window <= to; i++ {
		least = min(least, r.Service(i, i+window))
	}
	return least
}

// workspaces returns the measured workspaces in order of name.
func (r *Result) workspaces() []sapphiredrum.WorkspaceID {
	var ids []sapphiredrum.WorkspaceID
	for id := range r.Slowdown {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// collect fills the latencies from the run's programs.
func (r *Result) collect(programs []*program, now sapphiredrum.Instant, ends map[*program]sapphiredrum.Instant) {
	r.Latencies = make(map[sapphiredrum.Tier][]sapphiredrum.Millis)
	r.Slowdown = make(map[sapphiredrum.WorkspaceID]float64)
	counts := make(map[sapphiredrum.WorkspaceID]int)
	for _, p := range programs {
		if p.lost {
			r.Lost++
			continue
		}
		end, ended := ends[p]
		if !ended {
			r.Unfinished++
			end = now
		}
		latency := end.Since(p.start)
		id := p.tenant.ID
		counts[id]++
		r.Slowdown[id] += (float64(latency)/float64(max(p.ideal, 1)) - r.Slowdown[id]) / float64(counts[id])
		r.Total = append(r.Total, latency)
		if id != r.Flooder {
			r.Latencies[p.tier] = append(r.Latencies[p.tier], latency)
			r.All = append(r.All, latency)
		}
	}
	for _, latencies := range r.Latencies {
		slices.Sort(latencies)
	}
	slices.Sort(r.All)
	slices.Sort(r.Total)
}
