package granter

import (
	"context"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/scheduler"
	"sapphiredrum.example/sapphiredrum/sweeper"
)

// targetPoll is the state of polling one target's load and cache events.
type targetPoll struct {
	cell        scheduler.CellID
	target      sd.Target
	epoch       sd.Epoch
	servesModel bool
	due         sd.Instant
	busy        bool
	lastEvent   uint64
	// reads counts the reports read; one in fullReportInterval lists the programs.
	reads int
	// sweeper decides which programs an engine is told to release; nil for services.
	sweeper *sweeper.State
	// programs are those of the latest report that lists them.
	programs []sd.ProgramID
}

// tick opens and closes cells as this host gains and loses shards, updates their
// targets and makes their decisions.
func (g *Granter) tick() {
	config := g.parts.Config()
	now := g.parts.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, c := range g.cells {
		if epoch, held := g.parts.Locator.Owns(ShardOf(id)); !held || epoch != c.epoch {
			c.refuseWaiters()
			delete(g.cells, id)
		}
	}
	if config != g.zoneCellsConfig {
		g.zoneCellsConfig, g.zoneCells = config, CellsOf(config, g.parts.Zone, "")
	}
	for _, id := range g.zoneCells {
		if epoch, held := g.parts.Locator.Owns(ShardOf(id)); held {
			g.openCell(id, epoch)
		}
	}
	for id, c := range g.cells {
		g.configure(now, config, id, c)
		c.decide(now)
		c.pruneWaiters(now)
	}
}

// pruneWaiters withdraws the calls whose keepers have stopped asking.
func (c *guardedCell) pruneWaiters(now sd.Instant) {
	for call, w := range c.waiters {
		if now.Since(w.asked) > 2*keeperTimeout {
			delete(c.waiters, call)
			c.cell.Withdraw(now, call)
		}
	}
}

// openCell creates the cell of an owned shard unless it exists in that epoch.
func (g *Granter) openCell(id scheduler.CellID, epoch sd.Epoch) {
	if c := g.cells[id]; c != nil && c.epoch == epoch {
		return
	}
	if c := g.cells[id]; c != nil {
		c.refuseWaiters()
	}
	config := g.parts.Config()
	now := g.parts.Clock.Now()
	c := &guardedCell{
		cell:    scheduler.New(now, scheduler.Settings{Cell: id, Epoch: epoch, Policy: config.Sheet.Policy}),
		epoch:   epoch,
		waiters: make(map[sd.StreamID]*waiter),
		polls:   make(map[sd.TargetID]*targetPoll),
	}
	g.cells[id] = c
	g.configure(now, config, id, c)
}

// configure sets a cell's targets and which of them take no new work.
func (g *Granter) configure(now sd.Instant, config *follower.Config, id scheduler.CellID, c *guardedCell) {
	zone, _ := config.Zone(id.Zone)
	out := zone.DrainedAt(g.parts.Clock.WallNow())
	var members []scheduler.Member
	c.targets = c.targets[:0]
	for _, t := range config.Targets(id.Zone, id.Group) {
		if CellNumber(t.ID, config.Sheet.Policy.CellsPerGroup) != id.Number {
			continue
		}
		members = append(members, scheduler.Member{Target: t, Leaving: g.parts.Leaving(t.Address), Drained: out})
		c.targets = append(c.targets, t)
		g.ensurePoll(config, id, c, t)
	}
	c.cell.SetTargets(now, members)
}

// ensurePoll starts polling a target, anew if its address has changed.
func (g *Granter) ensurePoll(config *follower.Config, id scheduler.CellID, c *guardedCell, t sd.Target) {
	if p := c.polls[t.ID]; p != nil && p.target.Address == t.Address {
		return
	}
	p := &targetPoll{cell: id, target: t, epoch: c.epoch, servesModel: servesModels(config, t.Group)}
	if p.servesModel {
		p.sweeper = newSweeper(t)
	}
	c.polls[t.ID] = p
}

// refuseWaiters refuses every waiting request of a cell that this host no longer
// guards.
func (c *guardedCell) refuseWaiters() {
	for call, w := range c.waiters {
		refusal := sd.NewRefusal(sd.KeeperMoving, retryDelay, "the target's guard is moving to another host")
		select {
		case w.decided <- scheduler.Refused{Call: call, Refusal: refusal}:
		default:
		}
	}
	c.waiters = nil
}

// duePolls returns the polls that are due and marks them busy.
func (g *Granter) duePolls() []*targetPoll {
	now := g.parts.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []*targetPoll
	for _, c := range g.cells {
		for _, t := range c.targets {
			p := c.polls[t.ID]
			if p == nil || p.busy || now < p.due {
				continue
			}
			p.busy, p.due = true, now.Add(pollInterval)
			due = append(due, p)
		}
	}
	return due
}

// pollTarget reads a target's load and releases memory that ended programs still
// hold.
func (g *Granter) pollTarget(ctx context.Context, p *targetPoll) {
	g.readLoad(ctx, p)
	g.sweep(ctx, p)
	g.mu.Lock()
	defer g.mu.Unlock()
	p.busy = false
}

// readLoad passes a target's load and cache events to its cell.
func (g *Granter) readLoad(ctx context.Context, p *targetPoll) {
	attempt, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	engine := g.parts.Targets.Engine(p.target)
	whole := p.servesModel && p.reads%fullReportInterval == 0
	p.reads++
	load, err := engine.Load(attempt, whole)
	var events []sd.CacheEvent
	if err == nil && p.servesModel {
		events, _ = engine.Events(attempt, p.lastEvent)
	}
	now := g.parts.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cells[p.cell]
	if err != nil || c == nil || c.epoch != p.epoch {
		return
	}
	load.Target = p.target.ID
	c.cell.Report(now, load)
	if p.sweeper != nil {
		if whole {
			p.sweeper.Load(now, load)
			p.programs = load.Programs
		}
		p.sweeper.Cache(now, events)
	}
	if len(events) > 0 {
		p.lastEvent = events[len(events)-1].Number
		c.cell.CacheEvents(now, p.target.ID, events)
	}
	c.decide(now)
}

// CellsOf returns the cells of a group in an availability zone; an empty group
// selects all groups.
func CellsOf(config *follower.Config, zone sd.ZoneName, group sd.GroupName) []scheduler.CellID {
	var cells []scheduler.CellID
	seen := make(map[scheduler.CellID]bool)
	for _, t := range config.Sheet.Targets {
		id := scheduler.CellID{Group: t.Group, Zone: zone, Number: CellNumber(t.ID, config.Sheet.Policy.CellsPerGroup)}
		if t.Zone != zone || seen[id] || group != "" && t.Group != group {
			continue
		}
		seen[id] = true
		cells = append(cells, id)
	}
	return cells
}

// SlotsOf returns the total slots of a cell's targets when warm.
func SlotsOf(config *follower.Config, cell scheduler.CellID) sd.Slots {
	slots := sd.Slots(0)
	for _, t := range config.Targets(cell.Zone, cell.Group) {
		if CellNumber(t.ID, config.Sheet.Policy.CellsPerGroup) == cell.Number {
			slots += t.Slots
		}
	}
	return slots
}

// servesModels reports whether a group serves a model route.
func servesModels(config *follower.Config, group sd.GroupName) bool {
	for _, r := range config.Sheet.Routes {
		if r.Group == group {
			return r.Kind == sd.ModelRoute
		}
	}
	return false
}

const (
	pollInterval       = 500 * sd.Millisecond
	pollTimeout        = sd.Second
	fullReportInterval = 10
)
