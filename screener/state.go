package screener

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"math"
	"slices"

	sd "sapphiredrum.example/sapphiredrum"
)

const (
	// maxCrashes is the number of targets that a request may crash before it is refused. One
	// crash, or two, may have another cause.
	maxCrashes = 3
	// maxSameBody limits what one body adds to the count of its start: requests that only
	// start like a single faulty one are not refused for it.
	maxSameBody = 2
	// suspectTime is how long crashes below maxCrashes count. Callers repeat a failed request
	// within seconds, and programs within a minute.
	suspectTime = 5 * sd.Minute
	// refusalTime is how long a request is refused after maxCrashes, many times what it takes
	// to replace a faulty target. Each further crash doubles it, up to maxDoublings times.
	refusalTime  = 10 * sd.Minute
	maxDoublings = 6
	// aloneAfter is the number of crashed targets from which on copies of a request run one
	// at a time, on all hosts. One crash is most often the target's own.
	aloneAfter = 2
	// trialTime is how long other copies wait for the effect of one. A run that crashes its
	// target does so soon as a rule, and callers wait for some seconds.
	trialTime = 2 * sd.Second
	// maxPending limits the fingerprints whose counts are not written yet: more than run on
	// all targets of a large zone for one host.
	maxPending = 1024
	// maxWrites limits the rows of one transaction to half of what a store takes.
	maxWrites = 50
	// startBytes is the length of a body's start: enough to tell requests to the same address
	// apart, less than the usual length.
	startBytes = 256

	fingerprintSize = 16
)

// Fingerprint is a digest of a request, or of its start.
type Fingerprint [fingerprintSize]byte

// Signature identifies requests that are the same to a target, and those that only differ
// behind the start of their body. The two are equal if the body has no more than a start.
type Signature struct {
	Whole, Start Fingerprint
}

// NewSignature returns the signature of a request: address is its host and target URI, and its
// body is the concatenation of the parts.
func NewSignature(workspace sd.WorkspaceID, method, address string, body ...[]byte) Signature {
	h := sha256.New()
	for _, part := range []string{string(workspace), method, address} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	left := startBytes
	var s Signature
	for _, part := range body {
		start := min(len(part), left)
		h.Write(part[:start])
		if left > 0 && left == start {
			s.Start = Fingerprint(h.Sum(nil)[:fingerprintSize])
		}
		left -= start
		h.Write(part[start:])
	}
	if left > 0 {
		s.Start = Fingerprint(h.Sum(nil)[:fingerprintSize])
	}
	s.Whole = Fingerprint(h.Sum(nil)[:fingerprintSize])
	return s
}

// parts returns the signature's fingerprints, the whole one first.
func (s Signature) parts() []Fingerprint {
	if s.Start == s.Whole {
		return []Fingerprint{s.Whole}
	}
	return []Fingerprint{s.Whole, s.Start}
}

// Crashes counts targets that crashed one after another: on a request, and on those that
// start like it.
type Crashes struct {
	Whole, Start int
}

// String returns the fingerprint's hexadecimal digits, which are the key of its row.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

func parseFingerprint(text string) (f Fingerprint, ok bool) {
	if len(text) != 2*fingerprintSize {
		return f, false
	}
	_, err := hex.Decode(f[:], []byte(text))
	return f, err == nil
}

// countWire is the value of a row.
type countWire struct {
	Crashes int           `json:"crashes"`
	Targets []sd.TargetID `json:"targets,omitempty"`
	Trial   string        `json:"trial,omitempty"`
}

// count is a row as last seen.
type count struct {
	crashes int
	// targets are those that crashed, also at the same moment; aloneAfter of them at most.
	targets []sd.TargetID
	version uint64
	// changedAt is when this host saw the count change.
	changedAt sd.Instant
}

// refusalTime returns how long requests with this count are refused.
func (c count) refusalTime() sd.Millis {
	if c.crashes < maxCrashes {
		return 0
	}
	return refusalTime << min(c.crashes-maxCrashes, maxDoublings)
}

// expiresAt returns when the count is forgotten. After a refusal, the next crash still
// raises the count for as long as the request was refused.
func (c count) expiresAt() sd.Instant { return c.changedAt.Add(max(2*c.refusalTime(), suspectTime)) }

// alone reports whether copies of a request with this count run one at a time.
func (c count) alone() bool { return max(c.crashes, len(c.targets)) >= aloneAfter }

