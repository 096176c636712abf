package picker_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/picker"
)

func ExamplePrefixAffinity() {
	chooser := picker.PrefixAffinity{Costs: picker.DefaultCosts(), HomeZone: "it-1"}
	candidates := []sapphiredrum.Candidate{
		{Target: "home", Zone: "it-1", Running: 8, Limit: 8},
		{Target: "holder", Zone: "it-2", Cached: 40000, Running: 2, Limit: 8},
	}
	first := func(int) int { return 0 }
	fmt.Println(candidates[chooser.Choose(40000, candidates, first)].Target)
	candidates[1].CachedAge = 10 * sapphiredrum.Minute
	fmt.Println(candidates[chooser.Choose(40000, candidates, first)].Target)
	// Output:
	// holder
	// home
}

func candidate(t *rapid.T) sapphiredrum.Candidate {
	return sapphiredrum.Candidate{
		Zone:      sapphiredrum.ZoneName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")),
		Cached:    sapphiredrum.Tokens(rapid.IntRange(0, 20000).Draw(t, "cached")),
		CachedAge: sapphiredrum.Millis(rapid.IntRange(0, 300000).Draw(t, "age")),
		Queued:    sapphiredrum.Slots(rapid.IntRange(0, 50).Draw(t, "queued")),
		Running:   sapphiredrum.Slots(rapid.IntRange(0, 10).Draw(t, "running")),
		Limit:     sapphiredrum.Slots(rapid.IntRange(0, 8).Draw(t, "limit")),
	}
}

// TestChoosers checks that no chooser picks a candidate without capacity or fails
// to pick one that has capacity, and that a call leaves its home zone only for a
// saving above Costs.CrossZonePenalty.
func TestChoosers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfN(rapid.Custom(candidate), 0, 12).Draw(t, "candidates")
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		costs := picker.DefaultCosts()
		open := 0
		for _, x := range candidates {
			if x.Limit > 0 {
				open++
			}
		}
		for _, chooser := range []sapphiredrum.TargetChooser{picker.PrefixAffinity{Costs: costs, HomeZone: "a"}, picker.Random{}, picker.LeastLoaded{}} {
			place := chooser.Choose(10000, candidates, draw)
			if (place >= 0) != (open > 0) || place >= 0 && candidates[place].Limit <= 0 {
				t.Fatalf("%T chose %d of %+v", chooser, place, candidates)
			}
		}
		home := sapphiredrum.Candidate{Zone: "a", Running: 7, Limit: 8}
		away := home
		away.Zone, away.Cached = "b", candidateTokens(t)
		stays := costs.Recompute(away.Cached) <= costs.CrossZonePenalty
		pair := []sapphiredrum.Candidate{home, away}
		if place := (picker.PrefixAffinity{Costs: costs, HomeZone: "a"}).Choose(30000, pair, draw); (place == 0) != stays {
			t.Fatalf("chose %d for %d tokens held away", place, away.Cached)
		}
	})
}

func candidateTokens(t *rapid.T) sapphiredrum.Tokens {
	return sapphiredrum.Tokens(rapid.IntRange(0, 30000).Draw(t, "away"))
}

// TestCosts checks that a prefix is kept over a short pause but not over a long
// one, and that it is transferred only if that is cheaper than recomputing it.
func TestCosts(t *testing.T) {
	costs := picker.DefaultCosts()
	var pauses picker.PauseEstimator
	for range 20 {
		pauses.Observe("quotes", 2*sapphiredrum.Second)
	}
	if expect := pauses.Expected("quotes"); !costs.ShouldRetain(expect, sapphiredrum.Minute, 1) {
		t.Errorf("a pause of %d ms drops the prefix", expect)
	}
	if costs.ShouldRetain(2*sapphiredrum.Minute, sapphiredrum.Minute, 0) || costs.ShouldRetain(50*sapphiredrum.Second, 0, 1) {
		t.Error("a long pause keeps the prefix")
	}
	if costs.ShouldTransfer(500) || !costs.ShouldTransfer(5000) {
		t.Error("moves few tokens or recomputes many")
	}
}
