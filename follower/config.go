package follower

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"

	sd "sapphiredrum.example/sapphiredrum"
)

// Config is one revision in force, indexed for look-ups. It is never changed
// after NewConfig; the zero Config holds nothing and admits nobody.
type Config struct {
	Revision sd.Revision
	Sheet    sd.Config

	keys       map[string]sd.APIKey
	workspaces map[sd.WorkspaceID]sd.Workspace
	routes     map[string]sd.Route
	zones      map[sd.ZoneName]sd.Zone
	targets    map[sd.TargetID]sd.Target
}

// NewConfig indexes a sheet.
func NewConfig(revision sd.Revision, sheet sd.Config) *Config {
	c := &Config{
		Revision:   revision,
		Sheet:      sheet,
		keys:       make(map[string]sd.APIKey, len(sheet.Keys)),
		workspaces: make(map[sd.WorkspaceID]sd.Workspace, len(sheet.Workspaces)),
		routes:     make(map[string]sd.Route, len(sheet.Routes)),
		zones:      make(map[sd.ZoneName]sd.Zone, len(sheet.Zones)),
		targets:    make(map[sd.TargetID]sd.Target, len(sheet.Targets)),
	}
	for _, k := range sheet.Keys {
		c.keys[k.Digest] = k
	}
	for _, w := range sheet.Workspaces {
		c.workspaces[w.ID] = w
	}
	for _, r := range sheet.Routes {
		c.routes[r.Path] = r
	}
	for _, z := range sheet.Zones {
		c.zones[z.Name] = z
	}
	for _, t := range sheet.Targets {
		c.targets[t.ID] = t
	}
	return c
}

// Credential resolves a caller's key. It returns a refusal with reason
// KeyMissing, KeyUnknown or KeyWithdrawn.
func (c *Config) Credential(secret string) (sd.APIKey, *sd.Refusal) {
	if secret == "" {
		return sd.APIKey{}, sd.NewRefusal(sd.KeyMissing, 0, "the request carries no key")
	}
	key, found := c.keys[Digest(secret)]
	if !found {
		return sd.APIKey{}, sd.NewRefusal(sd.KeyUnknown, 0, "the key is not known")
	}
	if key.Revoked {
		return sd.APIKey{}, sd.NewRefusal(sd.KeyRevoked, 0, "the key was withdrawn")
	}
	return key, nil
}

// Valid reports whether the named key still stands.
func (c *Config) Valid(id sd.KeyID) bool {
	for _, k := range c.Sheet.Keys {
		if k.ID == id {
			return !k.Revoked
		}
	}
	return false
}

// Workspace returns the workspace with the given id.
func (c *Config) Workspace(id sd.WorkspaceID) (sd.Workspace, bool) {
	w, found := c.workspaces[id]
	return w, found
}

// Route returns the route with the longest path that is path itself or a parent
// of it on a slash.
func (c *Config) Route(path string) (sd.Route, bool) {
	for at := path; at != ""; {
		if r, found := c.routes[at]; found {
			return r, true
		}
		cut := strings.LastIndexByte(at, '/')
		if cut < 0 {
			break
		}
		at = at[:cut]
	}
	return sd.Route{}, false
}

// Zone returns the plan of the named availability zone.
func (c *Config) Zone(name sd.ZoneName) (sd.Zone, bool) {
	z, found := c.zones[name]
	return z, found
}

// Target returns the target with the given id.
func (c *Config) Target(id sd.TargetID) (sd.Target, bool) {
	t, found := c.targets[id]
	return t, found
}

// Targets returns the group's targets in an availability zone, by id.
func (c *Config) Targets(zone sd.ZoneName, group sd.GroupName) []sd.Target {
	var found []sd.Target
	for _, t := range c.Sheet.Targets {
		if t.Zone == zone && t.Group == group {
			found = append(found, t)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].ID < found[b].ID })
	return found
}

// ZoneNames returns the names of all availability zones, sorted.
func (c *Config) ZoneNames() []sd.ZoneName {
	names := make([]sd.ZoneName, 0, len(c.Sheet.Zones))
	for _, z := range c.Sheet.Zones {
		names = append(names, z.Name)
	}
	sort.Slice(names, func(a, b int) bool { return names[a] < names[b] })
	return names
}

// Digest returns the form in which a sheet holds a key: "sha256:" and the
// hexadecimal SHA-256 digest of the secret.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return digestPrefix + hex.EncodeToString(sum[:])
}

const digestPrefix = "sha256:"
