package receiver

import (
	"sync"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/archiver"
)

// latelyMost bounds the programs of a generation: a host serves some ten a second.
const latelyMost = 2048

// lately tells which programs this host has served a turn of, and where that ran. It
// forgets the older half now and then. The zero value is empty; it is safe for
// concurrent use.
type lately struct {
	lock         sync.Mutex
	young, older map[archiver.Key]sd.TargetID
}

// ran notes that a turn of a program ran at a target.
func (l *lately) ran(program archiver.Key, at sd.TargetID) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.young == nil || len(l.young) >= latelyMost {
		l.young, l.older = map[archiver.Key]sd.TargetID{}, l.young
	}
	l.young[program] = at
}

// target returns where the last turn of a program ran, or nothing.
func (l *lately) target(program archiver.Key) sd.TargetID {
	l.lock.Lock()
	defer l.lock.Unlock()
	if at, known := l.young[program]; known {
		return at
	}
	return l.older[program]
}
