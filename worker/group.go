package worker

import (
	"context"
	"sync"
)

// End reports that a goroutine has returned.
type End struct {
	Name string
	Err  error
}

// Group owns a set of goroutines. NewGroup makes one.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	ends   chan End
	drop   chan struct{}
	// failed is set before done is closed.
	failed []End
	done   chan struct{}

	// mu guards closed and the send of a start.
	mu     sync.Mutex
	closed bool
	starts chan struct{}
}

// NewGroup returns a group whose goroutines stop when ctx ends or Close is called.
func NewGroup(ctx context.Context) *Group {
	inner, cancel := context.WithCancel(ctx)
	g := &Group{
		ctx: inner, cancel: cancel,
		ends:   make(chan End),
		drop:   make(chan struct{}),
		done:   make(chan struct{}),
		starts: make(chan struct{}),
	}
	go g.collect()
	return g
}

// Context returns the context that the group's goroutines get.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Go starts run on a goroutine of the group. It returns false, without starting
// it, when the group is closed.
func (g *Group) Go(name string, run func(ctx context.Context) error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.starts <- struct{}{}
	go func() {
		g.ends <- End{Name: name, Err: run(g.ctx)}
	}()
	return true
}

// Close cancels the goroutines, waits for all of them and returns the ends that
// carried an error. A second Close waits too and returns nil.
func (g *Group) Close() []End {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		<-g.done
		return nil
	}
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	close(g.drop)
	<-g.done
	return g.failed
}

// collect reads every end and answers Close once all goroutines have returned.
func (g *Group) collect() {
	var failed []End
	running := 0
	drop := g.drop
	for drop != nil || running > 0 {
		select {
		case <-g.starts:
			running++
		case end := <-g.ends:
			running--
			if end.Err != nil && len(failed) < maxEnds {
				failed = append(failed, end)
			}
		case <-drop:
			drop = nil
		}
	}
	g.failed = failed
	close(g.done)
}

// maxEnds bounds the failures that a group remembers.
const maxEnds = 64
