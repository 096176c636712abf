package receiver

import (
	"cmp"
	"slices"
	"strings"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/platform"
)

// RoutingTable looks up the rule and workspace of a request in a fleet configuration.
type RoutingTable struct {
	FleetConfig     *sd.FleetConfig
	rulesByHost     map[string][]*sd.RoutingRule
	workspacesByKey map[string]*sd.Workspace
	pools           map[sd.GroupName]*sd.Pool
}

// NewRoutingTable builds the lookup tables for a fleet configuration.
func NewRoutingTable(plan *sd.FleetConfig) *RoutingTable {
	t := &RoutingTable{
		FleetConfig: plan, rulesByHost: map[string][]*sd.RoutingRule{}, workspacesByKey: map[string]*sd.Workspace{}, pools: map[sd.GroupName]*sd.Pool{},
	}
	for i := range plan.Rules {
		rule := &plan.Rules[i]
		t.rulesByHost[rule.Host] = append(t.rulesByHost[rule.Host], rule)
	}
	for _, rules := range t.rulesByHost {
		slices.SortStableFunc(rules, func(a, b *sd.RoutingRule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	byID := map[sd.WorkspaceID]*sd.Workspace{}
	for i := range plan.Workspaces {
		byID[plan.Workspaces[i].ID] = &plan.Workspaces[i]
	}
	for _, key := range plan.Keys {
		t.workspacesByKey[key.Digest] = byID[key.Workspace]
	}
	for i := range plan.Pools {
		t.pools[plan.Pools[i].Name] = &plan.Pools[i]
	}
	return t
}

// Rule returns the rule with the longest matching path prefix, or nil.
func (t *RoutingTable) Rule(host, path string) *sd.RoutingRule {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, rule := range t.rulesByHost[name] {
		if strings.HasPrefix(path, rule.Prefix) {
			return rule
		}
	}
	return nil
}

// Workspace returns the workspace of an API key, or nil.
func (t *RoutingTable) Workspace(key string) *sd.Workspace {
	if key == "" {
		return nil
	}
	return t.workspacesByKey[platform.KeyDigest(key)]
}

// TokensPerEvent returns the number of tokens charged for each event from a pool.
func (t *RoutingTable) TokensPerEvent(pool sd.GroupName) sd.Tokens {
	if p := t.pools[pool]; p != nil && p.TokensPerEvent > 0 {
		return p.TokensPerEvent
	}
	return 1
}

// SelectPool selects a pool in proportion to the rule's weights. The hash, derived
// from the program, makes all requests of a program use the same pool.
func SelectPool(rule *sd.RoutingRule, hash uint64) sd.GroupName {
	total := 0
	for _, share := range rule.PoolShares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, share := range rule.PoolShares {
		if at -= max(share.Weight, 0); at < 0 {
			return share.Pool
		}
	}
	return ""
}
