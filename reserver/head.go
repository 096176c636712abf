package reserver

import "bytes"

const (
	// freeLines and freeHeadBytes are what usual heads have less than.
	freeLines, freeHeadBytes = 32, 4 << 10
	// lineCost is what a short field takes once it is parsed, in bytes: 104 were measured for
	// each field of a head of 60 KB, and the table of fields grows by doubling.
	lineCost = 160
)

// Head measures what the head of a request or an answer takes in memory, while it is read.
type Head struct {
	bytes, lines int
	charged      int
	// inLine tells that the last line has begun, begun that a line with text has ended.
	inLine, begun, ended bool
}

// Bytes returns the number of bytes up to the end of the head.
func (h *Head) Bytes() int { return h.bytes }

// Ended reports whether the blank line behind the head was read.
func (h *Head) Ended() bool { return h.ended }

// Add measures further bytes, which may go beyond the end of the head. It returns what they take
// beyond what is free for each head.
func (h *Head) Add(text []byte) (cost int) {
	for len(text) > 0 && !h.ended {
		end := bytes.IndexByte(text, '\n')
		line := text
		if end >= 0 {
			line = text[:end]
		}
		h.inLine = h.inLine || len(bytes.TrimRight(line, "\r")) > 0
		if end < 0 {
			h.bytes += len(text)
			break
		}
		h.bytes += end + 1
		h.lines++
		h.ended = h.begun && !h.inLine
		h.begun, h.inLine = h.begun || h.inLine, false
		text = text[end+1:]
	}
	total := max(h.lines-freeLines, 0)*lineCost + max(h.bytes-freeHeadBytes, 0)
	cost = total - h.charged
	h.charged = total
	return cost
}
