package receiver

import (
	"context"
	"sync"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
)

// turnover is how often the queue is looked at while requests wait: a fraction of
// the shortest request.
const turnover = 10 * sd.Millisecond

// Gate holds the host's balancer and the requests that wait for it. It is safe
// for concurrent use.
type Gate struct {
	clock   sd.Clock
	lock    sync.Mutex
	state   *balancer.State
	waiters map[*balancer.Ticket]chan struct{}
	wake    chan struct{}
}

// NewGate returns a Gate; Run must be running for requests that wait.
func NewGate(settings balancer.Settings, clock sd.Clock) *Gate {
	return &Gate{
		clock: clock, state: balancer.New(settings), waiters: map[*balancer.Ticket]chan struct{}{}, wake: make(chan struct{}, 1),
	}
}

// Update calls change with the balancer and lets waiting requests go on.
func (g *Gate) Update(change func(s *balancer.State, now sd.Instant)) {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.clock.Now()
	change(g.state, now)
	g.advance(now)
}

func (g *Gate) advance(now sd.Instant) {
	for _, k := range g.state.Advance(now) {
		if done := g.waiters[k]; done != nil {
			delete(g.waiters, k)
			close(done)
		}
	}
}

// Acquire finds a target for the ticket, waiting for one if need be. The ticket's
// Refused tells why none was found; an error is that of ctx.
func (g *Gate) Acquire(ctx context.Context, k *balancer.Ticket) error {
	g.lock.Lock()
	if g.state.Ask(g.clock.Now(), k) {
		g.lock.Unlock()
		return nil
	}
	done := make(chan struct{})
	g.waiters[k] = done
	g.lock.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.waiters[k] == nil {
		// It was settled in the meantime.
		return nil
	}
	delete(g.waiters, k)
	g.state.Leave(k)
	return ctx.Err()
}

// Release tells how the ticket's request ended.
func (g *Gate) Release(k *balancer.Ticket, result balancer.Result, took sd.Millis) {
	g.Update(func(s *balancer.State, now sd.Instant) { s.Done(now, k, result, took) })
}

// Run looks at the queue while requests wait, until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.wake:
		}
		for waiting := true; waiting; {
			timer := time.NewTimer(turnover.Duration())
			select {
			case <-ctx.Done():
				timer.Stop()
				return ctx.Err()
			case <-timer.C:
			}
			g.lock.Lock()
			g.advance(g.clock.Now())
			waiting = g.state.Queued() > 0
			g.lock.Unlock()
		}
	}
}
