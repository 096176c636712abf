package launcher_test

import (
	"slices"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// Engines give up the memory of programs that ended, also when the release's
// answer is lost, and keep that of a living one.
func TestEngineMemoryReleased(t *testing.T) {
	r := newRig(t)
	hosts := []*running{r.start("h1", "z1"), r.start("h2", "z2")}
	r.settle()
	c := caller{hosts[0], secret}
	living, _ := c.program(t, `{}`)
	c.must(t, 200, "POST", "/v1/chat/completions", hello, "Sapphiredrum-Program", living)
	c.must(t, 200, "POST", "/v1/chat/completions", hello)
	for n := range 4 {
		ended, _ := caller{hosts[n%2], secret}.program(t, `{}`)
		c.must(t, 200, "POST", "/v1/chat/completions", hello, "Sapphiredrum-Program", ended)
		c.must(t, 200, "DELETE", "/programs/"+ended, "")
	}
	for _, e := range r.engines {
		faults := e.Faults()
		faults.LoseAnswers = 2
		e.SetFaults(faults)
	}
	r.eventually("only the living program's memory is held", func() bool {
		held := r.held()
		return len(held) == 1 && held[0] == sd.ProgramID(living)
	})
	time.Sleep(2 * time.Second)
	if held := r.held(); !slices.Contains(held, sd.ProgramID(living)) {
		t.Fatalf("the living program's memory was released: %v", held)
	}
}

func (r *rig) held() []sd.ProgramID {
	var held []sd.ProgramID
	for _, e := range r.engines {
		held = append(held, e.Counters().Programs...)
	}
	return held
}
