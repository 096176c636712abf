package launcher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/recorder"
)

// copier sends records to the zone peer that the recorder's log names, so that
// they are safe before they are durable, and holds the records of other hosts.
// One message is under way at a time, so that what is told safe leaves no gap.
type copier struct {
	host *Host
	wake chan struct{}
	// named is the peer that the sender chose last.
	named keeper.Peer

	// mu guards what follows.
	mu sync.Mutex
	// boxes hold the records of this host's shards that are not durable yet.
	boxes   map[sd.ShardID]*keeper.Outbox
	drops   []dropped
	copies  keeper.Copies
	failing bool
}

// copyMessage carries records to a peer, and which of its copies are durable.
type copyMessage struct {
	To    keeper.Peer
	Parts []copyPart `json:",omitempty"`
	Drops []dropped  `json:",omitempty"`
}

// copyPart carries the records of one shard.
type copyPart struct {
	Shard   sd.ShardID
	Through uint64
	Records []keeper.Record
}

// dropped names copies that are durable.
type dropped struct {
	Shard  sd.ShardID
	Tree   sd.ProgramID
	Epoch  sd.Epoch
	Number uint64
}

// sealMessage takes the copies of a shard over for a new owner.
type sealMessage struct {
	Peer  keeper.Peer
	Shard sd.ShardID
	Epoch sd.Epoch
}

// sealAnswer holds the copies found.
type sealAnswer struct {
	Records []keeper.Record
}

// nothing is the answer to messages that need none.
type nothing struct{}

// newCopier returns a copier without records.
func newCopier(h *Host) *copier {
	return &copier{host: h, wake: make(chan struct{}, 1), boxes: make(map[sd.ShardID]*keeper.Outbox)}
}

// register adds the copies' messages to a router.
func (c *copier) register(router messenger.Router) {
	messenger.Handle(router, "copy", func(_ context.Context, m copyMessage) (nothing, error) {
		return nothing{}, c.hold(m)
	})
	messenger.Handle(router, "seal", func(_ context.Context, m sealMessage) (sealAnswer, error) {
		return sealAnswer{Records: c.seal(m.Peer, m.Shard, m.Epoch)}, nil
	})
	messenger.Handle(router, "clear", func(_ context.Context, m sealMessage) (nothing, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.copies.Clear(m.Shard, m.Epoch)
		return nothing{}, nil
	})
}

// add queues records for the peer, in the order in which they were made.
func (c *copier) add(records []keeper.Record) {
	c.mu.Lock()
	for i := range records {
		shard, err := records[i].Tree.Shard()
		if err != nil {
			continue
		}
		if c.boxes[shard] == nil {
			c.boxes[shard] = &keeper.Outbox{}
		}
		c.boxes[shard].Add(records[i : i+1])
	}
	c.mu.Unlock()
	c.signal()
}

// durable drops records that no longer need a copy.
func (c *copier) durable(r recorder.Recorded) {
	c.mu.Lock()
	if box := c.boxes[r.Shard]; box != nil {
		box.Durable(r.Tree, r.Number)
	}
	c.drops = append(c.drops, dropped{Shard: r.Shard, Tree: r.Tree, Epoch: r.Epoch, Number: r.Number})
	if len(c.drops) > maxDrops {
		c.drops = c.drops[len(c.drops)-maxDrops:]
	}
	c.mu.Unlock()
	c.signal()
}

// stored reports whether every record of a shard is durable.
func (c *copier) stored(shard sd.ShardID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boxes[shard] == nil || c.boxes[shard].Empty()
}

// lose drops a shard's records: this host is no longer its owner.
func (c *copier) lose(shard sd.ShardID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.boxes, shard)
}

// hold keeps a peer's records while this host holds its lease.
func (c *copier) hold(m copyMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.refresh() {
		return sd.Unavailable.New("this host holds no lease")
	}
	for _, d := range m.Drops {
		c.copies.Drop(d.Shard, d.Tree, d.Epoch, d.Number)
	}
	for _, part := range m.Parts {
		for i, r := range part.Records {
			if err := c.copies.Hold(m.To, part.Shard, r.Epoch, part.Records[i:i+1]); err != nil {
				return err
			}
		}
	}
	return nil
}

// refresh starts with fresh copies after a new lease, since a takeover may have
// gone on without the old ones. It reports whether the host holds a lease. mu is
// held.
func (c *copier) refresh() bool {
	lease, held := c.host.leaser.Registration()
	self := keeper.Peer{Host: c.host.settings.Name, Incarnation: c.host.incarnation, Lease: lease}
	if held && c.copies.Self != self {
		c.copies = keeper.Copies{Self: self, Bound: copiesBound}
	}
	return held
}

