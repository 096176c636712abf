package receiver

import (
	"bufio"
	"bytes"

	sd "sapphiredrum.example/sapphiredrum"
)

const (
	// maxEventBytes limits one event of a stream: a hundred times the usual size, and an
	// eighth of the longest retained turn.
	maxEventBytes = 64 << 10
	// maxKeepAliveBytes limits the comments and blank lines before an event, enough for
	// some hundred keep-alive comments.
	maxKeepAliveBytes = 8 << 10
	// minKeepAliveBytes is the least that a block of comments or blank lines counts
	// towards maxKeepAliveBytes, as each block costs a write.
	minKeepAliveBytes = 32
)

// isKeepAlive reports whether raw contains only comments and blank lines, and thus
// no event.
func isKeepAlive(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

// endsBetweenEvents reports whether a stream that ends with rest after its last event
// is complete. Only whole comment lines and blank lines may follow.
func endsBetweenEvents(rest []byte) bool {
	return len(rest) == 0 || (isKeepAlive(rest) && rest[len(rest)-1] == '\n')
}

// readEvent returns the next event of a stream as received, including its blank
// line, and its data. At the end of the stream, the error is io.EOF and raw holds any
// bytes after the last event, which may be the start of a broken one. The error is
// BrokenResponse if the event is too long.
func readEvent(r *bufio.Reader) (raw, data []byte, err error) {
	for {
		line, err := r.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > maxEventBytes {
			return nil, nil, sd.BrokenResponse.New("event exceeds the limit of %d bytes", maxEventBytes)
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

// eventData joins the values of the data fields with line feeds.
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

// eventID returns the value of the last id field, or an empty string.
func eventID(raw []byte) string {
	id := ""
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
