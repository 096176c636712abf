package observer

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// Events of this package; docs/EVENTS.md lists them.
const (
	eventListed = 610
	eventLost   = 611
	eventStale  = 612
)

// Follower keeps one table's View up to date.
type Follower struct {
	Store sd.Store
	Table string
	// Wait is how long a watch waits; Pace the least time between two watches.
	Wait, Pace sd.Millis
	// Changed is told of changes, in order. Rows lists the whole table at once.
	Changed func(records []sd.Record)
	// Read, if set, is told of each answer after its changes, with the time at which the
	// call was sent: the table was seen as it was then or later.
	Read func(sent sd.Instant)
	// Clock is needed with Read.
	Clock sd.Clock
	Log   *zap.Logger
}

const (
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 50 * sd.Millisecond
	retryMax = 400 * sd.Millisecond
	// listTimeout bounds one page of a list; a slow store takes some 300 ms.
	listTimeout = 1200 * sd.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var view View
	pause, lost := sd.Millis(0), false
	for ctx.Err() == nil {
		sent := f.Clock.Now()
		err := f.step(ctx, &view)
		if err == nil && f.Read != nil {
			f.Read(sent)
		}
		switch {
		case err == nil:
			if lost {
				f.Log.Info("table followed again", zap.Int("event", eventListed), zap.String("table", f.Table),
					zap.Uint64("version", view.Version()))
			}
			pause, lost = f.Pace, false
		case errorx.IsOfType(err, sd.NotFound):
			f.Log.Warn("history of the table is gone, it is listed anew", zap.Int("event", eventStale),
				zap.String("table", f.Table), zap.Uint64("version", view.Version()))
			view.Lapse()
			pause = retryMin
		default:
			if !lost {
				f.Log.Warn("table cannot be followed", zap.Int("event", eventLost), zap.String("table", f.Table),
					zap.Uint64("version", view.Version()), zap.Error(err))
			}
			pause, lost = min(max(2*pause, retryMin), retryMax), true
		}
		timer := time.NewTimer(pause.Duration())
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return ctx.Err()
}

// step lists the table or waits for one set of changes.
func (f *Follower) step(ctx context.Context, view *View) error {
	if view.Listed() {
		page, err := f.Store.Watch(ctx, f.Table, view.Version(), f.Wait)
		if err != nil {
			return err
		}
		if changed := view.Change(page.Records, page.Version); len(changed) > 0 {
			f.Changed(changed)
		}
		return nil
	}
	var records []sd.Record
	from, version := "", uint64(0)
	for {
		page, err := f.list(ctx, from)
		if err != nil {
			return err
		}
		if version == 0 {
			// Later pages may be newer; the watch goes on from the first one.
			version = page.Version
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		from = page.Records[len(page.Records)-1].Key + "\x00"
	}
	changed, ok := view.List(records, version)
	if !ok {
		return sd.Unavailable.New("list at version %d is older than %d", version, view.Version())
	}
	f.Log.Info("table listed", zap.Int("event", eventListed), zap.String("table", f.Table),
		zap.Uint64("version", version), zap.Int("rows", len(records)))
	f.Changed(changed)
	return nil
}

func (f *Follower) list(ctx context.Context, from string) (sd.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Duration())
	defer cancel()
	return f.Store.List(ctx, f.Table, "", from, "")
}
