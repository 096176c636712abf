package leaser

import "sapphiredrum.example/sapphiredrum"

// Settings are a host's own settings for its lease.
type Settings struct {
	Host        sapphiredrum.HostID
	Zone        sapphiredrum.ZoneName
	Address     sapphiredrum.Address
	Incarnation sapphiredrum.Incarnation
	// TTL is the lease's length; Drift bounds by how much the clocks of two
	// hosts may part in one TTL. All hosts use the same values.
	TTL   sapphiredrum.Millis
	Drift sapphiredrum.Millis
	// Scan is the time between scans of the table.
	Scan sapphiredrum.Millis
	// Grace bounds the time from Asked to the shard's release; zero releases at
	// once.
	Grace sapphiredrum.Millis
}

// HostRow is the value of a row "host/<zone>/<host>", as JSON.
type HostRow struct {
	Host        sapphiredrum.HostID
	Zone        sapphiredrum.ZoneName
	Address     sapphiredrum.Address
	Incarnation sapphiredrum.Incarnation
	// Epoch numbers the registrations under this name. It is higher than the
	// table's sequence that the host had seen, and so grows even if the row was
	// deleted in between.
	Epoch sapphiredrum.Epoch
	// Counter counts the transactions of this process.
	Counter uint64
	// Leaving hosts take no more shards.
	Leaving bool
	// Lapsed is set by the peer that found the lease run out.
	Lapsed bool
}

// ShardRow is the value of a row "shard/<zone>/<number>", as JSON.
type ShardRow struct {
	// Host is empty once the owner has released the shard.
	Host        sapphiredrum.HostID
	Address     sapphiredrum.Address
	Incarnation sapphiredrum.Incarnation
	// Lease is the Epoch of the owner's HostRow.
	Lease sapphiredrum.Epoch
	// Epoch is the fencing number; each owner has a higher one than the last.
	Epoch sapphiredrum.Epoch
}

// Owner is a shard's owner, to forward calls to.
type Owner struct {
	Host        sapphiredrum.HostID
	Address     sapphiredrum.Address
	Incarnation sapphiredrum.Incarnation
	Epoch       sapphiredrum.Epoch
}

// Beat is a heartbeat between hosts of a zone.
type Beat struct {
	Host        sapphiredrum.HostID
	Zone        sapphiredrum.ZoneName
	Address     sapphiredrum.Address
	Incarnation sapphiredrum.Incarnation
	// Number grows with each beat of a process.
	Number uint64
	// Reaches tells that the platform's table answers the sender and has not
	// failed it since it last began to answer.
	Reaches bool
	// Released is the commit in which the sender last released a shard; a peer
	// that has not seen it yet scans at once.
	Released sapphiredrum.Sequence
}

// RequestID tags a request, so that its answer can be told from a late one.
type RequestID uint64

// Request is table work: ChangesRequest, ReadRequest, CommitRequest or
// RelayRequest.
type Request interface {
	request() RequestID
}

// ChangesRequest asks for Table.Changes.
type ChangesRequest struct {
	ID     RequestID
	Prefix sapphiredrum.RowKey
	After  sapphiredrum.Sequence
}

// ReadRequest asks for Table.Read.
type ReadRequest struct {
	ID   RequestID
	Keys []sapphiredrum.RowKey
}

// CommitRequest asks for Table.Commit.
type CommitRequest struct {
	ID          RequestID
	Transaction sapphiredrum.Transaction
}

// RelayRequest asks for table work by way of a zone peer that reaches the table.
type RelayRequest struct {
	ID      RequestID
	Peer    sapphiredrum.HostID
	Address sapphiredrum.Address
	Work    Relayed
}

// Relayed is the work of a RelayRequest as it travels to the peer: a read if
// Keys is not empty, else a commit.
type Relayed struct {
	Keys        []sapphiredrum.RowKey
	Transaction sapphiredrum.Transaction
}

func (r ChangesRequest) request() RequestID { return r.ID }
func (r ReadRequest) request() RequestID    { return r.ID }
func (r CommitRequest) request() RequestID  { return r.ID }
func (r RelayRequest) request() RequestID   { return r.ID }

// Status is what became of a request.
type Status int

// The statuses of requests, after the errors of sapphiredrum.Table.
const (
	// Done means that the request succeeded.
	Done Status = iota
	// Unavailable means that the request took no effect.
	Unavailable
	// Uncertain means that the request may have taken effect.
	Uncertain
	// Conflict means that a condition of a commit did not hold.
	Conflict
)

// Reply is the answer to a request, or its failure.
type Reply struct {
	ID     RequestID
	Status Status
	// Rows answers a read or a scan.
	Rows []sapphiredrum.Row
	// Sequence answers a scan (what it reached) or a commit.
	Sequence sapphiredrum.Sequence
}

// Event tells the process of a change: Gained, Lost or Asked.
type Event interface {
	event() sapphiredrum.ShardID
}

// Gained tells that this host may now act for the shard. A Gained with the
// epoch of the shard's last Lost means that nobody owned it in between.
type Gained struct {
	Shard sapphiredrum.ShardID
	Epoch sapphiredrum.Epoch
	// Clean tells that the last owner released the shard, or that there was none.
	Clean bool
}

// Lost tells that this host may no longer act for the shard.
type Lost struct {
	Shard sapphiredrum.ShardID
}

// Asked tells that the shard is to move: finish with it, then call Release.
type Asked struct {
	Shard sapphiredrum.ShardID
}

func (e Gained) event() sapphiredrum.ShardID { return e.Shard }
func (e Lost) event() sapphiredrum.ShardID   { return e.Shard }
func (e Asked) event() sapphiredrum.ShardID  { return e.Shard }
