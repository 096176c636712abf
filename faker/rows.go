package faker

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// Rows is a store in memory: rows with versions, transactions under conditions,
// watches. It implements sd.Store, answers linearizably and misbehaves as its
// Trouble says. The zero Rows is empty and well.
type Rows struct {
	lock    sync.Mutex
	rows    map[sd.RecordKey]sd.Record
	history []sd.Record
	// forgotten is the newest version whose history is gone.
	forgotten uint64
	version   uint64
	trouble   RowsTrouble
	random    *rand.Rand
	changed   chan struct{}
	commits   int
}

// RowsTrouble is what is wrong with a store.
type RowsTrouble struct {
	// Down refuses every call, with no effect.
	Down bool
	// Silent calls never end.
	Silent bool
	// Crowded refuses every call for load.
	Crowded bool
	// Lost is the share of commits that take effect and are not answered; Late of
	// those, the share that takes effect only after Delay or LateBy, whichever is longer.
	Lost, Late sd.Share
	LateBy     sd.Millis
	// Twice is the share of commits that are made twice, at once or with the second after
	// Delay or LateBy; the answer is that of the last one made at once.
	Twice sd.Share
	// Delay is how long each call takes.
	Delay sd.Millis
	// Page, if set, is the most rows of one answer.
	Page int
	// Parts limits the trouble to these parts; nil stands for all.
	Parts []string
}

// strikes reports whether the trouble concerns a part.
func (t *RowsTrouble) strikes(part string) bool {
	return t.Parts == nil || slices.Contains(t.Parts, part)
}

// partOf returns the part of an update's rows; all of them share one.
func partOf(update sd.Update) string {
	for _, list := range [][]sd.Record{update.Expect, update.Put} {
		if len(list) > 0 {
			return list[0].Part
		}
	}
	if len(update.Remove) > 0 {
		return update.Remove[0].Part
	}
	return ""
}

// NewRows returns a store whose losses follow seed.
func NewRows(seed uint64) *Rows { return &Rows{random: rand.New(rand.NewPCG(seed, seed))} }

// Trouble sets what is wrong from now on.
func (r *Rows) Trouble(t RowsTrouble) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.trouble = t
}

// Forget drops the history, so that watches must list anew.
func (r *Rows) Forget() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.history, r.forgotten = nil, r.version
	r.wake()
}

// Commits returns the number of commits that took effect.
func (r *Rows) Commits() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.commits
}

// Row returns a row; Version 0 if it is absent.
func (r *Rows) Row(cell sd.RecordKey) sd.Record {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.rows[cell]
}

// Write puts a row without a condition, whatever the trouble: what operators and
// targets do.
func (r *Rows) Write(cell sd.RecordKey, value []byte) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.apply(sd.Update{Put: []sd.Record{{RecordKey: cell, Value: value}}})
}

// Remove drops a row without a condition.
func (r *Rows) Remove(cell sd.RecordKey) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.apply(sd.Update{Remove: []sd.RecordKey{cell}})
}

// enter waits as the trouble says and returns the error of a call that is refused.
func (r *Rows) enter(ctx context.Context, part string) error {
	r.lock.Lock()
	t := r.trouble
	r.lock.Unlock()
	if !t.strikes(part) {
		return nil
	}
	if t.Silent {
		<-ctx.Done()
		return sd.Uncertain.Wrap(ctx.Err(), "store is silent")
	}
	if t.Delay > 0 {
		timer := time.NewTimer(t.Delay.Duration())
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return sd.Uncertain.Wrap(ctx.Err(), "store is slow")
		case <-timer.C:
		}
	}
	switch {
	case t.Down:
		return sd.Unavailable.New("store is down")
	case t.Crowded:
		return sd.Busy.New("store has too much to do")
	}
	return nil
}

