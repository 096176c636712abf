package reserver

import (
	"context"
	"io"
	"sync"

	sd "sapphiredrum.example/sapphiredrum"
)

// Exhausted marks bytes that were not read for lack of memory.
var Exhausted = sd.Errors.NewSubNamespace("reserver").NewType("exhausted")

// Budget limits the memory of all holders. It is safe for concurrent use.
type Budget struct {
	clock sd.Clock
	lock  sync.Mutex
	state *State
}

// Holder is one owner of bytes. A nil Holder may take any number.
type Holder struct {
	budget *Budget
	held   *holding
}

// New returns a Budget.
func New(settings Settings, clock sd.Clock) *Budget {
	return &Budget{clock: clock, state: NewState(settings)}
}

// SetLargest sets the size of the longest body, which a single request may always have.
func (b *Budget) SetLargest(n sd.Bytes) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.state.largest = int64(n)
}

// Open returns a new Holder, which must be closed. It returns false if the group has its share of
// all requests.
func (b *Budget) Open(group Group) (*Holder, bool) {
	if b == nil {
		return nil, true
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	held := b.state.open(group)
	if held == nil {
		return nil, false
	}
	return &Holder{budget: b, held: held}, true
}

// EvictStalled has the request give way that has held the most for the longest without progress.
// It returns false if there is none.
func (b *Budget) EvictStalled() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.state.evictStalled(b.clock.Now())
}

// Counts returns the present figures.
func (b *Budget) Counts() Counts {
	b.lock.Lock()
	defer b.lock.Unlock()
	s := b.state
	c := s.counts
	c.Small, c.Large, c.Holders, c.SmallMost, c.Most = s.all.small, s.all.large, s.all.holders, s.smallMost, s.settings.Capacity
	return c
}

// Reserve takes n bytes. It returns false if there is no room, or if the holder was evicted.
func (h *Holder) Reserve(n int) bool {
	if h == nil || n <= 0 {
		return true
	}
	h.budget.lock.Lock()
	defer h.budget.lock.Unlock()
	return h.budget.state.reserve(h.budget.clock.Now(), h.held, int64(n))
}

// Return gives n bytes back.
func (h *Holder) Return(n int) {
	if h == nil || n <= 0 {
		return
	}
	h.budget.lock.Lock()
	defer h.budget.lock.Unlock()
	if !h.held.closed {
		h.budget.state.give(h.held, int64(n))
	}
}

// Progress records that the holder has received or sent n bytes.
func (h *Holder) Progress(n int) {
	if h == nil {
		return
	}
	h.budget.lock.Lock()
	defer h.budget.lock.Unlock()
	h.budget.state.progress(h.budget.clock.Now(), h.held, int64(n))
}

// SetEvict sets a function that has the owner give way; nil means that the holder stays. The
// function is called at most once, must not block and must not call the Budget; it is not
// called any more once SetEvict has returned. SetEvict returns false if the holder was evicted.
func (h *Holder) SetEvict(evict func()) bool {
	if h == nil {
		return true
	}
	h.budget.lock.Lock()
	defer h.budget.lock.Unlock()
	return h.budget.state.setEvict(h.budget.clock.Now(), h.held, evict)
}

// Close gives all back. It may be called more than once.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.budget.lock.Lock()
	defer h.budget.lock.Unlock()
	h.budget.state.close(h.held)
}

const (
	// FreeMessageBytes of a message of another host are a part of what its connection takes.
	FreeMessageBytes = 4 << 10
	// MessageFactor is how many times its size a message takes while it is decoded: a buffer that
	// grows by doubling, and the result.
	MessageFactor = 3
)

// Reader returns a reader that reserves factor times the bytes that it reads, less the first free
// ones. The error is Exhausted if there is no room.
func (h *Holder) Reader(source io.Reader, free, factor int) io.Reader {
	return &reader{source: source, holder: h, free: free, factor: factor}
}

type holderKey struct{}

// WithHolder returns a context whose calls draw the memory of their answers from a holder.
func WithHolder(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, h)
}

// HolderOf returns the holder of a context, or nil.
func HolderOf(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}

type reader struct {
	source       io.Reader
	holder       *Holder
	free, factor int
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n <= r.free {
		r.free -= n
		return n, err
	}
	charged := n - r.free
	r.free = 0
	if !r.holder.Reserve(charged * r.factor) {
		return 0, Exhausted.New("no memory for %d bytes more", n)
	}
	return n, err
}
