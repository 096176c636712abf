package launcher

import (
	"context"
	"io"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/reporter"
)

// meter records what callers experience: for the service levels, and as counters
// and histograms for operators' own monitoring.
type meter struct {
	clock    sd.Clock
	set      *metrics.Set
	counters *reporter.Counters

	// mu guards ring and next.
	mu   sync.Mutex
	ring reporter.Ring
	next sd.Instant
}

// SummaryQuestion asks a host for the summary of its service-level samples.
type SummaryQuestion struct{}

// newMeter returns a meter without records.
func newMeter(host sd.HostID, incarnation sd.Incarnation, clock sd.Clock) *meter {
	return &meter{clock: clock, set: metrics.NewSet(), counters: reporter.NewCounters(host, incarnation, clock.WallNow())}
}

// FirstToken records the time to the first token.
func (m *meter) FirstToken(tier sd.Tier, workspace sd.WorkspaceID, wait sd.Millis) {
	m.counters.FirstToken(workspace, tier, wait)
	m.histogram("sapphiredrum_first_token_seconds", tier, wait)
}

// TokenGap records the time between two tokens.
func (m *meter) TokenGap(tier sd.Tier, workspace sd.WorkspaceID, wait sd.Millis) {
	m.counters.TokenGap(workspace, tier, wait)
	m.histogram("sapphiredrum_token_gap_seconds", tier, wait)
}

// Program records the latency of a program.
func (m *meter) Program(tier sd.Tier, workspace sd.WorkspaceID, latency sd.Millis) {
	m.counters.Program(workspace, tier, latency)
	m.histogram("sapphiredrum_program_seconds", tier, latency)
}

// Call records an answered or refused call. Refusals for what the caller did
// count neither as served nor as refused.
func (m *meter) Call(tier sd.Tier, workspace sd.WorkspaceID, refusal *sd.Refusal) {
	reason := "none"
	if refusal != nil {
		reason = string(refusal.Reason)
	}
	m.set.GetOrCreateCounter(`sapphiredrum_calls_total{tier="` + strconv.Itoa(int(tier)) + `",refusal="` + reason + `"}`).Inc()
	if refusal == nil || systemsFault(refusal.Reason) {
		m.counters.Request(workspace, tier, refusal != nil)
	}
}

// sample keeps a snapshot of the counters now and then.
func (m *meter) sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := m.clock.Now(); now >= m.next {
		m.next = now.Add(sampleInterval)
		m.ring.Add(m.counters.Snapshot(m.clock.WallNow()))
	}
}

// register adds the message by which reports are collected.
func (m *meter) register(router messenger.Router) {
	messenger.Handle(router, "summary", func(context.Context, SummaryQuestion) (reporter.Summary, error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.ring.Add(m.counters.Snapshot(m.clock.WallNow()))
		return m.ring.Summary(), nil
	})
}

// write prints all records in the exposition format.
func (m *meter) write(w io.Writer) {
	m.set.WritePrometheus(w)
	m.counters.WriteMetrics(w)
	metrics.WriteProcessMetrics(w)
}

// histogram records a length of time.
func (m *meter) histogram(name string, tier sd.Tier, wait sd.Millis) {
	m.set.GetOrCreateHistogram(name + `{tier="` + strconv.Itoa(int(tier)) + `"}`).Update(float64(wait) / float64(sd.Second))
}

// systemsFault reports whether a refusal is the system's doing: a workspace
// within its rate was not served.
func systemsFault(reason sd.Reason) bool {
	switch reason {
	case sd.Overloaded, sd.NoTarget, sd.TargetFailed, sd.ResponseTruncated, sd.TimedOut,
		sd.KeeperMoving, sd.KeeperUnavailable, sd.PlatformUnavailable, sd.HostLeaving:
		return true
	}
	return false
}

const sampleInterval = 30 * sd.Second