// Commit implements sd.Store.
func (r *Rows) Commit(ctx context.Context, update sd.Update) (sd.Page, error) {
	part := partOf(update)
	if err := r.enter(ctx, part); err != nil {
		return sd.Page{}, err
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.random != nil && r.trouble.strikes(part) && r.random.Float64() < float64(r.trouble.Lost) {
		if r.random.Float64() < float64(r.trouble.Late) {
			r.checkLate(update)
		} else {
			_, _ = r.check(update)
		}
		return sd.Page{}, sd.Uncertain.New("answer lost")
	}
	if r.random != nil && r.trouble.strikes(part) && r.random.Float64() < float64(r.trouble.Twice) {
		if r.random.Float64() < 0.5 {
			r.checkLate(update)
		} else {
			_, _ = r.check(update)
		}
	}
	return r.check(update)
}

// checkLate applies an update later if its conditions hold then.
func (r *Rows) checkLate(update sd.Update) {
	time.AfterFunc(max(r.trouble.Delay, r.trouble.LateBy, lateLeast).Duration(), func() {
		r.lock.Lock()
		defer r.lock.Unlock()
		_, _ = r.check(update)
	})
}

// lateLeast is the least delay of a commit that takes effect late.
const lateLeast = 30 * sd.Millisecond

// check applies an update if its conditions hold.
func (r *Rows) check(update sd.Update) (sd.Page, error) {
	var current []sd.Record
	holds := true
	for _, expected := range update.Expect {
		row, there := r.rows[expected.RecordKey]
		holds = holds && row.Version == expected.Version
		if there {
			current = append(current, row)
		}
	}
	if !holds {
		return sd.Page{Records: current, Version: r.version}, sd.Conflict.New("condition did not hold")
	}
	r.commits++
	r.apply(update)
	return sd.Page{Version: r.version}, nil
}

func (r *Rows) apply(update sd.Update) {
	if r.rows == nil {
		r.rows = map[sd.RecordKey]sd.Record{}
	}
	r.version++
	for _, put := range update.Put {
		row := sd.Record{RecordKey: put.RecordKey, Value: slices.Clone(put.Value), Version: r.version}
		r.rows[put.RecordKey] = row
		r.history = append(r.history, row)
	}
	for _, cell := range update.Remove {
		delete(r.rows, cell)
		r.history = append(r.history, sd.Record{RecordKey: cell, Version: r.version, Removed: true})
	}
	r.wake()
}

func (r *Rows) wake() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// pageRows and pageBytes bound the rows of one answer and their values.
const (
	pageRows  = 500
	pageBytes = 1_000_000
)

// pageEnd returns how many of the rows one answer holds.
func (r *Rows) pageEnd(rows []sd.Record, part string) int {
	most, size := pageRows, 0
	if r.trouble.Page > 0 && r.trouble.strikes(part) {
		most = r.trouble.Page
	}
	for i, row := range rows {
		if size += len(row.Value); i == most || (i > 0 && size > pageBytes) {
			return i
		}
	}
	return len(rows)
}

// List implements sd.Store.
func (r *Rows) List(ctx context.Context, table, part, from, to string) (sd.Page, error) {
	if err := r.enter(ctx, part); err != nil {
		return sd.Page{}, err
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	page := sd.Page{Version: r.version}
	for cell, row := range r.rows {
		if cell.Table == table && cell.Part == part && cell.Key >= from && (to == "" || cell.Key < to) {
			page.Records = append(page.Records, row)
		}
	}
	slices.SortFunc(page.Records, func(a, b sd.Record) int { return strings.Compare(a.Key, b.Key) })
	if n := r.pageEnd(page.Records, part); n < len(page.Records) {
		page.Records, page.More = page.Records[:n], true
	}
	return page, nil
}

// Watch implements sd.Store.
func (r *Rows) Watch(ctx context.Context, table string, after uint64, wait sd.Millis) (sd.Page, error) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		// A watch follows a whole table; tables that are watched lie in the unnamed part.
		if err := r.enter(ctx, ""); err != nil {
			return sd.Page{}, err
		}
		r.lock.Lock()
		if after < r.forgotten {
			r.lock.Unlock()
			return sd.Page{}, sd.NotFound.New("history is gone")
		}
		page := sd.Page{Version: r.version}
		for _, row := range r.history {
			if row.Table == table && row.Version > after {
				page.Records = append(page.Records, row)
			}
		}
		if r.changed == nil {
			r.changed = make(chan struct{})
		}
		changed := r.changed
		r.lock.Unlock()
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return sd.Page{}, sd.Uncertain.Wrap(ctx.Err(), "watch ended")
		case <-timer.C:
			return page, nil
		case <-changed:
		}
	}
}