// union returns the targets of both lists, aloneAfter at most.
func union(a []sd.TargetID, b ...sd.TargetID) []sd.TargetID {
	all := slices.Clone(a)
	for _, id := range b {
		if id != "" && len(all) < aloneAfter && !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// trial is a run whose effect other copies of its request wait for.
type trial struct {
	name string
	// since is when this host learned of it.
	since sd.Instant
}

// State holds the counts of all fingerprints. It is pure: it neither reads a clock nor
// calls the store.
type State struct {
	table  string
	stored map[Fingerprint]count
	// pending holds what is to be written.
	pending map[Fingerprint]change
	trials  map[Fingerprint]trial
}

// change is a pending write of a count; its zero count removes the row.
type change struct {
	count
	// removes is the highest count that a removal applies to.
	removes int
}

// NewState returns a State without counts, for rows of the given table.
func NewState(table string) *State {
	return &State{table: table, stored: map[Fingerprint]count{}, pending: map[Fingerprint]change{}, trials: map[Fingerprint]trial{}}
}

// Empty reports whether there is no count at all.
func (s *State) Empty() bool { return len(s.stored) == 0 && len(s.pending) == 0 }

// current returns a fingerprint's count, which is zero if it has expired.
func (s *State) current(now sd.Instant, f Fingerprint) count {
	c := s.stored[f]
	if wanted, pending := s.pending[f]; pending {
		c = wanted.count
	}
	if now >= c.expiresAt() {
		return count{}
	}
	return c
}

// Crashes returns the counts of a request.
func (s *State) Crashes(now sd.Instant, q Signature) Crashes {
	return Crashes{Whole: s.current(now, q.Whole).crashes, Start: s.current(now, q.Start).crashes}
}

// refusedFor returns how long requests with a fingerprint are refused.
func (s *State) refusedFor(now sd.Instant, f Fingerprint) sd.Millis {
	c := s.current(now, f)
	return max(c.changedAt.Add(c.refusalTime()).Since(now), 0)
}

// RefusedFor returns how long a request is refused; zero if it is not.
func (s *State) RefusedFor(now sd.Instant, q Signature) sd.Millis {
	return max(s.refusedFor(now, q.Whole), s.refusedFor(now, q.Start))
}

// Refused returns the number of fingerprints that are refused.
func (s *State) Refused(now sd.Instant) int {
	refused := 0
	for f := range s.stored {
		if s.refusedFor(now, f) > 0 {
			refused++
		}
	}
	return refused
}

// Await returns how long a copy of a request waits for the effect of another one, and whether
// copies run one at a time, so that this one must be claimed. Held names the trial of this copy
// itself, if it has one.
func (s *State) Await(now sd.Instant, q Signature, held string) (wait sd.Millis, claim bool) {
	if !s.current(now, q.Whole).alone() || s.RefusedFor(now, q) > 0 {
		return 0, false
	}
	t, ok := s.trials[q.Whole]
	if ok && held != "" && t.name == held {
		return 0, false
	}
	if wait = t.since.Add(trialTime).Since(now); ok && wait > 0 {
		return wait, true
	}
	return 0, true
}

// Claim begins a trial and returns the transaction that tells other hosts of it. It holds
// on this host even if the store does not take it.
func (s *State) Claim(now sd.Instant, q Signature, name string) (sd.Update, error) {
	s.trials[q.Whole] = trial{name: name, since: now}
	c := s.current(now, q.Whole)
	value, err := json.Marshal(countWire{Crashes: c.crashes, Targets: c.targets, Trial: name})
	if err != nil {
		return sd.Update{}, sd.Unavailable.Wrap(err, "trial cannot be encoded")
	}
	key := sd.RecordKey{Table: s.table, Key: q.Whole.String()}
	return sd.Update{Expect: []sd.Record{{RecordKey: key, Version: s.stored[q.Whole].version}}, Put: []sd.Record{{RecordKey: key, Value: value}}}, nil
}

// Withdraw ends a trial that another host has forestalled.
func (s *State) Withdraw(q Signature, name string) {
	if s.trials[q.Whole].name == name {
		delete(s.trials, q.Whole)
	}
}

// ReportCrash takes a crash of a target that ran a request. Known is the request's count
// when it was sent. It returns the new count.
func (s *State) ReportCrash(now sd.Instant, q Signature, known Crashes, target sd.TargetID) Crashes {
	s.raise(now, q.Whole, known.Whole, target)
	if q.Start != q.Whole && s.current(now, q.Whole).crashes <= maxSameBody {
		s.raise(now, q.Start, known.Start, "")
	}
	return s.Crashes(now, q)
}

// raise counts a crash under a run that was sent when known crashes were known. If the
// count has risen since, the run adds its target only: the same crash may have ended it.
func (s *State) raise(now sd.Instant, f Fingerprint, known int, target sd.TargetID) {
	c := s.current(now, f)
	old := c
	c.targets = union(old.targets, target)
	if crashes := min(known, old.crashes) + 1; crashes > old.crashes {
		c.crashes, c.changedAt = crashes, now
	}
	_, replaces := s.pending[f]
	if (c.crashes == old.crashes && len(c.targets) == len(old.targets)) || (!replaces && len(s.pending) >= maxPending) {
		return
	}
	if c.crashes > old.crashes {
		delete(s.trials, f)
	}
	s.pending[f] = change{count: c}
}

// ReportSurvived takes a run of a request that its target survived. It reports whether
// that cleared a count.
func (s *State) ReportSurvived(now sd.Instant, q Signature) bool {
	if s.Crashes(now, q) == (Crashes{}) {
		return false
	}
	delete(s.trials, q.Whole)
	for _, f := range q.parts() {
		_, pending := s.pending[f]
		_, stored := s.stored[f]
		if pending || stored {
			// The write of a pending count may have taken effect without an answer.
			s.pending[f] = change{removes: math.MaxInt}
		}
	}
	return true
}

// Expire has the rows of expired counts removed and returns their number.
func (s *State) Expire(now sd.Instant) int {
	expired := 0
	for f, c := range s.stored {
		if _, pending := s.pending[f]; !pending && now >= c.expiresAt() {
			// A higher count stays: a host that read this one later has raised it.
			s.pending[f] = change{removes: c.crashes}
			expired++
		}
	}
	return expired
}

// Change takes a row that was read or written. Its error is BrokenResponse if the row is
// of no use.
func (s *State) Change(now sd.Instant, record sd.Record) error {
	f, ok := parseFingerprint(record.Key)
	if !ok {
		return sd.BrokenResponse.New("key %q is no fingerprint", record.Key)
	}
	old := s.stored[f]
	if record.Version < old.version {
		// A read may return what was so before this host's own write.
		return nil
	}
	c := count{version: record.Version, changedAt: now}
	var w countWire
	if !record.Removed {
		if err := json.Unmarshal(record.Value, &w); err != nil || w.Crashes <= 0 {
			return sd.BrokenResponse.New("count of crashes cannot be used: %q", record.Value)
		}
		c.crashes, c.targets = w.Crashes, union(nil, w.Targets...)
	}
	if c.crashes == old.crashes {
		c.changedAt = old.changedAt
	}
	if w.Trial == "" {
		delete(s.trials, f)
	} else if s.trials[f].name != w.Trial {
		s.trials[f] = trial{name: w.Trial, since: now}
	}
	s.rebase(f, c)
	if record.Removed {
		delete(s.stored, f)
	} else {
		s.stored[f] = c
	}
	return nil
}

// rebase fits a pending change to what the store has. Another host may have cleared the
// count from which it was raised, or raised the one that was to be removed.
func (s *State) rebase(f Fingerprint, stored count) {
	wanted, pending := s.pending[f]
	targets := union(stored.targets, wanted.targets...)
	switch {
	case !pending:
	case wanted.crashes == 0 && stored.crashes > 0 && stored.crashes <= wanted.removes:
	case wanted.crashes == 0, wanted.crashes <= stored.crashes && len(targets) == len(stored.targets):
		delete(s.pending, f)
	case wanted.crashes <= stored.crashes:
		s.pending[f] = change{count: count{crashes: stored.crashes, targets: targets, changedAt: stored.changedAt}}
	default:
		wanted.crashes, wanted.targets = min(wanted.crashes, stored.crashes+1), targets
		s.pending[f] = wanted
	}
}

// NextUpdate returns a transaction that writes pending counts; it is empty if there is
// none. Change must be told of the rows that the store takes or finds in its way.
func (s *State) NextUpdate() (sd.Update, error) {
	var update sd.Update
	order := slices.SortedFunc(maps.Keys(s.pending), func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	for _, f := range order[:min(len(order), maxWrites)] {
		key := sd.RecordKey{Table: s.table, Key: f.String()}
		update.Expect = append(update.Expect, sd.Record{RecordKey: key, Version: s.stored[f].version})
		wanted := s.pending[f]
		if wanted.crashes == 0 {
			update.Remove = append(update.Remove, key)
			continue
		}
		w := countWire{Crashes: wanted.crashes, Targets: wanted.targets}
		if wanted.crashes == s.stored[f].crashes {
			w.Trial = s.trials[f].name
		}
		value, err := json.Marshal(w)
		if err != nil {
			return sd.Update{}, sd.Unavailable.Wrap(err, "count cannot be encoded")
		}
		update.Put = append(update.Put, sd.Record{RecordKey: key, Value: value})
	}
	return update, nil
}
