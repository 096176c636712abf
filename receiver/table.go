package receiver

import (
	"cmp"
	"slices"
	"strings"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/platform"
)

// Table finds the rule and the workspace of a request under one plan.
type Table struct {
	Plan       *sd.FleetConfig
	hosts      map[string][]*sd.RoutingRule
	workspaces map[string]*sd.Workspace
	pools      map[sd.GroupName]*sd.Pool
}

// NewTable indexes a plan.
func NewTable(plan *sd.FleetConfig) *Table {
	t := &Table{
		Plan: plan, hosts: map[string][]*sd.RoutingRule{}, workspaces: map[string]*sd.Workspace{}, pools: map[sd.GroupName]*sd.Pool{},
	}
	for i := range plan.Rules {
		rule := &plan.Rules[i]
		t.hosts[rule.Host] = append(t.hosts[rule.Host], rule)
	}
	for _, rules := range t.hosts {
		slices.SortStableFunc(rules, func(a, b *sd.RoutingRule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	byID := map[sd.WorkspaceID]*sd.Workspace{}
	for i := range plan.Workspaces {
		byID[plan.Workspaces[i].ID] = &plan.Workspaces[i]
	}
	for _, key := range plan.Keys {
		t.workspaces[key.Digest] = byID[key.Workspace]
	}
	for i := range plan.Pools {
		t.pools[plan.Pools[i].Name] = &plan.Pools[i]
	}
	return t
}

// Rule returns the rule with the longest prefix of the path, or nil.
func (t *Table) Rule(host, path string) *sd.RoutingRule {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, rule := range t.hosts[name] {
		if strings.HasPrefix(path, rule.Prefix) {
			return rule
		}
	}
	return nil
}

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *sd.Workspace {
	if key == "" {
		return nil
	}
	return t.workspaces[platform.KeyDigest(key)]
}

// EventTokens returns what each event of a pool's answers counts.
func (t *Table) EventTokens(pool sd.GroupName) sd.Tokens {
	if p := t.pools[pool]; p != nil && p.TokensPerEvent > 0 {
		return p.TokensPerEvent
	}
	return 1
}

// Pool returns the pool of a request: by the rule's weights, and the same for all
// requests of one program. Draw is a number that the program determines.
func Pool(rule *sd.RoutingRule, draw uint64) sd.GroupName {
	total := 0
	for _, share := range rule.PoolShares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := int(draw % uint64(total))
	for _, share := range rule.PoolShares {
		if at -= max(share.Weight, 0); at < 0 {
			return share.Pool
		}
	}
	return ""
}
