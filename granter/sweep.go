package granter

import (
	"context"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/scheduler"
	"sapphiredrum.example/sapphiredrum/sweeper"
)

// livingMessage asks a shard's owner which programs still live.
type livingMessage struct {
	Shard    sd.ShardID
	Programs []sd.ProgramID
}

// livingAnswer is the owner's word, under its epoch.
type livingAnswer struct {
	Epoch sd.Epoch
	Lives []sweeper.Life
}

// Keeper tells which of its programs live.
type Keeper interface {
	// Lives answers for programs of a shard, with the epoch under which the
	// host holds the shard; zero where it does not.
	Lives(shard sd.ShardID, programs []sd.ProgramID) (sd.Epoch, []sweeper.Life)
}

// RegisterKeeper adds the message by which guards ask for programs' lives.
func RegisterKeeper(router messenger.Router, keeper Keeper) {
	messenger.Handle(router, "living", func(_ context.Context, m livingMessage) (livingAnswer, error) {
		epoch, lives := keeper.Lives(m.Shard, m.Programs)
		return livingAnswer{Epoch: epoch, Lives: lives}, nil
	})
}

// newSweeper returns the sweeper of a target.
func newSweeper(target sd.Target) *sweeper.State {
	return sweeper.New(sweeper.Settings{
		Fenced: target.Fenced, Grace: sweepGrace, Ask: sweepAsk, Retry: sweepRetry,
		Lag: scheduler.DefaultLag, Pause: sweepPause,
	})
}

// sweep lets a target's sweeper decide and carries its orders out.
func (g *Granter) sweep(ctx context.Context, p *poll) {
	for _, order := range g.sweepOrders(p) {
		switch o := order.(type) {
		case sweeper.Ask:
			g.askKeeper(ctx, p, o)
		case sweeper.Release:
			g.release(ctx, p, o)
		}
	}
}

// sweepOrders returns the orders that are due for a target.
func (g *Granter) sweepOrders(p *poll) []sweeper.Order {
	epoch, held := g.parts.Locator.Owns(ShardOf(p.cell))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cells[p.cell] == nil || p.sweeper == nil {
		return nil
	}
	for _, program := range p.held {
		if shard, err := program.Shard(); err == nil {
			if newest, known := g.parts.Newest(shard); known {
				p.sweeper.Owner(g.parts.Clock.Now(), shard, newest)
			}
		}
	}
	return p.sweeper.Tick(g.parts.Clock.Now(), sweeper.Guard{Epoch: p.epoch, Holds: held && epoch == p.epoch})
}

// askKeeper asks the owner of a shard about some of its programs.
func (g *Granter) askKeeper(ctx context.Context, p *poll, ask sweeper.Ask) {
	answer := livingAnswer{}
	if _, held := g.parts.Locator.Owns(ask.Shard); held {
		answer.Epoch, answer.Lives = g.parts.Keeper.Lives(ask.Shard, ask.Programs)
	} else {
		address, found := g.parts.Locator.Locate(ask.Shard)
		if !found {
			return
		}
		attempt, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
		defer cancel()
		var err error
		answer, err = messenger.Ask[livingMessage, livingAnswer](attempt, g.parts.Client, address, "living",
			livingMessage{Shard: ask.Shard, Programs: ask.Programs})
		if err != nil {
			return
		}
	}
	if answer.Epoch == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p.sweeper.Answered(g.parts.Clock.Now(), sweeper.Answer{Number: ask.Number, Epoch: answer.Epoch, Lives: answer.Lives})
}

// release orders an engine to free a program's memory.
func (g *Granter) release(ctx context.Context, p *poll, order sweeper.Release) {
	attempt, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	outcome := sweeper.Lost
	err := g.parts.Targets.Engine(p.target).Release(attempt, order.Program, order.Fence)
	switch {
	case err == nil:
		outcome = sweeper.Done
	case errorx.IsOfType(err, sd.Fenced):
		outcome = sweeper.Refused
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p.sweeper.Released(g.parts.Clock.Now(), order.Number, outcome)
}

const (
	// sweepGrace is longer than a guard needs to learn of a shard's new owner.
	sweepGrace = 10 * sd.Second
	sweepAsk   = 5 * sd.Second
	sweepRetry = 2 * sd.Second
	sweepPause = 2 * sd.Second
)
