package faker

import (
	"context"
	"time"

	"sapphiredrum.example/sapphiredrum"
)

// pollInterval is how often an operation that hangs looks whether it may go on.
const pollInterval = 5 * sapphiredrum.Millisecond

// wait applies the faults that strike before an operation takes effect.
func (p *Platform) wait(ctx context.Context) error {
	if err := pause(ctx, p.Faults().Slow); err != nil {
		return err
	}
	return hang(ctx, func() bool { return p.Faults().Hang })
}

// admitRead counts rows to be read and refuses them during an outage or beyond
// the limit.
func (p *Platform) admitRead(rows int) error {
	if p.faults.Away {
		return sapphiredrum.Unavailable.New("the platform is away")
	}
	p.counters.ReadRows += uint64(rows)
	return p.admit(&p.reads, rows, p.faults.Reads)
}

// admitWrite counts rows to be written and refuses them during an outage,
// beyond the limit or when the request is to be lost.
func (p *Platform) admitWrite(rows int) error {
	if p.faults.Away {
		return sapphiredrum.Unavailable.New("the platform is away")
	}
	if p.faults.LoseRequests > 0 {
		p.faults.LoseRequests--
		p.counters.LostRequests++
		return sapphiredrum.Uncertain.New("the request was lost")
	}
	p.counters.WriteRows += uint64(rows)
	return p.admit(&p.writes, rows, p.faults.Writes)
}

// admit counts rows on a meter.
func (p *Platform) admit(m *meter, rows int, limit sapphiredrum.Rate) error {
	if m.add(p.clock.Now(), uint64(max(rows, 1)), limit) {
		return nil
	}
	p.counters.Throttled++
	return sapphiredrum.Unavailable.New("more than %v rows in a second", limit)
}

// loseAnswer reports whether the answer of a write that took effect is lost.
func (p *Platform) loseAnswer() error {
	if p.faults.LoseAnswers <= 0 {
		return nil
	}
	p.faults.LoseAnswers--
	p.counters.LostAnswers++
	return sapphiredrum.Uncertain.New("the answer was lost")
}

// meter counts rows per second.
type meter struct {
	start sapphiredrum.Instant
	count uint64
	peak  uint64
}

// add counts rows unless that would exceed limit; zero is no limit.
func (m *meter) add(now sapphiredrum.Instant, rows uint64, limit sapphiredrum.Rate) bool {
	if now.Since(m.start) >= sapphiredrum.Second {
		m.start, m.count = now, 0
	}
	if limit > 0 && float64(m.count+rows) > float64(limit) {
		return false
	}
	m.count += rows
	m.peak = max(m.peak, m.count)
	return true
}

// pause waits for a length of time; it returns Uncertain when ctx ends first.
func pause(ctx context.Context, length sapphiredrum.Millis) error {
	if length <= 0 {
		if ctx.Err() != nil {
			return sapphiredrum.Unavailable.Wrap(ctx.Err(), "the caller gave up")
		}
		return nil
	}
	timer := time.NewTimer(length.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return sapphiredrum.Uncertain.Wrap(ctx.Err(), "the caller gave up")
	}
}

// hang waits while held reports true.
func hang(ctx context.Context, held func() bool) error {
	for held() {
		if err := pause(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}
