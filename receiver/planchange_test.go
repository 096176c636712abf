package receiver_test

import (
	"strings"
	"testing"

	"sapphiredrum.example/sapphiredrum/platform"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
	"sapphiredrum.example/sapphiredrum/receiver"
)

// setPlan puts a plan in force, with replacements in its text.
func (b *bench) setPlan(version int, keys []string, replace ...string) {
	b.t.Helper()
	text := strings.NewReplacer(replace...).Replace(string(emulator.Plan(version, 0, keys...)))
	plan, err := platform.DecodePlan([]byte(text))
	if err != nil {
		b.t.Fatal(err)
	}
	b.receiver.SetRoutingTable(receiver.NewRoutingTable(plan))
}

// publicTalk makes the rule of kept turns public.
var publicTalk = []string{`"retained":true`, `"retained":true,"public":true`}

// keptOver runs a turn with key k1 under one plan, and goes on from it under the next one:
// with the given key, whose workspace is the turn's, and with another workspace's.
func keptOver(t *testing.T, before, after func(b *bench, version int), key string) {
	t.Helper()
	b := newBench(t)
	before(b, 2)
	if status, _, whole := b.turn("t1", "", "hello "); status != 200 || !whole {
		t.Fatal(status, whole)
	}
	after(b, 3)
	if status, _, _ := b.turn("t2", "t1", "more", "Key", key); status != 200 {
		t.Errorf("turn of its own workspace: status %d, want 200", status)
	}
	if status, _, _ := b.turn("t3", "t1", "more", "Key", "k2"); status != 404 {
		t.Errorf("turn of another workspace: status %d, want 404", status)
	}
}

// A kept turn is found by its workspace after that got another API key.
func TestKeptTurnsOutliveTheirKey(t *testing.T) {
	keptOver(t, func(b *bench, v int) { b.setPlan(v, []string{"k1", "k2"}) }, func(b *bench, v int) {
		b.setPlan(v, []string{"k1", "k2"}, `"apiKeys":["k1"]`, `"apiKeys":["k3"]`)
	}, "k3")
}

// Guards against LOST: under which key a kept turn is looked for depends on whether its rule is
// public, and on whether the plan names workspaces, when it is asked for.
func TestKeptTurnsOutliveChangesOfThePlan(t *testing.T) {
	keys := []string{"k1", "k2"}
	private := func(b *bench, v int) { b.setPlan(v, keys) }
	public := func(b *bench, v int) { b.setPlan(v, keys, publicTalk...) }
	t.Run("private to public", func(t *testing.T) { keptOver(t, private, public, "k1") })
	t.Run("public to private", func(t *testing.T) { keptOver(t, public, private, "k1") })
	t.Run("first workspaces", func(t *testing.T) { keptOver(t, func(b *bench, v int) { b.setPlan(v, nil) }, private, "k1") })
}
