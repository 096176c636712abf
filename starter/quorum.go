package starter

import (
	"context"
	"sync"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// heardHosts returns the number of hosts heard from recently and of those known, both
// including this one.
func (h *Host) heardHosts() (heard, known int) {
	return len(h.gossiper.Alive(false)) + 1, h.gossiper.Hosts()
}

// sweeps reports whether this host removes old rows: it hears at least half of the hosts, and is
// the first of them. A host that hears fewer is more likely cut off than left alone.
func (h *Host) sweeps() bool {
	if heard, known := h.heardHosts(); 2*heard < known {
		return false
	}
	for _, p := range h.gossiper.Alive(false) {
		if p.Host < h.settings.Host {
			return false
		}
	}
	return true
}

// sweepHosts removes the rows of hosts that are gone for good until ctx ends.
func (h *Host) sweepHosts(ctx context.Context) error {
	for pause(ctx, sweepEvery) {
		if h.sweeps() {
			h.removeSilent(ctx)
		}
	}
	return ctx.Err()
}

// removeSilent removes the rows of the hosts that have been silent for removalAge. One that is
// alive writes its row again.
func (h *Host) removeSilent(ctx context.Context) {
	for _, host := range h.gossiper.SilentPeers(h.removalAge) {
		h.rowLock.Lock()
		row := h.rows[host]
		h.rowLock.Unlock()
		ctx, cancel := context.WithTimeout(ctx, sweepEvery.Duration())
		_, err := h.relay.Commit(ctx, sd.Update{Expect: []sd.Record{row}, Remove: []sd.RecordKey{row.RecordKey}})
		cancel()
		h.log.Info("row of a lost host removed", zap.Int("event", eventPublish), zap.String("host", string(host)), zap.Error(err))
	}
}

// suspended reports whether this host admits nothing: it has been cut off for so long that the
// others may have removed its row and use its share of the rates. A host counts as cut off if it
// does not reach the store and the hosts that it does not hear are enough to remove rows.
func (h *Host) suspended() bool {
	heard, known := h.heardHosts()
	cut := known > 1 && 2*heard <= known && h.relay.Away()
	suspended, changed := h.cutoff.observe(h.clock.Now(), cut, h.suspendAfter)
	if changed {
		h.log.Warn("host admits nothing while it is cut off, or does again", zap.Int("event", eventSuspended), zap.Bool("suspended", suspended),
			zap.Int("heard", heard), zap.Int("hosts", known))
	}
	return suspended
}

// cutoff tells how long a host has been cut off.
type cutoff struct {
	lock sync.Mutex
	// since is when the cut was noticed; zero if there is none.
	since     sd.Instant
	suspended bool
}

// observe takes whether the host is cut off now. It reports whether that has been so for a limit,
// and whether this has changed.
func (c *cutoff) observe(now sd.Instant, cut bool, limit sd.Millis) (suspended, changed bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	switch {
	case !cut:
		c.since = 0
	case c.since == 0:
		c.since = now
	}
	suspended = c.since != 0 && now.Since(c.since) >= limit
	changed, c.suspended = suspended != c.suspended, suspended
	return suspended, changed
}
