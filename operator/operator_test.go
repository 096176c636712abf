package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/loader"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/operator"
)

const sheetText = `[workspace desk]
tier = 0
rate = 50
burst = 100
budget = 1000

[zone zone-1]
region = region-1

[zone zone-2]
region = region-1

[route chat]
path = /v1/chat/completions
kind = model
group = runners
model = m1

[target runner-1]
address = 127.0.0.1:7101
zone = zone-1
group = runners
fenced = true
slots = 8
cold = 2
ramp = 30000
memory = 400000
`

// newDesk returns an operator's desk at a platform and what it prints.
func newDesk(platform *faker.Platform, author string) (*operator.Desk, *bytes.Buffer) {
	output := &bytes.Buffer{}
	committer := &follower.Committer{Table: platform, Objects: platform, Clock: sd.NewClock()}
	return &operator.Desk{Committer: committer, Author: author, Output: output}, output
}

// newPlatform returns a platform on which sheetText is in force.
func newPlatform() *faker.Platform {
	platform := faker.NewPlatform(sd.Clock{})
	desk, _ := newDesk(platform, "ana")
	_ = desk.Apply(context.Background(), "sheet.ini", sheetText, 0, "first sheet")
	return platform
}

// inForce returns the change and the sheet in force.
func inForce(platform *faker.Platform) (follower.Change, sd.Config) {
	desk, _ := newDesk(platform, "")
	change, sheet, _ := desk.Committer.Head(context.Background())
	return change, sheet
}

func ExampleDesk_Check() {
	desk, output := newDesk(newPlatform(), "ana")
	text := strings.NewReplacer("tier = 0", "tier = urgent", "zone = zone-1", "zone = zone-9").Replace(sheetText)
	_, err := desk.Check("sheet.ini", text)
	fmt.Print(output)
	fmt.Println(err)
	// Output:
	// sheet.ini: line 2 [workspace desk] tier: found "urgent", allowed is a whole number from 0 to 99
	// sheet.ini: line 21 [target runner-1] zone: found "zone-9", allowed is a declared zone
	// sapphiredrum.operator.bad_sheet: sheet.ini has 2 faults
}

func ExampleDesk_Diff() {
	desk, output := newDesk(newPlatform(), "ana")
	ctx := context.Background()
	fmt.Println(desk.Diff(ctx, "sheet.ini", sheetText), output.Len())
	_ = desk.Diff(ctx, "sheet.ini", strings.Replace(sheetText, "rate = 50", "rate = 60", 1))
	fmt.Print(output)
	// Output:
	// <nil> 0
	// [workspace desk] rate: "50" to "60"
	// 1 changes to revision 1
}

func ExampleDesk_Zone() {
	desk, output := newDesk(newPlatform(), "ana")
	ctx := context.Background()
	_ = desk.Zone(ctx, "zone-2", true, 1700000000000)
	_ = desk.Status(ctx, nil)
	_ = desk.Zone(ctx, "zone-2", false, 0)
	fmt.Print(output)
	// Output:
	// revision 2 accepted: zone zone-2 out
	// revision 2 by ana: zone zone-2 out
	//
	// ZONE  HOST  ADDRESS  STATE  REVISION  SHARDS  OPEN
	//
	// zone zone-1: in, 1 targets
	// zone zone-2: out from 2023-11-14 22:13:20Z, 0 targets
	// revision 3 accepted: zone zone-2 in
}

// Of two operators who compared with one revision, the second is told of the
// first one's change; applying what is in force changes nothing.
func TestApplyRace(t *testing.T) {
	platform := newPlatform()
	ctx := context.Background()
	ana, _ := newDesk(platform, "ana")
	bor, output := newDesk(platform, "bor")
	faster := strings.Replace(sheetText, "rate = 50", "rate = 60", 1)
	if err := ana.Apply(ctx, "a.ini", faster, 1, "faster desk"); err != nil {
		t.Fatal(err)
	}
	err := bor.Apply(ctx, "b.ini", sheetText, 1, "as it was")
	if !errorx.IsOfType(err, sd.Conflict) || !strings.Contains(err.Error(), "ana") || !strings.Contains(err.Error(), "faster desk") {
		t.Fatalf("the race ends with %v", err)
	}
	if err := bor.Apply(ctx, "b.ini", faster, -1, "again"); err != nil || !strings.Contains(output.String(), "nothing to change") {
		t.Fatalf("%v, %s", err, output)
	}
	if change, sheet := inForce(platform); change.Revision != 2 || change.Author != "ana" || sheet.Workspaces[0].Rate != 60 {
		t.Fatalf("in force is %+v", change)
	}
}

