package observer

import (
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
)

// maxRemoved limits the removed rows that a View remembers: many times what is removed
// while an answer is under way.
const maxRemoved = 4096

// View is a table as last seen. The zero View has seen nothing. It is pure.
type View struct {
	// rows holds the last maxRemoved removed rows too, so that a late answer does not bring
	// them back.
	rows    map[string]sd.Record
	removed int
	version uint64
	listed  bool
}

// Version returns the newest version of the store that the view has seen.
func (v *View) Version() uint64 { return v.version }

// Listed reports whether the view holds the whole table.
func (v *View) Listed() bool { return v.listed }

// Lapse tells that changes may have been missed; the table must be listed anew.
func (v *View) Lapse() { v.listed = false }

// List takes the whole table and returns what changed. It refuses a list that is
// older than what the view has seen.
func (v *View) List(records []sd.Record, version uint64) ([]sd.Record, bool) {
	if version < v.version {
		return nil, false
	}
	var changed []sd.Record
	present := map[string]bool{}
	for _, r := range records {
		present[r.Key] = true
		if v.take(r) {
			changed = append(changed, r)
		}
	}
	for key, old := range v.rows {
		if !present[key] && !old.Removed {
			gone := sd.Record{RecordKey: old.RecordKey, Version: version, Removed: true}
			v.rows[key] = gone
			v.removed++
			changed = append(changed, gone)
		}
	}
	v.version, v.listed = version, true
	v.forget()
	return changed, true
}

// Change takes what a watch returned and returns what changed.
func (v *View) Change(records []sd.Record, version uint64) []sd.Record {
	var changed []sd.Record
	for _, r := range records {
		if v.take(r) {
			changed = append(changed, r)
		}
	}
	v.version = max(v.version, version)
	v.forget()
	return changed
}

// forget drops at least the older half of the removed rows if there are more than
// maxRemoved.
func (v *View) forget() {
	if v.removed <= maxRemoved {
		return
	}
	var versions []uint64
	for _, r := range v.rows {
		if r.Removed {
			versions = append(versions, r.Version)
		}
	}
	slices.Sort(versions)
	middle := versions[len(versions)/2]
	for key, r := range v.rows {
		if r.Removed && r.Version <= middle {
			delete(v.rows, key)
			v.removed--
		}
	}
}

func (v *View) take(r sd.Record) bool {
	if v.rows == nil {
		v.rows = map[string]sd.Record{}
	}
	old, known := v.rows[r.Key]
	if known && old.Version >= r.Version {
		return false
	}
	if old.Removed {
		v.removed--
	}
	if r.Removed {
		v.removed++
	}
	v.rows[r.Key] = r
	return true
}
