package screener

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// Events of this package; docs/EVENTS.md lists them.
const (
	eventRow     = 680
	eventRefused = 681
	eventWrite   = 682
	eventTrial   = 683
)

const (
	// writeTimeout limits one write; a slow store takes some 300 ms.
	writeTimeout = sd.Second
	// firstRetry and lastRetry limit the pause after a write that failed, which doubles.
	// Hosts must know of the last crash within seconds of the store's return.
	firstRetry = 50 * sd.Millisecond
	lastRetry  = sd.Second
	// expireInterval is how often old counts are looked for.
	expireInterval = 10 * sd.Second
	// claimTimeout limits the write of a trial, which the request waits for; a slow store
	// takes some 300 ms.
	claimTimeout = 400 * sd.Millisecond
	// conflictPause is how long a claim waits for the row that was in its way: what the store
	// takes to push it.
	conflictPause = 50 * sd.Millisecond
	// maxWaiting limits the copies that wait on a host, which keep their bodies in memory.
	maxWaiting = 64
)

// Config holds the dependencies of a Screener.
type Config struct {
	Store sd.Store
	// Table is the table of the store that all hosts write and follow.
	Table string
	// Sweeps reports whether this host is the one that removes old rows.
	Sweeps func() bool
	Clock  sd.Clock
	Log    *zap.Logger
}

// Screener counts crashes of targets by the requests that they ran. It is safe for
// concurrent use.
type Screener struct {
	config Config

	lock  sync.Mutex
	state *State
	wake  chan struct{}
	// changed is closed and replaced when a count or a trial changes.
	changed chan struct{}
	waiting int
}

// New returns a Screener that writes nothing before Run runs.
func New(config Config) *Screener {
	return &Screener{config: config, state: NewState(config.Table), wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

// Idle reports whether no request is suspected, so that signatures are not needed.
func (s *Screener) Idle() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.state.Empty()
}

// Crashes returns the counts of a request.
func (s *Screener) Crashes(q Signature) Crashes {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.state.Crashes(s.config.Clock.Now(), q)
}

// RefusedFor returns how long a request is refused; zero if it is not.
func (s *Screener) RefusedFor(q Signature) sd.Millis {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.state.RefusedFor(s.config.Clock.Now(), q)
}

// Refused returns the number of fingerprints that are refused.
func (s *Screener) Refused() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.state.Refused(s.config.Clock.Now())
}

// Await waits until a copy of a request may be sent: from the second crash on, copies run one
// at a time. Held is what it returned for this copy before. It returns the name of the copy's
// trial, which is empty if it needs none, and false if the copy must not be sent: ctx has ended,
// or too many wait.
func (s *Screener) Await(ctx context.Context, q Signature, held string) (name string, ok bool) {
	for {
		s.lock.Lock()
		now, changed := s.config.Clock.Now(), s.changed
		wait, claim := s.state.Await(now, q, held)
		if !claim {
			s.lock.Unlock()
			return held, true
		}
		if wait == 0 {
			name = strconv.FormatUint(rand.Uint64(), 36)
			update, err := s.state.Claim(now, q, name)
			s.lock.Unlock()
			if err != nil || s.claim(ctx, q, name, update) {
				s.config.Log.Info("one copy of a request runs, others wait", zap.Int("event", eventTrial), zap.Stringer("fingerprint", q.Whole), zap.String("trial", name))
				return name, ctx.Err() == nil
			}
			wait = conflictPause
			s.lock.Lock()
		}
		if s.waiting >= maxWaiting {
			s.lock.Unlock()
			return "", false
		}
		s.waiting++
		s.lock.Unlock()
		timer := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		s.lock.Lock()
		s.waiting--
		s.lock.Unlock()
		if ctx.Err() != nil {
			return "", false
		}
	}
}

// claim writes a trial. It returns false if another host has written the row meanwhile. If the
// store does not answer, copies run one at a time on this host alone.
func (s *Screener) claim(ctx context.Context, q Signature, name string, update sd.Update) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	page, err := s.config.Store.Commit(ctx, update)
	if errorx.IsOfType(err, sd.Conflict) {
		s.lock.Lock()
		s.state.Withdraw(q, name)
		s.lock.Unlock()
		s.Change(page.Records)
		return false
	}
	if err != nil {
		s.config.Log.Info("trial of a request not written", zap.Int("event", eventWrite), zap.Int("rows", 1), zap.Error(err))
		return true
	}
	update.Put[0].Version = page.Version
	s.Change(update.Put)
	return true
}

// ReportCrash takes a crash of a target that ran a request. Known is the request's count
// when it was sent. It returns the new count.
func (s *Screener) ReportCrash(q Signature, known Crashes, target sd.TargetID) Crashes {
	s.lock.Lock()
	crashes := s.state.ReportCrash(s.config.Clock.Now(), q, known, target)
	s.notify()
	s.lock.Unlock()
	s.wakeRun()
	return crashes
}

// ReportSurvived takes a run of a request that its target survived.
func (s *Screener) ReportSurvived(q Signature) {
	s.lock.Lock()
	cleared := s.state.ReportSurvived(s.config.Clock.Now(), q)
	if cleared {
		s.notify()
	}
	s.lock.Unlock()
	if cleared {
		s.wakeRun()
	}
}

// notify wakes the copies that wait.
func (s *Screener) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Screener) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Change takes rows of the table that have changed.
func (s *Screener) Change(records []sd.Record) {
	s.lock.Lock()
	defer s.lock.Unlock()
	defer s.notify()
	now := s.config.Clock.Now()
	for _, record := range records {
		err := s.state.Change(now, record)
		if err != nil {
			s.config.Log.Warn("count of crashes cannot be used", zap.Int("event", eventRow), zap.String("row", record.Key), zap.Error(err))
			continue
		}
		if f, ok := parseFingerprint(record.Key); ok && !record.Removed && s.state.refusedFor(now, f) > 0 {
			s.config.Log.Warn("requests that crash their targets are refused", zap.Int("event", eventRefused),
				zap.Stringer("fingerprint", f), zap.Uint64("version", record.Version))
		}
	}
}

// Run writes counts and removes old ones until ctx ends.
func (s *Screener) Run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval.Duration())
	defer ticker.Stop()
	for {
		for pause := firstRetry; !s.write(ctx); pause = min(2*pause, lastRetry) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pause.Duration()):
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		case <-ticker.C:
			if s.config.Sweeps() {
				s.lock.Lock()
				s.state.Expire(s.config.Clock.Now())
				s.lock.Unlock()
			}
		}
	}
}

// write writes pending counts. It returns false if some are left.
func (s *Screener) write(ctx context.Context) bool {
	s.lock.Lock()
	update, err := s.state.NextUpdate()
	s.lock.Unlock()
	if err != nil {
		s.config.Log.Error("count of crashes cannot be written", zap.Int("event", eventWrite), zap.Error(err))
		return true
	}
	if len(update.Expect) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	page, err := s.config.Store.Commit(ctx, update)
	if err != nil {
		// Rows that another host has written are in the page, or are read by the follower.
		s.config.Log.Info("count of crashes not written yet", zap.Int("event", eventWrite), zap.Int("rows", len(update.Expect)), zap.Error(err))
		s.Change(page.Records)
		return false
	}
	written := update.Put
	for _, key := range update.Remove {
		written = append(written, sd.Record{RecordKey: key, Removed: true})
	}
	for i := range written {
		written[i].Version = page.Version
	}
	s.Change(written)
	return len(update.Expect) < maxWrites
}
