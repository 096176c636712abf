package sapphiredrum

// ShardLocator finds the host that owns a shard.
type Locator interface {
	// Owns reports whether this host currently owns the shard, and the epoch of
	// its ownership.
	Holds(shard ShardID) (Epoch, bool)
	// Locate returns the last known address of the shard's owner.
	Locate(shard ShardID) (Address, bool)
}

// TargetClients returns clients for targets. Implementations reuse connections.
type Targets interface {
	Engine(target Target) Engine
	Service(target Target) Service
}
