package measurer

import (
	"fmt"

	"sapphiredrum.example/sapphiredrum"
)

// Column is a figure of the tables.
type Column struct {
	Name   string
	Figure func(*Result) float64
}

// Latency returns the column of a percentile of the program latency in seconds,
// of one tier or of all with tier -1.
func Latency(tier sapphiredrum.Tier, part float64) Column {
	name := fmt.Sprintf("p%.0f s", part*100)
	if tier >= 0 {
		name = fmt.Sprintf("t%d %s", tier, name)
	}
	return Column{Name: name, Figure: func(r *Result) float64 {
		latencies := r.All
		if tier >= 0 {
			latencies = r.Latencies[tier]
		}
		return float64(Percentile(latencies, part)) / float64(sapphiredrum.Second)
	}}
}

// Columns returns the figures that the brief asks for.
func Columns() []Column {
	return []Column{
		Latency(-1, 0.5), Latency(-1, 0.95), Latency(-1, 0.99),
		{"worst slowdown", func(r *Result) float64 { _, x := r.Worst(); return x }},
		{"flooder slowdown", func(r *Result) float64 { return r.Slowdown[r.Flooder] }},
		{"total p95 s", func(r *Result) float64 { return float64(Percentile(r.Total, 0.95)) / float64(sapphiredrum.Second) }},
		{"mean slowdown", func(r *Result) float64 { return r.Mean() }},
		{"wasted %", func(r *Result) float64 { return 100 * r.WastedShare() }},
		{"wrong %", func(r *Result) float64 { return 100 * r.WrongShare() }},
		{"lost", func(r *Result) float64 { return float64(r.Lost) }},
		{"unfinished", func(r *Result) float64 { return float64(r.Unfinished) }},
	}
}

// TierColumns returns the program latency of each tier.
func TierColumns(d Deployment) []Column {
	var columns []Column
	last := sapphiredrum.Tier(-1)
	for _, t := range d.Tenants {
		if t.Tier > last {
			last = t.Tier
			columns = append(columns, Latency(last, 0.5), Latency(last, 0.95), Latency(last, 0.99))
		}
	}
	return columns
}

// ServiceColumns returns the model calls per second before, while and after the
// middle third of a run, and the least of any five seconds around its ends.
func ServiceColumns(s Scenario) []Column {
	third := int(s.Length / 3 / sapphiredrum.Second)
	return []Column{
		{"before /s", func(r *Result) float64 { return r.Service(third-60, third) }},
		{"least before /s", func(r *Result) float64 { return r.LeastService(third-40, third) }},
		{"least after leaving /s", func(r *Result) float64 { return r.LeastService(third, third+40) }},
		{"while out /s", func(r *Result) float64 { return r.Service(third+10, 2*third) }},
		{"least after return /s", func(r *Result) float64 { return r.LeastService(2*third, 2*third+40) }},
		{"after /s", func(r *Result) float64 { return r.Service(2*third+10, 2*third+70) }},
		{"collapsed s", func(r *Result) float64 { return float64(r.Collapsed) / float64(sapphiredrum.Second) }},
	}
}
