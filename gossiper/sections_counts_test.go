package gossiper

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// Guards against sections that are misread, and against one kind of section whose absence or
// unknown neighbour hides another: builds that know different sections run side by side.
func TestSectionsAreIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Heartbeat{Host: "h", Incarnation: 1, Number: 2, Admitted: map[IDHash]uint64{7: 9}}
		if rapid.Bool().Draw(t, "unread") {
			b.Unread = map[IDHash]int{1: rapid.IntRange(0, 1<<20).Draw(t, "tokens")}
		}
		if rapid.Bool().Draw(t, "tokens") {
			b.Tokens = map[IDHash]int{2: 3, 3: 70000}
		}
		if rapid.Bool().Draw(t, "times") {
			b.WorkTimes = map[IDHash]WorkTime{4: {Hundredths: 130, Age: 250}, 5: {Hundredths: 87}}
		}
		known := b
		if known.Unread == nil && known.Tokens == nil && known.WorkTimes == nil {
			known.Unread = map[IDHash]int{1: 1}
			b.Unread = known.Unread
		}
		// A section of a later build stands before those that this one knows.
		record := known.encodeSections()
		head := len(appendSectionsHead(nil, &b))
		unknown := appendSection(nil, 'z', rapid.SliceOf(rapid.Byte()).Draw(t, "content"))
		record = slices.Concat(record[:head], unknown, record[head:])
		list := entries(encodeBatch([][]byte{b.Encode(), record}))
		if len(list) != 1 || list[0].sections == nil {
			t.Fatal("the heartbeat or its sections were lost")
		}
		got := list[0].beat
		if diff := cmp.Diff(b, got, cmpopts.EquateEmpty(), cmpopts.IgnoreUnexported(Heartbeat{})); diff != "" {
			t.Fatal(diff)
		}
		cut := rapid.IntRange(1, len(record)).Draw(t, "cut")
		got.takeSections(record[:cut])
		got.takeSections(slices.Concat(record[:head], rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")))
	})
}

// Guards against hosts of older builds that no longer hear newer ones: they reject a heartbeat with
// bytes behind the counts, and skip records of unknown formats.
func TestOlderBuildsReadHeartbeatsWithSections(t *testing.T) {
	b := Heartbeat{Host: "h", Incarnation: 1, Number: 2, Unread: map[IDHash]int{1: 500}}
	plain := b
	plain.Unread = nil
	if diff := cmp.Diff(plain.Encode(), plain.encodeWithSections(plain.Encode())); diff != "" {
		t.Errorf("a heartbeat without sections changed: %s", diff)
	}
	records := splitBatch(b.encodeWithSections(b.Encode()))
	if diff := cmp.Diff(plain.Encode(), records[0]); diff != "" {
		t.Errorf("the heartbeat itself changed: %s", diff)
	}
	if records[1][0] == formatSingle || records[1][0] == formatRelay {
		t.Error("the sections would be taken for a heartbeat")
	}
	if got, ok := DecodeHeartbeat(append(b.Encode(), 1, 2, 3)); !ok || got.Number != b.Number {
		t.Error("a heartbeat with an unknown rest was not read")
	}
}
