package archiver

import (
	"context"
	"slices"
	"strings"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// Chain returns the turns that lead to the turn last, oldest first. Errors are
// Absent (there is no such turn) and Unavailable.
func (a *Archive) Chain(ctx context.Context, program, last Key) ([]*Turn, error) {
	var chain []*Turn
	read := map[Key]*Turn{}
	loaded := map[Key]bool{}
	for key, of := last, program; key != (Key{}); {
		t := read[key]
		if t == nil {
			t = a.cached(key)
		}
		if t == nil {
			if err := a.load(ctx, of, key, loaded, read); err != nil {
				return nil, err
			}
			t = read[key]
		}
		if len(chain) >= chainLimit {
			return nil, Malformed.New("turn %s has too many before it", last)
		}
		chain = append(chain, t)
		key, of = t.Previous, t.Origin
	}
	slices.Reverse(chain)
	return chain, nil
}

// load finds a turn: at the zone's cacher of the program, at the host that sequences
// it, in the rows of the program, in all parts, at any host. Errors are Absent and Unavailable.
func (a *Archive) load(ctx context.Context, program, turn Key, loaded map[Key]bool, read map[Key]*Turn) error {
	if a.away() {
		if a.recall(ctx, turn, read); read[turn] != nil {
			return nil
		}
	}
	if !loaded[program] {
		loaded[program] = true
		for _, at := range []sd.Address{a.cacher(program), a.sequencer(program)} {
			if at == "" {
				continue
			}
			a.recallFrom(ctx, at, turn, read)
			if read[turn] != nil {
				loaded[program] = false
				return nil
			}
		}
		if err := a.read(ctx, program, read); err != nil || read[turn] != nil {
			return err
		}
	}
	other, found, err := a.search(ctx, turn)
	if err != nil {
		return err
	}
	if !found {
		return a.missing(ctx, turn, read)
	}
	if err := a.read(ctx, other, read); err != nil {
		return err
	}
	if read[turn] == nil {
		return sd.Unavailable.New("turn %s is missing from its program %s", turn, other)
	}
	return nil
}

// missing decides about a turn that the store does not have: a host that cannot be
// asked may hold it and has yet to write it.
func (a *Archive) missing(ctx context.Context, turn Key, read map[Key]*Turn) error {
	answered := a.recall(ctx, turn, read)
	if read[turn] != nil {
		return nil
	}
	if a.peers.Hosts != nil && answered+1 < a.peers.Hosts() {
		return sd.Unavailable.New("turn %s may be with one of %d hosts that did not answer", turn, a.peers.Hosts()-1-answered)
	}
	return sd.NotFound.New("turn %s is not kept: neither the store nor any of %d hosts has it, this one up for %d ms",
		turn, answered+1, a.clock.Now().Since(a.started))
}

// read adds a program's turns to read.
func (a *Archive) read(ctx context.Context, program Key, read map[Key]*Turn) error {
	part, from, to := Part(program), program.String()+"/", program.String()+"0"
	var pieces []byte
	var current Key
	flush := func() {
		if len(pieces) == 0 {
			return
		}
		t, err := DecodeTurn(program, current, pieces)
		if err != nil {
			a.log.Error("stored turn does not parse", zap.Int("event", eventMalformed), zap.Stringer("program", program),
				zap.Stringer("turn", current), zap.Error(err))
		} else {
			read[current] = t
			a.remember(t)
		}
		pieces = nil
	}
	for {
		page, err := a.store.List(ctx, TablePrograms, part, from, to)
		if err != nil {
			return sd.Unavailable.Wrap(err, "program cannot be read")
		}
		for _, record := range page.Records {
			if owner, ok := accountProgram(record.Key); ok {
				a.see(owner, record)
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
				current = key
			}
			pieces = append(pieces, record.Value...)
		}
		if !page.More || len(page.Records) == 0 {
			break
		}
		from = page.Records[len(page.Records)-1].Key + "\x00"
	}
	flush()
	return nil
}

func (a *Archive) see(program Key, record sd.Record) {
	account, err := DecodeAccount(record.Value)
	if err != nil {
		a.log.Error("stored account does not parse", zap.Int("event", eventMalformed), zap.Stringer("program", program), zap.Error(err))
		return
	}
	w := a.worker(program)
	w.lock.Lock()
	w.lane.See(a.clock.Now(), program, account, record.Version)
	w.lock.Unlock()
}

// search looks a turn up in the parts of all programs.
func (a *Archive) search(ctx context.Context, turn Key) (Key, bool, error) {
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
		return Key{}, false, sd.Unavailable.Wrap(answer.err, "turn cannot be looked up")
	}
	return Key{}, false, nil
}
