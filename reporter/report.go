package reporter

import (
	"cmp"
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

// State tells whether a line burns its budget.
type State string

// The states of a line.
const (
	Quiet       State = "ok"
	BurningSlow State = "slow burn"
	BurningFast State = "fast burn"
)

// The burn rates from which a line counts as burning.
const (
	FastBurn = 6.0
	SlowBurn = 2.0
	// TimeBudget is the share of calls that may be over a time's target.
	TimeBudget sapphiredrum.Share = 0.05
)

// Report is the service-level burn of all hosts that were reached.
type Report struct {
	Date      sapphiredrum.WallTime
	Reached   []sapphiredrum.HostID
	Unreached []sapphiredrum.HostID
	// Lines are ordered by tier and objective.
	Lines []Line
	// Worst is the worst-served workspace of the last hour, if any had a bad event.
	Worst *Worst `json:",omitempty"`
}

// Line is one objective of one tier.
type Line struct {
	Tier      sapphiredrum.Tier
	Objective Objective
	// Target is the time promised; zero for Refusals.
	Target sapphiredrum.Millis `json:",omitempty"`
	Budget sapphiredrum.Share
	// Burns are in the order of Windows.
	Burns []Burn
	// Trend holds burn rates in steps of TrendStep, the latest last.
	Trend []float64
	State State
	// Worst is the tier's worst-served workspace of the last hour.
	Worst *Worst `json:",omitempty"`
}

// Burn is a line's burn rate over one window.
type Burn struct {
	Window sapphiredrum.Millis
	// Covered is the longest time that a host could answer for.
	Covered sapphiredrum.Millis
	Count   Count
	Rate    float64
}

// Worst is a workspace beside the mean of its tier.
type Worst struct {
	Workspace sapphiredrum.WorkspaceID
	Tier      sapphiredrum.Tier
	Objective Objective
	Rate      float64
	// Mean is the mean burn rate of the tier's workspaces that had events.
	Mean float64
}

// Compile sums the hosts' summaries into a report against the levels.
func Compile(date sapphiredrum.WallTime, summaries []Summary, unreached []sapphiredrum.HostID, levels []sapphiredrum.ServiceLevel) Report {
	r := Report{Date: date, Reached: []sapphiredrum.HostID{}, Unreached: slices.Sorted(slices.Values(unreached))}
	for _, s := range summaries {
		r.Reached = append(r.Reached, s.Host)
	}
	slices.Sort(r.Reached)
	sorted := slices.Clone(levels)
	slices.SortFunc(sorted, func(a, b sapphiredrum.ServiceLevel) int { return cmp.Compare(a.Tier, b.Tier) })
	totals := total(summaries)
	for _, l := range sorted {
		for i := range Objectives {
			if line, ok := totals.line(l, i); ok {
				r.Lines = append(r.Lines, line)
				if line.Worst != nil && (r.Worst == nil || r.Worst.Rate < line.Worst.Rate) {
					r.Worst = line.Worst
				}
			}
		}
	}
	return r
}

// totals are the sums over all hosts of each window and each step of the trend.
type totals struct {
	spans   [len(Windows)]rowSums
	covered [len(Windows)]sapphiredrum.Millis
	trend   [TrendSteps]rowSums
}

// total sums the summaries.
func total(summaries []Summary) totals {
	t := totals{}
	for i := range t.spans {
		t.spans[i] = rowSums{}
	}
	for i := range t.trend {
		t.trend[i] = rowSums{}
	}
	for _, s := range summaries {
		for i, span := range s.Spans[:min(len(s.Spans), len(t.spans))] {
			t.spans[i].add(span.Rows, false)
			t.covered[i] = max(t.covered[i], span.Covered)
		}
		for i, span := range s.Trend[:min(len(s.Trend), len(t.trend))] {
			t.trend[i].add(span.Rows, true)
		}
	}
	return t
}

// line reports on the objective with the given index, if the level has a target.
func (t totals) line(l sapphiredrum.ServiceLevel, objective int) (Line, bool) {
	line := Line{Tier: l.Tier, Objective: Objectives[objective], Budget: TimeBudget}
	switch line.Objective {
	case FirstToken:
		line.Target = l.FirstToken
	case TokenGap:
		line.Target = l.TokenGap
	case ProgramTime:
		line.Target = l.ProgramLatency
	case Refusals:
		line.Budget = l.RefusedShare
	}
	if line.Budget <= 0 || line.Target <= 0 && line.Objective != Refusals {
		return line, false
	}
	for i, w := range Windows {
		count := t.spans[i].tier(l.Tier)[objective]
		line.Burns = append(line.Burns, Burn{Window: w, Covered: t.covered[i], Count: count, Rate: rate(count, line.Budget)})
	}
	for i := range t.trend {
		count := t.trend[len(t.trend)-1-i].tier(l.Tier)[objective]
		line.Trend = append(line.Trend, rate(count, line.Budget))
	}
	line.State = state(line.Burns)
	line.Worst = t.worst(line, objective)
	return line, true
}

// worst finds the tier's workspace with the highest burn rate of the last hour.
func (t totals) worst(line Line, objective int) *Worst {
	var worst *Worst
	sum, number := 0.0, 0
	for _, r := range t.spans[hourWindow].rows() {
		count := r.Counts[objective]
		if r.Tier != line.Tier || count.Total == 0 {
			continue
		}
		burn := rate(count, line.Budget)
		sum, number = sum+burn, number+1
		if burn > 0 && (worst == nil || burn > worst.Rate) {
			worst = &Worst{Workspace: r.Workspace, Tier: r.Tier, Objective: line.Objective, Rate: burn}
		}
	}
	if worst != nil {
		worst.Mean = sum / float64(number)
	}
	return worst
}

// tier sums the rows of a tier.
func (s rowSums) tier(tier sapphiredrum.Tier) Counts {
	sum := Counts{}
	for k, c := range s {
		if k.tier == tier {
			sum = sum.plus(c)
		}
	}
	return sum
}

// rate is the share of bad events divided by the budget.
func rate(c Count, budget sapphiredrum.Share) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / float64(budget)
}

// state judges the pairs of windows.
func state(burns []Burn) State {
	switch {
	case min(burns[0].Rate, burns[hourWindow].Rate) >= FastBurn:
		return BurningFast
	case min(burns[1].Rate, burns[3].Rate) >= SlowBurn:
		return BurningSlow
	}
	return Quiet
}

// hourWindow is the index of the window of one hour.
const hourWindow = 2
