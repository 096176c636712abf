package starter

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/promoter"
)

// Events of rollouts; docs/EVENTS.md lists them.
const (
	eventOrder        = 700
	eventOrderIgnored = 701
	eventOrderEnds    = 702
	eventStage        = 703
	eventRolloutRow   = 704
	eventRolloutState = 705
	eventEvidence     = 706
)

const (
	// rolloutTick is how often rollouts are looked at: a few times within the shortest interval in
	// which evidence is taken.
	rolloutTick = 100 * sd.Millisecond
	// rolloutWait is how long the watch of the rollouts' stages waits.
	rolloutWait = 1300 * sd.Millisecond
	// rolloutSpread is by how much each known host lengthens the random delay of a write, at most
	// maxRolloutSpread: hundreds of hosts see the same condition at once, and one write is enough.
	rolloutSpread    = 2 * sd.Millisecond
	maxRolloutSpread = 600 * sd.Millisecond
	// rolloutCall bounds a write; a slow store takes some 300 ms.
	rolloutCall = 1200 * sd.Millisecond
	// defaultTimeout is assumed for a pool that no rule with a timeout leads to.
	defaultTimeout = 5 * sd.Second
	// tellEvidence is how often the evidence of a rollout is logged.
	tellEvidence = 5 * sd.Second
)

// rollouts joins the decisions on rollouts with the store, the heartbeats and the balancer.
type rollouts struct {
	host *Host
	// ordered is closed at the first order: without one, the table of stages is not read.
	ordered     chan struct{}
	orderedOnce sync.Once
	writes      chan rolloutWrite

	lock   sync.Mutex
	pools  map[sd.GroupName]*rollout
	hashes map[gossiper.IDHash]*rollout
	// listed is set once the orders were read for the first time, read once the table of stages was.
	listed, read bool
	// unbounded is set once orders were said to be ignored, as the deployment has no bounds.
	unbounded bool
}

// rollout is the rollout of one pool.
type rollout struct {
	pool  sd.GroupName
	state *promoter.State
	split promoter.Split
	stage promoter.Stage
	told  sd.Instant
	// unknown is set while an order for a pool that the plan does not name is ignored.
	unknown bool
	// due is when the next write may be made, zero if none is wanted; pause the delay after a
	// failed one; writing is set while one is under way.
	due     sd.Instant
	pause   sd.Millis
	writing bool
}

// rolloutWrite is a write of a pool's stage, or of the state that the platform reads.
type rolloutWrite struct {
	rollout  *rollout
	update   sd.Update
	decision *promoter.Decision
	state    sd.RolloutState
	to       sd.Version
}

func newRollouts(h *Host) *rollouts {
	return &rollouts{
		host: h, ordered: make(chan struct{}), writes: make(chan rolloutWrite, 64),
		pools: map[sd.GroupName]*rollout{}, hashes: map[gossiper.IDHash]*rollout{},
	}
}

// pool returns the rollout of a pool. The lock is held.
func (r *rollouts) pool(name sd.GroupName) *rollout {
	o := r.pools[name]
	if o == nil {
		settings := r.host.settings
		o = &rollout{pool: name, state: promoter.New(promoter.Settings{
			Host: settings.Host, Share: settings.RolloutShare, Slack: settings.RolloutSlack, Rollback: settings.RolloutBack,
		})}
		if r.read {
			o.state.SetDecision(r.host.clock.Now(), promoter.Decision{}, 0)
		}
		r.pools[name], r.hashes[gossiper.HashID(name)] = o, o
	}
	return o
}

