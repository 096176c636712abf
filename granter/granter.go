package granter

import (
	"context"
	"sync"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/scheduler"
	"sapphiredrum.example/sapphiredrum/worker"
)

// Parts are what a Granter works with.
type Parts struct {
	Zone    sd.ZoneName
	Locator sd.ShardLocator
	Config  func() *follower.Config
	// Leaving reports whether the platform lists an address as leaving.
	Leaving func(address sd.Address) bool
	Targets sd.TargetClients
	Clock   sd.Clock
	// Client carries questions to programs' keepers; Keeper answers those to this
	// host.
	Client *messenger.Client
	Keeper Keeper
	// Newest returns the epoch of a shard's owner as the table tells it.
	Newest func(shard sd.ShardID) (sd.Epoch, bool)
}

// Granter guards the cells of the shards that this host holds. New makes one.
type Granter struct {
	parts Parts

	// mu guards cells and everything in them.
	mu    sync.Mutex
	cells map[scheduler.CellID]*guarded
	// own are the zone's cells by the configuration listed.
	own    []scheduler.CellID
	listed *follower.Config
}

// guarded is a cell with the requests that wait for its decisions.
type guarded struct {
	cell    *scheduler.Cell
	epoch   sd.Epoch
	targets []sd.Target
	waiters map[sd.StreamID]*waiter
	polls   map[sd.TargetID]*poll
}

// waiter is a request for a permit whose keeper asks again until it is decided.
type waiter struct {
	decided chan scheduler.Decision
	// asked is when the keeper asked last.
	asked sd.Instant
}

// New returns a granter without cells.
func New(parts Parts) *Granter {
	return &Granter{parts: parts, cells: make(map[scheduler.CellID]*guarded)}
}

// Register adds the guard's messages to a router.
func (g *Granter) Register(router messenger.Router) {
	messenger.Handle(router, "permit", g.permit)
	messenger.Handle(router, "done", func(_ context.Context, r doneReport) (nothing, error) {
		g.done(r)
		return nothing{}, nil
	})
	messenger.Handle(router, "withdraw", func(_ context.Context, w withdrawal) (nothing, error) {
		g.withdraw(w)
		return nothing{}, nil
	})
	messenger.Handle(router, "renew", func(_ context.Context, r renewal) (nothing, error) {
		g.renew(r)
		return nothing{}, nil
	})
}

