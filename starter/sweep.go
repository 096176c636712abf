package starter

import (
	"context"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// sweeps reports whether this host removes old rows: it is the first of the hosts alive.
func (h *Host) sweeps() bool {
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

// removeSilent removes the rows of the hosts that have been silent for goneAfter. One that is
// alive writes its row again.
func (h *Host) removeSilent(ctx context.Context) {
	for _, host := range h.gossiper.SilentPeers(goneAfter) {
		h.rowLock.Lock()
		row := h.rows[host]
		h.rowLock.Unlock()
		ctx, cancel := context.WithTimeout(ctx, sweepEvery.Duration())
		_, err := h.relay.Commit(ctx, sd.Update{Expect: []sd.Record{row}, Remove: []sd.RecordKey{row.RecordKey}})
		cancel()
		h.log.Info("row of a lost host removed", zap.Int("event", eventPublish), zap.String("host", string(host)), zap.Error(err))
	}
}