// ordersChanged takes the orders among rows of the operator's table.
func (r *rollouts) ordersChanged(records []sd.Record) {
	h := r.host
	r.lock.Lock()
	defer r.lock.Unlock()
	live := r.listed
	r.listed = true
	for _, record := range records {
		name, ok := platform.RolloutOf(record)
		if !ok {
			continue
		}
		if !h.settings.RolloutsBounded {
			if !r.unbounded && !record.Removed {
				r.unbounded = true
				h.log.Warn("orders of rollouts are ignored, as the deployment has no bounds for them", zap.Int("event", eventOrderIgnored),
					zap.String("service", string(name)))
			}
			continue
		}
		now := h.clock.Now()
		var order sd.RolloutOrder
		var err error
		if !record.Removed {
			order, err = platform.DecodeRollout(record)
		}
		if record.Removed || err != nil {
			if err != nil {
				h.log.Warn("order of a rollout is ignored", zap.Int("event", eventOrderIgnored), zap.Uint64("version", record.Version), zap.Error(err))
			}
			if o := r.pools[name]; o != nil && o.state.Order() != nil {
				h.log.Info("order of a rollout is withdrawn", zap.Int("event", eventOrderEnds), zap.String("service", string(name)),
					zap.Stringer("stage", o.state.Stage()), zap.Int64("age_ms", int64(o.state.Age(now))))
				o.state.SetOrder(now, nil, live)
				r.step(o, now)
			}
			continue
		}
		o := r.pool(name)
		if before := o.state.Order(); before != nil && before.Row >= order.Row {
			continue
		}
		h.log.Info("rollout is ordered", zap.Int("event", eventOrder), zap.String("service", string(name)), zap.String("to", string(order.To)),
			zap.Int64("duration_ms", int64(order.Duration)), zap.Uint64("version", order.Row))
		o.state.SetOrder(now, &order, live)
		o.stage, o.unknown, o.due, o.pause = promoter.None, false, 0, 0
		r.orderedOnce.Do(func() { close(r.ordered) })
		r.step(o, now)
	}
}

