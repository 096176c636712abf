package starter

import (
	"context"
	"encoding/json"
	"sync"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/allotter"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/gossiper"
	"sapphiredrum.example/sapphiredrum/meterer"
	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/receiver"
)

// operatorChanged takes a new plan and evacuations.
func (h *Host) operatorChanged(records []sd.Record) {
	// Orders come first: a host that starts must not serve by the plan before it knows them.
	h.rollouts.ordersChanged(records)
	for _, record := range records {
		if zone, ok := platform.Evacuated(record); ok {
			h.log.Info("evacuation", zap.Int("event", eventEvacuation), zap.String("zone", string(zone)),
				zap.Bool("out", !record.Removed), zap.Uint64("version", record.Version))
			h.gate.Update(func(s *balancer.State, _ sd.Instant) { s.SetEvacuated(zone, !record.Removed) })
			continue
		}
		if !platform.IsPlan(record) || record.Removed {
			continue
		}
		plan, err := platform.DecodePlan(record.Value)
		if err != nil {
			h.log.Error("plan cannot be used", zap.Int("event", eventPlanBad), zap.Uint64("version", record.Version), zap.Error(err))
			continue
		}
		if len(plan.Skipped) > 0 {
			h.log.Error("plan is used without what cannot be read", zap.Int("event", eventPlanBad), zap.Uint64("version", record.Version),
				zap.Strings("skipped", plan.Skipped))
		}
		h.planLock.Lock()
		newest := h.table == nil || h.table.FleetConfig.Revision < plan.Revision
		if newest {
			h.table = receiver.NewRoutingTable(plan)
		}
		h.planLock.Unlock()
		if !newest {
			continue
		}
		h.gate.Update(func(s *balancer.State, _ sd.Instant) {
			s.Configure(plan.Pools)
			s.ConfigureRules(plan.Rules)
		})
		h.meter.update(func(s *meterer.State, now sd.Instant) { s.Configure(now, plan.Workspaces) })
		h.callers.setIdleLimit(plan.Limits.IdleTimeout)
		h.callers.setHeadLimit(plan.Limits.MaxHeaderBytes)
		h.enforce()
		h.log.Info("plan in force", zap.Int("event", eventPlan), zap.Uint64("revision", uint64(plan.Revision)),
			zap.Uint64("version", record.Version), zap.Int("rules", len(plan.Rules)), zap.Int("keys", len(plan.Keys)), zap.Bool("waits", !h.knows()))
	}
}

// enforce puts the newest plan in force once the other hosts are known: one that does not
// know them would take the whole of what all may take together.
func (h *Host) enforce() {
	h.planLock.Lock()
	defer h.planLock.Unlock()
	if h.known && h.table != nil && h.receiver.RoutingTable() != h.table {
		h.receiver.SetRoutingTable(h.table)
	}
}

// knows reports whether this host has read which others there are.
func (h *Host) knows() bool {
	h.planLock.Lock()
	defer h.planLock.Unlock()
	return h.known
}

// targetsChanged takes registrations. One that lapsed while the store was away
// counts until its target has had time to return.
func (h *Host) targetsChanged(records []sd.Record) {
	until, hold := h.outage.grace(h.clock.Now(), 2*h.settings.Beat)
	h.gate.Update(func(s *balancer.State, _ sd.Instant) {
		for _, record := range records {
			id := sd.TargetID(record.Key)
			if record.Removed {
				if hold {
					h.lapsed.add(id, until)
					continue
				}
				s.Remove(id)
				h.log.Info("target gone", zap.Int("event", eventTargetGone), zap.String("target", record.Key), zap.Uint64("version", record.Version))
				continue
			}
			h.lapsed.drop(id)
			registration, err := platform.DecodeTarget(record)
			if err != nil {
				s.Remove(id)
				h.log.Warn("registration cannot be used", zap.Int("event", eventTargetBad), zap.String("target", record.Key), zap.Error(err))
				continue
			}
			if s.Register(registration) {
				h.log.Info("target found", zap.Int("event", eventTarget), zap.String("target", record.Key),
					zap.String("pool", string(registration.Pool)), zap.String("address", string(registration.Address)),
					zap.String("zone", string(registration.Zone)), zap.Bool("leaving", registration.Leaving), zap.Uint64("version", record.Version))
			}
		}
	})
	h.targets.Store(true)
}

