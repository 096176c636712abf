package starter

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// publisher writes one row until the store has it.
type publisher struct {
	store  sd.Store
	record sd.Record
	// seen is closed once the row was read: a write whose answer was lost, or not waited for,
	// has taken effect.
	seen <-chan struct{}
	log  *zap.Logger
}

// run ends once the row is written, or ctx ends. When hundreds of hosts start together their
// part of the store has seconds of work waiting: writes that are not waited for are done all
// the same, so that trying again at once only makes more of them.
func (p *publisher) run(ctx context.Context) {
	for wait := storePause; ctx.Err() == nil; wait = min(2*wait, longestPause) {
		_, err := p.store.Commit(ctx, sd.Update{Put: []sd.Record{p.record}})
		if err == nil {
			return
		}
		p.log.Warn("row of this host is not written", zap.Int("event", eventPublish), zap.Error(err))
		within, cancel := context.WithTimeout(ctx, (wait/2 + sd.Millis(rand.Int64N(int64(wait)))).Duration())
		select {
		case <-p.seen:
			cancel()
			return
		case <-within.Done():
		}
		cancel()
	}
}
