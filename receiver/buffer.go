package receiver

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/reserver"
)

const (
	// maxResponseBytes limits the body of a response that is not streamed.
	maxResponseBytes = 16 << 20
	// minHostMemory is the memory size of the smallest host in the deployment.
	minHostMemory sd.Bytes = 112 << 20
	// bufferMemoryShare is the share of host memory available to all buffers together:
	// one response of maxResponseBytes on the smallest host.
	bufferMemoryShare = 0.15
	// exemptBytes of each buffer do not count towards the quota. This is several times
	// the usual response size, so that many long responses at once do not fail the
	// usual ones.
	exemptBytes = 32 << 10
	// minChunkBytes and maxChunkBytes limit the size of the chunks that a buffer
	// allocates.
	minChunkBytes, maxChunkBytes = 2 << 10, 256 << 10
)

// memoryQuota limits the total memory of all buffered answers on the host. They draw on the
// host's reserver.Budget as well, of which answers alone may not take all.
type memoryQuota struct {
	limit    int64
	reserved atomic.Int64
}

// budgetShare is the share of host memory that all bytes of callers and targets may take
// together. With the cache (a fifth), the connections (0.12) and what the process takes at rest,
// it stays below the limit at which the runtime collects garbage at any price (0.7).
const budgetShare = 0.25

// BudgetSettings returns the settings of the budget of a host; zero memory selects the smallest
// supported host.
func BudgetSettings(memory sd.Bytes) reserver.Settings {
	if memory <= 0 {
		memory = minHostMemory
	}
	return reserver.Settings{Capacity: int64(float64(memory) * budgetShare), Answer: maxResponseBytes}
}

func newMemoryQuota(memory sd.Bytes) *memoryQuota {
	if memory <= 0 {
		memory = minHostMemory
	}
	return &memoryQuota{limit: int64(float64(memory) * bufferMemoryShare)}
}

// reserve takes n bytes from the quota. It returns false if fewer are left.
func (s *memoryQuota) reserve(n int) bool {
	for {
		reserved := s.reserved.Load()
		if reserved+int64(n) > s.limit {
			return false
		}
		if s.reserved.CompareAndSwap(reserved, reserved+int64(n)) {
			return true
		}
	}
}

// buffer holds a body, or the output of a stream, as a list of chunks, so that growing does
// not copy.
type buffer struct {
	// quota and holder may be nil.
	quota  *memoryQuota
	holder *reserver.Holder
	chunks [][]byte
	// size is the number of bytes held, capacity the space allocated for them, and
	// reserved the part of capacity that counts towards the quota.
	size, capacity, reserved int
	// asReceived has large bodies take memory as they arrive, and not as they were announced.
	asReceived bool
}

// freeSpace returns unused space, allocating a chunk if needed, or nil if the quota
// is exhausted. More is the number of bytes still expected, or not positive if
// unknown.
func (b *buffer) freeSpace(more int64) []byte {
	if last := len(b.chunks) - 1; last >= 0 && len(b.chunks[last]) < cap(b.chunks[last]) {
		return b.chunks[last][len(b.chunks[last]):cap(b.chunks[last])]
	}
	length := min(max(b.capacity, minChunkBytes), maxChunkBytes)
	if more > 0 && (!b.asReceived || more <= reserver.SmallBytes) {
		length = int(min(more, maxChunkBytes))
	} else if more > 0 {
		length = int(min(more, int64(length)))
	}
	if need := max(b.capacity+length-exemptBytes, 0) - b.reserved; b.quota != nil && need > 0 {
		if !b.quota.reserve(need) {
			return nil
		}
		b.reserved += need
	}
	if !b.holder.Reserve(length) {
		return nil
	}
	b.capacity += length
	b.chunks = append(b.chunks, make([]byte, 0, length))
	return b.chunks[len(b.chunks)-1][:length]
}

// advance records that n bytes were written to the slice from freeSpace.
func (b *buffer) advance(n int) {
	last := len(b.chunks) - 1
	b.chunks[last] = b.chunks[last][:len(b.chunks[last])+n]
	b.size += n
}

// readBody reads the response body. It returns false without an error if the quota
// is exhausted before the end. The error is BrokenResponse if the body is too long,
// or the read error of the connection.
func (b *buffer) readBody(response *exchanger.Answer) (complete bool, err error) {
	if response.Length > maxResponseBytes {
		return false, sd.BrokenResponse.New("response of %d bytes exceeds the limit of %d bytes", response.Length, int64(maxResponseBytes))
	}
	for {
		space := b.freeSpace(response.Length - int64(b.size))
		if space == nil {
			return false, nil
		}
		n, err := response.Body.Read(space)
		b.advance(n)
		switch {
		case b.size > maxResponseBytes:
			return false, sd.BrokenResponse.New("response exceeds the limit of %d bytes", maxResponseBytes)
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// readRequest reads the body of a caller's request of at most limit bytes. It returns false
// without an error if the body is longer. The error is reserver.Exhausted if there is no memory
// for the body.
func (b *buffer) readRequest(request *http.Request, limit int64) (whole bool, err error) {
	var beyond [1]byte
	for {
		space := beyond[:]
		if left := request.ContentLength - int64(b.size); left != 0 {
			space = b.freeSpace(left)
		}
		if space == nil {
			return false, reserver.Exhausted.New("no memory after %d bytes", b.size)
		}
		n, err := request.Body.Read(space)
		if n > 0 && request.ContentLength != int64(b.size) {
			b.advance(n)
			b.holder.Progress(n)
		}
		switch {
		case int64(b.size) > limit:
			return false, nil
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// write appends text. It returns false if the quota is exhausted.
func (b *buffer) write(text []byte) bool {
	for len(text) > 0 {
		space := b.freeSpace(0)
		if space == nil {
			return false
		}
		n := copy(space, text)
		b.advance(n)
		text = text[n:]
	}
	return true
}

// contents returns a copy of the buffered bytes.
func (b *buffer) contents() []byte { return bytes.Join(b.chunks, nil) }

// release frees the buffer's memory and returns it to the quota and the holder.
func (b *buffer) release() {
	if b.quota != nil {
		b.quota.reserved.Add(-int64(b.reserved))
	}
	b.holder.Return(b.capacity)
	b.chunks, b.size, b.capacity, b.reserved = nil, 0, 0, 0
}
