package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// Numbers of the events that this package logs.
const (
	eventInForce   = 300
	eventStaleRead = 301
	eventPollFails = 302
)

// Settings are the host's own settings of a Follower.
type Settings struct {
	// Poll is the time between reads of the head row.
	Poll sd.Millis
}

// Follower keeps the highest configuration that the host has seen. New makes one.
// Lock order: mu comes before any lock that a watcher takes.
type Follower struct {
	settings Settings
	table    sd.Table
	objects  sd.ObjectStore
	clock    sd.Clock
	log      *zap.Logger

	current atomic.Pointer[Config]
	// mu guards watchers and orders the steps to a higher revision.
	mu       sync.Mutex
	watchers []func(*Config)
}

// New returns a follower that holds the empty revision 0.
func New(settings Settings, table sd.Table, objects sd.ObjectStore, clock sd.Clock, log *zap.Logger) *Follower {
	f := &Follower{settings: settings, table: table, objects: objects, clock: clock, log: log}
	f.current.Store(NewConfig(0, sd.Config{}))
	return f
}

// Current returns the configuration in force on this host.
func (f *Follower) Current() *Config {
	return f.current.Load()
}

// Watch calls watcher with every configuration that comes into force from now on,
// in order. Watchers return quickly and call no other method than Current.
func (f *Follower) Watch(watcher func(*Config)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers = append(f.watchers, watcher)
}

// Offer puts a configuration into force if its revision is higher than the
// current one, and reports whether it did.
func (f *Follower) Offer(revision sd.Revision, sheet sd.Config) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.Current().Revision {
		return false
	}
	config := NewConfig(revision, sheet)
	f.current.Store(config)
	for _, w := range f.watchers {
		w(config)
	}
	f.log.Info("configuration in force", zap.Int("event", eventInForce), zap.Uint64("revision", uint64(revision)))
	return true
}

// Poll reads the head row once and puts a higher revision into force.
func (f *Follower) Poll(ctx context.Context) error {
	_, stored, err := readHead(ctx, f.table)
	if err != nil {
		return err
	}
	revision := f.Current().Revision
	if stored.Revision < revision {
		f.log.Warn("stale read of the head row", zap.Int("event", eventStaleRead),
			zap.Uint64("read", uint64(stored.Revision)), zap.Uint64("in_force", uint64(revision)))
		return nil
	}
	if stored.Revision == revision {
		return nil
	}
	sheet, err := fetch(ctx, f.objects, stored.Object)
	if err != nil {
		return err
	}
	f.Offer(stored.Revision, sheet)
	return nil
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.settings.Poll.Duration())
	defer ticker.Stop()
	failing := false
	for {
		attempt, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
		err := f.Poll(attempt)
		cancel()
		if err != nil && ctx.Err() == nil && !failing {
			f.log.Warn("the head row cannot be read", zap.Int("event", eventPollFails), zap.Error(err))
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

const pollTimeout = 2 * sd.Second
