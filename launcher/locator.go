package launcher

import (
	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/leaser"
)

// locator adapts the leaser to the root package's ShardLocator.
type locator struct {
	runner *leaser.Runner
}

// Owns reports whether this host may act for the shard now.
func (l locator) Owns(shard sd.ShardID) (sd.Epoch, bool) {
	return l.runner.Holds(shard)
}

// Locate returns the address of the shard's owner as last heard of.
func (l locator) Locate(shard sd.ShardID) (sd.Address, bool) {
	owner, found := l.runner.Owner(shard)
	return owner.Address, found
}
