package loader

import (
	"fmt"
	"math"

	"sapphiredrum.example/sapphiredrum"
)

// links are the names that a sheet declares, uses and may use only once.
type links struct {
	defined map[item]bool
	claimed map[item]int
	uses    []use
}

// item is something of a kind.
type item struct {
	kind string
	name string
}

// use is a reference to something that must be declared.
type use struct {
	reader *reader
	entry  entry
	item   item
}

// Bounds of the sum of the shares that zones are given. It may never exceed 1,
// else workspaces would get more than their rate; a little less stands for
// rounded shares.
const (
	leastShares sapphiredrum.Share = 0.99
	mostShares  sapphiredrum.Share = 1 + 1e-9
)

// newLinks returns empty links.
func newLinks() links {
	return links{defined: make(map[item]bool), claimed: make(map[item]int)}
}

// define declares something.
func (l *links) define(kind, name string) {
	l.defined[item{kind, name}] = true
}

// refer notes that an entry names something that must be declared.
func (l *links) refer(in *reader, e entry, kind, name string) {
	if name != "" {
		l.uses = append(l.uses, use{in, e, item{kind, name}})
	}
}

// referKey notes that the entry with a key names something.
func (l *links) referKey(in *reader, key, kind, name string) {
	e, _ := in.find(key)
	l.refer(in, e, kind, name)
}

// claim names an entry as bad whose value an earlier one has.
func (l *links) claim(in *reader, e entry, kind, name string) {
	if name == "" {
		return
	}
	if line, found := l.claimed[item{kind, name}]; found {
		in.fault(e, fmt.Sprintf("each %s once; line %d has it", kind, line))
		return
	}
	l.claimed[item{kind, name}] = e.line
}

// claimKey claims the value of the entry with a key.
func (l *links) claimKey(in *reader, key, name string) {
	e, _ := in.find(key)
	l.claim(in, e, key, name)
}

// check names the references to what is not declared.
func (l *links) check() {
	for _, u := range l.uses {
		if l.defined[u.item] {
			continue
		}
		allowed := "a declared " + u.item.kind
		if u.item.kind == "tier" {
			allowed = "the tier of a declared workspace"
		}
		if u.item.kind == "group" {
			allowed = "the group of a declared target"
		}
		u.reader.fault(u.entry, allowed)
	}
}

// checkShares names all shares as bad when they do not sum to 1.
func (r *sheetReader) checkShares() {
	var sum sapphiredrum.Share
	for _, p := range r.shares {
		sum += p.share
	}
	if sum == 0 || sum >= leastShares && sum <= mostShares {
		return
	}
	for _, p := range r.shares {
		p.reader.fault(p.entry, fmt.Sprintf("shares that sum to 1, not to %v", math.Round(float64(sum)*1e6)/1e6))
	}
}
