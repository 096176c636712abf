package recorder_test

import (
	"slices"
	"strconv"
	"strings"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/recorder"
)

// fault is what goes wrong with one exchange with the platform.
type fault int

const (
	healthy fault = iota
	refused
	lostAfter
	lostBefore
	stale
)

// platform is a table and an object store in memory.
type platform struct {
	rows     map[root.RowKey]root.Row
	older    map[root.RowKey]root.Row
	objects  map[string][]byte
	sequence root.Sequence
	// late are commits on their way whose answers were given up.
	late   []root.Transaction
	writes int
}

func newPlatform() *platform {
	return &platform{
		rows: make(map[root.RowKey]root.Row), older: make(map[root.RowKey]root.Row),
		objects: make(map[string][]byte),
	}
}

// do carries an action of a recorder out, with a fault.
func (p *platform) do(action recorder.Action, f fault) recorder.Answer {
	if f == refused {
		return recorder.Answer{Error: root.Unavailable.New("down")}
	}
	switch a := action.(type) {
	case recorder.Put:
		if f != lostBefore {
			p.objects[a.Name] = a.Value
			p.writes++
		}
		return recorder.Answer{Error: lost(f)}
	case recorder.Commit:
		if f == lostBefore {
			p.late = append(p.late, a.Transaction)
			return recorder.Answer{Error: lost(f)}
		}
		if err := p.commit(a.Transaction); err != nil && f != lostAfter {
			return recorder.Answer{Error: err}
		}
		return recorder.Answer{Error: lost(f)}
	case recorder.Read:
		return recorder.Answer{Rows: p.read(a.Keys, f == stale)}
	case recorder.Get:
		value, found := p.objects[a.Name]
		if !found {
			return recorder.Answer{Error: root.NotFound.New("%s", a.Name)}
		}
		return recorder.Answer{Value: value}
	case recorder.Delete:
		delete(p.objects, a.Name)
		return recorder.Answer{Error: lost(f)}
	}
	return recorder.Answer{}
}

// trace logs a write with its outcome.
func (w *world) trace(h *host, action recorder.Action, err error) {
	switch a := action.(type) {
	case recorder.Commit:
		w.log("%s commits %s: %v", h, a.Transaction.Operation, err)
		for _, write := range a.Transaction.Writes {
			w.log("  %s after %d: %s", write.Key, write.Expect, write.Value)
		}
	case recorder.Delete:
		if w.platform.refers(a.Name) {
			w.t.Fatalf("%s deletes %s, to which a row refers", h, a.Name)
		}
		w.log("%s deletes %s: %v", h, a.Name, err)
	case recorder.Get:
		w.log("%s reads %s: %v", h, a.Name, err)
	}
}

func lost(f fault) error {
	if f == lostAfter || f == lostBefore {
		return root.Uncertain.New("answer lost")
	}
	return nil
}

func (p *platform) commit(t root.Transaction) error {
	for _, c := range t.Checks {
		if p.rows[c.Key].Version != c.Expect {
			return root.Conflict.New("%s", c.Key)
		}
	}
	for _, w := range t.Writes {
		if p.rows[w.Key].Version != w.Expect {
			return root.Conflict.New("%s has version %d, not %d", w.Key, p.rows[w.Key].Version, w.Expect)
		}
	}
	p.sequence++
	p.writes++
	for _, w := range t.Writes {
		p.older[w.Key] = p.rows[w.Key]
		if w.Delete {
			delete(p.rows, w.Key)
			continue
		}
		p.rows[w.Key] = root.Row{
			Key: w.Key, Version: w.Expect + 1, Sequence: p.sequence,
			Operation: t.Operation, Value: slices.Clone(w.Value),
		}
	}
	return nil
}

// refers reports whether a row refers to the object.
func (p *platform) refers(name string) bool {
	for key, row := range p.rows {
		if strings.HasPrefix(string(key), "index/") || strings.HasPrefix(string(key), "log/") {
			if strings.Contains(string(row.Value), strconv.Quote(name)) {
				return true
			}
		}
	}
	return false
}

func (p *platform) read(keys []root.RowKey, old bool) []root.Row {
	rows := make([]root.Row, 0, len(keys))
	for _, key := range keys {
		row := p.rows[key]
		if old {
			row = p.older[key]
		}
		row.Key = key
		rows = append(rows, row)
	}
	return rows
}
