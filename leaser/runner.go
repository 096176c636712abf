package leaser

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sapphiredrum.example/sapphiredrum"
)

// Runner runs a State: it performs the requests and delivers the events. All
// methods may be called from any goroutine.
type Runner struct {
	table  sapphiredrum.Table
	clock  sapphiredrum.Clock
	logger *zap.Logger
	relay  Relay
	// limit bounds one request; the state gives it up after the same time.
	limit sapphiredrum.Millis

	// mutex guards state, queue and reached.
	mutex   sync.Mutex
	state   *State
	queue   []Event
	reached bool

	// wake asks the loop for a tick; ready tells of queued events.
	wake   chan struct{}
	ready  chan struct{}
	events chan Event
	urgent chan struct{}
	// stop ends Run, started tells that it began and done that it has ended.
	stop    context.CancelFunc
	ctx     context.Context
	begin   sync.Once
	started chan struct{}
	done    chan struct{}
}

// tickInterval is the time between ticks of the state.
const tickInterval = 100 * sapphiredrum.Millisecond

// NewRunner returns a runner that is not running yet. Relay may be nil; then the
// host can't renew by way of a peer.
func NewRunner(settings Settings, table sapphiredrum.Table, clock sapphiredrum.Clock, logger *zap.Logger, relay Relay) *Runner {
	ctx, stop := context.WithCancel(context.Background())
	return &Runner{
		table: table, clock: clock, logger: logger, relay: relay, limit: settings.TTL / 3,
		state: New(settings, clock.Now()),
		wake:  make(chan struct{}, 1), ready: make(chan struct{}, 1), events: make(chan Event), urgent: make(chan struct{}, 1),
		stop: stop, ctx: ctx, started: make(chan struct{}), done: make(chan struct{}),
	}
}

// Events returns the channel on which events arrive, in order. It is closed when
// Run ends. Holds already tells the new state when an event arrives.
func (r *Runner) Events() <-chan Event {
	return r.events
}

// Urgent returns a channel that tells when a beat should go out at once, since a
// shard was released: the next owner then claims it without waiting for a scan.
func (r *Runner) Urgent() <-chan struct{} {
	return r.urgent
}

// Run works until ctx is done or Close is called. It returns nil then.
func (r *Runner) Run(ctx context.Context) error {
	first := false
	r.begin.Do(func() { first = true; close(r.started) })
	if !first {
		return Misused.New("a runner runs once")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.ctx, cancel)()
	defer close(r.done)
	var workers sync.WaitGroup
	workers.Go(func() { r.deliver(ctx) })
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, request := range r.tick() {
			workers.Go(func() { r.perform(ctx, request) })
		}
		select {
		case <-ticker.C:
		case <-r.wake:
		case <-ctx.Done():
		}
	}
	workers.Wait()
	return nil
}

// Close ends Run and waits until all it started has ended.
func (r *Runner) Close() {
	r.stop()
	select {
	case <-r.started:
		<-r.done
	default:
	}
}

// Holds reports whether the host may act for the shard now, and under which
// fencing number.
func (r *Runner) Holds(shard sapphiredrum.ShardID) (sapphiredrum.Epoch, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.collect()
	return r.state.Holds(r.clock.Now(), shard)
}

// Owner returns the shard's last known owner.
func (r *Runner) Owner(shard sapphiredrum.ShardID) (Owner, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Owner(shard)
}

// Owners returns the known owners of all shards of all zones.
func (r *Runner) Owners() map[sapphiredrum.ShardID]Owner {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Owners()
}

// Members returns the registered zone peers, live and leaving.
func (r *Runner) Members() []HostRow {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Members()
}

// Hear takes a heartbeat of a zone peer.
func (r *Runner) Hear(beat Beat) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.collect()
	r.state.Hear(r.clock.Now(), beat)
}

// Beat returns the heartbeat to send to zone peers now.
func (r *Runner) Beat() Beat {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Beat(r.clock.Now())
}

// Reaches reports whether the platform's table answers.
func (r *Runner) Reaches() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Reaches(r.clock.Now())
}

// Release tells that the process has finished with a shard it was Asked for.
func (r *Runner) Release(shard sapphiredrum.ShardID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state.Release(shard)
	r.nudge(r.wake)
}

// Refresh asks for a scan before its time, for a caller that found a shard's
// owner changed.
func (r *Runner) Refresh() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state.Refresh(r.clock.Now())
	r.nudge(r.wake)
}

// Leave starts the hand-over of all shards.
func (r *Runner) Leave() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.collect()
	r.logger.Info("hand-over of all shards starts", zap.Int("event", EventLeave))
	r.state.Leave(r.clock.Now())
	r.nudge(r.wake)
}

// Drained reports whether nothing is left to hand over after Leave.
func (r *Runner) Drained() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Drained()
}

// tick asks the state for due requests and queues its events.
func (r *Runner) tick() []Request {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.collect()
	now := r.clock.Now()
	requests := r.state.Tick(now)
	if reached := r.state.Reaches(now); reached != r.reached {
		r.reached = reached
		r.logger.Info("table reached or not", zap.Int("event", EventReach), zap.Bool("reached", reached))
	}
	return requests
}

// collect moves the state's events to the queue; the mutex is held.
func (r *Runner) collect() {
	if r.state.Urgent() {
		r.nudge(r.urgent)
	}
	events := r.state.Events()
	if len(events) == 0 {
		return
	}
	r.queue = append(r.queue, events...)
	r.nudge(r.ready)
}

// nudge sends without waiting; one pending nudge is enough.
func (r *Runner) nudge(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// deliver sends queued events in order until ctx is done.
func (r *Runner) deliver(ctx context.Context) {
	defer close(r.events)
	for ctx.Err() == nil {
		r.mutex.Lock()
		events := r.queue
		r.queue = nil
		r.mutex.Unlock()
		for _, event := range events {
			r.log(event)
			select {
			case r.events <- event:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
		}
	}
}
