package starter

import (
	"bytes"
	"context"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"github.com/oklog/run"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/allotter"
	"sapphiredrum.example/sapphiredrum/archiver"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/meterer"
	"sapphiredrum.example/sapphiredrum/observer"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/receiver"
	"sapphiredrum.example/sapphiredrum/relayer"
	"sapphiredrum.example/sapphiredrum/reserver"
	"sapphiredrum.example/sapphiredrum/screener"
	"sapphiredrum.example/sapphiredrum/tunneler"
)

// Events of this package; docs/EVENTS.md lists them.
const (
	eventStarts     = 650
	eventPlan       = 651
	eventPlanBad    = 652
	eventTarget     = 653
	eventTargetGone = 654
	eventTargetBad  = 655
	eventEvacuation = 656
	eventReload     = 657
	eventDrains     = 658
	eventStops      = 659
	eventPublish    = 660
	eventCounts     = 661
	eventIsolated   = 662
	eventSuspended  = 665
	eventOmitted    = 666
)

const (
	// cacheShare is the part of the host's memory that turns may take.
	cacheShare = 0.2
	// memoryShare is the part of the host's memory that the runtime may use before
	// it collects garbage at any price.
	memoryShare = 0.7
	// keepTurns is how long turns and accounts stay in memory; as long as callers
	// usually may go on from a turn.
	keepTurns = 60 * sd.Second
	// planWait, crashWait and targetWait are how long watches wait: under the time in which
	// a change must be in force, as a connection may fall silent.
	planWait   = 1300 * sd.Millisecond
	crashWait  = 1300 * sd.Millisecond
	targetWait = sd.Second
	// targetPace is the part of the drain time that may pass between two reads of
	// the targets, which change many times a second.
	targetPace = 0.35
	// tunnelIdle is the part of the drain time for which an idle tunnel may be used.
	tunnelIdle = 0.5
	// peerWait is how long the watch of the hosts waits; peerPace the least time between two
	// reads, as hundreds of hosts may start together.
	peerWait = 3 * sd.Second
	peerPace = 250 * sd.Millisecond
	// sweepEvery is how often hosts that are gone are looked for.
	sweepEvery = 5 * sd.Second
	// goneAfter is the silence after which a host counts as gone for good; it is
	// several times the longest cut that operators plan for.
	goneAfter = 30 * sd.Second
	// cutOffLimit is how long a host that is cut off admits requests. It is shorter than
	// goneAfter by more than hosts take to notice a cut, as the others use its share after that.
	cutOffLimit = 20 * sd.Second
	// toldFor is the number of rounds in which a changed count is told: datagrams may
	// be lost.
	toldFor = 5
	// longRun is how long another host must have run to tell that this one did not start
	// together with all others: longer than what a cold target has got counts.
	longRun = 1500 * sd.Millisecond
	// tellEvery is how often the counters are logged.
	tellEvery = 10 * sd.Second
	// targetSilence is how long a target may take to begin its answer before the path to it
	// is checked: longer than nearly all answers take.
	targetSilence = 300 * sd.Millisecond
	// storePause is the first pause after a failed write of this host's row, longestPause the
	// last, at which hundreds of hosts stay below half of what a part of the store bears.
	storePause   = 300 * sd.Millisecond
	longestPause = 4 * sd.Second
	// returnGrace is how long after the store's return lapsed registrations still
	// count: targets that live are registered again within two seconds.
	returnGrace = 2100 * sd.Millisecond
)

