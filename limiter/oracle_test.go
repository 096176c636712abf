package limiter_test

import (
	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/limiter"
)

// flood sends requests to every account of every running host until it refuses.
func (w *world) flood() {
	last := w.sheets[len(w.sheets)-1]
	for _, i := range w.random.Perm(len(w.hosts)) {
		for _, c := range last.workspaces {
			for _, id := range limiter.Accounts(c.ID, last.zones) {
				w.drain(w.hosts[i], c.ID, id)
			}
		}
	}
}

func (w *world) drain(h *machine, c sapphiredrum.WorkspaceID, id sapphiredrum.ShardID) int {
	count := 0
	for h.alive() && h.state.Admit(w.clock(h), c, id).Admitted {
		count++
		w.admitted++
		if w.levels[c]--; w.levels[c] < -1e-6 {
			w.fail("at %d %s is over its rate and burst by %f, last at host %d, account %s", w.now, c, -w.levels[c], h.index, id)
		}
	}
	return count
}

// limits returns the largest rate and burst that may be in force.
func (w *world) limits(c sapphiredrum.WorkspaceID) (rate, burst float64) {
	for i, s := range w.sheets {
		if i+1 < len(w.sheets) && w.sheets[i+1].at+int64(w.settings.MaxConfigDelay) < w.now {
			continue
		}
		for _, p := range s.workspaces {
			if p.ID == c {
				rate, burst = max(rate, float64(p.Rate)), max(burst, float64(p.Burst))
			}
		}
	}
	return rate, burst
}

// accrue fills the reference buckets for the coming step.
func (w *world) accrue(step int64) {
	for c := range w.levels {
		rate, burst := w.limits(c)
		w.levels[c] = min(burst, w.levels[c]+rate*float64(step)/1000)
	}
}
