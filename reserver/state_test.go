package reserver

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
)

// Guards against one crowd taking the whole budget, against bytes that are taken and never given
// back, and against requests that are evicted though they run or make progress.
func TestBudgetHoldsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(Settings{Capacity: 64 << 20, Requests: 20, Answer: 1 << 20})
		s.largest = 4 << 20
		groups := []Group{{}, {Workspace: "a"}, {Workspace: "b"}, {Kind: Heads}, {Kind: Targets}}
		now := sd.Instant(1)
		type owner struct {
			h       *holding
			pinned  bool
			movedAt sd.Instant
			evicted bool
			taken   int64
		}
		var owners []*owner
		check := func() {
			var small, large int64
			held := map[Group]int64{}
			for _, o := range owners {
				if !o.evicted {
					if o.taken != o.h.small+o.h.large {
						t.Fatalf("a holder of %d bytes counts as %d", o.taken, o.h.small+o.h.large)
					}
					small, large = small+o.h.small, large+o.h.large
					held[o.h.group] += o.h.large
				}
			}
			if small != s.all.small || large != s.all.large {
				t.Fatalf("%d and %d bytes count as %d and %d", small, large, s.all.small, s.all.large)
			}
			if small > 16<<20 || large > 48<<20 {
				t.Fatalf("%d small and %d large bytes of 64 MB", small, large)
			}
			for g, n := range held {
				if n > 24<<20 || (g.Kind == Heads && n > 12<<20) {
					t.Fatalf("group %v has %d bytes", g, n)
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(sd.Millis(rapid.IntRange(0, 200).Draw(t, "pause")))
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 2 || len(owners) == 0:
				group := rapid.SampledFrom(groups).Draw(t, "group")
				others := 0
				for _, o := range owners {
					if o.h.group == group {
						others++
					}
				}
				o := &owner{movedAt: now, pinned: true}
				if o.h = s.open(group); o.h == nil {
					if group.Kind != Requests || others < 10 {
						t.Fatalf("group %v was refused its holder %d", group, others+1)
					}
					continue
				}
				if rapid.Bool().Draw(t, "evictable") {
					o.pinned = false
					s.setEvict(now, o.h, func() {
						if o.pinned || now.Since(o.movedAt) < stallTime {
							t.Fatalf("evicted %v after a pause of %d ms, pinned %v", o.h.group, now.Since(o.movedAt), o.pinned)
						}
						o.evicted = true
					})
				}
				owners = append(owners, o)
			default:
				i := rapid.IntRange(0, len(owners)-1).Draw(t, "owner")
				o := owners[i]
				n := int64(rapid.SampledFrom([]int{100, 2 << 10, 32 << 10, 256 << 10, 3 << 20}).Draw(t, "bytes"))
				switch {
				case step < 7:
					if s.reserve(now, o.h, n) {
						if o.evicted {
							t.Fatal("an evicted holder got more")
						}
						o.taken += n
						s.progress(now, o.h, n)
						if n >= 2<<20 {
							o.movedAt = now
						}
						// A lesser move may or may not count as progress.
						if n >= progressBytes {
							o.movedAt = max(o.movedAt, o.h.markedAt)
						}
					}
				case step == 7:
					if !o.evicted {
						o.taken -= min(n, o.taken)
						s.give(o.h, n)
					}
				case step == 8:
					if s.setEvict(now, o.h, nil) == o.evicted {
						t.Fatalf("evicted %v, and told otherwise", o.evicted)
					}
					o.pinned = true
				default:
					s.close(o.h)
					owners = append(owners[:i], owners[i+1:]...)
				}
			}
			check()
		}
		for _, o := range owners {
			s.close(o.h)
			s.close(o.h)
		}
		if s.all != (usage{}) || len(s.groups) > 0 || len(s.evictables) > 0 {
			t.Fatalf("%+v is left, %d groups, %d holders", s.all, len(s.groups), len(s.evictables))
		}
	})
}

// Guards against callers that send single bytes to look as if they made progress, and against
// giving way to a newcomer in an order other than by what is held and for how long.
func TestStalledBodiesGiveWay(t *testing.T) {
	s := NewState(Settings{Capacity: 16 << 20})
	now := sd.Instant(1)
	gone := map[string]bool{}
	begin := func(name string, n int64) *holding {
		h := s.open(Group{Workspace: sd.WorkspaceID(name)})
		if !s.reserve(now, h, n) {
			t.Fatalf("%s does not get %d bytes", name, n)
		}
		s.setEvict(now, h, func() { gone[name] = true })
		return h
	}
	trickle, steady := begin("trickle", 3<<20), begin("steady", 3<<20)
	begin("stalled", 2<<20)
	ran := begin("ran", 3<<20)
	s.setEvict(now, ran, nil)
	for range 100 {
		now = now.Add(50)
		s.progress(now, trickle, 1)
		s.progress(now, steady, 200<<10)
	}
	newcomer := s.open(Group{Workspace: "new"})
	if !s.reserve(now, newcomer, 3<<20) || !gone["trickle"] || len(gone) != 1 {
		t.Errorf("gone after the first: %v", gone)
	}
	if !s.reserve(now, s.open(Group{Workspace: "new2"}), 2<<20) || !gone["stalled"] || len(gone) != 2 {
		t.Errorf("gone after the second: %v", gone)
	}
	if s.reserve(now, s.open(Group{Workspace: "new3"}), 3<<20) || len(gone) != 2 {
		t.Errorf("gone after the third: %v", gone)
	}
	// Small requests have room of their own.
	for range 20 {
		if !s.reserve(now, s.open(Group{Workspace: "new4"}), 10<<10) {
			t.Error("no room for a small request")
		}
	}
}

// FuzzHead guards against heads whose cost or end depends on the pieces in which they arrive, and
// against heads of many fields that cost less than they take.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nbody\n\n"), uint8(3))
	f.Add([]byte("\r\n\r\n\nGET / HTTP/1.1\na:\n\n"), uint8(1))
	f.Add(bytes.Repeat([]byte("x:\r\n"), 2000), uint8(200))
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		var whole, pieces Head
		cost := whole.Add(text)
		sum := 0
		for rest := text; len(rest) > 0; {
			n := min(int(size)+1, len(rest))
			more := pieces.Add(rest[:n])
			if more < 0 {
				t.Fatalf("cost of %d bytes more: %d", n, more)
			}
			sum += more
			rest = rest[n:]
		}
		if whole.Ended() != pieces.Ended() || whole.Bytes() != pieces.Bytes() || sum != cost {
			t.Fatalf("whole: ended %v, %d bytes, cost %d; in pieces: %v, %d, %d", whole.Ended(), whole.Bytes(), cost, pieces.Ended(), pieces.Bytes(), sum)
		}
		lines := bytes.Count(text[:whole.Bytes()], []byte("\n"))
		if want := max(lines-freeLines, 0) * lineCost; cost < want || cost < whole.Bytes()-freeHeadBytes {
			t.Fatalf("%d lines in %d bytes cost %d", lines, whole.Bytes(), cost)
		}
	})
}
