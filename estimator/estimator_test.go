package estimator_test

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum/estimator"
)

// The fit finds a known line, whatever its points, and its errors have no mean
// and no trend.
func TestFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope, base := rapid.Float64Range(-1e3, 1e3).Draw(t, "slope"), rapid.Float64Range(-1e3, 1e3).Draw(t, "base")
		var exact, noisy []estimator.Point
		for i := range rapid.IntRange(2, 9).Draw(t, "points") {
			x := float64(10 * i)
			exact = append(exact, estimator.Point{X: x, Y: base + slope*x})
			noisy = append(noisy, estimator.Point{X: x, Y: base + slope*x + rapid.Float64Range(-50, 50).Draw(t, "noise")})
		}
		line := estimator.Fit(exact)
		if math.Abs(line.Slope-slope) > 1e-6 || math.Abs(line.Base-base) > 1e-6 || line.Misfit(exact) > 1e-6 {
			t.Fatalf("%+v for slope %v, base %v", line, slope, base)
		}
		mean, trend := 0.0, 0.0
		for _, p := range noisy {
			apart := p.Y - estimator.Fit(noisy).At(p.X)
			mean, trend = mean+apart, trend+apart*p.X
		}
		if math.Abs(mean) > 1e-6 || math.Abs(trend) > 1e-4 {
			t.Fatalf("errors have mean %v, trend %v", mean, trend)
		}
	})
	if flat := estimator.Fit([]estimator.Point{{X: 2, Y: 1}, {X: 2, Y: 3}}); flat.At(7) != 2 {
		t.Fatalf("one size gives %+v", flat)
	}
}

// The estimate names every role with measurements, figures and what they leave
// out, and its sums are those of its figures.
func TestEveryRole(t *testing.T) {
	roles := estimator.Roles(estimator.Target)
	var text bytes.Buffer
	if err := estimator.Print(&text, roles); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{
		"entry and forwarder", "keeper", "copies", "guard", "home account and lender", "leaser",
		"heartbeats", "follower", "recorder", "sweeper", "reporter", "messenger",
	} {
		if !strings.Contains(text.String(), "\n## "+name+"\n") {
			t.Errorf("no role %s", name)
		}
	}
	sum := 0.0
	for _, r := range roles {
		if len(r.Series) == 0 || len(r.Figures) == 0 || r.Unmeasured == "" || r.Mechanism == "" || r.State == "" {
			t.Errorf("%s is not whole", r.Name)
		}
		for _, f := range r.Figures {
			if f.How == "" || math.IsNaN(f.Value) || math.IsInf(f.Value, 0) || f.Value < 0 {
				t.Errorf("%s: %+v", r.Name, f)
			}
			if f.Kind == estimator.Traffic && f.Class != estimator.Payload && !f.Peak {
				sum += f.Value
			}
		}
	}
	got := estimator.Sum(roles, estimator.Traffic, estimator.Standing) + estimator.Sum(roles, estimator.Traffic, estimator.PerCall)
	if math.Abs(got-sum) > 1e-6*sum {
		t.Errorf("control sends %v, its figures add to %v", got, sum)
	}
}
