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

// update computes the placement over hosts, which are in order.
func (p *placement) update(hosts []sapphiredrum.HostID) {
	if len(p.hosts) > 0 && slices.Equal(p.hosts, hosts) {
		return
	}
	p.hosts = slices.Clone(hosts)
	for n := range p.chosen {
		p.chosen[n] = ""
		if order := ranking(strconv.Itoa(n), hosts); len(order) > 0 {
			p.chosen[n] = order[0]
		}
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
