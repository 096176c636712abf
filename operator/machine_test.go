package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/operator"
)

// machine is a desk and what the oracle expects of the sheet in force.
type machine struct {
	platform *faker.Platform
	desk     *operator.Desk
	output   *bytes.Buffer
	away     bool
	// keys tells which keys were withdrawn, out which zones are out.
	keys map[sd.KeyID]bool
	out  map[sd.ZoneName]bool
	rate sd.Rate
}

// run carries out a command that must fail with one of the given errors, or,
// where there are none, succeed and call then on the oracle.
func (m *machine) run(t *rapid.T, command func() error, then func(), want ...*errorx.Type) {
	before, _ := inForce(m.platform)
	m.platform.SetFaults(faker.PlatformFaults{Away: m.away})
	m.output.Reset()
	err := command()
	m.platform.SetFaults(faker.PlatformFaults{})
	after, _ := inForce(m.platform)
	if m.away {
		want = append(want, sd.Unavailable)
	}
	if len(want) == 0 {
		then()
		if err != nil || after.Revision != before.Revision+1 || !strings.Contains(m.output.String(), fmt.Sprintf("revision %d accepted", after.Revision)) {
			t.Fatalf("revision %d to %d, %v: %s", before.Revision, after.Revision, err, m.output)
		}
		return
	}
	if before != after || strings.Contains(m.output.String(), "sd-") {
		t.Fatalf("a failed command, %v, changed %+v to %+v: %s", err, before, after, m.output)
	}
	for _, kind := range want {
		if errorx.IsOfType(err, kind) {
			return
		}
	}
	t.Fatalf("the error is %v, want one of %v", err, want)
}

// check compares the sheet in force with the oracle.
func (m *machine) check(t *rapid.T) {
	_, sheet := inForce(m.platform)
	keys, out := map[sd.KeyID]bool{}, map[sd.ZoneName]bool{}
	for _, k := range sheet.Keys {
		keys[k.ID] = k.Revoked
	}
	for _, z := range sheet.Zones {
		out[z.Name] = z.Drained
	}
	if diff := cmp.Diff(m.keys, keys, cmpopts.EquateEmpty()) + cmp.Diff(m.out, out); diff != "" || sheet.Workspaces[0].Rate != m.rate || len(sheet.Keys) != len(m.keys) {
		t.Fatalf("in force is rate %v, want %v: %s", sheet.Workspaces[0].Rate, m.rate, diff)
	}
}

// unless returns no error type when the condition holds, and kind otherwise.
func unless(holds bool, kind *errorx.Type) []*errorx.Type {
	if holds {
		return nil
	}
	return []*errorx.Type{kind}
}

// actions are the commands, with known and unknown names.
func (m *machine) actions() map[string]func(*rapid.T) {
	ctx := context.Background()
	name := func(t *rapid.T, known ...string) string {
		return rapid.SampledFrom(append(known, "unknown", "BAD NAME", "")).Draw(t, "name")
	}
	return map[string]func(*rapid.T){
		"outage": func(t *rapid.T) { m.away = rapid.IntRange(0, 3).Draw(t, "away") == 0 },
		"zone": func(t *rapid.T) {
			zone, out := sd.ZoneName(name(t, "zone-1", "zone-2")), rapid.Bool().Draw(t, "out")
			_, found := m.out[zone]
			m.run(t, func() error { return m.desk.Zone(ctx, zone, out, 5) },
				func() { m.out[zone] = out }, unless(found, operator.BadName)...)
		},
		"issue": func(t *rapid.T) {
			workspace, key := sd.WorkspaceID(name(t, "desk")), sd.KeyID(name(t, "k1", "k2"))
			_, taken := m.keys[key]
			m.run(t, func() error { return m.desk.Issue(ctx, workspace, key) }, func() { m.keys[key] = false },
				unless(workspace == "desk" && sd.ValidName(string(key)) && !taken, operator.BadName)...)
		},
		"withdraw": func(t *rapid.T) {
			key := sd.KeyID(name(t, "k1", "k2"))
			_, found := m.keys[key]
			m.run(t, func() error { return m.desk.Withdraw(ctx, key) },
				func() { m.keys[key] = true }, unless(found, operator.BadName)...)
		},
		"apply": func(t *rapid.T) {
			change, _ := inForce(m.platform)
			behind, faulty := rapid.IntRange(0, 1).Draw(t, "behind"), rapid.IntRange(0, 3).Draw(t, "faulty") == 0
			rate, want := fmt.Sprint(m.rate+1), unless(behind == 0, sd.Conflict)
			if faulty {
				rate, want = "many", unless(false, operator.BadSheet)
			}
			text := strings.Replace(sheetText, "rate = 50", "rate = "+rate, 1)
			m.run(t, func() error { return m.desk.Apply(ctx, "s", text, int64(change.Revision)-int64(behind), "apply") },
				func() { m.fresh(m.rate + 1) }, want...)
		},
		"": m.check,
	}
}

// fresh puts the oracle to a sheet that was applied whole.
func (m *machine) fresh(rate sd.Rate) {
	m.rate = rate
	m.keys = map[sd.KeyID]bool{}
	m.out = map[sd.ZoneName]bool{"zone-1": false, "zone-2": false}
}

// A command that fails, for a bad name, a bad sheet, an old basis or a platform
// that is away, changes nothing and prints no secret; one that succeeds is exactly
// one revision and does what it says.
func TestCommandsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{platform: newPlatform()}
		m.desk, m.output = newDesk(m.platform, "ana")
		m.fresh(50)
		t.Repeat(m.actions())
	})
}
