package gossiper

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sapphiredrum.example/sapphiredrum/promoter"
)

// Guards against reports that are lost or garbled on their way, also through a relay and behind a
// section of a later build, and against older builds that reject the whole heartbeat.
func TestSectionsTravelBehindTheHeartbeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Uint64Range(0, 1<<40)
		count := func() promoter.Count {
			return promoter.Count{Answers: number.Draw(t, "a"), Failures: number.Draw(t, "f"), Timed: number.Draw(t, "t"), Slow: number.Draw(t, "s")}
		}
		beat := Heartbeat{Host: "h1", Incarnation: 3, Number: 4, Rollouts: map[IDHash]promoter.Report{}}
		for pool := range rapid.IntRange(1, 3).Draw(t, "pools") {
			report := promoter.Report{
				Order: number.Draw(t, "order"), Stage: promoter.Move, Age: 1200, OldInflight: number.Draw(t, "inflight"), Routes: map[promoter.RouteID]promoter.RouteCount{},
				Targets: map[promoter.TargetCode]promoter.Count{9: count()},
			}
			for route := range rapid.IntRange(0, 4).Draw(t, "routes") {
				report.Routes[promoter.RouteID(route)] = promoter.RouteCount{New: count(), Old: count()}
			}
			beat.Rollouts[IDHash(pool)] = report
		}
		body := withRelay(beat.Encode(), true)
		sections := appendSection(append(beat.encodeSections()[:0:0], beat.encodeSections()...), 200, []byte("of a later build"))
		datagram := encodeBatch([][]byte{body, sections})

		// Builds without sections read each entry of a batch by itself.
		known := 0
		for _, entry := range splitBatch(datagram) {
			if got, ok := DecodeHeartbeat(entry); ok && got.Host == beat.Host && got.relay {
				known++
			}
		}
		if known != 1 {
			t.Fatalf("an older build reads %d heartbeats", known)
		}
		list := entries(datagram)
		if len(list) != 1 {
			t.Fatalf("%d heartbeats", len(list))
		}
		// A relay sends it on with other heartbeats.
		other := Heartbeat{Host: "h2"}
		relayed := entries(encodeBatch(append([][]byte{other.Encode()}, list[0].relayBodies()...)))
		if len(relayed) != 2 || relayed[0].beat.Rollouts != nil {
			t.Fatalf("%d heartbeats after the relay", len(relayed))
		}
		for _, got := range []Heartbeat{list[0].beat, relayed[1].beat} {
			if diff := cmp.Diff(beat.Rollouts, got.Rollouts); diff != "" {
				t.Fatal(diff)
			}
		}
		entries(append(encodeBatch([][]byte{body}), rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")...))
		entries(encodeBatch([][]byte{body, sections[:rapid.IntRange(1, len(sections)).Draw(t, "cut")]}))
	})
	if plain := (&Heartbeat{Host: "h1"}); len(plain.encodeWithSections(plain.Encode())) != len(plain.Encode()) {
		t.Error("a heartbeat without sections has another form than before")
	}
}
