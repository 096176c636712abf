package launcher

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/admitter"
	"sapphiredrum.example/sapphiredrum/dispatcher"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/forwarder"
	"sapphiredrum.example/sapphiredrum/granter"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/leaser"
	"sapphiredrum.example/sapphiredrum/limiter"
	"sapphiredrum.example/sapphiredrum/loader"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/performer"
	"sapphiredrum.example/sapphiredrum/picker"
	"sapphiredrum.example/sapphiredrum/placer"
	"sapphiredrum.example/sapphiredrum/recorder"
	"sapphiredrum.example/sapphiredrum/server"
)

// Numbers of the events that this package logs.
const (
	eventStarts    = 500
	eventListens   = 501
	eventDrains    = 502
	eventDrained   = 503
	eventStops     = 504
	eventTakeover  = 505
	eventHandOver  = 506
	eventCopyFails = 507
)

// Outside are the systems that a host works with.
type Outside struct {
	Table   sd.Table
	Objects sd.ObjectStore
	Roster  sd.MemberList
	Targets sd.TargetClients
	Clock   sd.Clock
	Log     *zap.Logger
	// Client carries messages to peers; nil means a client of the host's own.
	Client *messenger.Client
}

// Host is one entry host. New makes one and Run runs it once.
type Host struct {
	settings    loader.Settings
	outside     Outside
	incarnation sd.Incarnation

	client    *messenger.Client
	leaser    *leaser.Runner
	follower  *follower.Follower
	admitter  *admitter.Admitter
	granter   *granter.Granter
	seeker    *granter.PermitClient
	performer *performer.Performer
	forwarder *forwarder.Forwarder
	recorder  *recorder.Recorder
	copier    *copier
	takeovers *takeovers
	beats     *beats
	members   *members
	meter     *meter
	streams   server.Streams
	activity  activity
	ready     atomic.Bool
}

// New builds a host that does nothing until Run.
func New(settings loader.Settings, outside Outside) *Host {
	settings = complete(settings)
	h := &Host{settings: settings, outside: outside, incarnation: sd.NewIncarnation(), client: outside.Client}
	if h.client == nil {
		h.client = messenger.NewClient(nil)
	}
	h.activity.clock = outside.Clock
	h.members = &members{roster: outside.Roster}
	h.follower = follower.New(follower.Settings{Poll: settings.Poll}, outside.Table, outside.Objects, outside.Clock, outside.Log)
	h.leaser = leaser.NewRunner(leaseSettings(settings, h.incarnation), outside.Table, outside.Clock, outside.Log,
		relay{table: outside.Table, client: h.client})
	h.meter = newMeter(settings.Name, h.incarnation, outside.Clock)
	h.buildAccounts()
	h.buildGuards()
	h.buildPrograms()
	h.follower.Watch(func(config *follower.Config) {
		h.admitter.Configure(config)
		h.streams.Withdraw(config.Valid)
		h.meter.counters.Configure(config.Sheet.Levels)
	})
	return h
}

// buildAccounts makes what admits requests.
func (h *Host) buildAccounts() {
	h.admitter = admitter.New(admitter.Parts{
		Locator: locator{runner: h.leaser}, Config: h.follower.Current, Client: h.client, Clock: h.outside.Clock,
	}, limiter.Settings{}, h.incarnation)
}

// buildGuards makes what gives permits.
func (h *Host) buildGuards() {
	h.granter = granter.New(granter.Parts{
		Zone: h.settings.Zone, Locator: locator{runner: h.leaser}, Config: h.follower.Current,
		Leaving: h.members.Leaving, Targets: h.outside.Targets, Clock: h.outside.Clock,
		Client: h.client, Keeper: lives{host: h}, LatestEpoch: h.newest,
	})
}

// buildPrograms makes what keeps and runs programs.
func (h *Host) buildPrograms() {
	place := placer.New(placer.Parts{
		Zone: h.settings.Zone, Config: h.follower.Current, Clock: h.outside.Clock, Draw: rand.IntN,
		Chooser: picker.PrefixAffinity{Costs: picker.DefaultCosts(), HomeZone: h.settings.Zone},
	})
	h.seeker = granter.NewPermitClient(h.settings.Name, h.granter, locator{runner: h.leaser}, h.client, h.outside.Clock, place.RecordLoad)
	rules := recorder.DefaultRules
	rules.Writes = h.settings.Writes
	journal := &journal{}
	h.performer = performer.New(performer.Parts{
		Host: h.settings.Name, Zone: h.settings.Zone, Config: h.follower.Current,
		Admission: h.admitter, Journal: journal, Seeker: h.seeker, Placer: place,
		Dispatcher: &dispatcher.Dispatcher{Settings: dispatcher.DefaultSettings(), Draw: rand.IntN},
		Targets:    h.outside.Targets, Meter: h.meter, Clock: h.outside.Clock, Log: h.outside.Log,
	}, keeper.DefaultRules)
	h.recorder = recorder.New(recorder.Options{
		Rules: rules, Host: h.settings.Name, Incarnation: h.incarnation,
		Table: h.outside.Table, Objects: h.outside.Objects, Clock: h.outside.Clock, Log: h.outside.Log,
		Listener: journal, Timeout: orderTimeout,
	})
	h.copier = newCopier(h)
	journal.recorder, journal.copier, journal.performer = h.recorder, h.copier, h.performer
	h.takeovers = newTakeovers(h)
	journal.takeovers = h.takeovers
	h.forwarder = &forwarder.Forwarder{
		Parts: forwarder.Parts{
			Zone: h.settings.Zone, Locator: locator{runner: h.leaser}, Local: h.performer,
			Client: h.client, Config: h.follower.Current, Clock: h.outside.Clock, Refresh: h.leaser.Refresh,
		},
		Settings: forwardSettings(h.settings),
	}
	h.beats = &beats{
		settings: h.settings, runner: h.leaser, follower: h.follower, client: h.client,
		clock: h.outside.Clock, recent: make(map[sd.HostID]news),
	}
}