// Host is one entry host. New makes one, Run runs it once.
type Host struct {
	settings    platform.Settings
	path        string
	clock       sd.Clock
	log         *zap.Logger
	incarnation sd.Incarnation

	client    *platform.Client
	peers     *messenger.Client
	relay     *relayer.Relay
	gossiper  *gossiper.Gossiper
	gate      *receiver.TargetQueue
	meter     *meter
	archive   *archiver.Archive
	allotter  *allotter.Allotter
	screener  *screener.Screener
	exchanger *exchanger.Exchanger
	tunneler  *tunneler.Tunneler
	receiver  *receiver.Receiver
	measures  *receiver.Metrics
	budget    *reserver.Budget
	// callers, peerConns and readyConns are the connections to this host's ports.
	callers, peerConns, readyConns *connections
	lapsed                         lapsed
	outage                         outage

	rowLock sync.Mutex
	// rows holds the versions of the hosts' rows.
	rows map[sd.HostID]sd.Record

	planLock sync.Mutex
	// table is that of the newest plan; it is in force once the other hosts are known.
	table *receiver.RoutingTable
	known bool

	publisher *publisher
	rollouts  *rollouts
	// removalAge is the silence after which the rows of other hosts are removed.
	removalAge sd.Millis
	// cutoff tells how long this host has been cut off, suspendAfter after what time of that
	// it admits nothing.
	cutoff       cutoff
	suspendAfter sd.Millis

	draining atomic.Bool
	targets  atomic.Bool
	// alone tells that the host was cut off when it last looked.
	alone atomic.Bool
}

// New builds a host that does nothing until Run. Path names its settings file.
func New(settings platform.Settings, path string, log *zap.Logger) *Host {
	return newHost(settings, path, exchanger.Direct(), log)
}

// newHost builds a host that reaches targets through dialer.
func newHost(settings platform.Settings, path string, dialer sd.Dialer, log *zap.Logger) *Host {
	h := &Host{
		settings: settings, path: path, clock: sd.NewClock(), log: log, incarnation: sd.NewIncarnation(),
		measures: receiver.NewMetrics(), rows: map[sd.HostID]sd.Record{}, removalAge: goneAfter, suspendAfter: cutOffLimit,
	}
	debug.SetMemoryLimit(int64(float64(settings.Memory) * memoryShare))
	limits := divide(settings)
	budget := receiver.BudgetSettings(settings.Memory)
	budget.Requests = limits.callers
	h.budget = reserver.New(budget, h.clock)
	h.callers = newConnections(limits.callers, h.budget, h.clock)
	h.callers.forRequests = true
	h.peerConns, h.readyConns = newConnections(limits.peers, h.budget, h.clock), newConnections(readyConnections, h.budget, h.clock)
	h.peerConns.setHeadLimit(peerHeadBytes)
	h.readyConns.setHeadLimit(peerHeadBytes)
	h.client = platform.NewClient(settings.Store)
	h.peers = messenger.NewClient(nil)
	h.peers.Budget = h.budget
	h.gossiper = &gossiper.Gossiper{
		Self: gossiper.Peer{Host: settings.Host, Zone: settings.Zone, Address: settings.Peers, Incarnation: h.incarnation, Cores: settings.Power},
		Fill: h.fill, OnHeartbeat: h.heard, Clock: h.clock, Log: log,
	}
	h.relay = relayer.New(h.client, h.gossiper.Alive, settings.Zone, h.peers, h.clock, log)
	h.relay.Know(archiver.AllParts()...)
	h.relay.Changed, h.gossiper.OnStoreUnreachable = h.gossiper.SendSoon, h.relay.Suspect
	h.publisher = newPublisher(h.relay, platform.PeerTable, platform.PeerRow{
		Host: settings.Host, Zone: settings.Zone, Address: settings.Peers, Incarnation: h.incarnation, Power: settings.Power,
	}, log)
	h.tunneler = tunneler.New(tunneler.Config{
		Direct: dialer, Zone: settings.Zone, Peers: func() []gossiper.Peer { return h.gossiper.Alive(false) }, Targets: h.targetAddresses,
		Changed: h.gossiper.SendSoon, MaxIdle: sd.Millis(tunnelIdle * float64(settings.Drain)), Budget: h.budget, Clock: h.clock, Log: log,
	})
	h.exchanger = exchanger.New(exchanger.Settings{Clock: h.clock, Dialer: h.tunneler, Silence: targetSilence, Budget: h.budget, Total: limits.idle})
	h.gate = receiver.NewTargetQueue(balancer.Settings{
		Host: settings.Host, Zone: settings.Zone, ColdRateFactor: settings.ColdOver, ColdSlack: settings.ColdSlack,
		ColdUnlimited: !settings.ColdLimited,
		Connected:     h.exchanger.HasIdle,
	}, h.clock)
	h.meter = &meter{clock: h.clock, state: meterer.New(meterer.Settings{
		Window: settings.RateWindow, ExcessFraction: settings.RateOver, Slack: settings.RateSlack,
	})}
	h.allotter = allotter.New(allotter.Config{
		Host: settings.Host, Incarnation: h.incarnation, Store: h.relay, Table: platform.PeerTable,
		Alive: func() []gossiper.Peer { return h.gossiper.Alive(false) }, Sweeps: h.sweeps, Client: h.peers, Clock: h.clock, Log: log,
	})
	h.screener = screener.New(screener.Config{Store: h.relay, Table: platform.CrashTable, Sweeps: h.sweeps, Clock: h.clock, Log: log})
	h.archive = archiver.New(archiver.Settings{
		CacheCapacity: sd.Bytes(float64(settings.Memory) * cacheShare), Retention: keepTurns, Budget: h.budget,
	}, h.relay, archiver.Peers{
		Self: h.gossiper.Self, Alive: func() []gossiper.Peer { return h.gossiper.Alive(false) }, HostCount: h.gossiper.Hosts,
		StoreUnreachable: h.relay.Away, Client: h.peers, Budgets: h.allotter,
	}, h.clock, log)
	h.rollouts = newRollouts(h)
	h.receiver = receiver.New(receiver.Config{
		Clock: h.clock, Log: log, RateLimiter: h.meter, TargetQueue: h.gate, Archive: h.archive, Allotter: h.allotter, Screener: h.screener, Exchanger: h.exchanger,
		Metrics: h.measures, Memory: settings.Memory, Budget: h.budget,
	})
	h.count()
	return h
}