// stateChanged takes a row of the hosts' table if it reports the state of a rollout.
func (r *rollouts) stateChanged(record sd.Record) bool {
	name, ok := platform.RolloutOf(record)
	if !ok || !r.host.settings.RolloutsBounded {
		return ok
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.setState(r.pool(name), record)
	return true
}

func (r *rollouts) setState(o *rollout, record sd.Record) {
	if record.Removed || record.Version == 0 {
		o.state.SetState("", "", 0)
		return
	}
	state, to := platform.DecodeRolloutState(record.Value)
	o.state.SetState(state, to, record.Version)
}

// stagesChanged takes rows of the table of stages.
func (r *rollouts) stagesChanged(records []sd.Record) {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := r.host.clock.Now()
	for _, record := range records {
		r.setDecision(r.pool(sd.GroupName(record.Key)), record)
	}
	if !r.read {
		r.read = true
		for _, o := range r.pools {
			o.state.SetDecision(now, promoter.Decision{}, 0)
		}
		for _, record := range records {
			r.setDecision(r.pool(sd.GroupName(record.Key)), record)
		}
	}
	for _, o := range r.pools {
		r.step(o, now)
	}
}

func (r *rollouts) setDecision(o *rollout, record sd.Record) {
	now := r.host.clock.Now()
	if record.Removed || record.Version == 0 {
		o.state.SetDecision(now, promoter.Decision{}, 0)
		return
	}
	var decision promoter.Decision
	if err := json.Unmarshal(record.Value, &decision); err != nil {
		r.host.log.Warn("stage of a rollout cannot be used", zap.Int("event", eventRolloutRow), zap.String("service", record.Key), zap.Error(err))
		decision = promoter.Decision{}
	}
	o.state.SetDecision(now, decision, record.Version)
}

// hear takes the reports in another host's heartbeat.
func (r *rollouts) hear(beat gossiper.Heartbeat) {
	if len(beat.Rollouts) == 0 {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	now := r.host.clock.Now()
	for hash, report := range beat.Rollouts {
		o := r.hashes[hash]
		if o == nil {
			continue
		}
		before := o.state.Stage()
		o.state.Hear(now, beat.Host, report)
		if o.state.Stage() != before {
			r.step(o, now)
		}
	}
}

func (r *rollouts) removeHost(host sd.HostID) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, o := range r.pools {
		o.state.RemoveHost(host)
	}
}

// reports returns this host's reports for its heartbeat.
func (r *rollouts) reports() map[gossiper.IDHash]promoter.Report {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := r.host.clock.Now()
	var out map[gossiper.IDHash]promoter.Report
	for hash, o := range r.hashes {
		if o.state.Order() == nil || o.unknown || o.state.Settled(now) {
			continue
		}
		if out == nil {
			out = map[gossiper.IDHash]promoter.Report{}
		}
		out[hash] = r.own(o, now)
	}
	return out
}

// own returns this host's report of a pool.
func (r *rollouts) own(o *rollout, now sd.Instant) (report promoter.Report) {
	r.host.gate.Update(func(s *balancer.State, _ sd.Instant) { report = s.RolloutReport(o.pool) })
	report.Stage, report.Age = o.stage, o.state.Age(now)
	return report
}

// run looks at the rollouts until ctx ends.
func (r *rollouts) run(ctx context.Context) error {
	for pause(ctx, rolloutTick) {
		r.lock.Lock()
		for _, o := range r.pools {
			r.step(o, r.host.clock.Now())
		}
		r.lock.Unlock()
	}
	return ctx.Err()
}

// follow follows the table of stages from the first order on.
func (r *rollouts) follow(ctx context.Context) error {
	select {
	case <-r.ordered:
	case <-ctx.Done():
		return ctx.Err()
	}
	return r.host.follow(platform.RolloutTable, rolloutWait, 0, r.stagesChanged)(ctx)
}

// served returns the longest timeout of the rules that lead to a pool, and whether the plan names
// the pool. Before there is a plan, every pool counts as named.
func (r *rollouts) served(pool sd.GroupName) (longest sd.Millis, named bool) {
	r.host.planLock.Lock()
	table := r.host.table
	r.host.planLock.Unlock()
	if table == nil {
		return defaultTimeout, true
	}
	for _, rule := range table.FleetConfig.Rules {
		for _, share := range rule.PoolShares {
			if share.Pool == pool {
				longest, named = max(longest, rule.Timeout), true
			}
		}
	}
	if longest == 0 {
		longest = defaultTimeout
	}
	return longest, named
}

// step decides on a pool's rollout and puts the split in force. The lock is held.
func (r *rollouts) step(o *rollout, now sd.Instant) {
	h := r.host
	if o.state.Order() == nil && o.split.Order == 0 {
		return
	}
	timeout, named := r.served(o.pool)
	if order := o.state.Order(); order != nil && !named {
		if !o.unknown {
			o.unknown = true
			h.log.Warn("order of a rollout is ignored, as no rule leads to its service", zap.Int("event", eventOrderIgnored),
				zap.String("service", string(o.pool)), zap.Uint64("version", order.Row))
		}
		return
	}
	o.unknown = false
	view := promoter.View{
		Now: now, Wall: sd.WallTime(time.Now().UnixMilli()), Own: r.own(o, now), StoreAway: h.relay.Away(), Timeout: timeout,
		Interval: h.gossiper.Interval(), Silence: h.gossiper.Silence(),
	}
	if h.knows() {
		view.Hosts = h.gossiper.Hosts()
	}
	for _, peer := range h.gossiper.Alive(false) {
		view.Alive = append(view.Alive, peer.Host)
	}
	h.gate.Update(func(s *balancer.State, _ sd.Instant) { view.Versions = s.Versions(o.pool) })
	out := o.state.Decide(view)
	h.gate.Update(func(s *balancer.State, now sd.Instant) { s.SetSplit(now, o.pool, out.Split) })
	o.split = out.Split
	r.tell(o, view, out)
	r.submit(o, now, view.Hosts, out)
}

// tell logs and counts what was decided.
func (r *rollouts) tell(o *rollout, view promoter.View, out promoter.Output) {
	h := r.host
	set, labels, verdict := h.measures.Set, `{service="`+string(o.pool)+`"}`, out.Verdict
	share := out.Split.Share
	switch {
	case out.Split.Mode == promoter.NewFirst:
		share = 1
	case out.Split.Mode != promoter.Shared:
		share = 0
	}
	set.GetOrCreateGauge("rollout_share"+labels, nil).Set(share)
	set.GetOrCreateGauge("rollout_stage"+labels, nil).Set(float64(out.Stage))
	set.GetOrCreateGauge("rollout_evidence"+labels, nil).Set(verdict.Score)
	sum := out.Counts
	for side, c := range map[string]promoter.Count{"new": sum.New, "old": sum.Old} {
		for outcome, n := range map[string]uint64{"answered": c.Answers, "failed": c.Failures, "slow": c.Slow} {
			set.GetOrCreateGauge(`rollout_answers{service="`+string(o.pool)+`",version="`+side+`",outcome="`+outcome+`"}`, nil).Set(float64(n))
		}
	}
	fields := func(event int) []zap.Field {
		return []zap.Field{
			zap.Int("event", event), zap.String("service", string(o.pool)), zap.String("to", string(out.To)), zap.Stringer("stage", out.Stage),
			zap.Uint64("order", out.Split.Order), zap.Int64("age_ms", int64(o.state.Age(view.Now))), zap.Float64("share", share),
			zap.Float64("score", verdict.Score), zap.Bool("slow", verdict.Slow), zap.Uint32("route", uint32(verdict.Route)),
			zap.Float64("new_rate", verdict.New), zap.Float64("old_rate", verdict.Old), zap.Float64("bad", verdict.BadAnswers), zap.Int("bad_hosts", verdict.Hosts),
			zap.Uint64("new_answers", sum.New.Answers), zap.Uint64("old_answers", sum.Old.Answers),
			zap.Int("reports", out.Reports), zap.Int64("oldest_report_ms", int64(out.OldestReport)), zap.Int("hosts", view.Hosts),
			zap.Int("undrained", out.Undrained), zap.Bool("store_away", view.StoreAway),
		}
	}
	if out.Stage != o.stage && o.state.Order() != nil {
		o.stage, o.told = out.Stage, view.Now
		h.log.Info("rollout reaches a stage", append(fields(eventStage), zap.String("reason", o.state.Reason()))...)
		h.gossiper.SendSoon()
	}
	if running := out.Stage == promoter.Watch || out.Stage == promoter.Move; running && view.Now.Since(o.told) >= tellEvidence {
		o.told = view.Now
		h.log.Info("evidence of a rollout", fields(eventEvidence)...)
	}
}

// submit hands a due write to the writer after a random delay, within which another host may make it.
func (r *rollouts) submit(o *rollout, now sd.Instant, hosts int, out promoter.Output) {
	if out.Write == nil && out.State == "" {
		o.due, o.pause = 0, 0
		return
	}
	if o.writing {
		return
	}
	if o.due == 0 {
		spread := min(rolloutSpread*sd.Millis(max(hosts, 1)), maxRolloutSpread)
		o.due = now.Add(sd.Millis(rand.Int64N(int64(spread))))
	}
	if now < o.due {
		return
	}
	order := o.state.Order()
	stageKey := sd.RecordKey{Table: platform.RolloutTable, Key: string(o.pool)}
	w := rolloutWrite{rollout: o, decision: out.Write, state: out.State, to: out.To}
	// A row is written only for the order that is in force.
	w.update.Expect = []sd.Record{
		{RecordKey: platform.RolloutOrderKey(o.pool), Version: order.Row}, {RecordKey: stageKey, Version: out.Expect},
	}
	if out.Write != nil {
		value, err := json.Marshal(out.Write)
		if err != nil {
			return
		}
		w.update.Put = []sd.Record{{RecordKey: stageKey, Value: value}}
	} else {
		key := platform.RolloutStateKey(o.pool)
		w.update.Expect = append(w.update.Expect, sd.Record{RecordKey: key, Version: out.StateExpect})
		w.update.Put = []sd.Record{{RecordKey: key, Value: platform.EncodeRolloutState(out.State, out.To)}}
	}
	select {
	case r.writes <- w:
		o.writing = true
	default:
	}
}

// write makes the writes until ctx ends.
func (r *rollouts) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w := <-r.writes:
			r.commit(ctx, w)
		}
	}
}