// seal refuses earlier owners of a shard and returns its copies. A peer that
// this process no longer is has none.
func (c *copier) seal(as keeper.Peer, shard sd.ShardID, epoch sd.Epoch) []keeper.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	if c.copies.Self != as {
		return nil
	}
	return c.copies.Seal(shard, epoch)
}

// run sends records until ctx ends.
func (c *copier) run(ctx context.Context) error {
	for {
		rest := idleRest
		if !c.send(ctx) {
			rest = failureRest
		}
		timer := time.NewTimer(rest.Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// send makes one attempt to copy what the peer does not hold. It returns false
// after a failure.
func (c *copier) send(ctx context.Context) bool {
	c.choosePeer()
	peer, named := c.host.recorder.CopyTo()
	address, found := c.host.addressOf(peer)
	message := c.message(peer, named && found)
	if len(message.Parts) == 0 && len(message.Drops) == 0 {
		return named && found
	}
	attempt, cancel := context.WithTimeout(ctx, copyTimeout.Duration())
	defer cancel()
	_, err := messenger.Ask[copyMessage, nothing](attempt, c.host.client, address, "copy", message)
	if c.report(err); err != nil {
		return false
	}
	for _, part := range message.Parts {
		c.settle(peer, part)
	}
	return true
}

// message collects what the peer does not hold; nothing without a peer.
func (c *copier) message(peer keeper.Peer, found bool) copyMessage {
	message := copyMessage{To: peer}
	if !found {
		return message
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for shard, box := range c.boxes {
		if next, some := box.Next(peer); some {
			records := append([]keeper.Record(nil), next.Records...)
			message.Parts = append(message.Parts, copyPart{Shard: shard, Through: next.Through, Records: records})
		}
	}
	message.Drops, c.drops = c.drops, nil
	return message
}

// settle tells what became safe by a copy.
func (c *copier) settle(peer keeper.Peer, part copyPart) {
	c.mu.Lock()
	var safe []keeper.Record
	if box := c.boxes[part.Shard]; box != nil {
		safe = append(safe, box.Held(peer, part.Through)...)
	}
	c.mu.Unlock()
	for _, r := range safe {
		c.host.performer.Safe(r.Tree, r.Epoch, r.Number)
	}
}

// choosePeer names the next host of the zone that does not leave.
func (c *copier) choosePeer() {
	var first, next *keeper.Peer
	for _, m := range c.host.leaser.Members() {
		if m.Leaving {
			continue
		}
		peer := keeper.Peer{Host: m.Host, Incarnation: m.Incarnation, Lease: m.Epoch}
		if first == nil {
			first = &peer
		}
		if next == nil && m.Host > c.host.settings.Name {
			next = &peer
		}
	}
	if next == nil {
		next = first
	}
	if next == nil {
		next = &keeper.Peer{}
	}
	if *next == c.named {
		return
	}
	c.named = *next
	if c.named.Host == "" {
		c.host.recorder.SetPeers()
		return
	}
	c.host.recorder.SetPeers(c.named)
}

// reaches reports whether copies reach a peer.
func (c *copier) reaches() bool {
	peer, named := c.host.recorder.CopyTo()
	if !named {
		return false
	}
	c.mu.Lock()
	failing := c.failing
	c.mu.Unlock()
	_, found := c.host.addressOf(peer)
	return found && !failing
}

// report logs the first failure of a row of them.
func (c *copier) report(err error) {
	c.mu.Lock()
	first := err != nil && !c.failing
	c.failing = err != nil
	c.mu.Unlock()
	if first {
		c.host.outside.Log.Warn("copies do not reach the peer", zap.Int("event", eventCopyFails), zap.Error(err))
	}
}

// signal wakes the sender.
func (c *copier) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// addressOf returns the address of a live process of this zone.
func (h *Host) addressOf(peer keeper.Peer) (sd.Address, bool) {
	for _, m := range h.leaser.Members() {
		if m.Host == peer.Host && m.Incarnation == peer.Incarnation && m.Epoch == peer.Lease {
			return m.Address, true
		}
	}
	return "", false
}

const (
	copiesBound sd.Bytes = 48 << 20
	maxDrops             = 10_000
	copyTimeout          = sd.Second
	idleRest             = sd.Second
	failureRest          = 50 * sd.Millisecond
)
