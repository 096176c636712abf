package loader

import (
	"strings"

	"gopkg.in/ini.v1"
)

// document is a text split into sections, and the faults of its lines.
type document struct {
	sections []*section
	faults   []Fault
}

// section is a header and the entries below it.
type section struct {
	line    int
	header  string
	kind    string
	name    string
	entries []entry
}

// entry is a key and its value.
type entry struct {
	line  int
	key   string
	value string
}

// options are those of each line's parser.
var options = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// Descriptions of what may stand on a line.
const (
	allowedLine    = "a [section], a key = value or a # comment"
	allowedOnce    = "each key once in a section"
	allowedSection = "a section above the first key"
	byteOrderMark  = "\ufeff"
)

// parse splits a text into sections.
func parse(text string) *document {
	d := &document{}
	for i, line := range strings.Split(strings.TrimPrefix(text, byteOrderMark), "\n") {
		d.add(i+1, strings.TrimSpace(line))
	}
	return d
}

// add reads one line.
func (d *document) add(number int, line string) {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return
	}
	file, err := ini.LoadSources(options, []byte(line))
	if err != nil {
		d.fault(Fault{Line: number, Section: d.header(), Found: line, Allowed: allowedLine})
		return
	}
	if line[0] == '[' {
		d.open(number, line, file.SectionStrings())
		return
	}
	keys := file.Section("").Keys()
	if len(keys) != 1 || strings.ContainsAny(keys[0].Value(), "\r\n") {
		d.fault(Fault{Line: number, Section: d.header(), Found: line, Allowed: allowedLine})
		return
	}
	d.set(entry{line: number, key: keys[0].Name(), value: keys[0].Value()})
}

// open begins the section that a line's parser found.
func (d *document) open(number int, line string, names []string) {
	header := strings.Join(strings.Fields(names[len(names)-1]), " ")
	kind, name, _ := strings.Cut(header, " ")
	d.sections = append(d.sections, &section{line: number, header: header, kind: kind, name: name})
	rest := strings.TrimSpace(line[strings.LastIndexByte(line, ']')+1:])
	if rest != "" && rest[0] != '#' && rest[0] != ';' {
		d.fault(Fault{Line: number, Section: header, Found: line, Allowed: allowedLine})
	}
}

// set adds an entry to the last section.
func (d *document) set(e entry) {
	if len(d.sections) == 0 {
		d.fault(Fault{Line: e.line, Key: e.key, Found: e.value, Allowed: allowedSection})
		return
	}
	last := d.sections[len(d.sections)-1]
	for _, earlier := range last.entries {
		if earlier.key == e.key {
			d.fault(Fault{Line: e.line, Section: last.header, Key: e.key, Found: e.value, Allowed: allowedOnce})
			return
		}
	}
	last.entries = append(last.entries, e)
}

// header returns the last section's header.
func (d *document) header() string {
	if len(d.sections) == 0 {
		return ""
	}
	return d.sections[len(d.sections)-1].header
}

// fault adds a fault.
func (d *document) fault(f Fault) {
	d.faults = append(d.faults, f)
}
