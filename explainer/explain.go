package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	sd "sapphiredrum.example/sapphiredrum"
)

// NotFound marks an id that no line names.
var NotFound = sd.Errors.NewSubNamespace("explainer").NewType("not_found")

// line is one log line.
type line struct {
	source string
	time   string
	fields map[string]any
}

// maxLine bounds a log line.
const maxLine = 1 << 20

// beside are events that change what a host believes; those near a request's lines
// help to explain it.
var beside = []float64{611, 612, 621, 630, 631, 651, 652, 656, 658, 690}

// Source is a host's log.
type Source struct {
	Name string
	Text io.Reader
}

// Explain writes all lines that name id, and between the first and the last of
// them those by which hosts changed what they believe, in order of time. Lines
// that are not JSON are passed over and counted. Errors are NotFound.
func Explain(out io.Writer, id string, sources ...Source) error {
	var all, named []line
	skipped := 0
	for _, s := range sources {
		scanner := bufio.NewScanner(s.Text)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
		for scanner.Scan() {
			text := scanner.Text()
			start := strings.IndexByte(text, '{')
			var fields map[string]any
			if start < 0 || json.Unmarshal([]byte(text[start:]), &fields) != nil {
				skipped++
				continue
			}
			l := line{source: s.Name, fields: fields}
			l.time, _ = fields["ts"].(string)
			if fields["request"] == id || fields["program"] == id || fields["previous"] == id {
				named = append(named, l)
				all = append(all, l)
			} else if number, ok := fields["event"].(float64); ok && slices.Contains(beside, number) {
				all = append(all, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return NotFound.Wrap(err, "%s cannot be read", s.Name)
		}
	}
	if len(named) == 0 {
		return NotFound.New("no line names %q", id)
	}
	byTime := func(a, b line) int { return strings.Compare(a.time, b.time) }
	slices.SortStableFunc(named, byTime)
	slices.SortStableFunc(all, byTime)
	first, last := named[0].time, named[len(named)-1].time
	for _, l := range all {
		if l.time >= first && l.time <= last {
			if err := write(out, l); err != nil {
				return err
			}
		}
	}
	if skipped > 0 {
		_, err := fmt.Fprintf(out, "%d lines are not log lines and were passed over\n", skipped)
		return err
	}
	return nil
}

func write(out io.Writer, l line) error {
	var names []string
	for name := range l.fields {
		switch name {
		case "ts", "msg", "level", "event":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var fields strings.Builder
	for _, name := range names {
		fmt.Fprintf(&fields, " %s=%v", name, l.fields[name])
	}
	_, err := fmt.Fprintf(out, "%s %-5v %v %v: %v%s\n", l.time, l.fields["level"], l.source, l.fields["event"], l.fields["msg"], fields.String())
	return err
}
