package granter

import (
	"context"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/scheduler"
	"sapphiredrum.example/sapphiredrum/sweeper"
)

// livenessRequest asks a shard's owner which programs are alive.
type livenessRequest struct {
	Shard    sd.ShardID
	Programs []sd.ProgramID
}

// livenessResponse is the owner's answer, with the epoch under which it was given.
type livenessResponse struct {
	Epoch sd.Epoch
	Lives []sweeper.Life
}

// Keeper reports which of its programs are alive.
type Keeper interface {
	// Lives returns the state of programs of a shard, and the epoch under which the
	// host owns the shard, or zero if it does not.
	Lives(shard sd.ShardID, programs []sd.ProgramID) (sd.Epoch, []sweeper.Life)
}

// RegisterKeeper adds the handler of guards' liveness requests to a router.
func RegisterKeeper(router messenger.Router, keeper Keeper) {
	messenger.Handle(router, "living", func(_ context.Context, m livenessRequest) (livenessResponse, error) {
		epoch, lives := keeper.Lives(m.Shard, m.Programs)
		return livenessResponse{Epoch: epoch, Lives: lives}, nil
	})
}

func newSweeper(target sd.Target) *sweeper.State {
	return sweeper.New(sweeper.Settings{
		Fenced: target.Fenced, Grace: sweepGrace, Ask: sweepAskInterval, Retry: sweepRetryDelay,
		Lag: scheduler.DefaultMaxReportAge, Pause: sweepPause,
	})
}

// sweep carries out the orders of a target's sweeper.
func (g *Granter) sweep(ctx context.Context, p *targetPoll) {
	for _, order := range g.sweepOrders(p) {
		switch o := order.(type) {
		case sweeper.Ask:
			g.askKeeper(ctx, p, o)
		case sweeper.Release:
			g.release(ctx, p, o)
		}
	}
}

// sweepOrders returns the orders of a target's sweeper that are due.
func (g *Granter) sweepOrders(p *targetPoll) []sweeper.Order {
	epoch, held := g.parts.Locator.Owns(ShardOf(p.cell))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cells[p.cell] == nil || p.sweeper == nil {
		return nil
	}
	for _, program := range p.programs {
		if shard, err := program.Shard(); err == nil {
			if newest, known := g.parts.LatestEpoch(shard); known {
				p.sweeper.Owner(g.parts.Clock.Now(), shard, newest)
			}
		}
	}
	return p.sweeper.Tick(g.parts.Clock.Now(), sweeper.Guard{Epoch: p.epoch, Holds: held && epoch == p.epoch})
}

// askKeeper asks a shard's owner whether some of its programs are alive.
func (g *Granter) askKeeper(ctx context.Context, p *targetPoll, ask sweeper.Ask) {
	answer := livenessResponse{}
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
		answer, err = messenger.Ask[livenessRequest, livenessResponse](attempt, g.parts.Client, address, "living",
			livenessRequest{Shard: ask.Shard, Programs: ask.Programs})
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

// release tells an engine to free a program's memory.
func (g *Granter) release(ctx context.Context, p *targetPoll, order sweeper.Release) {
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
	sweepGrace       = 10 * sd.Second
	sweepAskInterval = 5 * sd.Second
	sweepRetryDelay  = 2 * sd.Second
	sweepPause       = 2 * sd.Second
)
