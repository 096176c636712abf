package starter

import (
	"context"

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
