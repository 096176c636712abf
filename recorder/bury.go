package recorder

import (
	"slices"

	root "sapphiredrum.example/sapphiredrum"
)

// Bury asks to delete what a dead process has left: its log's row and objects.
// That process must never write again under its incarnation. While a shard of the
// zone still needs the log nothing happens; the host asks again later.
func (s *State) Bury(host root.HostID, incarnation root.Incarnation, zone root.ZoneName) {
	if key := LogKey(host, incarnation); key != s.key {
		s.graves = append(s.graves, &grave{key: key, zone: zone})
	}
}

// grave is a dead process's log on its way to be deleted: first the row, so that
// nobody can refer to its objects any more, then the objects.
type grave struct {
	step  graveStep
	key   root.RowKey
	zone  root.ZoneName
	row   root.Row
	names []string
	// checks are the index rows that were seen not to need the log.
	checks []root.Precondition
}

type graveStep int

const (
	graveRow graveStep = iota
	graveIndexes
	graveCommit
	graveObjects
)

func (g *grave) action() Action {
	switch g.step {
	case graveRow:
		return Read{Keys: []root.RowKey{g.key}}
	case graveIndexes:
		keys := make([]root.RowKey, 0, root.ShardsPerZone)
		for number := range root.ShardsPerZone {
			keys = append(keys, IndexKey(root.ShardID{Zone: g.zone, Number: number}))
		}
		return Read{Keys: keys}
	case graveCommit:
		return Commit{Transaction: root.Transaction{
			Operation: root.OperationID("bury " + string(g.key)), Checks: g.checks,
			Writes: []root.Write{{Key: g.key, Expect: g.row.Version, Delete: true}},
		}}
	}
	return Delete{Name: g.names[0]}
}

// buried takes the answer to the first grave's action.
func (s *State) buried(now root.Instant, answer Answer) []Event {
	g := s.graves[0]
	effect := effectOf(answer.Error)
	if g.step == graveCommit && effect == unsure {
		// Reading the row again settles it.
		g.step = graveRow
		return nil
	}
	if effect == none || effect == unsure && g.step != graveObjects {
		return s.failBack(now, answer.Error)
	}
	if !g.next(answer, effect) {
		s.graves = s.graves[1:]
	}
	return nil
}

// next goes to the next step and reports whether there is one.
func (g *grave) next(answer Answer, effect effect) bool {
	switch g.step {
	case graveRow:
		if answer.Rows[0].Version == 0 {
			g.step = graveObjects
			break
		}
		value, err := decode[LogRow](answer.Rows[0].Value)
		if err != nil || len(value.Shards) > 0 {
			return false
		}
		g.row, g.names, g.step = answer.Rows[0], value.names(), graveIndexes
		return true
	case graveIndexes:
		g.step = graveCommit
		return g.unneeded(answer.Rows)
	case graveCommit:
		if effect == conflict {
			return false
		}
		g.step = graveObjects
	case graveObjects:
		g.names = g.names[1:]
	}
	return len(g.names) > 0
}

// unneeded reports whether no index row needs the log or its objects.
func (g *grave) unneeded(rows []root.Row) bool {
	g.checks = nil
	for _, row := range rows {
		value, err := decode[IndexRow](row.Value)
		if err != nil || value.Log == g.key {
			return false
		}
		for _, name := range value.Sources {
			if slices.Contains(g.names, name) {
				return false
			}
		}
		g.checks = append(g.checks, root.Precondition{Key: row.Key, Expect: row.Version})
	}
	return true
}