// Run serves until ctx ends, then drains and stops. It returns an error when the
// host could not listen or a part of it failed.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	h.outside.Log.Info("host starts", zap.Int("event", eventStarts), zap.String("host", string(h.settings.Name)),
		zap.String("zone", string(h.settings.Zone)), zap.Stringer("incarnation", h.incarnation))
	var group run.Group
	h.addDrain(ctx, &group)
	for _, l := range listeners {
		h.addServer(&group, l)
	}
	// The recorder comes before the others, so that what they end with is stored.
	group.Add(func() error { return h.recorder.Run(context.WithoutCancel(ctx)) }, func(error) { h.recorder.Close() })
	for _, loop := range []func(context.Context) error{
		h.leaser.Run, h.follower.Run, h.admitter.Run, h.granter.Run, h.seeker.Run,
		h.beats.run, h.members.run, h.copier.run, h.takeovers.run, h.upkeep,
	} {
		addLoop(ctx, &group, loop)
	}
	err = group.Run()
	h.performer.Close()
	h.seeker.Close()
	h.client.Close()
	h.outside.Log.Info("host stops", zap.Int("event", eventStops), zap.Error(err))
	return err
}

// addLoop adds a loop that ends when the group is interrupted.
func addLoop(ctx context.Context, group *run.Group, loop func(context.Context) error) {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { return loop(inner) }, func(error) { cancel() })
}

// addDrain adds the actor that waits for ctx and drains the host. All others are
// interrupted when it returns.
func (h *Host) addDrain(ctx context.Context, group *run.Group) {
	stop := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
			h.drain()
		case <-stop:
		}
		return nil
	}, func(error) { close(stop) })
}

// drain hands the host's shards over and lets running requests end. It goes on
// serving until no caller has come for a while: the balancer needs time to see
// that the host is not ready.
func (h *Host) drain() {
	h.outside.Log.Info("host drains", zap.Int("event", eventDrains), zap.Int("open", h.streams.Count()))
	h.ready.Store(false)
	h.activity.leave()
	deadline := h.outside.Clock.Now().Add(h.settings.Drain)
	h.leaser.Leave()
	for h.outside.Clock.Now() < deadline {
		if h.leaser.Drained() && h.activity.quiet() >= h.settings.Linger {
			break
		}
		time.Sleep(drainStep.Duration())
	}
	h.outside.Log.Info("host drained", zap.Int("event", eventDrained),
		zap.Bool("handed_over", h.leaser.Drained()), zap.Int("open", h.streams.Count()))
}

// upkeep does what has to be done now and then until ctx ends.
func (h *Host) upkeep(ctx context.Context) error {
	ticker := time.NewTicker(upkeepInterval.Duration())
	defer ticker.Stop()
	for {
		h.admitter.RenewLease(h.leaser.Deadline())
		h.recorder.SetLive(h.liveHosts())
		h.performer.Expire()
		h.meter.sample()
		h.ready.Store(h.isReady(ctx))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// isReady reports whether callers may come: a configuration is in force, the
// host holds its lease and does not leave.
func (h *Host) isReady(ctx context.Context) bool {
	return ctx.Err() == nil && h.follower.Current().Revision > 0 && h.leaser.Deadline() > h.outside.Clock.Now()
}

// liveHosts estimates the number of live hosts in all zones.
func (h *Host) liveHosts() int {
	hosts := map[sd.HostID]bool{h.settings.Name: true}
	for _, owner := range h.leaser.Owners() {
		hosts[owner.Host] = true
	}
	for _, m := range h.leaser.Members() {
		hosts[m.Host] = true
	}
	return len(hosts)
}

const (
	drainStep      = 20 * sd.Millisecond
	upkeepInterval = 200 * sd.Millisecond
)
