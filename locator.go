package sapphiredrum

// ShardLocator finds the host that owns a shard.
type ShardLocator interface {
	// Owns reports whether this host currently owns the shard, and the epoch of
	// its ownership.
	Owns(shard ShardID) (Epoch, bool)
	// Locate returns the last known address of the shard's owner.
	Locate(shard ShardID) (Address, bool)
}

// TargetClients returns clients for targets. Implementations reuse connections.
type TargetClients interface {
	Engine(target Target) Engine
	Service(target Target) Service
}
