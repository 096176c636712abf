package archiver

import (
	"slices"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
)

// OperationKind is the kind of an Operation.
type OperationKind int

// Kinds of operations.
const (
	// Reserve reserves a turn's token limit from the budget.
	Reserve OperationKind = iota
	// Settle replaces the turn's reservation, if it is open, by the tokens used, and stores
	// the turn, if any.
	Settle
	// Cancel removes a reservation that may or may not have been made.
	Cancel
)

// Operation is a change of one program's account. It takes effect once, even if its
// transaction is sent several times.
type Operation struct {
	Kind    OperationKind
	Program Key
	// Hold is the key of the reservation.
	Hold Key
	// Tokens is the limit of a Reserve, or the tokens used of a Settle.
	Tokens sd.Tokens
	// Budget is the program's budget, checked by a Reserve.
	Budget sd.Tokens
	// Turn is the turn that a Settle stores, or nil.
	Turn *Turn `json:"Kept"`
	// Deadline is when a Reserve is abandoned; zero means never.
	Deadline sd.Instant `json:"Until"`

	// maybeApplied is set if a transaction with the operation may have been applied.
	maybeApplied bool
	// turnDropped is set if the turn is no longer to be stored.
	turnDropped bool
}

// Completion is the result of an operation. Err is nil, BudgetExhausted, Unavailable,
// or Malformed if the stored account cannot be decoded.
type Completion struct {
	Operation *Operation
	Err       error
	// Duplicate is set for a Settle whose turn the store had already.
	Duplicate bool
}

// Limits of a transaction, below the limits of the store: 100 entries and 1 MB.
const (
	maxBatchEntries = 90
	maxBatchBytes   = 600 << 10
	// maxRowBytes is the maximum size of a row's value; longer turns use several rows.
	maxRowBytes = 44 << 10
)

// Tables of the store.
const (
	TablePrograms = "programs"
	TableTurns    = "turns"
)

// Batcher builds the transactions of one part. It has at most one in flight. It does
// no I/O: the caller sends the transaction that Next returns and passes the outcome to
// Complete.
type Batcher struct {
	Part string
	// rows holds the accounts as last seen in the store.
	rows    map[Key]*versionedAccount
	pending []*Operation
	batch   *batch
}

// versionedAccount is an account at the version last seen; version 0 means that the
// row does not exist.
type versionedAccount struct {
	account Account
	version uint64
	at      sd.Instant
}

// batch is a transaction in flight and the state to adopt if it succeeds.
type batch struct {
	operations []*Operation
	outcomes   []error
	rows       map[Key]*versionedAccount
	written    map[Key]bool
	expect     []sd.Record
}

// Add appends an operation to the queue.
func (l *Batcher) Add(operation *Operation) { l.pending = append(l.pending, operation) }

// AddFirst puts an operation at the front of the queue.
func (l *Batcher) AddFirst(operation *Operation) { l.pending = slices.Insert(l.pending, 0, operation) }

// Waiting returns the number of operations that have not completed.
func (l *Batcher) Waiting() int {
	n := len(l.pending)
	if l.batch != nil {
		n += len(l.batch.operations)
	}
	return n
}

// IsStoring reports whether an operation that stores the turn has not completed.
func (l *Batcher) IsStoring(turn Key) bool {
	stores := func(o *Operation) bool { return o.Turn != nil && o.Turn.Key == turn }
	return slices.ContainsFunc(l.pending, stores) || (l.batch != nil && slices.ContainsFunc(l.batch.operations, stores))
}

// DropTurn has a Settle that has not completed end its turn without storing it, as nobody waits for that
// any more. A transaction that is in flight may still store it.
func (l *Batcher) DropTurn(o *Operation) {
	o.turnDropped = true
	if l.batch == nil || !slices.Contains(l.batch.operations, o) {
		o.Turn = nil
	}
}

// Reserving returns the total limit of a program's reservations that have not completed and are not
// abandoned, except the given one.
func (l *Batcher) Reserving(now sd.Instant, program, except Key) sd.Tokens {
	operations := l.pending
	if l.batch != nil {
		operations = append(slices.Clone(l.batch.operations), operations...)
	}
	total := sd.Tokens(0)
	for _, o := range operations {
		abandoned := o.Deadline != 0 && now >= o.Deadline
		if o.Kind == Reserve && o.Program == program && o.Hold != except && !abandoned {
			total += o.Tokens
		}
	}
	return total
}

