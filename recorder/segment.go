package recorder

import (
	"encoding/json"
	"slices"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
)

// BadSegment marks an object or row of the recorder that does not parse.
var BadSegment = root.Errors.NewSubNamespace("recorder").NewType("bad_segment")

// Segment is the content of one object: a part of a log.
type Segment struct {
	Sections []Section
}

// Section is the part of a segment that belongs to one shard.
type Section struct {
	Shard root.ShardID
	Epoch root.Epoch
	// Whole sections replace everything recorded for the shard before.
	Whole   bool
	Records []keeper.Record
	Marks   []Mark
}

// LogRow is the value of a log's row.
type LogRow struct {
	// Shards are the shards whose entries the log accepts.
	Shards []Tenure
	// Base is the last checkpoint's object, Segments those that follow it.
	Base     string
	Segments []string
	// Peers may hold records that are not in the log yet.
	Peers []keeper.Peer
}

// Tenure is the ownership of a shard.
type Tenure struct {
	Shard root.ShardID
	Epoch root.Epoch
}

// IndexRow is the value of a shard's index row.
type IndexRow struct {
	Epoch root.Epoch
	// Log is the row of the log that accepts the shard's entries.
	Log root.RowKey
	// Sources are older objects to be read before the log, and Peers the former
	// owners' peers, until the owner has stored the whole shard itself.
	Sources []string
	Peers   []keeper.Peer
}

// LogKey names the row of a process's log.
func LogKey(host root.HostID, incarnation root.Incarnation) root.RowKey {
	return root.RowKey("log/" + string(host) + "/" + incarnation.String())
}

// IndexKey names the index row of a shard.
func IndexKey(shard root.ShardID) root.RowKey {
	return shardKey("index/", shard)
}

// LeaseKey names the leaser's row of a shard.
func LeaseKey(shard root.ShardID) root.RowKey {
	return shardKey("shard/", shard)
}

func shardKey(prefix string, shard root.ShardID) root.RowKey {
	return root.RowKey(prefix + string(shard.Zone) + "/" + itoa(uint64(shard.Number)))
}

// names returns the objects of the log in reading order.
func (l *LogRow) names() []string {
	if l.Base == "" {
		return slices.Clone(l.Segments)
	}
	return append([]string{l.Base}, l.Segments...)
}

func (l *LogRow) epoch(shard root.ShardID) (root.Epoch, bool) {
	for _, t := range l.Shards {
		if t.Shard == shard {
			return t.Epoch, true
		}
	}
	return 0, false
}

// without returns the row without the shard.
func (l LogRow) without(shard root.ShardID) LogRow {
	l.Shards = slices.DeleteFunc(slices.Clone(l.Shards), func(t Tenure) bool { return t.Shard == shard })
	return l
}

// encode is used for values whose types always encode.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return data
}

// decode reads a row's or object's value; an empty one gives the zero value.
func decode[T any](data []byte) (T, error) {
	var value T
	if len(data) == 0 {
		return value, nil
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, BadSegment.Wrap(err, "%d bytes", len(data))
	}
	return value, nil
}