// Run serves until ctx ends, then drains. Errors are those of the ports.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info("host starts", zap.Int("event", eventStarts), zap.String("host", string(h.settings.Host)),
		zap.String("zone", string(h.settings.Zone)), zap.String("callers", string(h.settings.Callers)),
		zap.Stringer("incarnation", h.incarnation))
	if h.settings.Omitted != "" {
		h.log.Info("settings omitted", zap.Int("event", eventOmitted), zap.String("keys", h.settings.Omitted),
			zap.Bool("cold_limit", h.settings.ColdLimited))
	}
	// Work goes on until the drain has ended.
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	add := func(f func(context.Context) error) {
		inner, cancel := context.WithCancel(working)
		group.Add(func() error { return f(inner) }, func(error) { cancel() })
	}
	add(h.gossiper.Run)
	add(h.gate.Run)
	add(h.archive.Run)
	add(h.allotter.Run)
	add(h.screener.Run)
	add(h.tunneler.Run)
	add(h.callers.run)
	add(h.tellLimits)
	add(h.publish)
	add(h.sweepHosts)
	add(h.reload)
	add(h.follow(platform.OperatorTable, planWait, 0, h.operatorChanged))
	add(h.follow(platform.TargetTable, targetWait, sd.Millis(targetPace*float64(h.settings.Drain)), h.targetsChanged))
	add(h.follow(platform.CrashTable, crashWait, 0, h.screener.Change))
	add(h.followPeers)
	if settings := h.settings; settings.RolloutsBounded {
		add(h.rollouts.run)
		add(h.rollouts.write)
		add(h.rollouts.follow)
	}
	add(h.lapse)
	add(h.tell)
	add(func(inner context.Context) error { return h.serve(inner, ctx) })
	err := group.Run()
	h.exchanger.Close()
	h.tunneler.Close()
	h.peers.Close()
	h.client.Close()
	h.log.Info("host stops", zap.Int("event", eventStops), zap.Error(err))
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (h *Host) follow(table string, wait, pace sd.Millis, changed func([]sd.Record)) func(context.Context) error {
	f := &observer.Follower{Store: h.relay, Table: table, Wait: wait, Pace: pace, Changed: changed, Log: h.log}
	return f.Run
}

