package leaser

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

const (
	hostPrefix  = "host/"
	shardPrefix = "shard/"
)

// hostEntry is a zone peer's row as last scanned.
type hostEntry struct {
	row      HostRow
	version  uint64
	sequence sapphiredrum.Sequence
	// operation is the transaction that wrote this version.
	operation sapphiredrum.OperationID
	// changed is when a scan first brought this version.
	changed sapphiredrum.Instant
}

// shardEntry is a shard's row as last scanned or written.
type shardEntry struct {
	row      ShardRow
	version  uint64
	sequence sapphiredrum.Sequence
	// clean tells how this host came by the shard.
	clean bool
}

// scan is the state of the repeated scan of one prefix.
type scan struct {
	prefix  sapphiredrum.RowKey
	reached sapphiredrum.Sequence
	// complete tells that a scan has succeeded at least once.
	complete bool
	// fresh tells that a scan begun after the last conflict has succeeded.
	fresh bool
	lane  lane
	next  sapphiredrum.Instant
}

// lane holds the one request of a kind that is in flight.
type lane struct {
	id   RequestID
	busy bool
	sent sapphiredrum.Instant
}

// view is what a host knows of the table.
type view struct {
	hosts map[sapphiredrum.HostID]*hostEntry
	zone  sapphiredrum.ZoneName
	// own are the shards of the host's zone, shards those of the others.
	own       [sapphiredrum.ShardsPerZone]shardEntry
	shards    map[sapphiredrum.ShardID]*shardEntry
	hostScan  scan
	shardScan scan
}

func hostKey(zone sapphiredrum.ZoneName, host sapphiredrum.HostID) sapphiredrum.RowKey {
	return sapphiredrum.RowKey(hostPrefix + string(zone) + "/" + string(host))
}

func shardKey(shard sapphiredrum.ShardID) sapphiredrum.RowKey {
	return sapphiredrum.RowKey(shardPrefix + string(shard.Zone) + "/" + strconv.Itoa(shard.Number))
}

// encode writes a row's value; the row types always encode.
func encode(row any) []byte {
	value, _ := json.Marshal(row)
	return value
}

// takeHost records a scanned or written host row.
func (v *view) takeHost(now sapphiredrum.Instant, row sapphiredrum.Row) {
	name := sapphiredrum.HostID(row.Key[strings.LastIndexByte(string(row.Key), '/')+1:])
	known, found := v.hosts[name]
	if found && (row.Sequence < known.sequence || row.Version == known.version) {
		return
	}
	if row.Version == 0 {
		delete(v.hosts, name)
		return
	}
	entry := &hostEntry{version: row.Version, sequence: row.Sequence, operation: row.Operation, changed: now}
	if json.Unmarshal(row.Value, &entry.row) == nil {
		v.hosts[name] = entry
	}
}

// takeShard records a scanned or written shard row.
func (v *view) takeShard(row sapphiredrum.Row) {
	shard, valid := parseShardKey(row.Key)
	if !valid {
		return
	}
	known := v.entry(shard)
	if known == nil {
		known = &shardEntry{}
		v.shards[shard] = known
	}
	if row.Sequence <= known.sequence {
		return
	}
	entry := shardEntry{version: row.Version, sequence: row.Sequence, clean: known.row.Host == ""}
	if json.Unmarshal(row.Value, &entry.row) == nil {
		*known = entry
	}
}

// entry returns what is known of a shard, or nil.
func (v *view) entry(shard sapphiredrum.ShardID) *shardEntry {
	if shard.Zone != v.zone {
		return v.shards[shard]
	}
	if shard.Number < 0 || shard.Number >= len(v.own) {
		return nil
	}
	return &v.own[shard.Number]
}

func parseShardKey(key sapphiredrum.RowKey) (sapphiredrum.ShardID, bool) {
	zone, number, found := strings.Cut(strings.TrimPrefix(string(key), shardPrefix), "/")
	n, err := strconv.Atoi(number)
	if !found || err != nil || n < 0 || n >= sapphiredrum.ShardsPerZone {
		return sapphiredrum.ShardID{}, false
	}
	return sapphiredrum.ShardID{Zone: sapphiredrum.ZoneName(zone), Number: n}, true
}

// names returns the known hosts in order.
func (v *view) names() []sapphiredrum.HostID {
	names := make([]sapphiredrum.HostID, 0, len(v.hosts))
	for name := range v.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ownerless reports whether nobody owns the shard of the given row, which may
// then be claimed at once. The caller checks that the host scan is new enough.
// An owner's row with a lower epoch is no sign: it was overwritten by an earlier
// process, and the owner may be within its lease.
func (v *view) ownerless(row ShardRow) bool {
	if row.Host == "" {
		return true
	}
	owner, found := v.hosts[row.Host]
	return !found || owner.row.Lapsed || owner.row.Epoch > row.Lease
}
