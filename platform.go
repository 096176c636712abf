package sapphiredrum

import "context"

// RowKey names a row of the platform's table, such as "host/si-1/h3".
type RowKey string

// Sequence orders all commits of the table; it only grows.
type Sequence uint64

// Row is a row of the platform's table.
type Row struct {
	Key RowKey
	// Version counts the row's writes; 0 means that the row is absent.
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
	// Expect is the version that the row must have; 0 means absent.
	Expect uint64
	// Value is the new value; Delete removes the row instead.
	Value  []byte
	Delete bool
}

// Transaction is a set of writes that take effect together or not at all.
type Transaction struct {
	Operation OperationID
	// Checks are rows that must have the given version but are not written.
	Checks []Check
	Writes []Write
}

// Check is a condition on a row that the transaction does not write.
type Check struct {
	Key    RowKey
	Expect uint64
}

// Table is the platform's transactional table service.
//
// Errors are Unavailable (no effect), Uncertain (a commit's answer was lost: it
// may or may not have taken effect) and Conflict (a condition did not hold).
type Table interface {
	// Read returns a row for each key, with version 0 where it is absent.
	Read(ctx context.Context, keys ...RowKey) ([]Row, error)
	// Changes returns the rows with the prefix that were written after the given
	// sequence, deleted ones with version 0, and the sequence now reached.
	// After sequence 0 it returns the rows that exist.
	Changes(ctx context.Context, prefix RowKey, after Sequence) ([]Row, Sequence, error)
	// Commit applies a transaction and returns its sequence.
	Commit(ctx context.Context, transaction Transaction) (Sequence, error)
}

// Objects is the platform's object store. Errors are Unavailable, Uncertain
// (Put and Delete only) and Absent.
type Objects interface {
	Put(ctx context.Context, name string, value []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// Member is an entry of the platform's list of live and leaving machines.
type Member struct {
	Address Address
	Leaving bool
}

// Roster is the platform's list of live and leaving hosts and targets. It lags.
type Roster interface {
	Members(ctx context.Context) ([]Member, error)
}
