package limiter

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sapphiredrum.example/sapphiredrum"
)

// AccountShard returns the number of the shard on which each zone keeps its
// account of the workspace.
func AccountShard(workspace sapphiredrum.WorkspaceID) int {
	return int(xxhash.Sum64String(string(workspace)) % sapphiredrum.ShardsPerZone)
}

// HomeZones orders the zones by preference as the workspace's home, by rendezvous
// hashing. Zones that operators have drained come last, whatever the date.
func HomeZones(workspace sapphiredrum.WorkspaceID, zones []sapphiredrum.Zone) []sapphiredrum.ZoneName {
	sorted := slices.Clone(zones)
	slices.SortFunc(sorted, func(a, b sapphiredrum.Zone) int {
		if a.Drained != b.Drained {
			if b.Drained {
				return -1
			}
			return 1
		}
		x, y := rendezvousWeight(workspace, a.Name), rendezvousWeight(workspace, b.Name)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(string(a.Name), string(b.Name))
	})
	names := make([]sapphiredrum.ZoneName, len(sorted))
	for i, z := range sorted {
		names[i] = z.Name
	}
	return names
}

// Accounts returns the shards that keep the workspace's accounts, the preferred
// home first.
func Accounts(workspace sapphiredrum.WorkspaceID, zones []sapphiredrum.Zone) []sapphiredrum.ShardID {
	names := HomeZones(workspace, zones)
	shards := make([]sapphiredrum.ShardID, len(names))
	for i, z := range names {
		shards[i] = sapphiredrum.ShardID{Zone: z, Number: AccountShard(workspace)}
	}
	return shards
}

// rendezvousWeight returns the rendezvous hash weight of a zone for a workspace.
func rendezvousWeight(workspace sapphiredrum.WorkspaceID, zone sapphiredrum.ZoneName) uint64 {
	return xxhash.Sum64String(string(zone) + "/" + string(workspace))
}

// zoneFractions returns each zone's fraction of the workspace's rate and burst, in the
// order of names. Zones whose part of the burst would be under one request get
// nothing, the least preferred first, because such a part never admits a request.
func zoneFractions(burst sapphiredrum.Burst, names []sapphiredrum.ZoneName, zones []sapphiredrum.Zone) []float64 {
	fractions := make([]float64, len(names))
	planned := 0.0
	for _, z := range zones {
		fractions[slices.Index(names, z.Name)] = max(0, float64(z.Share))
		planned += max(0, float64(z.Share))
	}
	if planned == 0 {
		for i := range fractions {
			fractions[i] = 1
		}
	}
	for {
		normalize(fractions)
		weak := lastUnusable(burst, fractions)
		if weak < 0 {
			return fractions
		}
		fractions[weak] = 0
	}
}

// lastUnusable returns the last index whose part of the burst is under one request, or
// -1 if there is none or only one zone is left.
func lastUnusable(burst sapphiredrum.Burst, fractions []float64) int {
	found, left := -1, 0
	for i, f := range fractions {
		if f == 0 {
			continue
		}
		left++
		if f*float64(burst) < 1-tolerance {
			found = i
		}
	}
	if left < 2 {
		return -1
	}
	return found
}

// normalize scales the fractions to sum to one, unless all are zero.
func normalize(fractions []float64) {
	sum := 0.0
	for _, f := range fractions {
		sum += f
	}
	if sum == 0 {
		return
	}
	for i := range fractions {
		fractions[i] /= sum
	}
}

// tolerance is the allowed rounding error in sums of fractional requests.
const tolerance = 1e-9