// Run keeps the cells up to date until ctx ends.
func (g *Granter) Run(ctx context.Context) error {
	group := worker.NewGroup(ctx)
	defer group.Close()
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		g.tick()
		for _, p := range g.duePolls() {
			group.Go("poll", func(ctx context.Context) error { g.poll(ctx, p); return nil })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// permit answers a request for a permit when its cell has decided, or that the
// call still waits, so that a keeper can tell a long queue from a silent guard.
func (g *Granter) permit(ctx context.Context, r permitRequest) (permitAnswer, error) {
	waiting, refusal := g.enter(r)
	if refusal != nil {
		return permitAnswer{}, refusal
	}
	timer := time.NewTimer(answerInterval.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		g.withdraw(withdrawal{Cell: r.Cell, Call: r.Request.Call})
		return permitAnswer{}, sd.NewRefusal(sd.CallCancelled, 0, "the call was given up while it waited")
	case <-timer.C:
		return permitAnswer{Waiting: true, Load: g.load(r.Cell)}, nil
	case decision := <-waiting.decided:
		g.forget(r.Cell, r.Request.Call)
		permit, err := permitOf(r.Cell, decision)
		return permitAnswer{Permit: permit, Load: g.load(r.Cell)}, err
	}
}

// forget drops a request that was answered.
func (g *Granter) forget(cell scheduler.CellID, call sd.StreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.cells[cell]; c != nil {
		delete(c.waiters, call)
	}
}

// permitOf turns a decision into the answer of a request.
func permitOf(cell scheduler.CellID, decision scheduler.Decision) (Permit, error) {
	switch d := decision.(type) {
	case scheduler.Granted:
		return Permit{Cell: cell, Number: d.Permit, Target: d.Target, Fence: d.Fence}, nil
	case scheduler.Refused:
		return Permit{}, d.Refusal
	}
	return Permit{}, sd.NewRefusal(sd.KeeperMoving, movePause, "the target's guard is moving to another host")
}

// load returns a cell's load.
func (g *Granter) load(cell scheduler.CellID) scheduler.Summary {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cells[cell]
	if c == nil {
		return scheduler.Summary{}
	}
	return c.cell.Summary(g.parts.Clock.Now())
}

// enter puts a request into its cell's queue.
func (g *Granter) enter(r permitRequest) (*waiter, *sd.Refusal) {
	epoch, held := g.parts.Locator.Owns(ShardOf(r.Cell))
	g.mu.Lock()
	defer g.mu.Unlock()
	if held {
		g.open(r.Cell, epoch)
	}
	c := g.cells[r.Cell]
	if !held || c == nil || c.epoch != epoch {
		return nil, sd.NewRefusal(sd.KeeperMoving, movePause, "the target's guard is moving to another host")
	}
	now := g.parts.Clock.Now()
	if known := c.waiters[r.Request.Call]; known != nil {
		known.asked = now
		return known, nil
	}
	r.Request.Deadline = now.Add(r.Left)
	entered := &waiter{decided: make(chan scheduler.Decision, 1), asked: now}
	c.waiters[r.Request.Call] = entered
	if verdict := c.cell.Ask(now, r.Request); verdict.Refusal != nil {
		delete(c.waiters, r.Request.Call)
		return nil, verdict.Refusal
	}
	c.decide(now)
	return entered, nil
}

// withdraw takes a call back from its cell.
func (g *Granter) withdraw(w withdrawal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cells[w.Cell]
	if c == nil {
		return
	}
	delete(c.waiters, w.Call)
	now := g.parts.Clock.Now()
	c.cell.Withdraw(now, w.Call)
	c.decide(now)
}

// done ends a permit of the current guard; one of an earlier epoch is no longer
// on this guard's books.
func (g *Granter) done(r doneReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cells[r.Permit.Cell]
	if c == nil || c.epoch != r.Permit.Fence {
		return
	}
	now := g.parts.Clock.Now()
	c.cell.Done(now, r.Permit.Number, r.Usage)
	c.decide(now)
}

// renew keeps permits and the keeper's waiting calls alive.
func (g *Granter) renew(r renewal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.cells[r.Cell]; c != nil && (r.Fence == 0 || c.epoch == r.Fence) {
		c.cell.Renew(g.parts.Clock.Now(), r.Keeper, r.Permits)
	}
}

// decide makes the cell's decisions and passes them to those who wait. A grant
// that nobody waits for, or that its keeper has stopped asking for, is taken back.
func (c *guarded) decide(now sd.Instant) {
	for _, decision := range c.cell.Tick(now) {
		call := callOf(decision)
		w := c.waiters[call]
		if w == nil || now.Since(w.asked) > keeperSilence {
			delete(c.waiters, call)
			c.cell.Withdraw(now, call)
			continue
		}
		c.note(now, decision)
		select {
		case w.decided <- decision:
		default:
		}
	}
}

// note tells a target's sweeper of a permit.
func (c *guarded) note(now sd.Instant, decision scheduler.Decision) {
	granted, isGranted := decision.(scheduler.Granted)
	if !isGranted {
		return
	}
	if p := c.polls[granted.Target]; p != nil && p.sweeper != nil {
		p.sweeper.Granted(now, granted.Program)
	}
}

// callOf returns the call that a decision is about.
func callOf(decision scheduler.Decision) sd.StreamID {
	switch d := decision.(type) {
	case scheduler.Granted:
		return d.Call
	case scheduler.Refused:
		return d.Call
	}
	return ""
}

const (
	tickInterval = 20 * sd.Millisecond
	movePause    = 200 * sd.Millisecond
	// answerInterval bounds the time that a keeper hears nothing of its request.
	answerInterval = sd.Second
	// keeperSilence is when a request counts as given up.
	keeperSilence = 5 * sd.Second
)
