package operator_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/loader"
	"sapphiredrum.example/sapphiredrum/operator"
)

// A sheet from before a key's withdrawal does not make the key valid again.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	clock := sd.NewClock()
	platform := faker.NewPlatform(clock)
	desk := &operator.Desk{
		Committer: &follower.Committer{Table: platform, Objects: platform, Clock: clock},
		Author:    "test", Output: &bytes.Buffer{},
	}
	ctx := context.Background()
	const sheet = "[workspace w]\ntier = 0\nrate = 1\nburst = 1\nbudget = 100\n[zone z]\nregion = r\n"
	if err := desk.Apply(ctx, "sheet", sheet, -1, ""); err != nil {
		t.Fatal(err)
	}
	if err := desk.Issue(ctx, "w", "k"); err != nil {
		t.Fatal(err)
	}
	_, before, err := desk.Committer.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := desk.Withdraw(ctx, "k"); err != nil {
		t.Fatal(err)
	}
	if err := desk.Apply(ctx, "sheet", loader.Write(before), -1, ""); !errorx.IsOfType(err, operator.BadSheet) {
		t.Fatalf("applying the old sheet: %v", err)
	}
}
