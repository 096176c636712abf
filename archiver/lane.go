package archiver

import (
	"slices"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
)

// Kind tells what an operation does to an account.
type Kind int

// The kinds of operations.
const (
	// Reserve takes a turn's most from the budget.
	Reserve Kind = iota
	// Settle charges what the turn used, in place of its reservation if there is
	// one, and keeps the turn.
	Settle
	// Cancel gives back a reservation that may or may not have been made.
	Cancel
)

// Operation is a change of one program's account. It is applied once, however
// often its transaction is sent.
type Operation struct {
	Kind    Kind
	Program Key
	// Hold is the key of the reservation.
	Hold Key
	// Tokens is the most of a Reserve, what a Settle used.
	Tokens sd.Tokens
	// Budget bounds a Reserve.
	Budget sd.Tokens
	// Kept is the turn that a Settle stores; nil stores none.
	Kept *Turn
	// Until is when a Reserve is given up; zero is never.
	Until sd.Instant

	// sent tells that a transaction with the operation may have taken effect.
	sent bool
}

// Ended is an operation's outcome: nil, Exhausted or Unavailable.
type Ended struct {
	Operation *Operation
	Err       error
}

// Limits of a transaction, under the store's own of 100 entries and a megabyte.
const (
	batchEntries = 90
	batchBytes   = 600 << 10
	// rowBytes is the most of one row's value; longer turns take several rows.
	rowBytes = 44 << 10
)

// Tables of the fleet's rows.
const (
	TablePrograms = "programs"
	TableTurns    = "turns"
)

// Lane decides the transactions of one part. It has at most one under way. It is
// pure: its owner sends what Next returns and tells Done what came back.
type Lane struct {
	Part string
	// rows holds the accounts as last seen.
	rows    map[Key]*seen
	pending []*Operation
	batch   *batch
}

// seen is an account at the version last seen; version 0 means no row.
type seen struct {
	account Account
	version uint64
	at      sd.Instant
}

// batch is a transaction under way and what follows from its success.
type batch struct {
	operations []*Operation
	outcomes   []error
	rows       map[Key]*seen
	written    map[Key]bool
	expect     []sd.Record
}

// Add queues an operation.
func (l *Lane) Add(operation *Operation) { l.pending = append(l.pending, operation) }

// AddFirst queues an operation before all others.
func (l *Lane) AddFirst(operation *Operation) { l.pending = slices.Insert(l.pending, 0, operation) }

// Waiting returns the number of operations that have not ended.
func (l *Lane) Waiting() int {
	n := len(l.pending)
	if l.batch != nil {
		n += len(l.batch.operations)
	}
	return n
}

// See takes an account row that was read; an older version than the one known
// changes nothing.
func (l *Lane) See(now sd.Instant, program Key, account Account, version uint64) {
	if l.rows == nil {
		l.rows = map[Key]*seen{}
	}
	if known := l.rows[program]; known != nil && known.version >= version {
		return
	}
	l.rows[program] = &seen{account: account, version: version, at: now}
}

