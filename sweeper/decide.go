package sweeper

import (
	"cmp"
	"slices"

	"sapphiredrum.example/sapphiredrum"
)

const (
	// programsPerAsk bounds the programs of one question.
	programsPerAsk = 64
	// asksKept is the number of Ask times after which an answer comes too late.
	asksKept = 4
)

// Tick returns the orders that are due. Guard tells whether the lease is good at
// this very time; call Tick several times within Pause.
func (s *State) Tick(now sapphiredrum.Instant, guard Guard) []Order {
	if guard != s.guard || now.Since(s.tick) > s.settings.Pause {
		s.restart(now)
	}
	s.guard, s.tick = guard, now
	s.forget(now)
	if !guard.Holds {
		return nil
	}
	ids := s.sorted()
	orders := s.questions(now, ids)
	for _, id := range ids {
		if p := s.programs[id]; s.due(now, p) {
			s.lastSent++
			order := Release{Number: s.lastSent, Program: id, Fence: guard.Epoch}
			s.releases[s.lastSent] = order
			p.retry = now.Add(s.settings.Retry)
			orders = append(orders, order)
		}
	}
	return orders
}

// due reports whether the program's memory is to be released now.
func (s *State) due(now sapphiredrum.Instant, p *program) bool {
	waited := p.gone && now.Since(p.since) >= s.settings.Grace
	trusted := s.settings.Fenced || p.confirmed
	return p.held && waited && trusted && now >= p.retry && s.guard.Epoch > s.refused
}

// questions returns the questions that are due, grouped by shard.
func (s *State) questions(now sapphiredrum.Instant, ids []sapphiredrum.ProgramID) []Order {
	var orders []Order
	var ask Ask
	flush := func() {
		if len(ask.Programs) > 0 {
			s.lastAsk++
			ask.Number = s.lastAsk
			s.asks[ask.Number] = question{ask: ask, at: now}
			orders = append(orders, ask)
		}
		ask = Ask{}
	}
	for _, id := range ids {
		p := s.programs[id]
		if !s.askable(now, p) {
			continue
		}
		if p.shard != ask.Shard || len(ask.Programs) == programsPerAsk {
			flush()
		}
		p.nextAsk = now.Add(s.settings.Ask)
		ask.Shard, ask.Programs = p.shard, append(ask.Programs, id)
	}
	flush()
	return orders
}

// askable reports whether the program's keeper is to be asked now.
func (s *State) askable(now sapphiredrum.Instant, p *program) bool {
	again := !s.settings.Fenced && !p.confirmed && now.Since(p.since) >= s.settings.Grace
	return p.held && now >= p.nextAsk && (!p.gone || again)
}

// restart forgets what keepers said, since the guard's process paused or its
// lease or epoch changed.
func (s *State) restart(now sapphiredrum.Instant) {
	clear(s.asks)
	for _, p := range s.programs {
		p.doubt(now)
	}
}

// forget drops programs without memory, and questions and orders that are old.
func (s *State) forget(now sapphiredrum.Instant) {
	for number, asked := range s.asks {
		if now.Since(asked.at) > asksKept*s.settings.Ask {
			delete(s.asks, number)
		}
	}
	for number, order := range s.releases {
		if p, found := s.programs[order.Program]; !found || now > p.retry.Add(s.settings.Retry) {
			delete(s.releases, number)
		}
	}
	for id, p := range s.programs {
		lately := now.Since(p.granted) <= s.settings.Lag || p.cleared && now.Since(p.released) <= s.settings.Lag
		if !p.held && !lately {
			delete(s.programs, id)
		}
	}
}

// sorted returns the known programs, those of a shard together.
func (s *State) sorted() []sapphiredrum.ProgramID {
	ids := make([]sapphiredrum.ProgramID, 0, len(s.programs))
	for id := range s.programs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b sapphiredrum.ProgramID) int {
		x, y := s.programs[a].shard, s.programs[b].shard
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Number, y.Number), cmp.Compare(a, b))
	})
	return ids
}
