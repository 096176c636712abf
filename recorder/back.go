package recorder

import (
	"slices"

	"github.com/joomcode/errorx"

	root "sapphiredrum.example/sapphiredrum"
)

// NextBack returns the next action of the reading lane, which loads shards and
// deletes objects and dead logs.
func (s *State) NextBack(now root.Instant) (Action, bool) {
	if now < s.resumeBack {
		return nil, false
	}
	s.loading, s.burying = len(s.loads) > 0, false
	if s.loading {
		s.reuse(s.loads[0])
		if l := s.loads[0]; len(l.names) > 0 {
			return Get{Name: l.names[0]}, true
		}
		return Read{}, true
	}
	s.read = nil
	if s.sweep == nil && len(s.trash) > 0 {
		s.sweep = s.newSweep()
	}
	if s.sweep != nil {
		return s.sweep.action(), true
	}
	if s.burying = len(s.graves) > 0; s.burying {
		return s.graves[0].action(), true
	}
	return nil, false
}

// ReportBack takes the answer to the action that NextBack returned.
func (s *State) ReportBack(now root.Instant, answer Answer) []Event {
	if s.loading {
		return s.loaded(now, answer)
	}
	if s.burying {
		return s.buried(now, answer)
	}
	if s.sweep != nil {
		return s.sweep.report(s, now, answer)
	}
	return nil
}

// loaded takes one object of the first load in, and ends the load after the last.
func (s *State) loaded(now root.Instant, answer Answer) []Event {
	l := s.loads[0]
	t := s.shards[l.tenure.Shard]
	if t == nil || t.epoch != l.tenure.Epoch {
		s.loads = s.loads[1:]
		return []Event{Refused{Tenure: l.tenure, Cause: Overtaken.New("shard %s was lost while it was loaded", l.tenure.Shard)}}
	}
	if len(l.names) > 0 {
		segment, err := decode[Segment](answer.Value)
		if answer.Error != nil {
			err = answer.Error
		}
		if err != nil {
			return s.failBack(now, err)
		}
		if s.read == nil {
			s.read = make(map[string]Segment)
		}
		s.read[l.names[0]] = segment
		l.add(segment)
		l.names = l.names[1:]
		s.reuse(l)
		if len(l.names) > 0 {
			return nil
		}
	}
	s.loads = s.loads[1:]
	for _, m := range l.marks {
		restore(t.intents, m, now)
	}
	t.loaded = true
	return []Event{Loaded{Tenure: l.tenure, Records: l.records, Peers: l.peers}}
}

// reuse takes the objects in that an earlier load of this row of loads has read:
// the shards of a host that is gone have one log together.
func (s *State) reuse(l *load) {
	for len(l.names) > 0 {
		segment, found := s.read[l.names[0]]
		if !found {
			return
		}
		l.add(segment)
		l.names = l.names[1:]
	}
}

// add takes the shard's section of a segment in. Sections of an earlier tenure
// than those already read are obsolete: this log may hold some from before the
// shard was away.
func (l *load) add(segment Segment) {
	for _, section := range segment.Sections {
		if section.Shard != l.tenure.Shard || section.Epoch < l.epoch {
			continue
		}
		l.epoch = section.Epoch
		if section.Whole {
			l.records, l.marks = nil, nil
		}
		l.records = append(l.records, section.Records...)
		l.marks = append(l.marks, section.Marks...)
	}
}

// sweep deletes objects that the log has replaced. Those that index rows of
// shards taken over by others refer to are kept for a later sweep.
type sweep struct {
	names  []string
	shards []root.ShardID
}

// newSweep returns nil while a shard of this host still has sources of its own.
func (s *State) newSweep() *sweep {
	for _, t := range s.shards {
		if !t.based {
			return nil
		}
	}
	w := &sweep{names: s.trash}
	s.trash = nil
	for shard := range s.given {
		w.shards = append(w.shards, shard)
	}
	slices.SortFunc(w.shards, compareShards)
	return w
}

func (w *sweep) action() Action {
	if len(w.shards) > 0 {
		keys := make([]root.RowKey, 0, len(w.shards))
		for _, shard := range w.shards {
			keys = append(keys, IndexKey(shard))
		}
		return Read{Keys: keys}
	}
	return Delete{Name: w.names[0]}
}

func (w *sweep) report(s *State, now root.Instant, answer Answer) []Event {
	if answer.Error != nil && !errorx.IsOfType(answer.Error, root.NotFound) {
		return s.failBack(now, answer.Error)
	}
	if len(w.shards) > 0 {
		w.keep(s, now, answer.Rows)
	} else {
		w.names = w.names[1:]
	}
	if len(w.names) == 0 {
		s.sweep = nil
	}
	return nil
}

// keep sorts out the objects that index rows refer to. Nothing is deleted on a
// reading from before a takeover.
func (w *sweep) keep(s *State, now root.Instant, rows []root.Row) {
	referred := make(map[string]bool)
	for i, row := range rows {
		value, err := decode[IndexRow](row.Value)
		before, given := s.given[w.shards[i]]
		if err != nil || (given && row.Version <= before) {
			s.trash = append(s.trash, w.names...)
			w.names = nil
			s.resumeBack = now.Add(sweepRest)
			return
		}
		for _, name := range value.Sources {
			referred[name] = true
		}
		if given && len(value.Sources) == 0 {
			delete(s.given, w.shards[i])
		}
	}
	w.shards = nil
	w.names = slices.DeleteFunc(w.names, func(name string) bool {
		if referred[name] {
			s.trash = append(s.trash, name)
			s.resumeBack = now.Add(sweepRest)
		}
		return referred[name]
	})
}

// failBack notes a failed action of the reading lane.
func (s *State) failBack(now root.Instant, cause error) []Event {
	s.resumeBack = now.Add(backRest)
	return []Event{Failing{Cause: cause}}
}

const (
	// backRest is how long the reading lane rests after a failure, sweepRest
	// after it found objects that are still referred to.
	backRest  = 200 * root.Millisecond
	sweepRest = 5 * root.Second
)
