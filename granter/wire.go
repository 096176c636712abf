package granter

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

// permitRequest asks the guard of a cell for a permit.
type permitRequest struct {
	Cell    scheduler.CellID
	Request scheduler.Request
	// Left is the time until the call's deadline.
	Left sd.Millis
}

// Permit is the right of one call to use one target.
type Permit struct {
	Cell   scheduler.CellID
	Number scheduler.PermitNumber
	Target sd.TargetID
	Fence  sd.Epoch
}

// permitAnswer carries a permit, or that the call still waits, and the cell's load.
type permitAnswer struct {
	Permit Permit
	// Waiting is set while the cell has not decided.
	Waiting bool
	Load    scheduler.Summary
}

// doneReport tells how a call with a permit ended.
type doneReport struct {
	Permit Permit
	Usage  scheduler.Usage
}

// withdrawal takes a waiting call back.
type withdrawal struct {
	Cell scheduler.CellID
	Call sd.StreamID
}

// renewal keeps the permits of one cell alive.
type renewal struct {
	Keeper  sd.HostID
	Cell    scheduler.CellID
	Fence   sd.Epoch
	Permits []scheduler.PermitNumber
}

// nothing is the answer to messages that need none.
type nothing struct{}

// ShardOf returns the shard that owns a cell.
func ShardOf(cell scheduler.CellID) sd.ShardID {
	key := string(cell.Group) + "/" + strconv.Itoa(cell.Number)
	return sd.ShardID{Zone: cell.Zone, Number: int(xxhash.Sum64String(key) % sd.ShardsPerZone)}
}

// NumberOf returns the number of the cell that a target belongs to among the
// given number of cells of its group and zone. It depends on nothing but the
// target, so that a new target never moves another one to a different guard.
func NumberOf(target sd.TargetID, cells int) int {
	if cells < 2 {
		return 0
	}
	return int(xxhash.Sum64String(string(target)) % uint64(cells))
}
