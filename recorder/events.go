package recorder

import "go.uber.org/zap"

// The numbers of this package's log events; docs/EVENTS.md lists them.
const (
	eventLoaded        = 200
	eventNotLoaded     = 201
	eventLost          = 202
	eventBased         = 203
	eventFailing       = 204
	eventIntentRefused = 205
	eventEnded         = 206
)

// event returns the field that numbers a log line.
func event(number int) zap.Field {
	return zap.Int("event", number)
}
