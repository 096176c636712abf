package granter

import (
	"context"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/scheduler"
	"sapphiredrum.example/sapphiredrum/sweeper"
)

// poll is the reading of one target's load and cache events.
type poll struct {
	cell   scheduler.CellID
	target sd.Target
	epoch  sd.Epoch
	model  bool
	due    sd.Instant
	busy   bool
	events uint64
	// reads counts the reports read; one in wholeReports lists the programs.
	reads int
	// sweeper decides on the release of an engine's memory; nil for services.
	sweeper *sweeper.State
	// held are the programs of the latest report that lists them.
	held []sd.ProgramID
}

// tick opens and closes cells as shards come and go, and lets all decide.
func (g *Granter) tick() {
	config := g.parts.Config()
	now := g.parts.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, c := range g.cells {
		if epoch, held := g.parts.Locator.Owns(ShardOf(id)); !held || epoch != c.epoch {
			c.dismiss()
			delete(g.cells, id)
		}
	}
	if config != g.listed {
		g.listed, g.own = config, CellsOf(config, g.parts.Zone, "")
	}
	for _, id := range g.own {
		if epoch, held := g.parts.Locator.Owns(ShardOf(id)); held {
			g.open(id, epoch)
		}
	}
	for id, c := range g.cells {
		g.configure(now, config, id, c)
		c.decide(now)
		c.prune(now)
	}
}

// prune drops the requests whose keepers stopped asking.
func (c *guarded) prune(now sd.Instant) {
	for call, w := range c.waiters {
		if now.Since(w.asked) > 2*keeperSilence {
			delete(c.waiters, call)
			c.cell.Withdraw(now, call)
		}
	}
}

// open makes the cell of a held shard if it is not there.
func (g *Granter) open(id scheduler.CellID, epoch sd.Epoch) {
	if c := g.cells[id]; c != nil && c.epoch == epoch {
		return
	}
	if c := g.cells[id]; c != nil {
		c.dismiss()
	}
	config := g.parts.Config()
	now := g.parts.Clock.Now()
	c := &guarded{
		cell:    scheduler.New(now, scheduler.Settings{Cell: id, Epoch: epoch, Policy: config.Sheet.Policy}),
		epoch:   epoch,
		waiters: make(map[sd.StreamID]*waiter),
		polls:   make(map[sd.TargetID]*poll),
	}
	g.cells[id] = c
	g.configure(now, config, id, c)
}

// configure tells a cell its targets and which of them take no new work.
func (g *Granter) configure(now sd.Instant, config *follower.Config, id scheduler.CellID, c *guarded) {
	zone, _ := config.Zone(id.Zone)
	out := zone.DrainedAt(g.parts.Clock.WallNow())
	var members []scheduler.Member
	c.targets = c.targets[:0]
	for _, t := range config.Targets(id.Zone, id.Group) {
		if NumberOf(t.ID, config.Sheet.Policy.CellsPerGroup) != id.Number {
			continue
		}
		members = append(members, scheduler.Member{Target: t, Leaving: g.parts.Leaving(t.Address), Out: out})
		c.targets = append(c.targets, t)
		g.watch(config, id, c, t)
	}
	c.cell.SetTargets(now, members)
}

// watch sets up the reading of a target's load.
func (g *Granter) watch(config *follower.Config, id scheduler.CellID, c *guarded, t sd.Target) {
	if p := c.polls[t.ID]; p != nil && p.target.Address == t.Address {
		return
	}
	p := &poll{cell: id, target: t, epoch: c.epoch, model: servesModels(config, t.Group)}
	if p.model {
		p.sweeper = newSweeper(t)
	}
	c.polls[t.ID] = p
}

// dismiss answers everyone who waits at a cell that this host no longer guards.
func (c *guarded) dismiss() {
	for call, w := range c.waiters {
		refusal := sd.NewRefusal(sd.KeeperMoving, movePause, "the target's guard is moving to another host")
		select {
		case w.decided <- scheduler.Refused{Call: call, Refusal: refusal}:
		default:
		}
	}
	c.waiters = nil
}

// duePolls returns the readings that are due and marks them as under way.
func (g *Granter) duePolls() []*poll {
	now := g.parts.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []*poll
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

// poll reads a target and releases memory that programs who are gone still hold.
func (g *Granter) poll(ctx context.Context, p *poll) {
	g.read(ctx, p)
	g.sweep(ctx, p)
	g.mu.Lock()
	defer g.mu.Unlock()
	p.busy = false
}

// read reads a target's load and cache events into its cell.
func (g *Granter) read(ctx context.Context, p *poll) {
	attempt, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	engine := g.parts.Targets.Engine(p.target)
	whole := p.model && p.reads%wholeReports == 0
	p.reads++
	load, err := engine.Load(attempt, whole)
	var events []sd.CacheEvent
	if err == nil && p.model {
		events, _ = engine.Events(attempt, p.events)
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
			p.held = load.Programs
		}
		p.sweeper.Cache(now, events)
	}
	if len(events) > 0 {
		p.events = events[len(events)-1].Number
		c.cell.CacheEvents(now, p.target.ID, events)
	}
	c.decide(now)
}

// CellsOf lists the cells of a group in an availability zone; an empty group
// stands for all groups.
func CellsOf(config *follower.Config, zone sd.ZoneName, group sd.GroupName) []scheduler.CellID {
	var cells []scheduler.CellID
	seen := make(map[scheduler.CellID]bool)
	for _, t := range config.Sheet.Targets {
		id := scheduler.CellID{Group: t.Group, Zone: zone, Number: NumberOf(t.ID, config.Sheet.Policy.CellsPerGroup)}
		if t.Zone != zone || seen[id] || group != "" && t.Group != group {
			continue
		}
		seen[id] = true
		cells = append(cells, id)
	}
	return cells
}

// SlotsOf returns the slots of a cell's targets when warm.
func SlotsOf(config *follower.Config, cell scheduler.CellID) sd.Slots {
	slots := sd.Slots(0)
	for _, t := range config.Targets(cell.Zone, cell.Group) {
		if NumberOf(t.ID, config.Sheet.Policy.CellsPerGroup) == cell.Number {
			slots += t.Slots
		}
	}
	return slots
}

// servesModels reports whether a group is that of a model route.
func servesModels(config *follower.Config, group sd.GroupName) bool {
	for _, r := range config.Sheet.Routes {
		if r.Group == group {
			return r.Kind == sd.ModelRoute
		}
	}
	return false
}

const (
	pollInterval = 500 * sd.Millisecond
	pollTimeout  = sd.Second
	wholeReports = 10
)
