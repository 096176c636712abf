package screener

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// Events of this package; docs/EVENTS.md lists them.
const (
	eventRow     = 680
	eventRefused = 681
	eventWrite   = 682
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
}

// New returns a Screener that writes nothing before Run runs.
func New(config Config) *Screener {
	return &Screener{config: config, state: NewState(config.Table), wake: make(chan struct{}, 1)}
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

// ReportCrash takes a crash of a target that ran a request. Known is the request's count
// when it was sent. It returns the new count.
func (s *Screener) ReportCrash(q Signature, known Crashes) Crashes {
	s.lock.Lock()
	crashes := s.state.ReportCrash(s.config.Clock.Now(), q, known)
	s.lock.Unlock()
	s.wakeRun()
	return crashes
}

// ReportSurvived takes a run of a request that its target survived.
func (s *Screener) ReportSurvived(q Signature) {
	s.lock.Lock()
	cleared := s.state.ReportSurvived(s.config.Clock.Now(), q)
	s.lock.Unlock()
	if cleared {
		s.wakeRun()
	}
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
