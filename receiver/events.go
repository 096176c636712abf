package receiver

import (
	"bufio"
	"bytes"

	sd "sapphiredrum.example/sapphiredrum"
)

const (
	// eventBytes bounds one event of a stream: a hundred times a usual one, and an
	// eighth of the longest turn that is kept.
	eventBytes = 64 << 10
	// fillerBytes bounds what a stream sends between two events, or before the first,
	// that is part of none: some hundred comments that keep a connection open.
	fillerBytes = 8 << 10
	// fillerLeast is what a block of it counts at least, as each costs a write.
	fillerLeast = 32
)

// isFiller reports whether a block of a stream holds only comments and blank lines,
// and so is no event.
func isFiller(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

// readEvent returns the next event of a stream as it was sent, with its blank
// line, and its data. At the clean end of the stream the error is io.EOF; raw may
// then hold bytes after the last event. Of a longer event the error is BrokenAnswer.
func readEvent(r *bufio.Reader) (raw, data []byte, err error) {
	for {
		line, err := r.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > eventBytes {
			return nil, nil, sd.BrokenResponse.New("event longer than %d bytes", eventBytes)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return raw, nil, err
		}
		if bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n")) || len(bytes.TrimRight(line, "\r\n")) == 0 {
			return raw, eventData(raw), nil
		}
	}
}

// eventData joins the values of an event's data fields with line feeds.
func eventData(raw []byte) []byte {
	var data []byte
	first := true
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		value, found := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), []byte("data:"))
		if !found {
			continue
		}
		value, _ = bytes.CutPrefix(value, []byte(" "))
		if !first {
			data = append(data, '\n')
		}
		data, first = append(data, value...), false
	}
	return data
}

// eventID returns the value of an event's id field, or nothing.
func eventID(raw []byte) string {
	id := ""
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