// A key's secret is printed once and stored nowhere; the key works from the next
// revision on, until it is withdrawn.
func TestKeyIsIssuedAndWithdrawn(t *testing.T) {
	platform := newPlatform()
	ctx := context.Background()
	desk, output := newDesk(platform, "ana")
	if err := desk.Issue(ctx, "desk", "desk-1"); err != nil {
		t.Fatal(err)
	}
	secrets := regexp.MustCompile(`sd-[0-9a-f]{32}`).FindAllString(output.String(), -1)
	if len(secrets) != 1 {
		t.Fatalf("printed %q", output)
	}
	output.Reset()
	if err := desk.Show(ctx); err != nil || strings.Contains(output.String(), secrets[0]) {
		t.Fatalf("%v: show prints %s", err, output)
	}
	rows, _, _ := platform.Changes(ctx, "", 0)
	for _, row := range rows {
		var stored struct{ Object string }
		_ = json.Unmarshal(row.Value, &stored)
		object, _ := platform.Get(ctx, stored.Object)
		if bytes.Contains(row.Value, []byte(secrets[0])) || bytes.Contains(object, []byte(secrets[0])) {
			t.Fatalf("row %s or its object holds the secret", row.Key)
		}
	}
	resolve := func() (sd.APIKey, *sd.Refusal) {
		change, sheet := inForce(platform)
		return follower.NewConfig(change.Revision, sheet).Credential(secrets[0])
	}
	if key, refusal := resolve(); refusal != nil || key.ID != "desk-1" || key.Workspace != "desk" {
		t.Fatalf("%+v, %v", key, refusal)
	}
	if err := desk.Withdraw(ctx, "desk-1"); err != nil {
		t.Fatal(err)
	}
	if _, refusal := resolve(); refusal == nil || refusal.Reason != sd.KeyRevoked {
		t.Fatalf("a withdrawn key: %v", refusal)
	}
}

// What the sheet shown says is what is in force.
func TestShowReadsBack(t *testing.T) {
	platform := newPlatform()
	desk, output := newDesk(platform, "ana")
	if err := desk.Show(context.Background()); err != nil {
		t.Fatal(err)
	}
	shown, faults := loader.Sheet(output.String())
	_, sheet := inForce(platform)
	if diff := cmp.Diff(sheet, shown); diff != "" || len(faults) > 0 {
		t.Fatalf("%v %s", faults, diff)
	}
}

// A host that does not answer is listed as such, and one that left is not.
func TestStatusOfSilentHost(t *testing.T) {
	platform := newPlatform()
	ctx := context.Background()
	for name, value := range map[string]string{
		"host/zone-1/h1": `{"Zone":"zone-1","Host":"h1","Address":"127.0.0.1:1"}`,
		"host/zone-1/h2": `{"Zone":"zone-1","Host":"h2","Address":"127.0.0.1:1","Lapsed":true}`,
	} {
		write := sd.Write{Key: sd.RowKey(name), Value: []byte(value)}
		if _, err := platform.Commit(ctx, sd.Transaction{Operation: "o", Writes: []sd.Write{write}}); err != nil {
			t.Fatal(err)
		}
	}
	desk, output := newDesk(platform, "ana")
	client := messenger.NewClient(nil)
	defer client.Close()
	if err := desk.Status(ctx, client); err != nil {
		t.Fatal(err)
	}
	if !regexp.MustCompile(`zone-1 +h1 +127.0.0.1:1 +no answer`).MatchString(output.String()) || strings.Contains(output.String(), "h2") {
		t.Fatal(output)
	}
}
