package faker

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"

	"sapphiredrum.example/sapphiredrum"
)

// Platform is an in-memory table, object store and list of members. It is safe
// for concurrent use. Use NewPlatform.
type Platform struct {
	clock sapphiredrum.Clock

	mutex    sync.Mutex
	faults   PlatformFaults
	counters PlatformCounters
	sequence sapphiredrum.Sequence
	rows     map[sapphiredrum.RowKey]record
	objects  map[string][]byte
	lists    []list
	writes   meter
	reads    meter
}

// record is a row or the tombstone of a deleted one. Writes counts on over a
// deletion, so that no version is ever used twice.
type record struct {
	row    sapphiredrum.Row
	writes uint64
}

// list is a list of members and the instant from which it held.
type list struct {
	from    sapphiredrum.Instant
	members []sapphiredrum.Member
}

var (
	_ sapphiredrum.Table       = (*Platform)(nil)
	_ sapphiredrum.ObjectStore = (*Platform)(nil)
	_ sapphiredrum.MemberList  = (*Platform)(nil)
)

// NewPlatform returns an empty platform that follows clock.
func NewPlatform(clock sapphiredrum.Clock) *Platform {
	return &Platform{
		clock:   clock,
		rows:    make(map[sapphiredrum.RowKey]record),
		objects: make(map[string][]byte),
	}
}

// SetFaults replaces the platform's faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
}

// Faults returns the faults still in force.
func (p *Platform) Faults() PlatformFaults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

// Counters returns what the platform did so far.
func (p *Platform) Counters() PlatformCounters {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counters := p.counters
	counters.PeakWrites, counters.PeakReads = p.writes.peak, p.reads.peak
	return counters
}

// SetMembers replaces the list of members from now on.
func (p *Platform) SetMembers(members []sapphiredrum.Member) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := list{from: p.clock.Now(), members: append([]sapphiredrum.Member(nil), members...)}
	p.lists = append(p.lists, entry)
}

// Read returns a row for each key as of one moment. An absent row that was
// deleted still tells the operation that deleted it.
func (p *Platform) Read(ctx context.Context, keys ...sapphiredrum.RowKey) ([]sapphiredrum.Row, error) {
	if err := p.wait(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.admitRead(len(keys)); err != nil {
		return nil, err
	}
	p.counters.Reads++
	rows := make([]sapphiredrum.Row, 0, len(keys))
	for _, key := range keys {
		row := p.rows[key].row
		row.Key = key
		rows = append(rows, copyRow(row))
	}
	return rows, nil
}

// Changes returns the rows with the prefix written after the given sequence, in
// the order of their sequence and key.
func (p *Platform) Changes(ctx context.Context, prefix sapphiredrum.RowKey, after sapphiredrum.Sequence) ([]sapphiredrum.Row, sapphiredrum.Sequence, error) {
	if err := p.wait(ctx); err != nil {
		return nil, 0, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.admitRead(1); err != nil {
		return nil, 0, err
	}
	p.counters.Changes++
	var rows []sapphiredrum.Row
	for key, r := range p.rows {
		deleted := r.row.Version == 0
		if !strings.HasPrefix(string(key), string(prefix)) || r.row.Sequence <= after || (deleted && after == 0) {
			continue
		}
		rows = append(rows, copyRow(r.row))
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Sequence != rows[j].Sequence {
			return rows[i].Sequence < rows[j].Sequence
		}
		return rows[i].Key < rows[j].Key
	})
	return rows, p.sequence, nil
}

// Commit applies a transaction when all its conditions hold.
func (p *Platform) Commit(ctx context.Context, transaction sapphiredrum.Transaction) (sapphiredrum.Sequence, error) {
	if err := p.wait(ctx); err != nil {
		return 0, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.admitWrite(len(transaction.Writes)); err != nil {
		return 0, err
	}
	if err := p.checkConditions(transaction); err != nil {
		p.counters.Conflicts++
		return 0, err
	}
	p.apply(transaction)
	p.counters.Commits++
	if err := p.loseAnswer(); err != nil {
		return 0, err
	}
	return p.sequence, nil
}

// Put stores an object.
func (p *Platform) Put(ctx context.Context, name string, value []byte) error {
	return p.changeObject(ctx, func() {
		p.counters.Puts++
		p.objects[name] = bytes.Clone(value)
	})
}

// Get returns an object or a NotFound error.
func (p *Platform) Get(ctx context.Context, name string) ([]byte, error) {
	if err := p.wait(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.admitRead(1); err != nil {
		return nil, err
	}
	p.counters.Gets++
	value, found := p.objects[name]
	if !found {
		return nil, sapphiredrum.NotFound.New("object %q does not exist", name)
	}
	return bytes.Clone(value), nil
}

// Delete removes an object; removing an absent one is harmless.
func (p *Platform) Delete(ctx context.Context, name string) error {
	return p.changeObject(ctx, func() {
		p.counters.Deletes++
		delete(p.objects, name)
	})
}

// Members returns the list as it was the lag ago.
func (p *Platform) Members(ctx context.Context) ([]sapphiredrum.Member, error) {
	if err := p.wait(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.admitRead(1); err != nil {
		return nil, err
	}
	p.counters.Lists++
	until := p.clock.Now().Add(-p.faults.Lag)
	var members []sapphiredrum.Member
	for _, l := range p.lists {
		if l.from <= until {
			members = l.members
		}
	}
	return append([]sapphiredrum.Member(nil), members...), nil
}

// changeObject runs change as one write of the object store.
func (p *Platform) changeObject(ctx context.Context, change func()) error {
	if err := p.wait(ctx); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.admitWrite(1); err != nil {
		return err
	}
	change()
	return p.loseAnswer()
}

// checkConditions returns a Conflict error when a condition does not hold.
func (p *Platform) checkConditions(transaction sapphiredrum.Transaction) error {
	for _, c := range transaction.Checks {
		if found := p.rows[c.Key].row.Version; found != c.Expect {
			return sapphiredrum.Conflict.New("row %q has version %d, not %d", c.Key, found, c.Expect)
		}
	}
	for _, w := range transaction.Writes {
		if found := p.rows[w.Key].row.Version; found != w.Expect {
			return sapphiredrum.Conflict.New("row %q has version %d, not %d", w.Key, found, w.Expect)
		}
	}
	return nil
}

// apply writes a transaction whose conditions hold.
func (p *Platform) apply(transaction sapphiredrum.Transaction) {
	p.sequence++
	for _, w := range transaction.Writes {
		r := p.rows[w.Key]
		r.writes++
		r.row = sapphiredrum.Row{Key: w.Key, Sequence: p.sequence, Operation: transaction.Operation}
		if !w.Delete {
			r.row.Version = r.writes
			r.row.Value = bytes.Clone(w.Value)
		}
		p.rows[w.Key] = r
	}
}

// copyRow returns row with a value of its own.
func copyRow(row sapphiredrum.Row) sapphiredrum.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
