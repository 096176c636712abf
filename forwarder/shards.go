package forwarder

import (
	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/limiter"
)

// shardOf chooses the shard of a new program: its parent's, else the workspace's
// shard in this host's availability zone, or in the first zone in the workspace's
// order that takes work and whose shard has an owner.
func (f *Forwarder) shardOf(creation sd.CreateRequest) (sd.ShardID, error) {
	if creation.Parent != "" {
		shard, err := creation.Parent.Shard()
		if err != nil {
			return shard, sd.NewRefusal(sd.ProgramUnknown, 0, "the parent's identifier is not one of this system")
		}
		return shard, nil
	}
	number := limiter.AccountShard(creation.Caller.Workspace)
	own := sd.ShardID{Zone: f.Parts.Zone, Number: number}
	if f.takes(own) {
		return own, nil
	}
	for _, zone := range limiter.HomeZones(creation.Caller.Workspace, f.Parts.Config().Sheet.Zones) {
		shard := sd.ShardID{Zone: zone, Number: number}
		if f.takes(shard) {
			return shard, nil
		}
	}
	return own, nil
}

// takes reports whether a shard's zone takes new programs and the shard has an
// owner.
func (f *Forwarder) takes(shard sd.ShardID) bool {
	zone, found := f.Parts.Config().Zone(shard.Zone)
	if !found || zone.DrainedAt(f.Parts.Clock.WallNow()) {
		return false
	}
	if _, held := f.Parts.Locator.Owns(shard); held {
		return true
	}
	_, owned := f.Parts.Locator.Locate(shard)
	return owned
}
