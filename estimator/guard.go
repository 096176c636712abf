package estimator

import (
	"fmt"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/granter"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

// The granter's intervals, in events a second.
const (
	cellTicks   = 50.0
	loadPolls   = 2.0
	renewRounds = 0.25
	// wholeReports is how many load reports there are to one that lists programs.
	wholeReports = 10.0
	// slotsPerRunner is what an engine runs at once.
	slotsPerRunner = 112
)

// permitRequest, permitAnswer, doneReport and renewal are the granter's messages.
type (
	permitRequest struct {
		Cell    scheduler.CellID
		Request scheduler.Request
		Left    sapphiredrum.Millis
	}
	permitAnswer struct {
		Permit granter.Permit
		Load   scheduler.Summary
	}
	doneReport struct {
		Permit granter.Permit
		Usage  scheduler.Usage
	}
	renewal struct {
		Keeper  sapphiredrum.HostID
		Cell    scheduler.CellID
		Fence   sapphiredrum.Epoch
		Permits []scheduler.PermitNumber
	}
)

var cellID = scheduler.CellID{Group: "model-07", Zone: "zone-3", Number: 5}

// crowd is a cell whose targets are full, with calls that wait.
type crowd struct {
	cell    *scheduler.Cell
	permits []scheduler.PermitNumber
	asked   int
	now     sapphiredrum.Instant
}

// newCrowd fills a cell of warm targets and lets calls wait for it.
func newCrowd(targets, waiting int) *crowd {
	c := &crowd{now: 1000}
	c.cell = scheduler.New(c.now, scheduler.Settings{Cell: cellID, Epoch: 3, Policy: sapphiredrum.Policy{Order: "working", MaxQueueTime: sapphiredrum.Hour}})
	var members []scheduler.Member
	for i := range targets {
		members = append(members, scheduler.Member{Target: sapphiredrum.Target{
			ID: targetName(i), Address: address(i), Slots: slotsPerRunner, ColdSlots: slotsPerRunner, CacheCapacity: 1 << 30,
		}})
	}
	c.cell.SetTargets(c.now, members)
	for i := range targets {
		c.cell.Report(c.now, sapphiredrum.Load{Target: targetName(i), Incarnation: 1})
	}
	for range targets*slotsPerRunner + waiting {
		c.ask()
	}
	c.tick()
	return c
}

// request returns the n-th call's request.
func request(n int) scheduler.Request {
	program := programName(sapphiredrum.ShardID{Zone: zoneName(3), Number: n % 64}, n)
	return scheduler.Request{
		Call: sapphiredrum.StreamID(fmt.Sprintf("%s.c12.%d", program, n)), Keeper: hostName(n % 58), Program: program,
		Workspace: workspaceName(n % 60), Tier: sapphiredrum.Tier(n % 3), AttainedService: sapphiredrum.Tokens(n * 31 % 97_777),
		Prompt: MeanHistory, MaxTokens: 1024, Weight: 1, Preferred: targetName(n % 8), CachedTokens: 18_000,
	}
}

func (c *crowd) ask() {
	c.cell.Submit(c.now, request(c.asked))
	c.asked++
}

func (c *crowd) tick() {
	for _, decision := range c.cell.Tick(c.now) {
		if granted, ok := decision.(scheduler.Granted); ok {
			c.permits = append(c.permits, granted.Permit)
		}
	}
}

// turn is a call's path through a full cell.
func (c *crowd) turn(n int) {
	if n%20 == 0 {
		c.now++
	}
	if n%500 == 0 {
		for k := range 64 {
			c.cell.Renew(c.now, hostName(k), c.permits)
		}
	}
	c.ask()
	c.tick()
	if len(c.permits) > 0 {
		c.cell.Done(c.now, c.permits[0], scheduler.Usage{Prompt: MeanHistory, Cached: 19_000, Answer: 261})
		c.permits = c.permits[1:]
	}
	c.tick()
}

// guard measures the guard of a cell.
func guard(t Size) Role {
	r := Role{
		Name:       "guard",
		State:      "a cell's queue, permits and what its targets are believed to hold",
		Mechanism:  "one guard a cell under its shard's lease; a group's targets in a zone are split over Policy.Cells cells",
		Unmeasured: "an engine's side of the reports; the granter's channels and goroutines; calls given up while they wait",
	}
	cells := []int{1, 4, 8, 16}
	turn := r.measure("a call's path: Ask, Done, two Ticks; 20 calls wait", "us", "targets in the cell", cells, func(n int) float64 {
		c := newCrowd(n, 20)
		return cost(c.turn)
	})
	idle := r.measure("a Tick that decides nothing; 20 calls wait", "us", "targets in the cell", cells, func(n int) float64 {
		c := newCrowd(n, 20)
		return cost(func(int) { c.cell.Tick(c.now) })
	})
	wait := r.measure("a call's path in a cell of one target", "us", "waiting calls", []int{10, 100, 400}, func(n int) float64 {
		c := newCrowd(1, n)
		return cost(c.turn)
	})
	state := r.measure("state of a cell, texts included", "bytes", "permits and waiting calls", []int{200, 800, 2400}, func(n int) float64 {
		return weigh(func() *crowd { return newCrowd(1, n-slotsPerRunner) })
	})
	list := r.measure("list the cells of a zone", "us", "targets in the sheet", []int{100, 300, 600}, func(n int) float64 {
		config := follower.NewConfig(1, newSheet(t.Workspaces, n, 8))
		return cost(func(int) { granter.CellsOf(config, zoneName(0), "") })
	})
	r.atGuard(t, turn, idle, wait, state, list)
	r.reports(t)
	r.permits(t)
	r.cells(t)
	return r
}

// atGuard adds the guard's own figures at a size.
func (r *Role) atGuard(t Size, turn, idle, wait, state, list Line) {
	per := float64(t.Runners) / float64(t.Zones*t.Models)
	share := float64(t.Runners) / float64(t.Hosts)
	r.add(Memory, Standing, state.Slope*t.Streams()/float64(t.Hosts), "%.0f bytes x %.0f answers under way / %d hosts", state.Slope, t.Streams(), t.Hosts)
	r.add(Processor, PerCall, t.PerHost()*turn.At(1), "one target a cell: %.1f calls/s x %.0f us", t.PerHost(), turn.At(1))
	r.add(Processor, Standing, cellTicks*(list.At(float64(t.Runners))+share*idle.At(1)),
		"50 Ticks/s x (%.0f us to list the cells + %.2f cells x %.1f us)", list.At(float64(t.Runners)), share, idle.At(1))
	load := t.Requests / float64(t.Zones*t.Models)
	r.peak(Processor, PerCall, load*turn.At(per)+cellTicks*idle.At(per), "Cells = 1, %.1f targets a cell: %.0f calls/s x %.0f us + 50 Ticks/s x %.0f us", per, load, turn.At(per), idle.At(per))
	r.peak(Processor, PerCall, t.Requests/float64(t.Runners)*wait.At(200), "one target a cell with 200 calls waiting: %.1f calls/s x %.0f us", t.Requests/float64(t.Runners), wait.At(200))
}

// report returns the load report of an engine that holds so many programs.
func report(programs int) sapphiredrum.Load {
	l := sapphiredrum.Load{Target: targetName(0), Incarnation: 1 << 50, Running: 80, CacheUsed: 1 << 24}
	for n := range programs {
		l.Programs = append(l.Programs, programName(sapphiredrum.ShardID{Zone: zoneName(0), Number: n % 64}, n))
	}
	return l
}

// reports adds what the reading of load reports takes.
func (r *Role) reports(t Size) {
	sizes := []int{20, 200, 800}
	bytes := r.measure("load report", "bytes", "programs held by the engine", sizes, func(n int) float64 { return size(report(n)) })
	time := r.measure("decode and take a load report", "us", "programs held by the engine", sizes, func(n int) float64 {
		c, l := newCrowd(1, 0), report(n)
		return cost(func(int) {
			pass(l)
			c.cell.Report(c.now, l)
		})
	})
	share := float64(t.Runners) / float64(t.Hosts)
	polls := loadPolls * share
	event := size(sapphiredrum.CacheEvent{Number: 1 << 30, Program: programName(sapphiredrum.ShardID{Zone: zoneName(0)}, 1), Tokens: 20_000})
	r.add(Exchanges, Standing, 2*polls, "a load report and the cache events, 2 times/s x %.2f targets a host", share)
	each := bytes.At(0) + (bytes.At(HeldPrograms)-bytes.At(0))/wholeReports
	r.add(Traffic, Standing, polls*(each+2*(HeaderBytes+ReplyBytes))+t.PerHost()*event,
		"%.1f polls/s x (%.0f bytes, each 10th with %.0f programs, + 2 x %d of headers) + %.1f events/s x %.0f bytes", polls, each, HeldPrograms, HeaderBytes+ReplyBytes, t.PerHost(), event)
	r.add(Processor, Standing, polls*time.At(HeldPrograms), "%.1f reports/s x %.0f us (encoding, which is the engine's, included)", polls, time.At(HeldPrograms))
}

// permits adds the messages of permits.
func (r *Role) permits(t Size) {
	permit := granter.Permit{Cell: cellID, Number: 3<<32 + 123_456, Target: targetName(1), Fence: 3}
	ask := size(permitRequest{Cell: cellID, Request: request(1), Left: 600_000})
	answer := size(permitAnswer{Permit: permit, Load: scheduler.Summary{Waiting: 10, Running: 80, Capacity: 112, MeanHoldTime: 5000}})
	done := size(doneReport{Permit: permit, Usage: scheduler.Usage{Prompt: 20_000, Cached: 19_000, Answer: 261}})
	r.add(Exchanges, PerCall, 2*t.PerHost(), "a permit and its end for each call")
	r.add(Traffic, PerCall, t.PerHost()*(ask+answer+done+2*(HeaderBytes+ReplyBytes)), "%.1f calls/s x (%.0f + %.0f + %.0f bytes + 2 x %d of headers)", t.PerHost(), ask, answer, done, HeaderBytes+ReplyBytes)
	held := t.Streams() / float64(t.Hosts)
	_, _, inZone := spread(follower.NewConfig(1, newSheet(1, t.Runners, 8)), zoneName(0))
	cells := min(held, float64(inZone))
	message := renewal{Keeper: hostName(1), Cell: cellID, Fence: 3}
	for i := range int(max(1, held/cells)) {
		message.Permits = append(message.Permits, scheduler.PermitNumber(3<<32+i))
	}
	r.add(Exchanges, Standing, renewRounds*cells, "each host renews %.0f permits in up to %.0f cells of its zone (Cells = 8), every 4 s", held, cells)
	r.add(Traffic, Standing, renewRounds*cells*(size(message)+HeaderBytes+ReplyBytes), "%.1f renewals/s x (%.0f + %d bytes)", renewRounds*cells, size(message), HeaderBytes+ReplyBytes)
}
