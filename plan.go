package sapphiredrum

import "context"

// Plan is one revision of what operators declare for a fleet of entry hosts.
type Plan struct {
	Revision   Revision
	Rules      []Rule
	Pools      []Pool
	Workspaces []Workspace
	Keys       []Key
	Bounds     Bounds
}

// Rule tells how requests under a path prefix of a host name are treated.
type Rule struct {
	Name   RouteName
	Host   string
	Prefix string
	// Streaming answers are a series of events; such requests run at most once.
	Streaming bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// Open rules need no key.
	Open bool
	Tier Tier
	// Timeout bounds a request from its arrival to the end of its answer.
	Timeout Millis
	// Objective is the time to the answer, for streams to the first event.
	Objective Millis
	// Gap is the longest pause between events of an answer on time.
	Gap Millis
	// Attempts bounds the targets on which one request may run.
	Attempts int
	// Retained rules keep each turn for Retention, so that later ones go on from it.
	Retained  bool
	Retention Millis
	// Resumable streams may go on at another target after the last event that came.
	Resumable bool
	// Sticky requests are faster at a target that has seen their prefix.
	Sticky bool
	Shares []PoolShare
}

// PoolShare is the part of a rule's requests that goes to a pool.
type PoolShare struct {
	Pool   GroupName
	Weight int
}

// Pool is a group of interchangeable targets.
type Pool struct {
	Name GroupName
	// Connections bounds the connections of all callers to one target.
	Connections int
	// ColdRate is how many requests a second a cold target bears; zero: unbounded.
	ColdRate Rate
	// EventTokens is what each event of an engine's answer counts; zero for services.
	EventTokens Tokens
	// Memory is an engine's prefix memory.
	Memory Tokens
}

// Bounds limit what callers may send.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long a caller may take to send a request's head.
	HeaderTimeout Millis
	// IdleTimeout is how long a kept connection may lie idle.
	IdleTimeout Millis
}

// Registration is what a target last said of itself.
type Registration struct {
	ID      TargetID
	Pool    GroupName
	Address Address
	Zone    ZoneName
	Slots   Slots
	// Leaving targets take no new requests.
	Leaving bool
	// Cold is how long the target stayed cold when it registered.
	Cold Millis
	// Born tells one start of the target from another.
	Born Incarnation
}

// Cell names a row of the fleet's store. A transaction touches one Part.
type Cell struct {
	Table, Part, Key string
}

// Record is a row of the fleet's store.
type Record struct {
	Cell
	Value []byte
	// Version is the transaction that last wrote the row; 0 means that it is absent.
	Version uint64
	Removed bool
}

// Update is a transaction: it takes effect as a whole if each row of Expect has
// the version given, 0 meaning absent.
type Update struct {
	Expect []Record
	Put    []Record
	Remove []Cell
}

// Page is a part of a table at one moment.
type Page struct {
	Records []Record
	// Version is the newest version of the store.
	Version uint64
	// More tells that the range goes on after the last record.
	More bool
}

// Store is the fleet's shared memory. Its answers are linearizable.
//
// Errors are Unavailable (no effect), Uncertain (an update's answer was lost; it
// may yet take effect), Conflict (with the current rows in the page) and Absent
// (Watch: the history after that version is gone).
type Store interface {
	// Commit applies an update; on a Conflict error the page holds the current
	// rows of Expect.
	Commit(ctx context.Context, update Update) (Page, error)
	// List returns rows with from <= key < to, in order of their keys; an empty
	// to means no end.
	List(ctx context.Context, table, part, from, to string) (Page, error)
	// Watch waits for changes of a table after a version.
	Watch(ctx context.Context, table string, after uint64, wait Millis) (Page, error)
}
