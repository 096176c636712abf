package scheduler

import "sapphiredrum.example/sapphiredrum"

const (
	// failureRun is the number of failures in a row that start the ramp again.
	failureRun = 3
	// firstRest and longestRest bound the pause after a run of failures.
	firstRest   = 500 * sapphiredrum.Millisecond
	longestRest = 15 * sapphiredrum.Second
	// longestCredit bounds the time under work that one proof stands for.
	longestCredit = 2 * sapphiredrum.Second
	// lostWork is the number of permits that a report must fail to show before
	// it counts as a restart.
	lostWork = 2
	// strayLife bounds how long strays count at a target whose reports stopped.
	strayLife = 10 * sapphiredrum.Minute
)

// target is the guard's state of one target.
type target struct {
	member Member
	// known is set by the first report; before it strays are not known.
	known       bool
	joined      sapphiredrum.Instant
	incarnation sapphiredrum.Incarnation
	cold        bool
	queued      sapphiredrum.Slots
	// warmed is the proved time under work since the ramp began, credited the
	// instant up to which it is counted.
	warmed   sapphiredrum.Millis
	credited sapphiredrum.Instant
	// permits counts the permits outstanding, strays other work that may run.
	permits sapphiredrum.Slots
	strays  sapphiredrum.Slots
	// active is the context of the calls that hold permits.
	active   sapphiredrum.Tokens
	failures int
	rest     sapphiredrum.Millis
	resting  sapphiredrum.Instant
	probing  bool
	prefixes prefixes
	// quiet is the instant from which reports show every stray.
	quiet sapphiredrum.Instant
	// strayed is when the latest stray was counted or the latest report came.
	strayed sapphiredrum.Instant
	// doubt is when a report first showed none of the work granted earlier.
	doubt sapphiredrum.Instant
	// suspected is when a call failed, or when the target was last idle, without a
	// later report that its process is the same and warm; zero when there is none.
	// A target that restarts while it runs something breaks a call; one that
	// restarts while idle shows it in no other way than its next report.
	suspected sapphiredrum.Instant
	// gone targets are no longer in the sheet; they stay while permits last.
	gone bool
}

// restart begins the ramp again.
func (t *target) restart(now sapphiredrum.Instant) {
	t.warmed = 0
	t.credited = now
}

// prove counts the time under work up to now.
func (t *target) prove(now sapphiredrum.Instant) {
	if t.permits > 0 {
		t.warmed += min(now.Since(t.credited), longestCredit)
	}
	t.credited = now
}

// warm counts the time under work that a call begun at granted proves.
func (t *target) warm(now, granted sapphiredrum.Instant) {
	t.credited = max(t.credited, granted)
	t.warmed += min(now.Since(t.credited), longestCredit)
	t.credited = now
}

// bears returns the number of calls that the target may run at once.
func (t *target) bears() sapphiredrum.Slots {
	slots, cold := t.member.Target.Slots, t.member.Target.ColdSlots
	cold = min(max(cold, 1), slots)
	ramp := t.member.Target.WarmUp
	if t.cold || t.doubt > 0 || t.suspected > 0 {
		return cold
	}
	if t.warmed >= ramp {
		return slots
	}
	return cold + sapphiredrum.Slots(sapphiredrum.Millis(slots-cold)*t.warmed/ramp)
}

// open reports whether the plan and the live list give the target work.
func (t *target) open() bool {
	return !t.gone && !t.member.Leaving && !t.member.Out
}

// usable reports whether the target may receive new permits at all.
func (t *target) usable(now sapphiredrum.Instant) bool {
	return t.open() && now >= t.resting
}

// limit returns the permits that the target bears now, less what its own queue
// shows that it cannot run.
func (t *target) limit(now sapphiredrum.Instant, s *Settings) sapphiredrum.Slots {
	if !t.usable(now) || !t.known && now.Since(t.joined) < s.Blind {
		return 0
	}
	if t.probing {
		return min(1, t.bears())
	}
	return min(max(t.bears()-t.queued, 1), t.bears())
}

// free returns the number of permits that may be granted now.
func (t *target) free(now sapphiredrum.Instant, s *Settings) sapphiredrum.Slots {
	return max(0, t.limit(now, s)-t.permits-t.strays)
}

// stray counts work granted at the given instant that may still run although
// its permit has ended.
func (t *target) stray(now, granted sapphiredrum.Instant, s *Settings) {
	t.strays++
	t.strayed = now
	t.quiet = max(t.quiet, granted.Add(s.settling()))
}

// failed counts a failure. Until a report tells that the target's process is the
// same, it may be a new one that is cold. A run of failures starts the ramp again
// and rests the target, and then one call at a time probes it.
func (t *target) failed(now sapphiredrum.Instant) {
	t.suspected = now
	t.failures++
	if t.failures < failureRun && !t.probing {
		return
	}
	t.failures = 0
	t.probing = true
	t.rest = min(max(2*t.rest, firstRest), longestRest)
	t.resting = now.Add(t.rest)
	t.restart(now)
}

// succeeded ends a run of failures.
func (t *target) succeeded() {
	t.failures, t.rest, t.probing = 0, 0, false
}