// Observe records an account that was read from the store, unless a version at least
// as new is known.
func (l *Batcher) Observe(now sd.Instant, program Key, account Account, version uint64) {
	if l.rows == nil {
		l.rows = map[Key]*versionedAccount{}
	}
	if known := l.rows[program]; known != nil && known.version >= version {
		return
	}
	l.rows[program] = &versionedAccount{account: account, version: version, at: now}
}

// EvictIdle removes accounts that were last used before the given time and have no
// pending operations. It does nothing while a transaction is in flight.
func (l *Batcher) EvictIdle(before sd.Instant) {
	busy := map[Key]bool{}
	for _, o := range l.pending {
		busy[o.Program] = true
	}
	if l.batch != nil {
		return
	}
	for key, row := range l.rows {
		if row.at < before && !busy[key] {
			delete(l.rows, key)
		}
	}
}

// Expire completes the reservations whose deadline has passed. If one may have been
// applied, it is replaced by a Cancel.
func (l *Batcher) Expire(now sd.Instant) []Completion {
	var ended []Completion
	kept := l.pending[:0]
	for _, o := range l.pending {
		if o.Kind != Reserve || o.Deadline == 0 || now < o.Deadline {
			kept = append(kept, o)
			continue
		}
		ended = append(ended, Completion{Operation: o, Err: sd.Unavailable.New("reservation not made in time")})
		if o.maybeApplied {
			kept = append(kept, &Operation{Kind: Cancel, Program: o.Program, Hold: o.Hold})
		}
	}
	l.pending = kept
	return ended
}

// Next returns the next transaction, or false if there is none to send. The caller
// must pass its outcome to Complete.
func (l *Batcher) Next(now sd.Instant) (sd.Update, bool) {
	if l.batch != nil || len(l.pending) == 0 {
		return sd.Update{}, false
	}
	if l.rows == nil {
		l.rows = map[Key]*versionedAccount{}
	}
	b := &batch{rows: map[Key]*versionedAccount{}, written: map[Key]bool{}}
	var update sd.Update
	// stored holds the turns and the cancelled reservations for which the transaction has rows,
	// conditional the reservations for which it has a condition. A transaction names each row once.
	stored, conditional := map[Key]bool{}, map[Key]bool{}
	entries, size, taken := 0, 0, 0
	for _, o := range l.pending {
		puts := l.operationPuts(o)
		if o.Kind == Cancel && stored[o.Hold] {
			puts = nil
		}
		bytes := 0
		for _, put := range puts {
			bytes += len(put.Value)
		}
		if taken > 0 && (entries+len(puts)+2 > maxBatchEntries || size+bytes > maxBatchBytes) {
			break
		}
		if o.Turn != nil {
			if stored[o.Turn.Key] {
				// The next transaction finds the turn's row.
				break
			}
			stored[o.Turn.Key] = true
		}
		if o.Kind == Cancel {
			stored[o.Hold] = true
		}
		row := b.rows[o.Program]
		if row == nil {
			known := l.rows[o.Program]
			if known == nil {
				known = &versionedAccount{}
				l.rows[o.Program] = known
			}
			row = &versionedAccount{account: known.account, version: known.version, at: now}
			b.rows[o.Program] = row
			update.Expect = append(update.Expect, sd.Record{RecordKey: accountRecordKey(l.Part, o.Program), Version: known.version})
			entries += 2
		}
		if o.Kind == Settle && o.Turn != nil && !row.account.HasOpen(o.Hold) {
			// The account has no open reservation for the turn, or the turn was
			// settled before. The condition that its row does not exist tells which.
			update.Expect = append(update.Expect, sd.Record{RecordKey: puts[0].RecordKey})
			entries++
		}
		if o.Kind == Reserve && row.account.mayHaveDropped(o.Hold) && !conditional[o.Hold] {
			conditional[o.Hold] = true
			update.Expect = append(update.Expect, sd.Record{RecordKey: cancelRecordKey(l.Part, o.Hold)})
			entries++
		}
		changed, outcome := apply(&row.account, o)
		b.written[o.Program] = b.written[o.Program] || changed
		b.operations = append(b.operations, o)
		b.outcomes = append(b.outcomes, outcome)
		if changed {
			update.Put = append(update.Put, puts...)
			entries += len(puts)
			size += bytes
		}
		taken++
	}
	for program, row := range b.rows {
		if b.written[program] {
			update.Put = append(update.Put, sd.Record{RecordKey: accountRecordKey(l.Part, program), Value: row.account.Encode()})
		}
	}
	l.pending = slices.Clone(l.pending[taken:])
	b.expect = update.Expect
	l.batch = b
	return update, true
}

