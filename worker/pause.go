package worker

import (
	"context"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
)

// Pause waits and reports whether ctx still runs.
func Pause(ctx context.Context, wait sd.Millis) bool {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
