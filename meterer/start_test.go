package meterer_test

import (
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/meterer"
)

// flood sends perHost requests of running programs to each host and returns how many were
// admitted.
func flood(hosts []*meterer.State, now sd.Instant, perHost int) int {
	n := 0
	for _, s := range hosts {
		for range perHost {
			if s.Admit(now, "w", false).Admitted {
				n++
			}
		}
	}
	return n
}

// All hosts restart after a power loss of 0.7 s. Until a host has read which other hosts there are,
// it must not use the whole rate and the whole borrowing limit for itself.
func TestRateHoldsBeforeHostsAreKnown(t *testing.T) {
	const hosts = 12
	most := (rate*float64(window)/1000+burst)*1.1 + 20
	for _, unknown := range []sd.Instant{0, 100, 300, 600, 1200} {
		w := newFleet(hosts)
		var admitted []sd.Instant
		run := func(from, to, known sd.Instant, incarnation sd.Incarnation) {
			for now := from; now < to; now += 20 {
				if now >= known {
					for i := range w.hosts {
						if (now+sd.Instant(20*i))%100 == 0 {
							w.beat(now, i, incarnation)
						}
					}
				}
				if now < 3000 {
					continue
				}
				// Three times the rate.
				for range flood(w.hosts, now, 1) {
					admitted = append(admitted, now)
				}
			}
		}
		run(0, 7000, 0, 1)
		w = newFleet(hosts)
		for i := range w.hosts {
			w.hosts[i] = meterer.New(allowed)
			w.hosts[i].Configure(7700, []sd.Workspace{{ID: "w", Rate: rate, Burst: burst}})
		}
		run(7700, 14000, 7700+unknown, 2)
		first, got := 0, 0
		for i, at := range admitted {
			for at-admitted[first] >= sd.Instant(window) {
				first++
			}
			got = max(got, i-first+1)
		}
		t.Logf("hosts unknown for %d ms: %d in a window, bound %.0f", unknown, got, most)
		if float64(got) > most {
			t.Errorf("hosts unknown for %d ms: %d admitted in a window, bound %.0f", unknown, got, most)
		}
	}
}
