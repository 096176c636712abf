package leaser

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sapphiredrum.example/sapphiredrum"
)

// placement caches which host is preferred for each shard of a zone.
type placement struct {
	hosts  []sapphiredrum.HostID
	chosen [sapphiredrum.ShardsPerZone]sapphiredrum.HostID
}

// update computes the placement over hosts, which are in order. Each shard goes
// to the first host of its ranking that isn't full with shards that rank higher
// there, so no host is preferred for more than an even part, rounded up.
func (p *placement) update(hosts []sapphiredrum.HostID) {
	if len(p.hosts) > 0 && slices.Equal(p.hosts, hosts) {
		return
	}
	p.hosts = slices.Clone(hosts)
	p.chosen = [sapphiredrum.ShardsPerZone]sapphiredrum.HostID{}
	if len(hosts) == 0 {
		return
	}
	limit := (sapphiredrum.ShardsPerZone + len(hosts) - 1) / len(hosts)
	full := map[sapphiredrum.HostID][]int{}
	for n := range p.chosen {
		p.place(n, limit, full)
	}
	for host, shards := range full {
		for _, n := range shards {
			p.chosen[n] = host
		}
	}
}

// place offers a shard to hosts in the order of its ranking; a shard that it
// displaces is offered further down its own ranking.
func (p *placement) place(n, limit int, full map[sapphiredrum.HostID][]int) {
	order := ranking(strconv.Itoa(n), p.hosts)
	for len(order) > 0 {
		host := order[0]
		shards := append(full[host], n)
		if len(shards) <= limit {
			full[host] = shards
			return
		}
		worst := slices.MinFunc(shards, func(a, b int) int {
			return cmp.Or(cmp.Compare(score(strconv.Itoa(a), host), score(strconv.Itoa(b), host)), b-a)
		})
		full[host] = slices.DeleteFunc(shards, func(m int) bool { return m == worst })
		if worst != n {
			n, order = worst, ranking(strconv.Itoa(worst), p.hosts)
			order = order[slices.Index(order, host)+1:]
			continue
		}
		order = order[1:]
	}
}

// ranking orders hosts by their rendezvous hash with key, highest first.
func ranking(key string, hosts []sapphiredrum.HostID) []sapphiredrum.HostID {
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b sapphiredrum.HostID) int {
		return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
	})
	return order
}

func score(key string, host sapphiredrum.HostID) uint64 {
	return xxhash.Sum64String(key + "/" + string(host))
}
