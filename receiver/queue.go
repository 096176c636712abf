package receiver

import (
	"context"
	"sync"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

// queuePollInterval is how often the queue is processed while requests wait. It is a
// fraction of the duration of the shortest request.
const queuePollInterval = 10 * sd.Millisecond

// TargetQueue wraps the host's load balancer and blocks requests until it assigns
// them a target. It is safe for concurrent use.
type TargetQueue struct {
	clock   sd.Clock
	mu      sync.Mutex
	state   *balancer.State
	waiters map[*balancer.Request]chan struct{}
	wake    chan struct{}
}

// NewTargetQueue returns a TargetQueue. Queued requests proceed only while Run is
// running.
func NewTargetQueue(settings balancer.Settings, clock sd.Clock) *TargetQueue {
	return &TargetQueue{
		clock: clock, state: balancer.New(settings), waiters: map[*balancer.Request]chan struct{}{}, wake: make(chan struct{}, 1),
	}
}

// Update calls change with the balancer state and wakes queued requests that can
// proceed.
func (g *TargetQueue) Update(change func(s *balancer.State, now sd.Instant)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	change(g.state, now)
	g.advance(now)
}

// Leaves reports whether the target to which a request was sent is known to leave.
func (g *TargetQueue) Leaves(ticket *balancer.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Leaves(ticket)
}

// Replaced reports whether another target, or another start of it, is registered in place of the
// one to which a request was sent.
func (g *TargetQueue) Replaced(ticket *balancer.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Replaced(ticket)
}

// UnreadTokens returns the prompt tokens in flight from this host that are not read yet.
func (g *TargetQueue) UnreadTokens() sd.Tokens {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.UnreadTokens()
}

// Targets returns the registered targets in no particular order.
func (g *TargetQueue) Targets() []sd.TargetRegistration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Targets()
}

func (g *TargetQueue) advance(now sd.Instant) {
	for _, ticket := range g.state.DispatchQueued(now) {
		if done := g.waiters[ticket]; done != nil {
			delete(g.waiters, ticket)
			close(done)
		}
	}
}

// Acquire assigns a target to the ticket, waiting for one if necessary. If the ticket
// is refused, its RefusalReason field gives the reason and the error is nil. The error is
// that of ctx.
func (g *TargetQueue) Acquire(ctx context.Context, ticket *balancer.Request) error {
	g.mu.Lock()
	if g.state.Submit(g.clock.Now(), ticket) {
		g.mu.Unlock()
		return nil
	}
	done := make(chan struct{})
	g.waiters[ticket] = done
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiters[ticket] == nil {
		// The ticket was decided just before ctx ended.
		return nil
	}
	delete(g.waiters, ticket)
	g.state.Cancel(ticket)
	return ctx.Err()
}

// Release frees the ticket's target and reports the result and duration of the
// request.
func (g *TargetQueue) Release(ticket *balancer.Request, result balancer.Result, took sd.Millis) {
	g.Update(func(s *balancer.State, now sd.Instant) { s.Done(now, ticket, result, took) })
}

// Run processes the queue while requests wait, until ctx ends.
func (g *TargetQueue) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.wake:
		}
		for waiting := true; waiting; {
			timer := time.NewTimer(queuePollInterval.Duration())
			select {
			case <-ctx.Done():
				timer.Stop()
				return ctx.Err()
			case <-timer.C:
			}
			g.mu.Lock()
			g.advance(g.clock.Now())
			waiting = g.state.Queued() > 0
			g.mu.Unlock()
		}
	}
}