// apply applies the operation to the account. It returns whether the row must be
// written, and the operation's error. A Settle takes effect once, however many others
// follow: a turn is charged only while its reservation is open, which shows that it was not
// charged before. A Settle that stores a turn is written without an open reservation too, but then the
// transaction requires that the turn's row does not exist.
func apply(a *Account, o *Operation) (changed bool, outcome error) {
	switch o.Kind {
	case Reserve:
		if a.HasOpen(o.Hold) {
			return false, nil
		}
		if !a.Reserve(o.Hold, o.Tokens, o.Budget) {
			return false, BudgetExhausted.New("budget exhausted: spent %d, reserved %d, requested %d, budget %d", a.Spent, a.Reserved(), o.Tokens, o.Budget)
		}
		return true, nil
	case Settle:
		if !a.HasOpen(o.Hold) {
			// The turn was charged before, or ran on allotments.
			return o.Turn != nil, nil
		}
		a.Settle(o.Hold, o.Tokens)
		return true, nil
	default:
		// The row is written even without such a reservation: a delayed transaction
		// that would make the reservation then fails its version check.
		a.Settle(o.Hold, 0)
		return true, nil
	}
}

// Complete handles the outcome of the transaction that Next returned. On a Conflict
// error, the page has the current rows of those that the transaction expected.
func (l *Batcher) Complete(now sd.Instant, page sd.Page, err error) []Completion {
	uncertain, conflict := errorx.IsOfType(err, sd.Uncertain), errorx.IsOfType(err, sd.Conflict)
	b := l.batch
	l.batch = nil
	if err == nil {
		ended := make([]Completion, 0, len(b.operations))
		for program, row := range b.rows {
			if b.written[program] {
				row.version = page.Version
			}
			l.rows[program] = row
		}
		for i, o := range b.operations {
			ended = append(ended, Completion{Operation: o, Err: b.outcomes[i]})
		}
		return ended
	}
	if uncertain || conflict {
		// The conflict may be with an earlier copy of the same transaction.
		for _, o := range b.operations {
			o.maybeApplied = true
		}
	}
	for _, o := range b.operations {
		if o.turnDropped {
			o.Turn = nil
		}
	}
	l.pending = append(b.operations, l.pending...)
	if !conflict {
		return nil
	}
	current := map[sd.RecordKey]sd.Record{}
	for _, record := range page.Records {
		if !record.Removed {
			// All rows of a transaction are in its part.
			current[sd.RecordKey{Table: record.Table, Part: l.Part, Key: record.Key}] = record
		}
	}
	var ended []Completion
	for _, expected := range b.expect {
		record := current[expected.RecordKey]
		program, isAccount := accountProgram(expected.Key)
		if !isAccount {
			switch {
			case record.Version == 0:
			case expected.Table == TableTurns:
				ended = append(ended, l.endCancelledReserve(expected.Key)...)
			default:
				ended = append(ended, l.endDuplicateSettle(expected.Key)...)
			}
			continue
		}
		row := &versionedAccount{version: record.Version, at: now}
		if record.Version > 0 {
			account, err := DecodeAccount(record.Value)
			if err != nil {
				ended = append(ended, l.failProgram(program, err)...)
				continue
			}
			row.account = account
		}
		l.rows[program] = row
	}
	return ended
}