// peersChanged takes the rows of other hosts.
func (h *Host) peersChanged(records []sd.Record) {
	h.allotter.Change(records)
	for _, record := range records {
		if allotter.Owns(record.Key) || h.rollouts.stateChanged(record) {
			continue
		}
		h.rowLock.Lock()
		h.rows[sd.HostID(record.Key)] = sd.Record{RecordKey: record.RecordKey, Version: record.Version}
		h.rowLock.Unlock()
		if sd.HostID(record.Key) == h.settings.Host {
			h.publisher.observe(record)
			continue
		}
		if record.Removed {
			h.gossiper.Remove(sd.HostID(record.Key))
			h.meter.update(func(s *meterer.State, _ sd.Instant) { s.RemoveHost(sd.HostID(record.Key)) })
			h.rollouts.removeHost(sd.HostID(record.Key))
			continue
		}
		var row platform.PeerRow
		if err := json.Unmarshal(record.Value, &row); err != nil || row.Host == "" {
			h.log.Warn("row of a host cannot be used", zap.Int("event", eventPublish), zap.String("host", record.Key), zap.Error(err))
			continue
		}
		h.gossiper.Set(gossiper.Peer{Host: row.Host, Zone: row.Zone, Address: row.Address, Incarnation: row.Incarnation, Cores: row.Power})
	}
	hosts, reach := h.gossiper.Hosts(), h.gossiper.ReachableHosts(nil)
	h.gate.Update(func(s *balancer.State, _ sd.Instant) { s.SetHostCount(hosts) })
	h.meter.update(func(s *meterer.State, now sd.Instant) { s.SetHostCounts(now, hosts, reach) })
	h.planLock.Lock()
	h.known = true
	h.planLock.Unlock()
	h.enforce()
}

// peersRead takes that a read of the table of hosts, sent at the given time, was answered.
func (h *Host) peersRead(sent sd.Instant) {
	h.publisher.markListed()
	h.allotter.MarkRead(sent)
}

// publish keeps this host's row until ctx ends.
func (h *Host) publish(ctx context.Context) error {
	if err := h.publisher.run(ctx); err != nil {
		return err
	}
	// The host drains after the row was removed.
	<-ctx.Done()
	return ctx.Err()
}

// outage tells when no host in reach last reached the store, and for how long.
type outage struct {
	lock         sync.Mutex
	away         bool
	began, ended sd.Instant
}

func (o *outage) observe(now sd.Instant, away bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if away && !o.away {
		o.began = now
	}
	if away {
		o.ended = now
	}
	o.away = away
}

// grace returns until when lapsed registrations count, if the last outage was
// long enough for registrations to lapse in it.
func (o *outage) grace(now sd.Instant, least sd.Millis) (sd.Instant, bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	until := o.ended.Add(returnGrace)
	return until, o.ended > 0 && o.ended.Since(o.began) >= least && now < until
}

// lapsed holds targets whose registrations lapsed while the store was away.
type lapsed struct {
	lock  sync.Mutex
	until map[sd.TargetID]sd.Instant
}

func (l *lapsed) add(id sd.TargetID, until sd.Instant) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.until == nil {
		l.until = map[sd.TargetID]sd.Instant{}
	}
	l.until[id] = until
}

func (l *lapsed) drop(id sd.TargetID) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.until, id)
}

func (l *lapsed) due(now sd.Instant) []sd.TargetID {
	l.lock.Lock()
	defer l.lock.Unlock()
	var list []sd.TargetID
	for id, until := range l.until {
		if now >= until {
			list = append(list, id)
			delete(l.until, id)
		}
	}
	return list
}

// lapse removes the targets that have not returned in time.
func (h *Host) lapse(ctx context.Context) error {
	for pause(ctx, storePause) {
		due := h.lapsed.due(h.clock.Now())
		if len(due) == 0 {
			continue
		}
		h.gate.Update(func(s *balancer.State, _ sd.Instant) {
			for _, id := range due {
				s.Remove(id)
				h.log.Info("target has not returned", zap.Int("event", eventTargetGone), zap.String("target", string(id)))
			}
		})
	}
	return ctx.Err()
}
