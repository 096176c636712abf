package loader

import (
	"bytes"
	"strconv"

	"gopkg.in/ini.v1"

	"sapphiredrum.example/sapphiredrum"
)

// block is a section to be written.
type block struct {
	header string
	fields []field
}

// field is an entry to be written.
type field struct {
	key   string
	value string
}

// dateFormat is RFC 3339 with the milliseconds that a date has.
const dateFormat = "2006-01-02T15:04:05.999Z07:00"

// Write returns a sheet as INI, in the order of the sheet. Sheet reads it back
// as an equal sheet, provided that it is without faults.
func Write(sheet sapphiredrum.Config) string {
	file := ini.Empty(options)
	for _, b := range blocks(sheet) {
		out, err := file.NewSection(b.header)
		if err != nil {
			continue
		}
		for _, f := range b.fields {
			_, _ = out.NewKey(f.key, f.value)
		}
	}
	var text bytes.Buffer
	_, _ = file.WriteTo(&text)
	return text.String()
}

// blocks returns the sections of a sheet.
func blocks(sheet sapphiredrum.Config) []block {
	var all []block
	for _, w := range sheet.Workspaces {
		all = append(all, workspaceBlock(w))
	}
	for _, k := range sheet.Keys {
		b := block{header: "key " + string(k.ID)}
		b.text("workspace", string(k.Workspace))
		b.text("digest", k.Digest)
		b.flag("withdrawn", k.Revoked)
		all = append(all, b)
	}
	for _, r := range sheet.Routes {
		all = append(all, routeBlock(r))
	}
	for _, t := range sheet.Targets {
		all = append(all, targetBlock(t))
	}
	for _, z := range sheet.Zones {
		all = append(all, zoneBlock(z))
	}
	for _, l := range sheet.Levels {
		b := block{header: "level " + strconv.Itoa(int(l.Tier))}
		b.whole("first", int64(l.FirstToken))
		b.whole("gap", int64(l.TokenGap))
		b.whole("program", int64(l.ProgramLatency))
		b.fraction("refused", float64(l.RefusedShare))
		all = append(all, b)
	}
	return append(all, policyBlock(sheet.Policy))
}

// workspaceBlock returns a workspace's section.
func workspaceBlock(w sapphiredrum.Workspace) block {
	b := block{header: "workspace " + string(w.ID)}
	b.fields = append(b.fields, field{"tier", strconv.Itoa(int(w.Tier))})
	b.fraction("rate", float64(w.Rate))
	b.fraction("burst", float64(w.Burst))
	b.whole("budget", int64(w.Budget))
	b.fraction("weight", w.Weight)
	return b
}

// routeBlock returns a route's section.
func routeBlock(r sapphiredrum.Route) block {
	b := block{header: "route " + string(r.Name)}
	b.text("path", r.Path)
	b.text("kind", string(r.Kind))
	b.text("group", string(r.Group))
	b.text("model", string(r.Model))
	b.flag("open", r.Public)
	b.flag("idempotent", r.Idempotent)
	b.whole("timeout", int64(r.Timeout))
	b.whole("cost", int64(r.Cost))
	return b
}

// targetBlock returns a target's section.
func targetBlock(t sapphiredrum.Target) block {
	b := block{header: "target " + string(t.ID)}
	b.text("address", string(t.Address))
	b.text("zone", string(t.Zone))
	b.text("group", string(t.Group))
	b.flag("fenced", t.Fenced)
	b.whole("slots", int64(t.Slots))
	b.whole("cold", int64(t.ColdSlots))
	b.whole("ramp", int64(t.WarmUp))
	b.whole("memory", int64(t.CacheCapacity))
	return b
}

// zoneBlock returns a zone's section.
func zoneBlock(z sapphiredrum.Zone) block {
	b := block{header: "zone " + string(z.Name)}
	b.text("region", string(z.Region))
	b.flag("out", z.Drained)
	if z.DrainedFrom != 0 {
		b.text("from", z.DrainedFrom.Time().Format(dateFormat))
	}
	b.fraction("share", float64(z.Share))
	return b
}

// policyBlock returns the policy's section. Zero has a meaning of its own here,
// so that all times are written.
func policyBlock(p sapphiredrum.Policy) block {
	b := block{header: "policy"}
	b.text("order", p.Order)
	for _, f := range []struct {
		key  string
		time sapphiredrum.Millis
	}{{"wait", p.AgingLimit}, {"keep", p.PrefixHold}, {"queue", p.MaxQueueTime}} {
		b.fields = append(b.fields, field{f.key, strconv.FormatInt(int64(f.time), 10)})
	}
	return b
}

// text adds a text unless it is empty.
func (b *block) text(key, value string) {
	if value != "" {
		b.fields = append(b.fields, field{key, value})
	}
}

// flag adds a flag unless it is false.
func (b *block) flag(key string, value bool) {
	if value {
		b.text(key, "true")
	}
}

// whole adds a whole number unless it is zero.
func (b *block) whole(key string, value int64) {
	if value != 0 {
		b.text(key, strconv.FormatInt(value, 10))
	}
}

// fraction adds a number unless it is zero.
func (b *block) fraction(key string, value float64) {
	if value != 0 {
		b.text(key, strconv.FormatFloat(value, 'g', -1, 64))
	}
}
