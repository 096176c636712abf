package placer

import (
	"sync"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/granter"
	"sapphiredrum.example/sapphiredrum/performer"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

// Parts are the dependencies of a Placer.
type Parts struct {
	Zone    sd.ZoneName
	Config  func() *follower.Config
	Chooser sd.TargetChooser
	Clock   sd.Clock
	// Draw returns a random number in [0, n).
	Draw func(n int) int
}

// Placer implements performer.Placer. Use New to create one.
type Placer struct {
	parts Parts

	// mu protects hints and loads.
	mu    sync.Mutex
	hints map[sd.ProgramID]hint
	loads map[scheduler.CellID]loadReport
}

// hint records where and when a program's prefix was last used.
type hint struct {
	cell   scheduler.CellID
	target sd.TargetID
	held   sd.Tokens
	at     sd.Instant
}

// loadReport is a cell's load and the time it was received.
type loadReport struct {
	load scheduler.Summary
	at   sd.Instant
}

// New returns a Placer without hints.
func New(parts Parts) *Placer {
	return &Placer{parts: parts, hints: make(map[sd.ProgramID]hint), loads: make(map[scheduler.CellID]loadReport)}
}

// Place returns the cells that may run a call: the chosen one first, then the
// others, with those of this host's zone first except for the one that the chosen
// cell replaced.
func (p *Placer) Place(route sd.Route, program sd.ProgramID, prompt sd.Tokens) []performer.Place {
	config := p.parts.Config()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.parts.Clock.Now()
	known := p.hints[program]
	places, candidates := p.candidates(now, config, route.Group, known)
	if len(places) == 0 {
		return nil
	}
	chosen := p.parts.Chooser.Choose(prompt, candidates, p.parts.Draw)
	if chosen > 0 {
		places[0], places[chosen] = places[chosen], places[0]
	}
	return places
}

// Note records that a target has cached a program's prefix.
func (p *Placer) Note(program sd.ProgramID, cell scheduler.CellID, target sd.TargetID, held sd.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hints[program] = hint{cell: cell, target: target, held: held, at: p.parts.Clock.Now()}
}

// Forget drops a program's hint.
func (p *Placer) Forget(program sd.ProgramID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hints, program)
}

// RecordLoad stores a cell's load as reported by its guard.
func (p *Placer) RecordLoad(cell scheduler.CellID, load scheduler.Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[cell] = loadReport{load: load, at: p.parts.Clock.Now()}
}

// candidates returns the cells of a group in zones that are not drained, those of
// this host's zone first, and the chooser's information about each.
func (p *Placer) candidates(now sd.Instant, config *follower.Config, group sd.GroupName, known hint) ([]performer.Place, []sd.Candidate) {
	var places []performer.Place
	var candidates []sd.Candidate
	for _, own := range []bool{true, false} {
		for _, z := range config.Sheet.Zones {
			if (z.Name == p.parts.Zone) != own || z.DrainedAt(p.parts.Clock.WallNow()) {
				continue
			}
			for _, cell := range granter.CellsOf(config, z.Name, group) {
				place, candidate := p.describe(now, config, cell, known)
				places, candidates = append(places, place), append(candidates, candidate)
			}
		}
	}
	return places, candidates
}

// describe returns a cell with its prefix hint and its load as a candidate.
func (p *Placer) describe(now sd.Instant, config *follower.Config, cell scheduler.CellID, known hint) (performer.Place, sd.Candidate) {
	place := performer.Place{Cell: cell}
	candidate := sd.Candidate{Zone: cell.Zone, Limit: granter.SlotsOf(config, cell)}
	if latest, found := p.loads[cell]; found && now.Since(latest.at) < loadTTL {
		candidate.Queued, candidate.Running, candidate.Limit = latest.load.Waiting, latest.load.Running, latest.load.Capacity
	}
	if known.cell == cell && known.held > 0 {
		place.Target, place.Held = known.target, known.held
		candidate.Target, candidate.Cached, candidate.CachedAge = known.target, known.held, now.Since(known.at)
	}
	return place, candidate
}

// loadTTL is how long a cell's load is used after it was received.
const loadTTL = 5 * sd.Second
