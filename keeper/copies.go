package keeper

import (
	"maps"
	"slices"

	root "sapphiredrum.example/sapphiredrum"
)

// Peer names one process that holds copies, and its host lease. A restarted
// process is another peer, since it has forgotten what it held and which shards
// it had sealed. So is one whose lease had lapsed, since a takeover may have
// gone on without it.
type Peer struct {
	Host        root.HostID
	Incarnation root.Incarnation
	// Lease is the epoch of the host's lease.
	Lease root.Epoch
}

// Copies holds the records of other hosts' shards until they are durable. The
// process must hold the host lease that Self names while it accepts any; with
// another lease it starts with fresh Copies.
type Copies struct {
	// Self is the peer that others know this process as.
	Self Peer
	// Bound limits what is held.
	Bound  root.Bytes
	held   root.Bytes
	shards map[root.ShardID]*copied
}

// copied is what is held for one shard.
type copied struct {
	// sealed is the lowest epoch whose records are still accepted.
	sealed  root.Epoch
	records []Record
	known   map[position]bool
}

// position identifies a record of a shard.
type position struct {
	tree   root.ProgramID
	epoch  root.Epoch
	number uint64
}

func (r *Record) position() position {
	return position{tree: r.Tree, epoch: r.Epoch, number: r.Number}
}

// Hold keeps records of the shard's owner of the given epoch; those that are held
// already count once. It refuses all of them as KeeperMoving when they are for
// another peer than Self or a later owner has sealed the shard, and as Overloaded
// when they do not fit.
func (c *Copies) Hold(to Peer, shard root.ShardID, epoch root.Epoch, records []Record) error {
	if to != c.Self {
		return root.NewRefusal(root.KeeperMoving, 0, "the copies are for an earlier peer")
	}
	h := c.shard(shard)
	if epoch < h.sealed {
		return root.NewRefusal(root.KeeperMoving, 0, "a later owner has taken the shard over")
	}
	var size root.Bytes
	for i := range records {
		if !h.known[records[i].position()] {
			size += records[i].Size()
		}
	}
	if c.held+size > c.Bound {
		return root.NewRefusal(root.Overloaded, root.Second, "no room for copies")
	}
	c.held += size
	for i := range records {
		if r := &records[i]; !h.known[r.position()] {
			h.known[r.position()] = true
			h.records = append(h.records, *r)
		}
	}
	return nil
}

// Seal refuses the owners before epoch from now on and returns what is held.
// Repeating it is harmless. The records stay until Drop.
func (c *Copies) Seal(shard root.ShardID, epoch root.Epoch) []Record {
	h := c.shard(shard)
	h.sealed = max(h.sealed, epoch)
	return slices.Clone(h.records)
}

// Drop removes the tree's records up to number and of epochs up to the given
// one: they are durable.
func (c *Copies) Drop(shard root.ShardID, tree root.ProgramID, epoch root.Epoch, number uint64) {
	c.remove(shard, func(r *Record) bool {
		return r.Tree == tree && r.Epoch <= epoch && r.Number <= number
	})
}

// Clear removes the records of owners before epoch: that owner has stored the
// whole shard itself.
func (c *Copies) Clear(shard root.ShardID, epoch root.Epoch) {
	c.remove(shard, func(r *Record) bool { return r.Epoch < epoch })
}

func (c *Copies) remove(shard root.ShardID, drops func(r *Record) bool) {
	h := c.shard(shard)
	h.records = slices.DeleteFunc(h.records, func(r Record) bool {
		if !drops(&r) {
			return false
		}
		c.held -= r.Size()
		delete(h.known, r.position())
		return true
	})
}

// Held returns the memory in use.
func (c *Copies) Held() root.Bytes {
	return c.held
}

// Shards returns the shards with copies.
func (c *Copies) Shards() []root.ShardID {
	shards := slices.Collect(maps.Keys(c.shards))
	slices.SortFunc(shards, compareShards)
	return slices.DeleteFunc(shards, func(s root.ShardID) bool { return len(c.shards[s].records) == 0 })
}

func (c *Copies) shard(shard root.ShardID) *copied {
	if c.shards == nil {
		c.shards = make(map[root.ShardID]*copied)
	}
	h := c.shards[shard]
	if h == nil {
		h = &copied{known: make(map[position]bool)}
		c.shards[shard] = h
	}
	return h
}
