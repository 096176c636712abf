package measurer_test

import (
	"flag"
	"os"
	"reflect"
	"testing"

	"sapphiredrum.example/sapphiredrum/measurer"
)

const workers = 3

var seeds = flag.Int("seeds", 0, "print the tables of docs/MEASURES.md with so many seeds")

// Prints the tables: go test ./measurer -run Measure -v -seeds=5.
func TestMeasure(t *testing.T) {
	if *seeds > 0 {
		if err := measurer.Report(t.Context(), os.Stdout, *seeds, workers); err != nil {
			t.Fatal(err)
		}
	}
}

// The shipped policy is ahead of every naive one under overload, refuses nobody
// wrongly in calm weather, and hardly anybody while a zone leaves and returns.
func TestAhead(t *testing.T) {
	for _, d := range measurer.Deployments() {
		variants := append([]measurer.Variant{measurer.Shipped(d)}, measurer.Naive()...)
		rows := measurer.Compare(t.Context(), d, measurer.Overload(), variants, measurer.Seeds(1), workers)
		shipped := rows[0].Results[0]
		_, worst := shipped.Worst()
		for _, row := range rows[1:] {
			naive := row.Results[0]
			if got, bound := measurer.Percentile(shipped.All, 0.95), measurer.Percentile(naive.All, 0.95); got >= bound {
				t.Errorf("%s: p95 %d against %d of %s", d.Name, got, bound, row.Variant)
			}
			if _, bound := naive.Worst(); worst >= bound {
				t.Errorf("%s: worst slowdown %.2f against %.2f of %s", d.Name, worst, bound, row.Variant)
			}
		}
		bounds := map[string]float64{"calm": 0.001, "zone": 0.01, "host": 0.01}
		for _, s := range []measurer.Scenario{measurer.Calm(), measurer.ZoneOut(), measurer.GuardDies()} {
			result := measurer.Run(d, s, measurer.Shipped(d), 1)
			if result.WrongShare() >= bounds[s.Name] || result.Collapsed > 0 {
				t.Errorf("%s %s: wrongly refused %.4f, collapsed %d", d.Name, s.Name, result.WrongShare(), result.Collapsed)
			}
		}
	}
}

// The same seed gives the same result.
func TestRepeatable(t *testing.T) {
	d := measurer.Consorzio()
	s := measurer.ZoneOut()
	s.Length /= 4
	first, second := measurer.Run(d, s, measurer.Shipped(d), 7), measurer.Run(d, s, measurer.Shipped(d), 7)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("results differ: %+v, %+v", first, second)
	}
}
