package starter

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/platform"
)

// publisher keeps the row by which other hosts find this one.
//
// Its writes are conditional, as a write whose answer was lost may take effect after the next
// start of the host has written the row.
type publisher struct {
	store sd.Store
	key   sd.RecordKey
	self  platform.PeerRow
	log   *zap.Logger

	lock sync.Mutex
	// row is the row as last seen, whoever wrote it; own tells that this start did.
	row sd.Record
	own bool
	// changed is signalled when own has changed.
	changed chan struct{}
	// listed is closed once the table of hosts has been read.
	listed     chan struct{}
	listedOnce sync.Once
	// stopping ends run, which closes ended.
	stopping context.Context
	stop     context.CancelFunc
	ended    chan struct{}
}

func newPublisher(store sd.Store, table string, self platform.PeerRow, log *zap.Logger) *publisher {
	key := sd.RecordKey{Table: table, Key: string(self.Host)}
	p := &publisher{
		store: store, key: key, self: self, log: log, row: sd.Record{RecordKey: key},
		changed: make(chan struct{}, 1), listed: make(chan struct{}), ended: make(chan struct{}),
	}
	p.stopping, p.stop = context.WithCancel(context.Background())
	return p
}

// observe takes the row as read from the store. Rows older than the last one are ignored: a
// watch may return what was so before a write of this host.
func (p *publisher) observe(row sd.Record) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if row.Version < p.row.Version {
		return
	}
	var peer platform.PeerRow
	own := !row.Removed && json.Unmarshal(row.Value, &peer) == nil && peer.Incarnation == p.self.Incarnation
	if p.own && !own {
		p.log.Warn("row of this host was removed or replaced", zap.Int("event", eventPublish), zap.Uint64("version", row.Version),
			zap.Bool("removed", row.Removed), zap.Stringer("incarnation", peer.Incarnation))
	}
	changed := p.own != own
	p.row, p.own = row, own
	if changed {
		select {
		case p.changed <- struct{}{}:
		default:
		}
	}
}

// observeConflict takes what a write that failed its condition returned.
func (p *publisher) observeConflict(page sd.Page) {
	for _, row := range page.Records {
		if row.RecordKey == p.key {
			p.observe(row)
			return
		}
	}
	p.lock.Lock()
	absent := sd.Record{RecordKey: p.key, Version: max(page.Version, p.row.Version), Removed: true}
	p.lock.Unlock()
	p.observe(absent)
}

// markListed records that the table was read and its rows passed to observe.
func (p *publisher) markListed() { p.listedOnce.Do(func() { close(p.listed) }) }

// current returns the condition that the row is as last seen, and whether it is this start's.
func (p *publisher) current() (sd.Record, bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.row.Removed {
		return sd.Record{RecordKey: p.key}, p.own
	}
	return sd.Record{RecordKey: p.key, Version: p.row.Version}, p.own
}

// run writes the row, and writes it again whenever it is gone or is not this start's, until
// ctx ends or remove is called. The error is Unavailable if the row cannot be encoded.
//
// When hundreds of hosts start together their part of the store has seconds of work waiting:
// writes that are not waited for are done all the same, so that trying again at once only makes
// more of them.
func (p *publisher) run(ctx context.Context) error {
	defer close(p.ended)
	defer context.AfterFunc(ctx, p.stop)()
	value, err := json.Marshal(p.self)
	if err != nil {
		return sd.Unavailable.Wrap(err, "row of this host cannot be encoded")
	}
	p.wait(p.listed, storePause)
	pause := storePause
	for p.stopping.Err() == nil {
		select {
		case <-p.changed:
		default:
		}
		expected, own := p.current()
		if own {
			if p.wait(p.changed, longestPause) {
				// Another process may claim the row as well; neither may write without a pause.
				p.wait(nil, jitter(pause))
				pause = min(2*pause, longestPause)
			} else {
				pause = storePause
			}
			continue
		}
		page, err := p.store.Commit(p.stopping, sd.Update{Expect: []sd.Record{expected}, Put: []sd.Record{{RecordKey: p.key, Value: value}}})
		if err == nil {
			p.observe(sd.Record{RecordKey: p.key, Value: value, Version: page.Version})
			continue
		}
		p.log.Warn("row of this host is not written", zap.Int("event", eventPublish), zap.Uint64("expected", expected.Version), zap.Error(err))
		if errorx.IsOfType(err, sd.Conflict) {
			p.observeConflict(page)
			if now, _ := p.current(); now.Version != expected.Version {
				continue
			}
		}
		p.wait(p.changed, jitter(pause))
		pause = min(2*pause, longestPause)
	}
	return nil
}

// jitter returns a random time around a pause, so that hosts do not write together.
func jitter(pause sd.Millis) sd.Millis { return pause/2 + sd.Millis(rand.Int64N(int64(pause))) }

// wait waits for a signal, and reports whether it came in time.
func (p *publisher) wait(signal <-chan struct{}, limit sd.Millis) bool {
	ctx, cancel := context.WithTimeout(p.stopping, limit.Duration())
	defer cancel()
	select {
	case <-signal:
		return true
	case <-ctx.Done():
		return false
	}
}

// remove ends run and removes the row if it is this start's. Errors are those of the store.
func (p *publisher) remove(ctx context.Context) error {
	p.stop()
	select {
	case <-p.ended:
	case <-ctx.Done():
		return sd.Unavailable.Wrap(ctx.Err(), "row of this host is still being written")
	}
	row, own := p.current()
	if !own {
		// A write may have taken effect without an answer.
		page, err := p.store.List(ctx, p.key.Table, p.key.Part, p.key.Key, p.key.Key+"\x00")
		if err != nil {
			return err
		}
		p.observeConflict(page)
		if row, own = p.current(); !own {
			return nil
		}
	}
	p.lock.Lock()
	p.own = false
	p.lock.Unlock()
	_, err := p.store.Commit(ctx, sd.Update{Expect: []sd.Record{row}, Remove: []sd.RecordKey{p.key}})
	return err
}
