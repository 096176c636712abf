package measurer

import (
	"container/heap"
	"slices"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// event is something that happens at an instant of virtual time.
type event struct {
	at     sapphiredrum.Instant
	number int
	do     func()
}

// events is a heap of events by time, then by the order of their making.
type events []*event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].number < e[j].number
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// at plans something for an instant.
func (w *world) at(at sapphiredrum.Instant, do func()) {
	w.made++
	heap.Push(&w.events, &event{at: at, number: w.made, do: do})
}

// every repeats something until the run ends.
func (w *world) every(period sapphiredrum.Millis, do func()) {
	w.at(w.now.Add(period), func() {
		do()
		w.every(period, do)
	})
}

// planFaults enters the faults of the scenario.
func (w *world) planFaults() {
	third := sapphiredrum.Instant(w.scenario.Length / 3)
	if w.scenario.ZoneOut {
		w.at(third.Add(planLag), func() { w.setZone(true) })
		w.at((2 * third).Add(planLag), func() { w.setZone(false) })
	}
	if w.scenario.GuardDies {
		dying := w.cells[0]
		w.at(third, func() { dying.dead = true })
		if !w.variant.Loyal {
			w.at(third.Add(shun), func() { w.shun(dying) })
		}
		w.at(third.Add(takeover), func() { w.takeOver(dying) })
	}
}

// setZone takes the last zone out or brings it back with cold targets.
func (w *world) setZone(out bool) {
	zone := w.deployment.Zones[len(w.deployment.Zones)-1]
	for _, c := range w.cells {
		if c.zone != zone {
			continue
		}
		c.out = out
		for _, e := range c.engines {
			if !out {
				e.restart()
			}
		}
		w.setTargets(c)
		c.view = c.guard.Summary(w.now)
	}
}

// takeOver starts a new guard of the cell, whom the keepers ask again.
func (w *world) takeOver(c *cell) {
	w.guard(c)
	for _, x := range c.ungranted() {
		delete(c.asked, x.stream)
		w.ask(x, c)
	}
}

// shun makes the keepers ask other cells.
func (w *world) shun(c *cell) {
	c.shunned = true
	for _, x := range c.ungranted() {
		delete(c.asked, x.stream)
		w.place(x)
	}
}

// ungranted returns the calls that wait for the cell's guard.
func (c *cell) ungranted() []*call {
	var calls []*call
	for _, x := range c.asked {
		if !x.running {
			calls = append(calls, x)
		}
	}
	slices.SortFunc(calls, func(a, b *call) int { return strings.Compare(string(a.stream), string(b.stream)) })
	return calls
}
