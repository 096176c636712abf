package sapphiredrum

import "context"

// FleetConfig is one revision of the configuration of a fleet of entry hosts.
type FleetConfig struct {
	Revision   Revision
	Rules      []RoutingRule
	Pools      []Pool
	Workspaces []Workspace
	Keys       []APIKey
	Limits     RequestLimits
	// Skipped names the entries and fields that could not be read.
	Skipped []string
}

// RoutingRule configures the requests for a host name and path prefix.
type RoutingRule struct {
	Name   RouteName
	Host   string
	Prefix string
	// Streaming is set if responses are event streams. Such requests run at most
	// once, unless Resumable is set.
	Streaming bool
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Public is set if requests need no API key.
	Public bool
	Tier   Tier
	// Timeout limits the time from a request's arrival to the end of its response.
	Timeout Millis
	// LatencyObjective is the target time to the response, or to the first event
	// of a stream.
	LatencyObjective Millis
	// MaxEventGap is the longest time between two events of a stream that counts
	// as on time.
	MaxEventGap Millis
	// MaxAttempts limits the number of targets on which one request may run.
	MaxAttempts int
	// RetainTurns is set if each turn is stored for TurnRetention, so that a later
	// turn can continue from it.
	RetainTurns   bool
	TurnRetention Millis
	// Resumable is set if a stream may continue on another target after the last
	// event received.
	Resumable bool
	// Sticky is set if a request is faster on a target that has processed its
	// prefix.
	Sticky     bool
	PoolShares []PoolShare
}

// PoolShare is a pool's weight in the distribution of a rule's requests.
type PoolShare struct {
	Pool   GroupName
	Weight int
}

// Pool is a group of interchangeable targets.
type Pool struct {
	Name GroupName
	// MaxConnections limits the connections to one target, over all callers.
	MaxConnections int
	// ColdRate limits the requests per second to a cold target; zero means no
	// limit.
	ColdRate Rate
	// TokensPerEvent is the number of tokens counted for each event of an engine's
	// response; zero for services.
	TokensPerEvent Tokens
	// CacheCapacity is the size of an engine's prefix cache.
	CacheCapacity Tokens
}

// RequestLimits limits the size and duration of callers' requests.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout limits the time to read a request's headers.
	HeaderTimeout Millis
	// IdleTimeout limits the idle time of a keep-alive connection.
	IdleTimeout Millis
}

// TargetRegistration is a target's latest report about itself.
type TargetRegistration struct {
	ID      TargetID
	Pool    GroupName
	Address Address
	Zone    ZoneName
	Slots   Slots
	// Leaving is set if the target takes no new requests.
	Leaving bool
	// ColdRemaining is the remaining warm-up time when the target registered.
	ColdRemaining Millis
	// Incarnation distinguishes restarts of the target.
	Incarnation Incarnation
	// Version is the version of the target's program; empty if it is not told.
	Version Version
}

// RecordKey identifies a row of the fleet's store. A transaction is limited to
// one Part.
type RecordKey struct {
	Table, Part, Key string
}

// Record is a row of the fleet's store.
type Record struct {
	RecordKey
	Value []byte
	// Version is the number of the transaction that last wrote the row; 0 means
	// that the row does not exist.
	Version uint64
	Removed bool
}

// Update is an atomic transaction. It takes effect only if each row of Expect has
// the given version, where 0 means that the row does not exist.
type Update struct {
	Expect []Record
	Put    []Record
	Remove []RecordKey
}

// Page is a consistent snapshot of a part of a table.
type Page struct {
	Records []Record
	// Version is the newest version of the store.
	Version uint64
	// More is set if the range continues after the last record.
	More bool
}

// Store is the fleet's shared, linearizable store.
//
// Its errors are Unavailable (no effect), Uncertain (the response to an update
// was lost; it may still take effect), Conflict (with the current rows in the
// page) and NotFound (from Watch: the history after that version has been
// discarded).
type Store interface {
	// Commit applies an update. On a Conflict error, the page contains the current
	// rows of Expect.
	Commit(ctx context.Context, update Update) (Page, error)
	// List returns the rows with from <= key < to, sorted by key. An empty to means
	// no upper bound.
	List(ctx context.Context, table, part, from, to string) (Page, error)
	// Watch waits up to wait for changes to a table after the given version.
	Watch(ctx context.Context, table string, after uint64, wait Millis) (Page, error)
}
