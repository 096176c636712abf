package leaser

import (
	"go.uber.org/zap"

	"sapphiredrum.example/sapphiredrum"
)

// Numbers of the logged events, in the field "event".
const (
	// EventGained: this host owns a shard now.
	EventGained = 100
	// EventLost: this host may no longer act for a shard.
	EventLost = 101
	// EventAsked: a shard is to move to another host.
	EventAsked = 102
	// EventReach: the table answers again, or no longer.
	EventReach = 103
	// EventRelay: table work goes by way of a zone peer.
	EventRelay = 104
	// EventFailure: table work failed or its answer was lost.
	EventFailure = 105
	// EventLeave: the hand-over of all shards starts.
	EventLeave = 106
)

// Errors of this package.
var (
	namespace = sapphiredrum.Errors.NewSubNamespace("leaser")
	// Misused marks a call against the documented order of calls.
	Misused = namespace.NewType("misused")
)

// log writes one event of the state.
func (r *Runner) log(event Event) {
	shard := zap.Stringer("shard", event.event())
	switch e := event.(type) {
	case Gained:
		r.logger.Info("shard gained", zap.Int("event", EventGained), shard,
			zap.Uint64("epoch", uint64(e.Epoch)), zap.Bool("clean", e.Clean))
	case Lost:
		r.logger.Info("shard lost", zap.Int("event", EventLost), shard)
	case Asked:
		r.logger.Info("shard to move", zap.Int("event", EventAsked), shard)
	}
}
