package receiver

import (
	"bufio"
	"bytes"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/reserver"
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

// freeEventBytes of an event are a part of what each connection takes; longer ones draw on the
// budget.
const freeEventBytes = 4 << 10

// eventReader reads the events of a stream.
type eventReader struct {
	*bufio.Reader
	holder *reserver.Holder
	// held is the number of bytes reserved for the last event, room the length up to which it
	// may grow.
	held, room int
}

// grow makes room for an event of size bytes and its data. It returns false if there is none.
func (r *eventReader) grow(size int) bool {
	for size > r.room {
		// The event and its data, whose copies grow by doubling.
		if !r.holder.Reserve(2 * r.room) {
			return false
		}
		r.held, r.room = r.held+2*r.room, 2*r.room
	}
	return true
}

// release frees the last event.
func (r *eventReader) release() {
	r.holder.Return(r.held)
	r.held, r.room = 0, freeEventBytes
}

// next returns the next event of a stream as received, including its blank
// line, and its data. At the end of the stream, the error is io.EOF and raw holds any
// bytes after the last event, which may be the start of a broken one. The error is
// BrokenResponse if the event is too long or there is no memory for it. What was returned may be
// used until release.
func (r *eventReader) next() (raw, data []byte, err error) {
	for {
		line, err := r.ReadSlice('\n')
		if !r.grow(min(len(raw)+len(line), maxEventBytes)) {
			return nil, nil, sd.BrokenResponse.New("no memory for an event of more than %d bytes", len(raw))
		}
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
