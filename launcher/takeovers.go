package launcher

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/leaser"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/recorder"
	"sapphiredrum.example/sapphiredrum/worker"
)

// takeovers follows the leaser's events: it restores the programs of shards that
// this host gains, and prepares those that it gives up.
type takeovers struct {
	host *Host

	// mu guards what follows; it comes before the locks of the leaser and the
	// performer.
	mu sync.Mutex
	// held is the epoch under which each shard was gained last.
	held map[sd.ShardID]sd.Epoch
	// yielding are the shards that are to move, and how far each is.
	yielding map[sd.ShardID]step
	// sealed are the peers whose copies of a shard were taken over.
	sealed map[sd.ShardID][]keeper.Peer
}

// step tells how far a shard that is to move is.
type step int

const (
	// asked shards still serve.
	asked step = iota
	// closing shards take no new calls and wait for the running ones.
	closing
	// released shards are the next owner's.
	released
)

// newTakeovers returns a follower of the leaser's events.
func newTakeovers(h *Host) *takeovers {
	return &takeovers{
		host: h, held: make(map[sd.ShardID]sd.Epoch),
		yielding: make(map[sd.ShardID]step), sealed: make(map[sd.ShardID][]keeper.Peer),
	}
}

// run handles events until ctx ends or the leaser stops.
func (t *takeovers) run(ctx context.Context) error {
	group := worker.NewGroup(ctx)
	defer group.Close()
	ticker := time.NewTicker(yieldStep.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event, open := <-t.host.leaser.Events():
			if !open {
				return nil
			}
			t.handle(group, event)
		case <-ticker.C:
			t.yield()
		}
	}
}

// handle reacts to one event.
func (t *takeovers) handle(group *worker.Group, event leaser.Event) {
	switch e := event.(type) {
	case leaser.Gained:
		t.mu.Lock()
		t.held[e.Shard] = e.Epoch
		delete(t.yielding, e.Shard)
		t.mu.Unlock()
		t.host.admitter.AcquireShard(e.Shard, e.Epoch)
		t.host.admitter.RenewLease(t.host.leaser.Deadline())
		group.Go("restore", func(ctx context.Context) error { t.restore(ctx, e); return nil })
	case leaser.Lost:
		t.mu.Lock()
		delete(t.held, e.Shard)
		delete(t.yielding, e.Shard)
		t.mu.Unlock()
		t.host.performer.Lose(e.Shard)
		t.host.copier.lose(e.Shard)
		group.Go("lose", func(ctx context.Context) error { t.host.admitter.ReleaseShard(ctx, e.Shard); return nil })
	case leaser.Asked:
		t.mu.Lock()
		t.yielding[e.Shard] = asked
		t.mu.Unlock()
	}
}

// restore loads a gained shard's programs until it succeeds or the shard is lost.
func (t *takeovers) restore(ctx context.Context, gained leaser.Gained) {
	for ctx.Err() == nil && t.holds(gained) {
		err := t.try(ctx, gained)
		if err == nil {
			return
		}
		t.host.outside.Log.Warn("a shard is not restored yet", zap.Int("event", eventTakeover),
			zap.Stringer("shard", gained.Shard), zap.Error(err))
		if errorx.IsOfType(err, recorder.Overtaken) {
			return
		}
		worker.Pause(ctx, restoreRest)
	}
}

// try loads a shard once: what is durable, then the copies of the peers that its
// former owner's log names. A peer whose lease has lapsed holds nothing.
func (t *takeovers) try(ctx context.Context, gained leaser.Gained) error {
	attempt, cancel := context.WithTimeout(ctx, restoreTimeout.Duration())
	defer cancel()
	loaded, err := t.host.recorder.Load(attempt, gained.Shard, gained.Epoch, 0)
	if err != nil {
		return err
	}
	records := loaded.Records
	for _, peer := range loaded.Peers {
		copies, err := t.seal(attempt, gained, peer)
		if err != nil {
			return err
		}
		records = append(records, copies...)
	}
	if !t.holds(gained) {
		return recorder.Overtaken.New("shard %s was lost while it was restored", gained.Shard)
	}
	if err := t.host.performer.Gain(gained.Shard, gained.Epoch, records); err != nil {
		return err
	}
	t.mu.Lock()
	t.sealed[gained.Shard] = loaded.Peers
	t.mu.Unlock()
	_, images := t.host.performer.Image(gained.Shard)
	t.host.recorder.Rebase(gained.Shard, gained.Epoch, images)
	return nil
}

// seal takes the copies of a shard over from one peer.
func (t *takeovers) seal(ctx context.Context, gained leaser.Gained, peer keeper.Peer) ([]keeper.Record, error) {
	if peer.Host == t.host.settings.Name {
		return t.host.copier.seal(peer, gained.Shard, gained.Epoch), nil
	}
	address, found := t.host.addressOf(peer)
	switch {
	case !found && t.host.leaser.Gone(peer.Host, peer.Incarnation, peer.Lease):
		return nil, nil
	case !found:
		return nil, sd.Unavailable.New("peer %s is not known to be gone", peer.Host)
	}
	message := sealMessage{Peer: peer, Shard: gained.Shard, Epoch: gained.Epoch}
	answer, err := messenger.Ask[sealMessage, sealAnswer](ctx, t.host.client, address, "seal", message)
	return answer.Records, err
}

// based tells the peers that a shard is stored whole, so that their copies of it
// are no longer needed.
func (t *takeovers) based(tenure recorder.Tenure) {
	t.mu.Lock()
	peers := t.sealed[tenure.Shard]
	delete(t.sealed, tenure.Shard)
	t.mu.Unlock()
	for _, peer := range peers {
		if address, found := t.host.addressOf(peer); found {
			ctx, cancel := context.WithTimeout(context.Background(), copyTimeout.Duration())
			_, _ = messenger.Ask[sealMessage, nothing](ctx, t.host.client, address, "clear",
				sealMessage{Shard: tenure.Shard, Epoch: tenure.Epoch})
			cancel()
		}
	}
}

// yield releases the shards that are to move once their calls have ended, a few
// at a time: a shard is served by nobody from its closing until its next owner has
// restored it. While the platform is away nothing can move, so they stay open.
func (t *takeovers) yield() {
	reaches := t.host.leaser.Reaches()
	t.mu.Lock()
	defer t.mu.Unlock()
	moving := 0
	for shard, at := range t.yielding {
		switch {
		case !reaches:
			delete(t.yielding, shard)
			t.host.leaser.Retract(shard)
			t.host.performer.Reopen(shard)
		case at != asked:
			moving++
		}
	}
	for shard, at := range t.yielding {
		if at == released || at == asked && moving >= movesAtOnce {
			continue
		}
		if at == asked {
			moving++
			t.yielding[shard] = closing
		}
		if t.host.performer.Yield(shard) && t.host.copier.stored(shard) {
			t.yielding[shard] = released
			t.host.outside.Log.Info("shard handed over", zap.Int("event", eventHandOver), zap.Stringer("shard", shard))
			t.host.leaser.Release(shard)
		}
	}
}

// holds reports whether the shard is still held as it was gained.
func (t *takeovers) holds(gained leaser.Gained) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held[gained.Shard] == gained.Epoch
}

const (
	yieldStep      = 20 * sd.Millisecond
	movesAtOnce    = 8
	restoreRest    = 100 * sd.Millisecond
	restoreTimeout = 10 * sd.Second
)
