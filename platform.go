package sapphiredrum

import "context"

// RowKey is the key of a row in the platform's table, such as "host/si-1/h3".
type RowKey string

// Sequence numbers the commits to the table; it only increases.
type Sequence uint64

// Row is a row of the platform's table.
type Row struct {
	Key RowKey
	// Version counts the writes to the row; 0 means that the row does not exist.
	Version uint64
	// Sequence is the commit that last wrote the row.
	Sequence Sequence
	// Operation is the operation that last wrote the row.
	Operation OperationID
	Value     []byte
}

// Write is one conditional write of a transaction.
type Write struct {
	Key RowKey
	// Expect is the version that the row must have; 0 means that it must not exist.
	Expect uint64
	// Value is the new value. If Delete is set, the row is deleted instead.
	Value  []byte
	Delete bool
}

// Transaction is an atomic set of writes.
type Transaction struct {
	Operation OperationID
	// Checks are preconditions on rows that the transaction does not write.
	Checks []Precondition
	Writes []Write
}

// Precondition requires a row that the transaction does not write to have the
// version Expect.
type Precondition struct {
	Key    RowKey
	Expect uint64
}

// Table is the platform's transactional table service.
//
// Its errors are Unavailable (no effect), Uncertain (the response to a commit was
// lost; it may have taken effect) and Conflict (a precondition failed).
type Table interface {
	// Read returns one row per key, with version 0 if the row does not exist.
	Read(ctx context.Context, keys ...RowKey) ([]Row, error)
	// Changes returns the rows with the prefix that were written after the given
	// sequence number, deleted rows with version 0, and the current sequence
	// number. After sequence 0 it returns all existing rows.
	Changes(ctx context.Context, prefix RowKey, after Sequence) ([]Row, Sequence, error)
	// Commit applies a transaction and returns its sequence number.
	Commit(ctx context.Context, transaction Transaction) (Sequence, error)
}

// ObjectStore is the platform's object store. Its errors are Unavailable,
// Uncertain (Put and Delete only) and NotFound.
type ObjectStore interface {
	Put(ctx context.Context, name string, value []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// Member is an entry of the platform's list of live and leaving hosts and
// targets.
type Member struct {
	Address Address
	Leaving bool
}

// MemberList is the platform's list of live and leaving hosts and targets. It may
// be out of date.
type MemberList interface {
	Members(ctx context.Context) ([]Member, error)
}
