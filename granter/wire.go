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
	// Left is the time left until the call's deadline.
	Left sd.Millis
}

// Permit allows one call to run on one target.
type Permit struct {
	Cell   scheduler.CellID
	Number scheduler.PermitNumber
	Target sd.TargetID
	Fence  sd.Epoch
}

// permitResponse carries a permit or the news that the call still waits, and the
// cell's load.
type permitResponse struct {
	Permit Permit
	// Waiting is set if the cell has not decided yet.
	Waiting bool
	Load    scheduler.Summary
}

// doneReport reports how a call with a permit ended.
type doneReport struct {
	Permit Permit
	Usage  scheduler.Usage
}

// withdrawal cancels a call's request.
type withdrawal struct {
	Cell scheduler.CellID
	Call sd.StreamID
}

// renewal extends the lease of a keeper's permits in one cell.
type renewal struct {
	Keeper  sd.HostID
	Cell    scheduler.CellID
	Fence   sd.Epoch
	Permits []scheduler.PermitNumber
}

// emptyResponse answers messages that return no data.
type emptyResponse struct{}

// ShardOf returns the shard that a cell belongs to.
func ShardOf(cell scheduler.CellID) sd.ShardID {
	key := string(cell.Group) + "/" + strconv.Itoa(cell.Number)
	return sd.ShardID{Zone: cell.Zone, Number: int(xxhash.Sum64String(key) % sd.ShardsPerZone)}
}

// CellNumber returns the number of a target's cell, given the number of cells of
// its group and zone. It depends only on the target and that number, so adding a
// target never moves another one to a different guard.
func CellNumber(target sd.TargetID, cells int) int {
	if cells < 2 {
		return 0
	}
	return int(xxhash.Sum64String(string(target)) % uint64(cells))
}
