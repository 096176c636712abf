package estimator

import (
	"encoding/json"
	"fmt"
	"slices"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/granter"
	"sapphiredrum.example/sapphiredrum/limiter"
)

const secondsPerDay = 86_400

// newSheet returns a sheet of the target's zones and models.
func newSheet(workspaces, targets, cells int) sapphiredrum.Config {
	var s sapphiredrum.Config
	for i := range Target.Zones {
		s.Zones = append(s.Zones, sapphiredrum.Zone{Name: zoneName(i), Region: "region-1"})
	}
	for i := range workspaces {
		s.Workspaces = append(s.Workspaces, sapphiredrum.Workspace{ID: workspaceName(i), Tier: sapphiredrum.Tier(i % 3), Rate: 21.4, Burst: 40, Budget: 1 << 22, Weight: 1})
		for k := range KeysPerWorkspace {
			id := sapphiredrum.KeyID(fmt.Sprintf("%s-%d", workspaceName(i), k))
			s.Keys = append(s.Keys, sapphiredrum.APIKey{ID: id, Workspace: workspaceName(i), Digest: follower.Digest(string(id))})
		}
	}
	for i := range Target.Models {
		group := fmt.Sprintf("model-%02d", i)
		s.Routes = append(s.Routes, sapphiredrum.Route{Name: sapphiredrum.RouteName(group), Path: "/" + group, Kind: sapphiredrum.ModelRoute, Group: sapphiredrum.GroupName(group), Model: sapphiredrum.ModelName(group), Idempotent: true, Timeout: 600_000})
	}
	for i := range targets {
		s.Targets = append(s.Targets, sapphiredrum.Target{
			ID: targetName(i), Address: address(i), Zone: zoneName(i % Target.Zones), Group: sapphiredrum.GroupName(fmt.Sprintf("model-%02d", i/Target.Zones%Target.Models)),
			Fenced: true, Slots: slotsPerRunner, ColdSlots: 8, WarmUp: 60_000, CacheCapacity: 1 << 22,
		})
	}
	s.Policy = sapphiredrum.Policy{Order: "working", AgingLimit: 90_000, PrefixHold: 60_000, MaxQueueTime: 60_000, CellsPerGroup: cells}
	return s
}

// sheets measures the follower of configurations.
func sheets(t Size) Role {
	r := Role{
		Name:       "follower",
		State:      "the sheet in force with its indexes, and the limiter's plans of the last six seconds",
		Mechanism:  "one row names the sheet's object; hosts poll the row each second, and heartbeats tell a new revision; the sheet is fetched whole",
		Unmeasured: "the time until a change is in force everywhere (no run with 410 hosts); the reading of the list of live machines, whose size the platform sets",
	}
	sizes := []int{100, 300, 600}
	scaled := func(n int) sapphiredrum.Config { return newSheet(n*t.Workspaces/t.Runners, n, 8) }
	bytes := r.measure("sheet, as JSON", "bytes", "targets (workspaces in proportion)", sizes, func(n int) float64 { return size(scaled(n)) })
	time := r.measure("decode, index and configure the limiter", "us", "targets (workspaces in proportion)", sizes, func(n int) float64 {
		text, _ := json.Marshal(scaled(n))
		s := limiter.New(limiter.Settings{}, 1)
		s.AddShard(0, keptShard, 1, true)
		return cost(func(i int) {
			var sheet sapphiredrum.Config
			_ = json.Unmarshal(text, &sheet)
			config := follower.NewConfig(sapphiredrum.Revision(i+1), sheet)
			s.Configure(sapphiredrum.Instant(i)*10_000, config.Revision, sheet.Workspaces, sheet.Zones)
		})
	})
	state := r.measure("state of a sheet in force", "bytes", "targets (workspaces in proportion)", sizes, func(n int) float64 {
		text, _ := json.Marshal(scaled(n))
		return weigh(func() *follower.Config {
			var sheet sapphiredrum.Config
			_ = json.Unmarshal(text, &sheet)
			return follower.NewConfig(1, sheet)
		})
	})
	r.atSheet(t, bytes, time, state)
	return r
}

// atSheet adds the follower's figures at a size.
func (r *Role) atSheet(t Size, bytes, time, state Line) {
	n, hosts := float64(t.Runners), float64(t.Hosts)
	changes := t.Changes / secondsPerDay
	r.add(Memory, Standing, 2*state.At(n), "2 x %.0f bytes: the old and the new sheet", state.At(n))
	r.add(Processor, Standing, changes*time.At(n), "%.4f changes/s x %.0f us", changes, time.At(n))
	r.add(Traffic, Standing, changes*bytes.At(n)+2*(HeaderBytes+ReplyBytes+150), "%.4f changes/s x %.0f bytes + 2 polls/s (row and list of machines) x %d bytes", changes, bytes.At(n), HeaderBytes+ReplyBytes+150)
	r.add(Exchanges, Standing, 2, "the head row and the list of live machines, each once a second")
	r.add(Reads, Standing, hosts, "the head row once a second x %d hosts", t.Hosts)
	r.add(Reads, Standing, hosts, "the list of live machines once a second x %d hosts, if the platform counts it", t.Hosts)
	r.add(Reads, Standing, changes*hosts, "%.4f changes/s x %d fetches", changes, t.Hosts)
	r.add(Writes, Standing, 3*changes, "%.4f changes/s x an object and two rows", changes)
	r.peak(Reads, Standing, hosts, "all hosts fetch a sheet within the second after a change: %.0f MB from the object store", hosts*bytes.At(n)/1e6)
	r.peak(Processor, Standing, time.At(n), "in the second of a change")
}

// cells adds how evenly targets fall on cells and cells on shards.
func (r *Role) cells(t Size) {
	for _, cells := range []int{1, 2, 4, 8, 16} {
		config := follower.NewConfig(1, newSheet(1, t.Runners, cells))
		var targets, shards, number []int
		for z := range t.Zones {
			perCell, perShard, all := spread(config, zoneName(z))
			targets, shards, number = append(targets, perCell), append(shards, perShard), append(number, all)
		}
		polled := float64(slices.Max(shards)) * loadPolls
		r.peak(Traffic, Standing, polled*(size(report(0))+(size(report(int(HeldPrograms)))-size(report(0)))/wholeReports+2*(HeaderBytes+ReplyBytes)),
			"Cells = %d: load reports of %d targets under the guards of one shard (at most %d cells in a zone, %d targets in a cell)",
			cells, slices.Max(shards), slices.Max(number), slices.Max(targets))
	}
}

// spread returns the most targets of a cell and of a shard, and the cells of a
// zone.
func spread(config *follower.Config, zone sapphiredrum.ZoneName) (perCell, perShard, cells int) {
	shards := map[sapphiredrum.ShardID]int{}
	all := granter.CellsOf(config, zone, "")
	for _, id := range all {
		n := 0
		for _, target := range config.Targets(zone, id.Group) {
			if granter.CellNumber(target.ID, config.Sheet.Policy.CellsPerGroup) == id.Number {
				n++
			}
		}
		shards[granter.ShardOf(id)] += n
		perCell = max(perCell, n)
		perShard = max(perShard, shards[granter.ShardOf(id)])
	}
	return perCell, perShard, len(all)
}