// endDuplicateSettle completes the Settle operations whose turn is already stored.
func (l *Batcher) endDuplicateSettle(key string) []Completion {
	var ended []Completion
	l.pending = slices.DeleteFunc(l.pending, func(o *Operation) bool {
		match := o.Kind == Settle && o.Turn != nil && turnRecordName(o.Turn) == key
		if match {
			ended = append(ended, Completion{Operation: o, Duplicate: true})
		}
		return match
	})
	return ended
}

// endCancelledReserve completes the Reserve operations that were cancelled before.
func (l *Batcher) endCancelledReserve(hold string) []Completion {
	var ended []Completion
	l.pending = slices.DeleteFunc(l.pending, func(o *Operation) bool {
		match := o.Kind == Reserve && o.Hold.String() == hold
		if match {
			ended = append(ended, Completion{Operation: o, Err: sd.Unavailable.New("reservation was cancelled")})
		}
		return match
	})
	return ended
}

// failProgram completes all operations of a program whose account cannot be decoded.
func (l *Batcher) failProgram(program Key, err error) []Completion {
	var ended []Completion
	l.pending = slices.DeleteFunc(l.pending, func(o *Operation) bool {
		if o.Program == program {
			ended = append(ended, Completion{Operation: o, Err: err})
		}
		return o.Program == program
	})
	return ended
}

// operationPuts returns the rows that an operation writes besides the account: those of the turn that
// a Settle stores, and that of a cancelled reservation.
func (l *Batcher) operationPuts(o *Operation) []sd.Record {
	if o.Kind == Cancel {
		return []sd.Record{{RecordKey: cancelRecordKey(l.Part, o.Hold), Value: []byte(o.Program.String())}}
	}
	if o.Kind != Settle || o.Turn == nil {
		return nil
	}
	rows := turnRows(l.Part, o.Turn)
	return append(rows, sd.Record{
		RecordKey: sd.RecordKey{Table: TableTurns, Part: l.Part, Key: o.Turn.Key.String()},
		Value:     []byte(o.Turn.Program.String()),
	})
}

// Parts is the number of parts over which programs are distributed. It must not
// change while rows are stored. A part has one transaction in flight at a time, about
// 100 per second; with fewer parts, more operations share one. With 4 parts, a large
// fleet uses a third of the store's rate limit, and an operation waits for half a
// transaction.
const Parts = 4

// Part returns the name of the part that has a program's rows.
func Part(program Key) string {
	const digits = "0123456789abcdef"
	return "p" + digits[program[0]%Parts:program[0]%Parts+1]
}

// AllParts returns the names of all parts.
func AllParts() []string {
	parts := make([]string, Parts)
	for i := range parts {
		parts[i] = Part(Key{byte(i)})
	}
	return parts
}

func accountRecordKey(part string, program Key) sd.RecordKey {
	return sd.RecordKey{Table: TablePrograms, Part: part, Key: program.String() + "/"}
}

// cancelRecordKey is the key of the row that tells that a reservation was cancelled. It is in the
// index of turns, whose keys are digests of another kind.
func cancelRecordKey(part string, hold Key) sd.RecordKey {
	return sd.RecordKey{Table: TableTurns, Part: part, Key: hold.String()}
}

// accountProgram returns the program of an account's row key.
func accountProgram(key string) (Key, bool) {
	if len(key) != 2*keySize+1 || key[2*keySize] != '/' {
		return Key{}, false
	}
	return ParseKey(key[:2*keySize])
}

// turnRecordName returns the key of a turn's first row.
func turnRecordName(t *Turn) string { return t.Program.String() + "/" + t.Key.String() }

// turnRows splits a turn into as many rows as its length requires. The first row has
// the turn's key; the keys of the others sort after it in order.
func turnRows(part string, t *Turn) []sd.Record {
	value := t.Encode()
	key := turnRecordName(t)
	var rows []sd.Record
	for i := 0; i == 0 || len(value) > 0; i++ {
		n := min(len(value), maxRowBytes)
		name := key
		if i > 0 {
			name = key + "." + string([]byte{'a' + byte(i/26), 'a' + byte(i%26)})
		}
		rows = append(rows, sd.Record{RecordKey: sd.RecordKey{Table: TablePrograms, Part: part, Key: name}, Value: value[:n]})
		value = value[n:]
	}
	return rows
}