// followPeers follows the rows of hosts and of the allotter.
func (h *Host) followPeers(ctx context.Context) error {
	f := &observer.Follower{
		Store: h.relay, Table: platform.PeerTable, Wait: peerWait, Pace: peerPace, Changed: h.peersChanged, Read: h.peersRead,
		Clock: h.clock, Log: h.log,
	}
	return f.Run(ctx)
}

// fill completes a beat.
func (h *Host) fill(beat *gossiper.Heartbeat) {
	beat.ReachesStore, beat.Leaving, beat.Detached = h.relay.Reaches(), h.draining.Load(), h.tunneler.Detached()
	h.exchanger.Sweep()
	h.outage.observe(h.clock.Now(), h.relay.Away())
	if t := h.receiver.RoutingTable(); t != nil {
		beat.Revision = t.FleetConfig.Revision
	}
	beat.Rollouts = h.rollouts.reports()
	silent := h.gossiper.SilentZones()
	silentHosts := h.gossiper.HostsOf(silent)
	hosts, reach := h.gossiper.Hosts(), h.gossiper.ReachableHosts(silent)
	known := h.knows()
	h.gate.Update(func(s *balancer.State, now sd.Instant) {
		s.SetUnreachableZones(silent, silentHosts)
		beat.Inflight, beat.Sent = s.LocalLoad(now)
		tokens := s.LocalTokens(now)
		beat.Unread, beat.Tokens, beat.WorkTimes = tokens.Unread, tokens.InFlight, tokens.WorkTimes
	})
	suspended := h.suspended()
	h.meter.update(func(s *meterer.State, now sd.Instant) {
		if known {
			s.SetHostCounts(now, hosts, reach)
		}
		s.SetSuspended(now, suspended)
		beat.Admitted = s.AdmissionCounts(now, toldFor*h.gossiper.Interval())
	})
}

// heard takes another host's beat.
func (h *Host) heard(beat gossiper.Heartbeat) {
	h.rollouts.hear(beat)
	ran := sd.Millis(beat.Number) * h.gossiper.Interval()
	h.gate.Update(func(s *balancer.State, now sd.Instant) {
		s.ReportPeerLoad(now, beat.Host, beat.Inflight, beat.Sent)
		s.ReportPeerTokens(now, beat.Host, balancer.Tokens{Unread: beat.Unread, InFlight: beat.Tokens, WorkTimes: beat.WorkTimes})
		if ran >= longRun {
			s.MarkFleetRunning()
		}
	})
	h.meter.update(func(s *meterer.State, now sd.Instant) {
		s.ApplyPeerCounts(now, beat.Host, beat.Incarnation, beat.Number, beat.Admitted)
	})
}

// targetAddresses returns the addresses of the registered targets, except those that leave:
// they get no requests from this host, also not through its tunnels.
func (h *Host) targetAddresses() []sd.Address {
	var list []sd.Address
	for _, target := range h.gate.Targets() {
		if !target.Leaving {
			list = append(list, target.Address)
		}
	}
	return list
}

// isolated reports whether the host is cut off from most others and from the
// store: callers are served better elsewhere.
func (h *Host) isolated() bool {
	heard, hosts := h.heardHosts()
	isolated := 2*heard < hosts && h.relay.Away()
	if h.alone.Swap(isolated) != isolated {
		h.log.Warn("host is cut off, or no longer", zap.Int("event", eventIsolated), zap.Bool("cut_off", isolated),
			zap.Int("heard", heard), zap.Int("hosts", hosts))
	}
	return isolated
}

