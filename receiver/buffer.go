package receiver

import (
	"bytes"
	"io"
	"sync/atomic"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
)

const (
	// answerBytes bounds the body of a plain answer.
	answerBytes = 16 << 20
	// smallestMemory is that of the smallest host that is deployed.
	smallestMemory sd.Bytes = 112 << 20
	// bufferShare is the part of a host's memory that buffers may take together: one
	// answer of answerBytes on the smallest host.
	bufferShare = 0.15
	// freeBytes of each buffer are outside the common bound: several times a usual
	// answer, so that a crowd of long ones fails no usual one.
	freeBytes = 32 << 10
	// firstPart and longestPart bound what a buffer grows by.
	firstPart, longestPart = 2 << 10, 256 << 10
)

// buffers bounds the memory that the buffers of a host take together.
type buffers struct {
	limit int64
	taken atomic.Int64
}

func newBuffers(memory sd.Bytes) *buffers {
	if memory <= 0 {
		memory = smallestMemory
	}
	return &buffers{limit: int64(float64(memory) * bufferShare)}
}

// take takes n bytes, or reports that they are not left.
func (s *buffers) take(n int) bool {
	for {
		taken := s.taken.Load()
		if taken+int64(n) > s.limit {
			return false
		}
		if s.taken.CompareAndSwap(taken, taken+int64(n)) {
			return true
		}
	}
}

// buffer holds one answer, or what a stream says, in parts, which are never copied to grow.
type buffer struct {
	common *buffers
	parts  [][]byte
	// size is what is held, room what the parts have space for, taken what of it
	// counts for the common bound.
	size, room, taken int
}

// space returns room for the next bytes, or nothing if the common bound is reached.
// More is the number of bytes that are expected, if it is known.
func (b *buffer) space(more int64) []byte {
	if last := len(b.parts) - 1; last >= 0 && len(b.parts[last]) < cap(b.parts[last]) {
		return b.parts[last][len(b.parts[last]):cap(b.parts[last])]
	}
	length := min(max(b.room, firstPart), longestPart)
	if more > 0 {
		length = int(min(more, longestPart))
	}
	if need := max(b.room+length-freeBytes, 0) - b.taken; need > 0 {
		if !b.common.take(need) {
			return nil
		}
		b.taken += need
	}
	b.room += length
	b.parts = append(b.parts, make([]byte, 0, length))
	return b.parts[len(b.parts)-1][:length]
}

// filled tells that n bytes were put into what space returned.
func (b *buffer) filled(n int) {
	last := len(b.parts) - 1
	b.parts[last] = b.parts[last][:len(b.parts[last])+n]
	b.size += n
}

// fill reads an answer's body. It is not whole if the common bound was reached
// before its end. Errors are BrokenAnswer for one that is too long, and those of the
// connection.
func (b *buffer) fill(answer *exchanger.Answer) (whole bool, err error) {
	if answer.Length > answerBytes {
		return false, sd.BrokenResponse.New("answer of %d bytes, more than %d", answer.Length, int64(answerBytes))
	}
	for {
		space := b.space(answer.Length - int64(b.size))
		if space == nil {
			return false, nil
		}
		n, err := answer.Body.Read(space)
		b.filled(n)
		switch {
		case b.size > answerBytes:
			return false, sd.BrokenResponse.New("answer longer than %d bytes", answerBytes)
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// write appends text, or reports that the common bound is reached.
func (b *buffer) write(text []byte) bool {
	for len(text) > 0 {
		space := b.space(0)
		if space == nil {
			return false
		}
		n := copy(space, text)
		b.filled(n)
		text = text[n:]
	}
	return true
}

// text returns what is held, in memory of its own.
func (b *buffer) text() []byte { return bytes.Join(b.parts, nil) }

// free gives back the buffer's memory.
func (b *buffer) free() {
	b.common.taken.Add(-int64(b.taken))
	b.parts, b.size, b.room, b.taken = nil, 0, 0, 0
}
