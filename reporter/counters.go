package reporter

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"sapphiredrum.example/sapphiredrum"
)

// Counters is what a host records into. All methods may be called concurrently.
type Counters struct {
	host        sapphiredrum.HostID
	incarnation sapphiredrum.Incarnation
	started     sapphiredrum.WallTime
	set         *metrics.Set

	lock   sync.RWMutex
	levels map[sapphiredrum.Tier]sapphiredrum.ServiceLevel
	rows   map[rowKey]*countersRow
}

// countersRow holds the metrics of one workspace in one tier.
type countersRow struct {
	total, bad [len(Objectives)]*metrics.Counter
}

// NewCounters returns counters at zero for a process started at the given date.
func NewCounters(host sapphiredrum.HostID, incarnation sapphiredrum.Incarnation, started sapphiredrum.WallTime) *Counters {
	return &Counters{
		host: host, incarnation: incarnation, started: started,
		set:  metrics.NewSet(),
		rows: map[rowKey]*countersRow{},
	}
}

// Configure sets the service levels against which later events are judged.
func (c *Counters) Configure(levels []sapphiredrum.ServiceLevel) {
	tiers := map[sapphiredrum.Tier]sapphiredrum.ServiceLevel{}
	for _, l := range levels {
		tiers[l.Tier] = l
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.levels = tiers
}

// FirstToken records the time to a call's first token.
func (c *Counters) FirstToken(workspace sapphiredrum.WorkspaceID, tier sapphiredrum.Tier, took sapphiredrum.Millis) {
	r, level := c.row(workspace, tier)
	r.count(0, late(took, level.FirstToken))
}

// TokenGap records the time between two tokens of an answer.
func (c *Counters) TokenGap(workspace sapphiredrum.WorkspaceID, tier sapphiredrum.Tier, took sapphiredrum.Millis) {
	r, level := c.row(workspace, tier)
	r.count(1, late(took, level.TokenGap))
}

// Program records the latency of a whole program.
func (c *Counters) Program(workspace sapphiredrum.WorkspaceID, tier sapphiredrum.Tier, took sapphiredrum.Millis) {
	r, level := c.row(workspace, tier)
	r.count(2, late(took, level.ProgramLatency))
}

// Request records a request within its workspace's rate, and whether it was
// refused nevertheless.
func (c *Counters) Request(workspace sapphiredrum.WorkspaceID, tier sapphiredrum.Tier, refused bool) {
	r, _ := c.row(workspace, tier)
	r.count(3, refused)
}

// Snapshot reads all counters.
func (c *Counters) Snapshot(date sapphiredrum.WallTime) Snapshot {
	c.lock.RLock()
	defer c.lock.RUnlock()
	sums := rowSums{}
	for k, r := range c.rows {
		counts := Counts{}
		for i := range counts {
			// Bad is read first, so that it never exceeds the total.
			counts[i].Bad = int64(r.bad[i].Get())
			counts[i].Total = int64(r.total[i].Get())
		}
		sums[k] = counts
	}
	return Snapshot{Host: c.host, Incarnation: c.incarnation, Started: c.started, Date: date, Rows: sums.rows()}
}

// WriteMetrics writes the counters in the Prometheus text format.
func (c *Counters) WriteMetrics(w io.Writer) {
	c.set.WritePrometheus(w)
}

// row returns the counters of the workspace in the tier and the tier's level.
func (c *Counters) row(workspace sapphiredrum.WorkspaceID, tier sapphiredrum.Tier) (*countersRow, sapphiredrum.ServiceLevel) {
	k := rowKey{workspace: workspace, tier: tier}
	c.lock.RLock()
	r, level := c.rows[k], c.levels[tier]
	c.lock.RUnlock()
	if r != nil {
		return r, level
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.rows[k] == nil {
		c.rows[k] = c.newRow(k)
	}
	return c.rows[k], level
}

// newRow registers the metrics of a row.
func (c *Counters) newRow(k rowKey) *countersRow {
	r := &countersRow{}
	for i, o := range Objectives {
		labels := fmt.Sprintf(`{objective=%q,workspace=%q,tier="%d"}`, o, k.workspace, k.tier)
		r.total[i] = c.set.GetOrCreateCounter("sapphiredrum_level_events_total" + labels)
		r.bad[i] = c.set.GetOrCreateCounter("sapphiredrum_level_bad_total" + labels)
	}
	return r
}

// count counts one event of the objective with the given index.
func (r *countersRow) count(objective int, bad bool) {
	r.total[objective].Inc()
	if bad {
		r.bad[objective].Inc()
	}
}

// late reports whether a time is over its target; zero means no target.
func late(took, target sapphiredrum.Millis) bool {
	return target > 0 && took > target
}
