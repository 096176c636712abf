package server_test

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/server"
)

// stream is an open request as the oracle sees it.
type stream struct {
	ctx  context.Context
	done func()
	key  sd.KeyID
	// cut is set when its key was withdrawn while it was open.
	cut bool
}

// A withdrawal cuts every open request of its key and no other, and what ended
// is forgotten.
func TestStreamsAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var streams server.Streams
		var open []*stream
		keys := rapid.SampledFrom([]sd.KeyID{"", "k1", "k2", "k3"})
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				s := &stream{key: keys.Draw(t, "key")}
				s.ctx, s.done = streams.Open(context.Background(), s.key)
				open = append(open, s)
			},
			"done": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				s := open[i]
				open = append(open[:i:i], open[i+1:]...)
				s.done()
				s.done()
				if s.ctx.Err() == nil {
					t.Fatal("the context of an ended request stays")
				}
			},
			"withdraw": func(t *rapid.T) {
				gone := keys.Draw(t, "gone")
				streams.Withdraw(func(key sd.KeyID) bool { return key != gone })
				for _, s := range open {
					s.cut = s.cut || s.key == gone && gone != ""
				}
			},
			"": func(t *rapid.T) {
				if streams.Count() != len(open) {
					t.Fatalf("%d are open, want %d", streams.Count(), len(open))
				}
				for _, s := range open {
					var refusal *sd.Refusal
					cut := errors.As(context.Cause(s.ctx), &refusal) && refusal.Reason == sd.KeyRevoked
					if cut != s.cut || (s.ctx.Err() != nil) != s.cut {
						t.Fatalf("request of key %q: cut %v, want %v", s.key, cut, s.cut)
					}
				}
			},
		})
	})
}
