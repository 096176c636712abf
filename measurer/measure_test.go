package measurer_test

import (
	"os"
	"testing"

	"sapphiredrum.example/sapphiredrum/measurer"
)

const workers = 3

// Prints the tables of docs/MEASURES.md, small.
func TestMeasure(t *testing.T) {
	for _, d := range []measurer.Deployment{measurer.Potrdilo(), measurer.Consorzio()} {
		for _, s := range []measurer.Scenario{measurer.Calm(), measurer.Overload()} {
			variants := append(measurer.Naive(), measurer.Orders()...)
			rows := measurer.Compare(t.Context(), d, s, variants, []uint64{1, 2, 3}, workers)
			if err := measurer.Table(os.Stdout, d.Name+" "+s.Name, measurer.Columns(), rows); err != nil {
				t.Fatal(err)
			}
		}
	}
}
