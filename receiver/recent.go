package receiver

import (
	"sync"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
)

// maxRecentPrograms limits each generation of recentTargets; a host serves about ten
// programs a second.
const maxRecentPrograms = 2048

// recentTargets maps programs that this host has recently served to the target of
// their last turn. When the current generation is full, the previous one is dropped.
// The zero value is empty and ready to use. It is safe for concurrent use.
type recentTargets struct {
	mu                sync.Mutex
	current, previous map[archiver.Key]sd.TargetID
}

// record sets the target of the program's last turn.
func (l *recentTargets) record(program archiver.Key, at sd.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || len(l.current) >= maxRecentPrograms {
		l.current, l.previous = map[archiver.Key]sd.TargetID{}, l.current
	}
	l.current[program] = at
}

// target returns the target of the program's last turn, or an empty ID.
func (l *recentTargets) target(program archiver.Key) sd.TargetID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, known := l.current[program]; known {
		return at
	}
	return l.previous[program]
}