func (r *rollouts) commit(ctx context.Context, w rolloutWrite) {
	h, o := r.host, w.rollout
	calling, cancel := context.WithTimeout(ctx, rolloutCall.Duration())
	page, err := h.relay.Commit(calling, w.update)
	cancel()
	r.lock.Lock()
	defer r.lock.Unlock()
	now := h.clock.Now()
	event, stage := eventRolloutState, string(w.state)
	if w.decision != nil {
		event, stage = eventRolloutRow, w.decision.Stage.String()
	}
	fields := []zap.Field{zap.Int("event", event), zap.String("service", string(o.pool)), zap.String("state", stage), zap.Uint64("version", page.Version)}
	o.writing = false
	switch {
	case err == nil:
		h.log.Info("row of a rollout is written", fields...)
		if w.decision != nil {
			o.state.SetDecision(now, *w.decision, page.Version)
		} else {
			o.state.SetState(w.state, w.to, page.Version)
		}
		o.due, o.pause = 0, 0
	case errorx.IsOfType(err, sd.Conflict):
		// The page holds the rows as they are. The order's row is followed by its own watch.
		for _, record := range page.Records {
			switch record.RecordKey {
			case sd.RecordKey{Table: platform.RolloutTable, Key: string(o.pool)}:
				r.setDecision(o, record)
			case platform.RolloutStateKey(o.pool):
				r.setState(o, record)
			}
		}
		o.pause = min(max(2*o.pause, rolloutTick), storePause)
		o.due = now.Add(jitter(o.pause))
	default:
		o.pause = min(max(2*o.pause, rolloutTick), longestPause/2)
		o.due = now.Add(jitter(o.pause))
		h.log.Warn("row of a rollout is not written", append(fields, zap.Int64("retry_ms", int64(o.pause)), zap.Error(err))...)
	}
	r.step(o, now)
}