// ready reports whether the host may get new connections.
func (h *Host) ready() bool {
	return !h.draining.Load() && h.receiver.RoutingTable() != nil && h.targets.Load() && !h.isolated()
}

// meter guards the meterer's state.
type meter struct {
	clock sd.Clock
	lock  sync.Mutex
	state *meterer.State
}

func (m *meter) update(change func(s *meterer.State, now sd.Instant)) {
	m.lock.Lock()
	defer m.lock.Unlock()
	change(m.state, m.clock.Now())
}

// Admit implements receiver.Meter.
func (m *meter) Admit(workspace sd.WorkspaceID, begins bool) (v meterer.Decision) {
	m.update(func(s *meterer.State, now sd.Instant) { v = s.Admit(now, workspace, begins) })
	return v
}

// Return implements receiver.Meter.
func (m *meter) Return(workspace sd.WorkspaceID) {
	m.update(func(s *meterer.State, now sd.Instant) { s.Refund(now, workspace) })
}

// count joins the counters of the parts.
func (h *Host) count() {
	set := h.measures.Set
	h.exchanger.Opened = func(sd.Address) { set.GetOrCreateCounter("target_connections_total").Inc() }
	h.client.Called = func(call string) { set.GetOrCreateCounter(`store_calls_total{call="` + call + `"}`).Inc() }
	h.tunneler.Opened = func() { set.GetOrCreateCounter("tunnels_opened_total").Inc() }
	h.relay.Relayed = func() { set.GetOrCreateCounter("store_calls_relayed_total").Inc() }
	h.archive.OnCommit = func(took sd.Millis, err error) {
		set.GetOrCreateHistogram("store_commit_seconds").Update(float64(took) / float64(sd.Second))
		outcome := "done"
		switch {
		case errorx.IsOfType(err, sd.Conflict):
			outcome = "conflict"
		case err != nil:
			outcome = "failed"
		}
		set.GetOrCreateCounter(`store_commits_total{outcome="` + outcome + `"}`).Inc()
	}
	h.countLimits()
	set.NewGauge("peers", func() float64 { return float64(len(h.gossiper.Alive(false))) })
	set.NewGauge("tunnels_served", func() float64 { return float64(h.tunneler.Serving()) })
	set.NewGauge("target_connections_idle", func() float64 { return float64(h.exchanger.Idle()) })
	set.NewGauge("requests_refused_for_crashes", func() float64 { return float64(h.screener.Refused()) })
	set.NewGauge("accounts_waiting", func() float64 { return float64(h.archive.Waiting()) })
	set.NewGauge("turns_cached_bytes", func() float64 {
		_, bytes := h.archive.CacheUsage()
		return float64(bytes)
	})
	set.NewGauge("requests_queued", func() float64 {
		queued := 0
		h.gate.Update(func(s *balancer.State, _ sd.Instant) { queued = s.Queued() })
		return float64(queued)
	})
}

// tell logs the counters now and then, for those who have only the log.
func (h *Host) tell(ctx context.Context) error {
	for pause(ctx, tellEvery) {
		var page bytes.Buffer
		h.measures.Set.WritePrometheus(&page)
		var fields []zap.Field
		for line := range strings.Lines(page.String()) {
			name, value, found := strings.Cut(strings.TrimSpace(line), "} ")
			if found {
				name += "}"
			} else {
				name, value, found = strings.Cut(strings.TrimSpace(line), " ")
			}
			if found && !strings.Contains(name, "vmrange") {
				fields = append(fields, zap.String(name, value))
			}
		}
		h.log.Info("counts", append([]zap.Field{zap.Int("event", eventCounts)}, fields...)...)
	}
	return ctx.Err()
}

// handler answers the ports that hosts and the platform use.
func (h *Host) readyHandler(w http.ResponseWriter) {
	if h.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
