package sapphiredrum

// Locator tells which host owns a shard.
type Locator interface {
	// Holds reports whether this host may act for the shard at this moment, and
	// the epoch under which it does.
	Holds(shard ShardID) (Epoch, bool)
	// Locate returns the address of the shard's owner as last heard of.
	Locate(shard ShardID) (Address, bool)
}

// Targets connects to targets. Implementations keep connections open.
type Targets interface {
	Engine(target Target) Engine
	Service(target Target) Service
}
