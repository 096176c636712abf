package recorder_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	root "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/recorder"
)

// The log's row names a new peer beside the old one for one flush, since the
// records copied meanwhile are only at the old one.
func TestPeersOverlap(t *testing.T) {
	s, p := based(t)
	old, fresh := keeper.Peer{Host: "o"}, keeper.Peer{Host: "f"}
	var named [][]keeper.Peer
	for i, wanted := range []keeper.Peer{old, fresh, fresh} {
		s.SetPeers([]keeper.Peer{wanted})
		drive(s, p, now+root.Instant(i+1)*longer, healthy, nil)
		row := p.rows[recorder.LogKey("h", 1)]
		var value recorder.LogRow
		if err := json.Unmarshal(row.Value, &value); err != nil {
			t.Fatal(err)
		}
		named = append(named, value.Peers)
	}
	want := [][]keeper.Peer{{old}, {fresh, old}, {fresh}}
	if diff := cmp.Diff(want, named); diff != "" {
		t.Fatalf("named peers: %s", diff)
	}
}

// Another request under a recorded identifier gets neither the recorded outcome
// nor a run of its own.
func TestForeignIntent(t *testing.T) {
	s, p := based(t)
	intent := recorder.Intent{Shard: busy, Key: recorder.Key{Workspace: "w", Call: "c"}, Digest: keeper.DigestOf("one")}
	in, waiting, err := s.Intend(now, intent)
	if err != nil || !waiting {
		t.Fatalf("%v, %v", waiting, err)
	}
	drive(s, p, now, healthy, nil)
	s.Settle(intent, in.Ticket, root.Ran, "booked")
	if again, found, err := s.Recall(intent); !found || err != nil || again.Answer != "booked" {
		t.Fatalf("%v, %v, %v", again, found, err)
	}
	intent.Digest = keeper.DigestOf("two")
	if _, found, err := s.Recall(intent); found || err == nil {
		t.Fatalf("recalled for another request")
	}
	if other, waiting, err := s.Intend(now, intent); waiting || err == nil {
		t.Fatalf("another request gets %v", other)
	}
}

// An attempt from before the shard was lost and taken back gets no permission.
func TestIntentOfAnEarlierTenure(t *testing.T) {
	s, _ := based(t)
	intent := recorder.Intent{Shard: busy, Epoch: 2, Key: recorder.Key{Workspace: "w", Call: "c"}}
	if in, waiting, err := s.Intend(now, intent); waiting || err == nil {
		t.Fatalf("another tenure's attempt gets %v", in)
	}
	intent.Epoch = 1
	if _, waiting, err := s.Intend(now, intent); !waiting || err != nil {
		t.Fatalf("the tenure's own attempt is refused: %v", err)
	}
}

// While the platform is away an intent is refused as not run, and later ones at
// once; when it answers again the same call may run.
func TestIntentWhilePlatformAway(t *testing.T) {
	s, p := based(t)
	intent := recorder.Intent{Shard: busy, Key: recorder.Key{Workspace: "w", Call: "c"}}
	_, _, _ = s.Intend(now, intent)
	decided := drive(s, p, now, refused, nil)
	if len(decided) != 1 || decided[0].Refusal == nil || decided[0].Refusal.Reason != root.PlatformUnavailable || decided[0].Refusal.Outcome != root.NotRun {
		t.Fatalf("the intent is answered with %v", decided)
	}
	if _, waiting, err := s.Intend(now+longer, intent); waiting || err == nil {
		t.Fatalf("not refused at once: %v", err)
	}
	drive(s, p, now+longer, healthy, nil)
	if _, waiting, err := s.Intend(now+2*longer, intent); !waiting || err != nil {
		t.Fatalf("refused after the platform has come back: %v", err)
	}
	if decided := drive(s, p, now+2*longer, healthy, nil); len(decided) != 1 || !decided[0].Intended.Fresh {
		t.Fatalf("the call may not run: %v", decided)
	}
}

var busy = root.ShardID{Zone: "z", Number: 1}

const (
	now    root.Instant = 1000
	longer root.Instant = 10_000
)

// based returns the state of a host that has one empty shard.
func based(t *testing.T) (*recorder.State, *platform) {
	s, p := recorder.NewState(recorder.DefaultRules, "h", 1), newPlatform()
	s.Claim(busy, 1, 0)
	loaded := false
	drive(s, p, now, healthy, func(e recorder.Event) {
		if _, ok := e.(recorder.Loaded); ok {
			loaded = true
			s.Rebase(busy, 1, nil)
		}
	})
	if !loaded {
		t.Fatalf("the shard is not loaded")
	}
	return s, p
}

// drive lets a state work for a while and returns what it decided on intents.
func drive(s *recorder.State, p *platform, start root.Instant, f fault, told func(recorder.Event)) []recorder.Decided {
	var decided []recorder.Decided
	hear := func(events []recorder.Event) {
		for _, e := range events {
			if d, ok := e.(recorder.Decided); ok {
				decided = append(decided, d)
			}
			if told != nil {
				told(e)
			}
		}
	}
	var written bool
	for i := root.Instant(0); i < longer && !(written && f == healthy && told == nil); i++ {
		at := start + i
		hear(s.Tick(at))
		if action, found := s.Next(at); found {
			answer := p.do(action, f)
			_, written = action.(recorder.Commit)
			hear(s.Report(at, answer))
		}
		if action, found := s.NextBack(at); found {
			var answer recorder.Answer
			if r, ok := action.(recorder.Read); !ok || len(r.Keys) > 0 {
				answer = p.do(action, healthy)
			}
			hear(s.ReportBack(at, answer))
		}
	}
	return decided
}
