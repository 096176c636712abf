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

// Parts are the dependencies of a Granter.
type Parts struct {
	Zone    sd.ZoneName
	Locator sd.ShardLocator
	Config  func() *follower.Config
	// Leaving reports whether the platform lists the host at an address as leaving.
	Leaving func(address sd.Address) bool
	Targets sd.TargetClients
	Clock   sd.Clock
	// Client sends liveness requests to programs' keepers on other hosts; Keeper
	// answers those for shards of this host.
	Client *messenger.Client
	Keeper Keeper
	// LatestEpoch returns the epoch of a shard's owner according to the store.
	LatestEpoch func(shard sd.ShardID) (sd.Epoch, bool)
}

// Granter guards the cells of the shards that this host owns. Use New to create
// one.
type Granter struct {
	parts Parts

	// mu protects cells and their contents, and the fields below.
	mu    sync.Mutex
	cells map[scheduler.CellID]*guardedCell
	// zoneCells are the zone's cells according to zoneCellsConfig.
	zoneCells       []scheduler.CellID
	zoneCellsConfig *follower.Config
}

// guardedCell is a cell with the requests that await its decisions.
type guardedCell struct {
	cell    *scheduler.Cell
	epoch   sd.Epoch
	targets []sd.Target
	waiters map[sd.StreamID]*waiter
	polls   map[sd.TargetID]*targetPoll
}

// waiter is a request for a permit. Its keeper repeats it until it is decided.
type waiter struct {
	decided chan scheduler.Decision
	// asked is the time of the keeper's latest request.
	asked sd.Instant
}

// New returns a Granter without cells.
func New(parts Parts) *Granter {
	return &Granter{parts: parts, cells: make(map[scheduler.CellID]*guardedCell)}
}

// Register adds the guard's message handlers to a router.
func (g *Granter) Register(router messenger.Router) {
	messenger.Handle(router, "permit", g.permit)
	messenger.Handle(router, "done", func(_ context.Context, r doneReport) (emptyResponse, error) {
		g.done(r)
		return emptyResponse{}, nil
	})
	messenger.Handle(router, "withdraw", func(_ context.Context, w withdrawal) (emptyResponse, error) {
		g.withdraw(w)
		return emptyResponse{}, nil
	})
	messenger.Handle(router, "renew", func(_ context.Context, r renewal) (emptyResponse, error) {
		g.renew(r)
		return emptyResponse{}, nil
	})
}

// Run updates the cells and polls their targets until ctx is done.
func (g *Granter) Run(ctx context.Context) error {
	group := worker.NewGroup(ctx)
	defer group.Close()
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		g.tick()
		for _, p := range g.duePolls() {
			group.Go("poll", func(ctx context.Context) error { g.pollTarget(ctx, p); return nil })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// permit answers a request once its cell has decided, or after answerInterval with
// the news that the call still waits, so that a keeper can tell a long queue from
// an unresponsive guard.
func (g *Granter) permit(ctx context.Context, r permitRequest) (permitResponse, error) {
	waiting, refusal := g.enqueue(r)
	if refusal != nil {
		return permitResponse{}, refusal
	}
	timer := time.NewTimer(answerInterval.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		g.withdraw(withdrawal{Cell: r.Cell, Call: r.Request.Call})
		return permitResponse{}, sd.NewRefusal(sd.CallCancelled, 0, "the call was given up while it waited")
	case <-timer.C:
		return permitResponse{Waiting: true, Load: g.load(r.Cell)}, nil
	case decision := <-waiting.decided:
		g.removeWaiter(r.Cell, r.Request.Call)
		permit, err := permitOf(r.Cell, decision)
		return permitResponse{Permit: permit, Load: g.load(r.Cell)}, err
	}
}

// removeWaiter drops a request that has been answered.
func (g *Granter) removeWaiter(cell scheduler.CellID, call sd.StreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.cells[cell]; c != nil {
		delete(c.waiters, call)
	}
}

// permitOf converts a decision to the permit or the error that answers a request.
func permitOf(cell scheduler.CellID, decision scheduler.Decision) (Permit, error) {
	switch d := decision.(type) {
	case scheduler.Granted:
		return Permit{Cell: cell, Number: d.Permit, Target: d.Target, Fence: d.Fence}, nil
	case scheduler.Refused:
		return Permit{}, d.Refusal
	}
	return Permit{}, sd.NewRefusal(sd.KeeperMoving, retryDelay, "the target's guard is moving to another host")
}

// load returns a cell's load, zero if this host does not guard it.
func (g *Granter) load(cell scheduler.CellID) scheduler.Summary {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cells[cell]
	if c == nil {
		return scheduler.Summary{}
	}
	return c.cell.Summary(g.parts.Clock.Now())
}

// enqueue adds a request to its cell's queue, or refreshes it if it waits already.
func (g *Granter) enqueue(r permitRequest) (*waiter, *sd.Refusal) {
	epoch, held := g.parts.Locator.Owns(ShardOf(r.Cell))
	g.mu.Lock()
	defer g.mu.Unlock()
	if held {
		g.openCell(r.Cell, epoch)
	}
	c := g.cells[r.Cell]
	if !held || c == nil || c.epoch != epoch {
		return nil, sd.NewRefusal(sd.KeeperMoving, retryDelay, "the target's guard is moving to another host")
	}
	now := g.parts.Clock.Now()
	if known := c.waiters[r.Request.Call]; known != nil {
		known.asked = now
		return known, nil
	}
	r.Request.Deadline = now.Add(r.Left)
	entered := &waiter{decided: make(chan scheduler.Decision, 1), asked: now}
	c.waiters[r.Request.Call] = entered
	if verdict := c.cell.Submit(now, r.Request); verdict.Refusal != nil {
		delete(c.waiters, r.Request.Call)
		return nil, verdict.Refusal
	}
	c.decide(now)
	return entered, nil
}

// withdraw cancels a call's request at its cell.
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

// done ends a permit. A permit of an earlier epoch is ignored, since the current
// guard has no record of it.
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

// renew extends the lease of permits and of the keeper's waiting calls.
func (g *Granter) renew(r renewal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.cells[r.Cell]; c != nil && (r.Fence == 0 || c.epoch == r.Fence) {
		c.cell.Renew(g.parts.Clock.Now(), r.Keeper, r.Permits)
	}
}

// decide makes the cell's decisions and delivers them to the waiting requests. A
// decision without a waiting request, or whose keeper has stopped asking, is
// withdrawn.
func (c *guardedCell) decide(now sd.Instant) {
	for _, decision := range c.cell.Tick(now) {
		call := callOf(decision)
		w := c.waiters[call]
		if w == nil || now.Since(w.asked) > keeperTimeout {
			delete(c.waiters, call)
			c.cell.Withdraw(now, call)
			continue
		}
		c.notifySweeper(now, decision)
		select {
		case w.decided <- decision:
		default:
		}
	}
}

// notifySweeper tells a target's sweeper of a grant.
func (c *guardedCell) notifySweeper(now sd.Instant, decision scheduler.Decision) {
	granted, isGranted := decision.(scheduler.Granted)
	if !isGranted {
		return
	}
	if p := c.polls[granted.Target]; p != nil && p.sweeper != nil {
		p.sweeper.Granted(now, granted.Program)
	}
}

// callOf returns the call that a decision concerns.
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
	retryDelay   = 200 * sd.Millisecond
	// answerInterval bounds the time until a keeper receives an answer to a request.
	answerInterval = sd.Second
	// keeperTimeout is the time without a repeated request after which the keeper
	// counts as having given up.
	keeperTimeout = 5 * sd.Second
)