// Forget drops accounts without operations that were not used since before.
func (l *Lane) Forget(before sd.Instant) {
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

// Expire ends the reservations whose time has passed. One that may have taken
// effect is followed by a Cancel.
func (l *Lane) Expire(now sd.Instant) []Ended {
	var ended []Ended
	kept := l.pending[:0]
	for _, o := range l.pending {
		if o.Kind != Reserve || o.Until == 0 || now < o.Until {
			kept = append(kept, o)
			continue
		}
		ended = append(ended, Ended{o, sd.Unavailable.New("account not reached in time")})
		if o.sent {
			kept = append(kept, &Operation{Kind: Cancel, Program: o.Program, Hold: o.Hold})
		}
	}
	l.pending = kept
	return ended
}

// Next returns the next transaction, or false if none is due. Its owner must
// call Done with what became of it.
func (l *Lane) Next(now sd.Instant) (sd.Update, bool) {
	if l.batch != nil || len(l.pending) == 0 {
		return sd.Update{}, false
	}
	if l.rows == nil {
		l.rows = map[Key]*seen{}
	}
	b := &batch{rows: map[Key]*seen{}, written: map[Key]bool{}}
	var update sd.Update
	entries, size, taken := 0, 0, 0
	for _, o := range l.pending {
		puts := l.puts(o)
		bytes := 0
		for _, put := range puts {
			bytes += len(put.Value)
		}
		if taken > 0 && (entries+len(puts)+2 > batchEntries || size+bytes > batchBytes) {
			break
		}
		row := b.rows[o.Program]
		if row == nil {
			known := l.rows[o.Program]
			if known == nil {
				known = &seen{}
				l.rows[o.Program] = known
			}
			row = &seen{account: known.account, version: known.version, at: now}
			b.rows[o.Program] = row
			update.Expect = append(update.Expect, sd.Record{RecordKey: accountCell(l.Part, o.Program), Version: known.version})
			entries += 2
		}
		if o.Kind == Settle && o.Kept != nil && !row.account.Holds(o.Hold) {
			// The turn ran without a reservation in the store, or was settled before:
			// its own row tells.
			update.Expect = append(update.Expect, sd.Record{RecordKey: puts[0].RecordKey})
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
			update.Put = append(update.Put, sd.Record{RecordKey: accountCell(l.Part, program), Value: row.account.Encode()})
		}
	}
	l.pending = slices.Clone(l.pending[taken:])
	b.expect = update.Expect
	l.batch = b
	return update, true
}

// apply changes the account. It returns whether the row is to be written, and the
// operation's outcome. A Settle that stores a turn is always due: the turn's row, which must
// be absent unless its reservation is open, tells whether it was settled before.
func apply(a *Account, o *Operation) (changed bool, outcome error) {
	switch o.Kind {
	case Reserve:
		if a.Holds(o.Hold) {
			return false, nil
		}
		if !a.Reserve(o.Hold, o.Tokens, o.Budget) {
			return false, Exhausted.New("spent %d, open %d, most %d, budget %d", a.Spent, a.Reserved(), o.Tokens, o.Budget)
		}
		return true, nil
	case Settle:
		if o.Kept == nil && a.ended(o.Hold) {
			return false, nil
		}
		a.Settle(o.Hold, o.Tokens)
		return true, nil
	default:
		// The row is written even if it holds no such reservation: a transaction that
		// would still make one then finds another version.
		a.Settle(o.Hold, 0)
		return true, nil
	}
}

// Done tells what became of the transaction that Next returned. On a Conflict
// error the page holds the current rows of those expected.
func (l *Lane) Done(now sd.Instant, page sd.Page, err error) []Ended {
	uncertain, conflict := errorx.IsOfType(err, sd.Uncertain), errorx.IsOfType(err, sd.Conflict)
	b := l.batch
	l.batch = nil
	if err == nil {
		ended := make([]Ended, 0, len(b.operations))
		for program, row := range b.rows {
			if b.written[program] {
				row.version = page.Version
			}
			l.rows[program] = row
		}
		for i, o := range b.operations {
			ended = append(ended, Ended{o, b.outcomes[i]})
		}
		return ended
	}
	if uncertain || conflict {
		// A conflict may be with another copy of the same transaction.
		for _, o := range b.operations {
			o.sent = true
		}
	}
	l.pending = append(b.operations, l.pending...)
	if !conflict {
		return nil
	}
	current := map[string]sd.Record{}
	for _, record := range page.Records {
		if record.Table == TablePrograms && !record.Removed {
			current[record.Key] = record
		}
	}
	var ended []Ended
	for _, expected := range b.expect {
		record := current[expected.Key]
		program, isAccount := accountProgram(expected.Key)
		if !isAccount {
			if record.Version > 0 {
				ended = append(ended, l.charged(expected.Key)...)
			}
			continue
		}
		row := &seen{version: record.Version, at: now}
		if record.Version > 0 {
			account, err := DecodeAccount(record.Value)
			if err != nil {
				ended = append(ended, l.drop(program, err)...)
				continue
			}
			row.account = account
		}
		l.rows[program] = row
	}
	return ended
}

// charged ends the Settle whose turn's row exists already.
func (l *Lane) charged(key string) []Ended {
	var ended []Ended
	l.pending = slices.DeleteFunc(l.pending, func(o *Operation) bool {
		match := o.Kind == Settle && o.Kept != nil && turnName(o.Kept) == key
		if match {
			ended = append(ended, Ended{o, nil})
		}
		return match
	})
	return ended
}

// drop ends all operations of a program whose account cannot be read.
func (l *Lane) drop(program Key, err error) []Ended {
	var ended []Ended
	l.pending = slices.DeleteFunc(l.pending, func(o *Operation) bool {
		if o.Program == program {
			ended = append(ended, Ended{o, err})
		}
		return o.Program == program
	})
	return ended
}

// puts returns the rows that store a Settle's turn.
func (l *Lane) puts(o *Operation) []sd.Record {
	if o.Kind != Settle || o.Kept == nil {
		return nil
	}
	rows := turnRows(l.Part, o.Kept)
	return append(rows, sd.Record{
		RecordKey: sd.RecordKey{Table: TableTurns, Part: l.Part, Key: o.Kept.Key.String()},
		Value:     []byte(o.Kept.Program.String()),
	})
}

// Parts is the number of parts over which programs are spread. It may never
// change while rows are kept. A part has one transaction under way at a time, some
// 100 a second; the fewer parts, the more operations share one. Four keep a large
// fleet at a third of the store's rate and its wait at half a transaction.
const Parts = 4

// Part returns the part of a program's rows.
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

func accountCell(part string, program Key) sd.RecordKey {
	return sd.RecordKey{Table: TablePrograms, Part: part, Key: program.String() + "/"}
}

// accountProgram returns the program whose account a key names.
func accountProgram(key string) (Key, bool) {
	if len(key) != 2*keySize+1 || key[2*keySize] != '/' {
		return Key{}, false
	}
	return ParseKey(key[:2*keySize])
}

// turnName returns the key of a turn's first row.
func turnName(t *Turn) string { return t.Program.String() + "/" + t.Key.String() }

// turnRows spreads a turn over as many rows as its length needs. The first one's
// key is the turn's; the others follow it in the order of keys.
func turnRows(part string, t *Turn) []sd.Record {
	value := t.Encode()
	key := turnName(t)
	var rows []sd.Record
	for i := 0; i == 0 || len(value) > 0; i++ {
		n := min(len(value), rowBytes)
		name := key
		if i > 0 {
			name = key + "." + string([]byte{'a' + byte(i/26), 'a' + byte(i%26)})
		}
		rows = append(rows, sd.Record{RecordKey: sd.RecordKey{Table: TablePrograms, Part: part, Key: name}, Value: value[:n]})
		value = value[n:]
	}
	return rows
}
