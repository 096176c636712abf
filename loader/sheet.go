package loader

import (
	"regexp"
	"strconv"
	"strings"

	"sapphiredrum.example/sapphiredrum"
)

// Bounds of a sheet's values.
const (
	maxTier    sapphiredrum.Tier   = 99
	maxRate    sapphiredrum.Rate   = 1e6
	maxBurst   sapphiredrum.Burst  = 1e6
	maxTokens  sapphiredrum.Tokens = 1e12
	maxWeight                      = 1000.0
	maxSlots   sapphiredrum.Slots  = 4096
	maxTime                        = 24 * sapphiredrum.Hour
	maxPathLen                     = 256
	leastRate  sapphiredrum.Rate   = 0.001
)

// Values of keys that a sheet leaves out.
const (
	defaultTimeout = sapphiredrum.Minute
	defaultWait    = 10 * sapphiredrum.Second
	defaultKeep    = 5 * sapphiredrum.Second
	defaultQueue   = 30 * sapphiredrum.Second
)

// ownPath is where hosts serve programs; no route may stand at or below it.
const ownPath = "/programs"

// Patterns of texts.
const (
	digestPattern = `^sha256:[0-9a-f]{64}$`
	pathPattern   = `^(/[A-Za-z0-9_.~-]+)+$`
)

// sheetReader reads the sections of a sheet.
type sheetReader struct {
	document *document
	sheet    sapphiredrum.Config
	links    links
	digest   *regexp.Regexp
	path     *regexp.Regexp
	shares   []placed
}

// placed is a zone's share and where it stands.
type placed struct {
	reader *reader
	entry  entry
	share  sapphiredrum.Share
}

// Sheet reads a sheet and names every bad line. The sheet is usable only when
// there are no faults.
func Sheet(text string) (sapphiredrum.Config, []Fault) {
	r := &sheetReader{
		document: parse(text),
		links:    newLinks(),
		digest:   regexp.MustCompile(digestPattern),
		path:     regexp.MustCompile(pathPattern),
	}
	policy := false
	for _, s := range r.document.sections {
		policy = policy || s.kind == "policy"
		r.read(s)
	}
	if !policy {
		r.policy(&reader{document: r.document, section: &section{header: "policy"}})
	}
	r.checkShares()
	r.links.check()
	return r.sheet, sortFaults(r.document.faults)
}

// read reads one section.
func (r *sheetReader) read(s *section) {
	in := &reader{document: r.document, section: s}
	readers := []struct {
		kind string
		read func(*reader)
	}{
		{"workspace", r.workspace},
		{"key", r.key},
		{"route", r.route},
		{"target", r.target},
		{"zone", r.zone},
		{"level", r.level},
		{"policy", r.policy},
	}
	for _, k := range readers {
		if k.kind == s.kind {
			r.head(in)
			k.read(in)
			in.end()
			return
		}
	}
	allowed := "one of [workspace NAME], [key NAME], [route NAME], [target NAME], [zone NAME], [level TIER], [policy]"
	in.fault(entry{line: s.line, value: s.header}, allowed)
}

// head checks a section's name and that it stands only once.
func (r *sheetReader) head(in *reader) {
	s := in.section
	e := entry{line: s.line, value: s.header}
	switch s.kind {
	case "policy":
		if s.name != "" {
			in.fault(e, "[policy] without a name")
		}
	case "level":
		tier, err := strconv.Atoi(s.name)
		if err != nil || tier < 0 || tier > int(maxTier) || strconv.Itoa(tier) != s.name {
			in.fault(e, "[level TIER] with a tier from 0 to "+strconv.Itoa(int(maxTier)))
		}
		r.links.refer(in, e, "tier", s.name)
	default:
		if !sapphiredrum.ValidName(s.name) {
			in.fault(e, "["+s.kind+" NAME] with a name of "+allowedName)
		}
		r.links.define(s.kind, s.name)
	}
	r.links.claim(in, e, "section", s.header)
}

// workspace reads a [workspace NAME] section.
func (r *sheetReader) workspace(in *reader) {
	in.need("tier", "rate", "burst", "budget")
	w := sapphiredrum.Workspace{
		ID:     sapphiredrum.WorkspaceID(in.section.name),
		Tier:   whole(in, "tier", 0, maxTier, 0),
		Rate:   fraction(in, "rate", leastRate, maxRate),
		Burst:  fraction(in, "burst", 1, maxBurst),
		Budget: whole(in, "budget", 1, maxTokens, 0),
		Weight: fraction(in, "weight", 0, maxWeight),
	}
	r.links.define("tier", strconv.Itoa(int(w.Tier)))
	r.sheet.Workspaces = append(r.sheet.Workspaces, w)
}

