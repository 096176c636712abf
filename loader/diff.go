package loader

import (
	"fmt"

	"sapphiredrum.example/sapphiredrum"
)

// Change is a difference between two sheets.
type Change struct {
	// Section is the header of the section that differs, such as "workspace a".
	Section string
	// Kind tells what happened to the section.
	Kind ChangeKind
	// Key is the key that differs; it is empty for a section as a whole.
	Key string
	// Before and After are the key's values; a key that is left out has an empty one.
	Before string
	After  string
}

// ChangeKind tells what happened to a section.
type ChangeKind string

// The kinds of changes. The keys of an added section follow as changes of their
// own; those of a removed one do not.
const (
	SectionAdded   ChangeKind = "added"
	SectionRemoved ChangeKind = "removed"
	ValueChanged   ChangeKind = "changed"
)

// String returns the change in one line.
func (c Change) String() string {
	if c.Kind != ValueChanged {
		return fmt.Sprintf("[%s] %s", c.Section, c.Kind)
	}
	return fmt.Sprintf("[%s] %s: %q to %q", c.Section, c.Key, c.Before, c.After)
}

// Diff returns what leads from one sheet to another, whatever the order of their
// sections; it is empty for sheets that say the same.
func Diff(before, after sapphiredrum.Config) []Change {
	old := index(blocks(before))
	fresh := index(blocks(after))
	var changes []Change
	for _, b := range blocks(before) {
		if _, found := fresh[b.header]; !found {
			changes = append(changes, Change{Section: b.header, Kind: SectionRemoved})
		}
	}
	for _, b := range blocks(after) {
		earlier, found := old[b.header]
		if !found {
			changes = append(changes, Change{Section: b.header, Kind: SectionAdded})
		}
		changes = append(changes, compare(earlier, b)...)
	}
	return changes
}

// compare returns the changes of the values of one section.
func compare(before, after block) []Change {
	var changes []Change
	add := func(key, from, to string) {
		if from != to {
			changes = append(changes, Change{Section: after.header, Kind: ValueChanged, Key: key, Before: from, After: to})
		}
	}
	for _, f := range before.fields {
		add(f.key, f.value, after.value(f.key))
	}
	for _, f := range after.fields {
		if before.value(f.key) == "" {
			add(f.key, "", f.value)
		}
	}
	return changes
}

// index returns sections by their headers.
func index(all []block) map[string]block {
	found := make(map[string]block, len(all))
	for _, b := range all {
		found[b.header] = b
	}
	return found
}

// value returns the value of a key, empty if the section lacks it.
func (b block) value(key string) string {
	for _, f := range b.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}
