package scheduler

import "sapphiredrum.example/sapphiredrum"

const (
	// maxConsecutiveFailures is the number of consecutive failures that restart the
	// warm-up.
	maxConsecutiveFailures = 3
	// minBackoff and maxBackoff bound the pause after repeated failures.
	minBackoff = 500 * sapphiredrum.Millisecond
	maxBackoff = 15 * sapphiredrum.Second
	// maxWarmUpCredit bounds the working time credited for one report or call.
	maxWarmUpCredit = 2 * sapphiredrum.Second
	// minMissingPermits is the number of permits that a report must fail to show
	// before it counts as a restart.
	minMissingPermits = 2
	// orphanTTL bounds how long orphans count on a target whose reports have stopped.
	orphanTTL = 10 * sapphiredrum.Minute
)

// target is the guard's state of one target.
type target struct {
	member Member
	// reported is set once a report has established the number of orphans.
	reported    bool
	joined      sapphiredrum.Instant
	incarnation sapphiredrum.Incarnation
	cold        bool
	queued      sapphiredrum.Slots
	// warmUpTime is the proven working time since the warm-up began; it is counted up
	// to creditedUntil.
	warmUpTime    sapphiredrum.Millis
	creditedUntil sapphiredrum.Instant
	// permits counts the permits outstanding; orphans counts other calls that may be
	// running.
	permits sapphiredrum.Slots
	orphans sapphiredrum.Slots
	// activeTokens is the context length of the calls that hold permits.
	activeTokens sapphiredrum.Tokens
	failures     int
	backoff      sapphiredrum.Millis
	backoffUntil sapphiredrum.Instant
	probing      bool
	prefixes     prefixHints
	// orphansVisibleAt is the time from which reports show every orphan.
	orphansVisibleAt sapphiredrum.Instant
	// orphansSeenAt is the time of the latest added orphan or the latest report.
	orphansSeenAt sapphiredrum.Instant
	// missingSince is when a report first showed none of the calls granted earlier.
	missingSince sapphiredrum.Instant
	// restartSuspectedAt is when a call failed, or when the target was last idle, and
	// no later report has shown that its process is the same and warm; zero otherwise.
	// A target that restarts during a call breaks that call; one that restarts while
	// idle shows it only in its next report.
	restartSuspectedAt sapphiredrum.Instant
	// removed targets are no longer in the configuration; they are kept while they
	// have permits.
	removed bool
}

func (t *target) restartWarmUp(now sapphiredrum.Instant) {
	t.warmUpTime = 0
	t.creditedUntil = now
}

// creditReport credits the working time up to now, as proved by a load report.
func (t *target) creditReport(now sapphiredrum.Instant) {
	if t.permits > 0 {
		t.warmUpTime += min(now.Since(t.creditedUntil), maxWarmUpCredit)
	}
	t.creditedUntil = now
}

// creditCall credits the working time that a completed call proves.
func (t *target) creditCall(now, granted sapphiredrum.Instant) {
	t.creditedUntil = max(t.creditedUntil, granted)
	t.warmUpTime += min(now.Since(t.creditedUntil), maxWarmUpCredit)
	t.creditedUntil = now
}

// capacity returns the number of calls that the target may run at once.
func (t *target) capacity() sapphiredrum.Slots {
	slots, cold := t.member.Target.Slots, t.member.Target.ColdSlots
	cold = min(max(cold, 1), slots)
	warmUp := t.member.Target.WarmUp
	if t.cold || t.missingSince > 0 || t.restartSuspectedAt > 0 {
		return cold
	}
	if t.warmUpTime >= warmUp {
		return slots
	}
	return cold + sapphiredrum.Slots(sapphiredrum.Millis(slots-cold)*t.warmUpTime/warmUp)
}

// acceptsWork reports whether the configuration and the live list allow new work
// on the target.
func (t *target) acceptsWork() bool {
	return !t.removed && !t.member.Leaving && !t.member.Drained
}

// usable reports whether the target may receive new permits now.
func (t *target) usable(now sapphiredrum.Instant) bool {
	return t.acceptsWork() && now >= t.backoffUntil
}

// permitLimit returns the number of permits that may be outstanding now: the
// capacity less the calls that wait in the target's own queue.
func (t *target) permitLimit(now sapphiredrum.Instant, s *Settings) sapphiredrum.Slots {
	if !t.usable(now) || !t.reported && now.Since(t.joined) < s.FirstReportTimeout {
		return 0
	}
	if t.probing {
		return min(1, t.capacity())
	}
	return min(max(t.capacity()-t.queued, 1), t.capacity())
}

// freeSlots returns the number of permits that may be granted now.
func (t *target) freeSlots(now sapphiredrum.Instant, s *Settings) sapphiredrum.Slots {
	return max(0, t.permitLimit(now, s)-t.permits-t.orphans)
}

// addOrphan counts a call granted at the given time that may still be running
// although its permit has ended.
func (t *target) addOrphan(now, granted sapphiredrum.Instant, s *Settings) {
	t.orphans++
	t.orphansSeenAt = now
	t.orphansVisibleAt = max(t.orphansVisibleAt, granted.Add(s.settleTime()))
}

// recordFailure counts a failed call. The target may have restarted cold, until a
// report shows that its process is the same. Consecutive failures restart the
// warm-up and pause the target; after the pause, one call at a time probes it.
func (t *target) recordFailure(now sapphiredrum.Instant) {
	t.restartSuspectedAt = now
	t.failures++
	if t.failures < maxConsecutiveFailures && !t.probing {
		return
	}
	t.failures = 0
	t.probing = true
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.backoffUntil = now.Add(t.backoff)
	t.restartWarmUp(now)
}

// recordSuccess resets the failure count, the backoff and probing.
func (t *target) recordSuccess() {
	t.failures, t.backoff, t.probing = 0, 0, false
}
