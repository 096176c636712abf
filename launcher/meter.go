package launcher

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	sd "sapphiredrum.example/sapphiredrum"
)

// meter records what callers experience.
type meter struct {
	host *Host
	set  *metrics.Set
}

// newMeter returns a meter without records.
func newMeter(h *Host) *meter {
	return &meter{host: h, set: metrics.NewSet()}
}

// First records the time to the first token.
func (m *meter) First(tier sd.Tier, _ sd.WorkspaceID, wait sd.Millis) {
	m.set.GetOrCreateHistogram(`sapphiredrum_first_token_seconds{tier="` + tierText(tier) + `"}`).Update(seconds(wait))
}

// Gap records the time between two tokens.
func (m *meter) Gap(tier sd.Tier, _ sd.WorkspaceID, wait sd.Millis) {
	m.set.GetOrCreateHistogram(`sapphiredrum_token_gap_seconds{tier="` + tierText(tier) + `"}`).Update(seconds(wait))
}

// Program records the latency of a program.
func (m *meter) Program(tier sd.Tier, _ sd.WorkspaceID, latency sd.Millis) {
	m.set.GetOrCreateHistogram(`sapphiredrum_program_seconds{tier="` + tierText(tier) + `"}`).Update(seconds(latency))
}

// Call records an answered or refused call.
func (m *meter) Call(tier sd.Tier, _ sd.WorkspaceID, refusal *sd.Refusal) {
	reason := "none"
	if refusal != nil {
		reason = string(refusal.Reason)
	}
	m.set.GetOrCreateCounter(`sapphiredrum_calls_total{tier="` + tierText(tier) + `",refusal="` + reason + `"}`).Inc()
}

// write prints all records in the exposition format.
func (m *meter) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// tierText returns a tier as a label.
func tierText(tier sd.Tier) string {
	return string(rune('0' + max(0, min(9, int(tier)))))
}

// seconds converts a length of time for a histogram.
func seconds(m sd.Millis) float64 {
	return float64(m) / float64(sd.Second)
}
