package starter

import (
	"context"
	"time"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// Events of the limits of memory and connections; docs/EVENTS.md lists them.
const (
	eventMemory      = 740
	eventConnections = 741
)

// limitsEvery is the shortest time between two log lines about the same limit.
const limitsEvery = sd.Second

// longPast is a deadline that ends what waits for it.
var longPast = time.Unix(1, 0)

// tellLimits logs which limits were reached, once a second at most for each kind.
func (h *Host) tellLimits(ctx context.Context) error {
	var memory reserver.Counts
	var conns connectionCounts
	for pause(ctx, limitsEvery) {
		if now := h.budget.Counts(); now.Refused != memory.Refused || now.Evicted != memory.Evicted || now.RefusedByRequests != memory.RefusedByRequests {
			h.log.Warn("memory budget is exhausted", zap.Int("event", eventMemory), zap.Uint64("refused", now.Refused-memory.Refused),
				zap.Uint64("evicted", now.Evicted-memory.Evicted), zap.Uint64("requests_refused", now.RefusedByRequests-memory.RefusedByRequests),
				zap.Int64("held_small", now.Small), zap.Int64("held_large", now.Large), zap.Int64("capacity", now.Most), zap.Int("holders", now.Holders))
			memory = now
		}
		if open, now := h.callers.figures(); now != conns {
			h.log.Warn("connections of callers were closed", zap.Int("event", eventConnections), zap.Uint64("gave_way", now.gaveWay-conns.gaveWay),
				zap.Uint64("refused", now.refused-conns.refused), zap.Uint64("heads", now.heads-conns.heads),
				zap.Int("open", open), zap.Int("limit", h.callers.limit))
			conns = now
		}
	}
	return ctx.Err()
}

// countLimits adds the gauges of the limits.
func (h *Host) countLimits() {
	set := h.measures.Set
	memory := func(name string, value func(c reserver.Counts) float64) {
		set.NewGauge(name, func() float64 { return value(h.budget.Counts()) })
	}
	memory(`budget_bytes{part="small"}`, func(c reserver.Counts) float64 { return float64(c.Small) })
	memory(`budget_bytes{part="large"}`, func(c reserver.Counts) float64 { return float64(c.Large) })
	memory("budget_capacity_bytes", func(c reserver.Counts) float64 { return float64(c.Most) })
	memory("budget_holders", func(c reserver.Counts) float64 { return float64(c.Holders) })
	memory("budget_refused_total", func(c reserver.Counts) float64 { return float64(c.Refused) })
	memory("budget_evicted_total", func(c reserver.Counts) float64 { return float64(c.Evicted) })
	memory("budget_requests_refused_total", func(c reserver.Counts) float64 { return float64(c.RefusedByRequests) })
	conns := func(name string, value func(c connectionCounts) uint64) {
		set.NewGauge(name, func() float64 {
			_, c := h.callers.figures()
			return float64(value(c))
		})
	}
	conns(`caller_connections_closed_total{why="gave_way"}`, func(c connectionCounts) uint64 { return c.gaveWay })
	conns(`caller_connections_closed_total{why="refused"}`, func(c connectionCounts) uint64 { return c.refused })
	conns(`caller_connections_closed_total{why="head"}`, func(c connectionCounts) uint64 { return c.heads })
	set.NewGauge("caller_connections", func() float64 {
		open, _ := h.callers.figures()
		return float64(open)
	})
	set.NewGauge("caller_connections_limit", func() float64 { return float64(h.callers.limit) })
}
