package relayer

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// doubt has a probe look whether the store answers in good time.
func (r *Relay) doubt() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.look(r.clock.Now())
}

func (r *Relay) look(now sd.Instant) {
	if r.probing || now.Since(r.probed) < probeEvery {
		return
	}
	r.probing, r.probed = true, now
	go r.probe(0)
}

// Suspect looks at once whether this host reaches the store: a peer has just lost
// it, or the store has refused a call.
func (r *Relay) Suspect() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.lost {
		r.look(r.clock.Now())
	}
}

// probe reads no row from the store itself until it is told an answer or has lost the
// store, and then until the store is found again. Its word alone decides. It begins
// after a pause.
func (r *Relay) probe(pause sd.Millis) {
	for again := true; again; pause, again = r.next() {
		time.Sleep(pause.Duration())
		for range refusedCalls {
			err := r.ping()
			if !errorx.IsOfType(err, sd.Busy) || !r.Reaches() {
				break
			}
			time.Sleep(probeAgain.Duration())
		}
	}
}

// ping reads no row from the store itself, and from a second part if the first does not
// answer quickly: one part alone may be away. Reads that are overdue count as failed; if one
// is answered all the same, the store is slow and not lost.
func (r *Relay) ping() error {
	start := r.clock.Now()
	parts := r.pingParts()
	ends := make(chan error, len(parts))
	open := 0
	read := func() {
		if open == len(parts) {
			return
		}
		part := parts[open]
		open++
		go func() { ends <- r.pingPart(part) }()
	}
	read()
	hedge, overdue := time.NewTimer(quickAnswer.Duration()), time.NewTimer(r.patience().Duration())
	defer hedge.Stop()
	defer overdue.Stop()
	for ended := 0; ; {
		select {
		case err := <-ends:
			ended++
			if definite(err) {
				return nil
			}
			if !errorx.IsOfType(err, sd.Busy) {
				read()
			}
			if ended == open {
				r.note(err, start, lostAfter)
				return err
			}
		case <-hedge.C:
			read()
		case <-overdue.C:
			err := sd.Uncertain.New("store did not answer a probe")
			r.note(err, start, lostAfter)
			return err
		}
	}
}

// pingParts returns the parts that the next probe reads. Those of a lost store take turns;
// one part alone is asked, as all that answer will do.
func (r *Relay) pingParts() []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.lost {
		r.well = (r.well + 1) % len(r.parts)
		return []string{r.parts[r.well]}
	}
	parts := []string{r.parts[r.well]}
	if len(r.parts) > 1 {
		parts = append(parts, r.parts[(r.well+1)%len(r.parts)])
	}
	return parts
}

// pingPart reads no row from a part, and notes an answer.
func (r *Relay) pingPart(part string) error {
	ctx, cancel := context.WithTimeout(context.Background(), slowest.Duration())
	defer cancel()
	start := r.clock.Now()
	_, err := r.direct.List(ctx, probeTable, part, "~", "~~")
	if definite(err) {
		r.note(err, start, lostAfter)
		r.lock.Lock()
		r.well = max(0, slices.Index(r.parts, part))
		r.lock.Unlock()
	}
	return err
}

// next returns the pause before the next probe, or false if none is due: the store is
// reached, or nobody calls it.
func (r *Relay) next() (sd.Millis, bool) {
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.lost || (r.open == 0 && now.Since(r.lastCall) > idleAfter) {
		r.probing = false
		return 0, false
	}
	due := max(r.probed.Add(probeEvery), now)
	r.probed = due
	return due.Since(now), true
}

// note takes the outcome of a direct call, when that was sent, and as how many failures
// one counts. Changed is called without the lock: it takes locks of packages that call
// this one.
func (r *Relay) note(err error, sent sd.Instant, weight int) {
	if r.record(err, sent, weight) && r.Changed != nil {
		r.Changed()
	}
}

// record does what note says, and reports whether the store was lost or found by it.
func (r *Relay) record(err error, sent sd.Instant, weight int) (changed bool) {
	now := r.clock.Now()
	took := now.Since(sent)
	r.lock.Lock()
	defer r.lock.Unlock()
	if definite(err) {
		if took < quickAnswer {
			r.quickAt = max(r.quickAt, sent)
		}
		if sent >= r.quickAt {
			r.usual = took
		}
		r.failures, r.refused = 0, 0
		if r.lost {
			r.lost, r.backAt = false, now
			close(r.found)
			r.found = make(chan struct{})
			r.log.Info("store is reached again", zap.Int("event", eventStoreBack), zap.Int64("lost_ms", int64(now.Since(r.lostAt))))
			return true
		}
		return false
	}
	if sent < r.quickAt {
		// Only this call failed, or only its part of the store.
		return false
	}
	if errorx.IsOfType(err, sd.Busy) {
		// The store refuses some calls of all hosts when there are too many, and all
		// calls of some hosts when it turns those away.
		if r.refused == 0 {
			r.refusedAt = now
		}
		r.refused++
		if !r.lost {
			r.look(now)
		}
		if r.refused < refusedCalls || now.Since(r.refusedAt) < refusedFor {
			return false
		}
	}
	r.failures += weight
	if !r.lost && r.failures >= lostAfter {
		r.lost, r.lostAt, r.probed = true, now, now
		if !r.probing {
			r.probing = true
			go r.probe(probeEvery)
		}
		r.log.Warn("store is not reached", zap.Int("event", eventStoreLost), zap.Int("failures", r.failures),
			zap.Int64("took_ms", int64(took)), zap.Error(err))
		return true
	}
	return false
}
