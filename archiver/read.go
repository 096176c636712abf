package archiver

import (
	"context"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// search records how a chain was looked for, for the log.
type search struct {
	// read holds the turns found, programs the programs whose rows are being read.
	read     map[Key]*Turn
	programs map[Key]*programRows
	// rows counts the turns read from the store, version is the newest version of the
	// store that a read reported.
	rows    int
	version uint64
	// indexed is set once the index of all parts was read.
	indexed bool
	// asked and answered count the hosts that were asked for a turn, and those that responded.
	asked, answered int
	// reserve, if set, accounts for the memory of a turn.
	reserve func(n int) bool
	// full is set once reserve has returned false.
	full bool
	// storing is set if a host has yet to store the turn.
	storing bool
}

// Chain returns the turns that lead to the turn last, oldest first. Errors are
// NotFound (there is no such turn), Unavailable, and Malformed if the chain has more
// than maxChainLength turns.
func (a *Archive) Chain(ctx context.Context, program, last Key) ([]*Turn, error) {
	return a.ChainWithin(ctx, program, last, nil)
}

// ChainWithin is Chain for a caller that accounts for the memory of the turns, which stay in use
// when the cache evicts them. If reserve returns false, the error is Unavailable.
func (a *Archive) ChainWithin(ctx context.Context, program, last Key, reserve func(n int) bool) ([]*Turn, error) {
	var chain []*Turn
	s := &search{read: map[Key]*Turn{}, programs: map[Key]*programRows{}, reserve: reserve}
	for key, of := last, program; key != (Key{}); {
		t := s.read[key]
		if t == nil {
			if t = a.cachedTurn(key); t != nil && !s.add(t) {
				return nil, s.exhausted()
			}
		}
		if t == nil {
			if err := a.loadTurn(ctx, of, key, s); err != nil {
				if s.full {
					// A turn that was found is not missing.
					err = s.exhausted()
				}
				a.logMissing(key, of, len(chain), s, err)
				return nil, err
			}
			t = s.read[key]
		}
		if s.full {
			return nil, s.exhausted()
		}
		if len(chain) >= maxChainLength {
			return nil, Malformed.New("turn %s has more than %d turns before it", last, maxChainLength)
		}
		chain = append(chain, t)
		key, of = t.Previous, t.Origin
	}
	slices.Reverse(chain)
	return chain, nil
}

// add adds a turn that was found. It returns false if there is no memory for it.
func (s *search) add(t *Turn) bool {
	if s.read[t.Key] == nil && s.reserve != nil && !s.reserve(t.Size()) {
		s.full = true
		return false
	}
	s.read[t.Key] = t
	return true
}

func (s *search) exhausted() error {
	return sd.Unavailable.New("no memory for the turns of the program, %d were read", len(s.read))
}

// logMissing logs how a turn was looked for in vain. depth is the number of later turns
// of its chain that were found.
func (a *Archive) logMissing(turn, program Key, depth int, s *search, err error) {
	a.log.Info("turn not found", zap.Int("event", eventMissing), zap.Stringer("turn", turn), zap.Stringer("program", program),
		zap.Int("depth", depth), zap.Int("programs", len(s.programs)), zap.Int("rows", s.rows), zap.Uint64("version", s.version),
		zap.Bool("indexed", s.indexed), zap.Int("asked", s.asked), zap.Int("answered", s.answered),
		zap.Int64("up_ms", int64(a.clock.Now().Since(a.started))), zap.Error(err))
}

// loadTurn looks for a turn at the program's cacher in the zone, at its sequencer, in
// the rows of the program, in the index of all parts, and at all other hosts, in this
// order. If the store is unreachable, it asks all other hosts first. Errors are NotFound
// and Unavailable.
func (a *Archive) loadTurn(ctx context.Context, program, turn Key, s *search) error {
	if a.StoreUnreachable() {
		if a.recallFromAll(ctx, turn, s); s.read[turn] != nil {
			return nil
		}
	}
	if s.programs[program] == nil {
		for _, at := range []sd.Address{a.cacher(program), a.sequencer(program)} {
			if at == "" {
				continue
			}
			a.recallFrom(ctx, at, turn, s)
			if s.read[turn] != nil {
				return nil
			}
		}
	}
	if err := a.readTurn(ctx, program, turn, s); err != nil || s.read[turn] != nil {
		return err
	}
	other, found, err := a.findProgram(ctx, turn)
	if err != nil {
		return err
	}
	s.indexed = true
	if !found {
		return a.recallMissing(ctx, turn, s)
	}
	if err := a.readTurn(ctx, other, turn, s); err != nil {
		return err
	}
	if s.read[turn] == nil {
		return sd.Unavailable.New("turn %s is indexed but missing from the rows of program %s", turn, other)
	}
	return nil
}

// recallMissing handles a turn that is not in the store. A host may be about to store it,
// so the turn is reported as NotFound only if all hosts responded that they are not.
func (a *Archive) recallMissing(ctx context.Context, turn Key, s *search) error {
	storing := a.isStoring(turn)
	if t := a.cachedTurn(turn); t != nil {
		s.add(t)
		return nil
	}
	answered := a.recallFromAll(ctx, turn, s)
	if s.read[turn] != nil {
		return nil
	}
	if storing || s.storing {
		return sd.Unavailable.New("turn %s is not stored yet", turn)
	}
	if a.peers.HostCount != nil && answered+1 < a.peers.HostCount() {
		return sd.Unavailable.New("turn %s may be held by one of %d hosts that did not respond", turn, a.peers.HostCount()-1-answered)
	}
	return sd.NotFound.New("turn %s not found in the store or at any of %d hosts", turn, answered+1)
}

// programRows is how far the rows of a program were read.
type programRows struct {
	// next is the first key that was not read, or empty at the end.
	next string
	// single counts the turns that were read by their keys.
	single int
}

const (
	// singlesPerPage is the number of turns that are read by their keys before the next page of a
	// program is read: the chain may be long, and its turns short.
	singlesPerPage = 16
	// maxLargePrograms is the number of programs that a host remembers to have more rows than a page.
	maxLargePrograms = 4096
)

// readTurn looks for a turn in the rows of a program and adds it to s. Other turns that it reads
// are only cached. The first page of a program's rows, which mostly are all, is read first; a turn of a
// larger program is read by its key.
func (a *Archive) readTurn(ctx context.Context, program, turn Key, s *search) error {
	rows := s.programs[program]
	if rows == nil {
		rows = &programRows{next: program.String() + "/"}
		if a.isLarge(program) {
			// The first page is not likely to have the turn.
			rows.single++
		}
		s.programs[program] = rows
	}
	if rows.next != "" && rows.single%singlesPerPage == 0 {
		next, err := a.readRows(ctx, program, rows.next, program.String()+"0", false, turn, s)
		if err != nil {
			return err
		}
		if rows.next = next; next != "" {
			a.rememberLarge(program)
		}
		if s.read[turn] != nil || next == "" && rows.single == 0 {
			return nil
		}
	}
	rows.single++
	first := turnRecordName(&Turn{Program: program, Key: turn})
	_, err := a.readRows(ctx, program, first, first+"/", true, turn, s)
	return err
}

// isLarge reports whether the rows of a program are known to take more than a page.
func (a *Archive) isLarge(program Key) bool {
	a.cacheLock.Lock()
	defer a.cacheLock.Unlock()
	return a.large[program]
}

func (a *Archive) rememberLarge(program Key) {
	a.cacheLock.Lock()
	defer a.cacheLock.Unlock()
	if len(a.large) >= maxLargePrograms {
		clear(a.large)
	}
	a.large[program] = true
}

// readRows reads a page of a program's rows, or all of them, and adds the turn to s if it is there. It
// returns the first key that was not read, or an empty one at the end.
func (a *Archive) readRows(ctx context.Context, program Key, from, to string, all bool, turn Key, s *search) (string, error) {
	// pieces are the rows of the turn current, of which the first has the key first.
	var pieces []byte
	var current Key
	var first string
	flush := func() {
		if len(pieces) == 0 {
			return
		}
		t, err := DecodeTurn(program, current, pieces)
		if err != nil {
			a.log.Error("cannot decode stored turn", zap.Int("event", eventMalformed), zap.Stringer("program", program),
				zap.Stringer("turn", current), zap.Error(err))
		} else {
			if current == turn {
				s.add(t)
			}
			s.rows++
			a.cacheTurn(t)
		}
		pieces = nil
	}
	pages := a.newPages()
	defer pages.close()
	for {
		page, err := pages.list(ctx, Part(program), from, to)
		if errorx.IsOfType(err, reserver.Exhausted) {
			s.full = true
			return from, s.exhausted()
		}
		if err != nil {
			return from, sd.Unavailable.Wrap(err, "cannot read the program's rows")
		}
		s.version = max(s.version, page.Version)
		for _, record := range page.Records {
			if owner, ok := accountProgram(record.Key); ok {
				a.observeRecord(owner, record)
				continue
			}
			_, name, _ := strings.Cut(record.Key, "/")
			base, _, further := strings.Cut(name, ".")
			key, ok := ParseKey(base)
			if !ok {
				continue
			}
			if !further {
				flush()
				current, first = key, record.Key
			}
			pieces = append(pieces, record.Value...)
		}
		if s.full {
			return from, s.exhausted()
		}
		if !page.More || len(page.Records) == 0 {
			flush()
			return "", nil
		}
		if len(pieces) > 0 && first > from {
			// The next page begins with the turn that is not whole yet, so that no memory is
			// held between two pages.
			from, pieces = first, nil
			if !all {
				return from, nil
			}
		} else {
			from = page.Records[len(page.Records)-1].Key + "\x00"
		}
		pages.release()
	}
}

func (a *Archive) observeRecord(program Key, record sd.Record) {
	account, err := DecodeAccount(record.Value)
	if err != nil {
		a.log.Error("cannot decode stored account", zap.Int("event", eventMalformed), zap.Stringer("program", program), zap.Error(err))
		return
	}
	w := a.worker(program)
	w.lock.Lock()
	w.lane.Observe(a.clock.Now(), program, account, record.Version)
	w.lock.Unlock()
}

// findProgram looks up the program of a turn in the index of every part.
func (a *Archive) findProgram(ctx context.Context, turn Key) (Key, bool, error) {
	type result struct {
		program Key
		found   bool
		err     error
	}
	results := make(chan result, Parts)
	for _, part := range AllParts() {
		go func() {
			page, err := a.store.List(ctx, TableTurns, part, turn.String(), turn.String()+"\x00")
			if err != nil || len(page.Records) == 0 {
				results <- result{err: err}
				return
			}
			program, ok := ParseKey(string(page.Records[0].Value))
			results <- result{program: program, found: ok}
		}()
	}
	var answer result
	for range AllParts() {
		r := <-results
		if r.found {
			answer = r
		} else if r.err != nil && !answer.found {
			answer.err = r.err
		}
	}
	if answer.found {
		return answer.program, true, nil
	}
	if answer.err != nil {
		return Key{}, false, sd.Unavailable.Wrap(answer.err, "cannot look up the turn's program")
	}
	return Key{}, false, nil
}