// key reads a [key NAME] section.
func (r *sheetReader) key(in *reader) {
	in.need("workspace", "digest")
	k := sapphiredrum.APIKey{
		ID:        sapphiredrum.KeyID(in.section.name),
		Workspace: name[sapphiredrum.WorkspaceID](in, "workspace"),
		Digest:    text[string](in, "digest", r.digest.MatchString, "sha256: and 64 digits of 0-9 and a-f"),
		Revoked:   flag(in, "withdrawn"),
	}
	r.links.referKey(in, "workspace", "workspace", string(k.Workspace))
	r.links.claimKey(in, "digest", k.Digest)
	r.sheet.Keys = append(r.sheet.Keys, k)
}

// route reads a [route NAME] section.
func (r *sheetReader) route(in *reader) {
	in.need("path", "kind", "group")
	route := sapphiredrum.Route{
		Name:       sapphiredrum.RouteName(in.section.name),
		Path:       text[string](in, "path", r.validPath, "a path such as /a/b, without a / at its end and not at "+ownPath),
		Kind:       choice(in, "kind", sapphiredrum.ModelRoute, sapphiredrum.ServiceRoute),
		Group:      name[sapphiredrum.GroupName](in, "group"),
		Model:      name[sapphiredrum.ModelName](in, "model"),
		Public:     flag(in, "open"),
		Idempotent: flag(in, "idempotent"),
		Timeout:    whole(in, "timeout", 1, maxTime, defaultTimeout),
		Cost:       whole(in, "cost", 0, maxTokens, 0),
	}
	if route.Kind == sapphiredrum.ModelRoute {
		in.need("model")
		in.refuse("cost", "no cost on a model route")
	} else {
		in.refuse("model", "no model on a service route")
	}
	r.links.referKey(in, "group", "group", string(route.Group))
	r.links.claimKey(in, "path", route.Path)
	r.sheet.Routes = append(r.sheet.Routes, route)
}

// target reads a [target NAME] section.
func (r *sheetReader) target(in *reader) {
	in.need("address", "zone", "group", "slots")
	slots := whole(in, "slots", 1, maxSlots, maxSlots)
	t := sapphiredrum.Target{
		ID:            sapphiredrum.TargetID(in.section.name),
		Address:       address(in, "address"),
		Zone:          name[sapphiredrum.ZoneName](in, "zone"),
		Group:         name[sapphiredrum.GroupName](in, "group"),
		Fenced:        flag(in, "fenced"),
		Slots:         slots,
		ColdSlots:     whole(in, "cold", 1, slots, slots),
		WarmUp:        whole(in, "ramp", 0, maxTime, 0),
		CacheCapacity: whole(in, "memory", 0, maxTokens, 0),
	}
	if unspecified(t.Address) {
		in.faultAt("address", allowedAddress)
	}
	r.links.define("group", string(t.Group))
	r.links.referKey(in, "zone", "zone", string(t.Zone))
	r.links.claimKey(in, "address", string(t.Address))
	r.sheet.Targets = append(r.sheet.Targets, t)
}

// zone reads a [zone NAME] section.
func (r *sheetReader) zone(in *reader) {
	in.need("region")
	z := sapphiredrum.Zone{
		Name:        sapphiredrum.ZoneName(in.section.name),
		Region:      name[sapphiredrum.RegionName](in, "region"),
		Drained:     flag(in, "out"),
		DrainedFrom: date(in, "from"),
		Share:       fraction[sapphiredrum.Share](in, "share", 0, 1),
	}
	if !z.Drained {
		in.refuse("from", "no date without out = true")
	}
	if e, found := in.find("share"); found {
		r.shares = append(r.shares, placed{reader: in, entry: e, share: z.Share})
	}
	r.sheet.Zones = append(r.sheet.Zones, z)
}

// level reads a [level TIER] section.
func (r *sheetReader) level(in *reader) {
	in.need("first", "gap", "program")
	tier, _ := strconv.Atoi(in.section.name)
	r.sheet.Levels = append(r.sheet.Levels, sapphiredrum.ServiceLevel{
		Tier:           sapphiredrum.Tier(tier),
		FirstToken:     whole(in, "first", 1, maxTime, 0),
		TokenGap:       whole(in, "gap", 1, maxTime, 0),
		ProgramLatency: whole(in, "program", 1, maxTime, 0),
		RefusedShare:   fraction[sapphiredrum.Share](in, "refused", 0, 1),
	})
}

// policy reads the [policy] section.
func (r *sheetReader) policy(in *reader) {
	r.sheet.Policy = sapphiredrum.Policy{
		Order:        choice(in, "order", "attained", "working", "share", "fcfs"),
		AgingLimit:   whole(in, "wait", 0, maxTime, defaultWait),
		PrefixHold:   whole(in, "keep", 0, maxTime, defaultKeep),
		MaxQueueTime: whole(in, "queue", 0, maxTime, defaultQueue),
	}
}

// validPath reports whether a route may have the path.
func (r *sheetReader) validPath(path string) bool {
	below := path == ownPath || strings.HasPrefix(path, ownPath+"/")
	return len(path) <= maxPathLen && r.path.MatchString(path) && !below
}
