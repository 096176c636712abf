package receiver_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/gossiper"
)

// Guards against prompts that stay counted as unread once an answer has begun or ended, and against
// a first event that is not measured: other hosts would avoid the target for nothing.
func TestUnreadPromptsAreCountedUntilTheFirstEvent(t *testing.T) {
	b := newBench(t)
	b.queue.Update(func(s *balancer.State, _ sd.Instant) {
		s.Configure([]sd.Pool{{Name: "engines", CacheCapacity: 90000, TokensPerEvent: 14}})
		s.ConfigureRules([]sd.RoutingRule{{Streaming: true, PoolShares: []sd.PoolShare{{Pool: "engines", Weight: 1}}}})
	})
	var told balancer.Tokens
	done := make(chan struct{})
	go func() {
		defer close(done)
		for len(told.Unread) == 0 && len(told.InFlight) == 0 && t.Context().Err() == nil {
			b.queue.Update(func(s *balancer.State, now sd.Instant) { told = s.LocalTokens(now) })
			time.Sleep(time.Millisecond)
		}
	}()
	if status, _, whole := b.turn("r1", "", "hello", "Token-Usage", "9000,56", "Prompt-Prefix", "a:3000"); status != 200 || !whole {
		t.Fatalf("status %d", status)
	}
	<-done
	inflight := 0
	for _, code := range []gossiper.IDHash{gossiper.HashID("e1"), gossiper.HashID("e2")} {
		inflight += told.InFlight[code]
	}
	if inflight != 9056 {
		t.Errorf("%d tokens in flight were told to other hosts, want 9056", inflight)
	}
	b.queue.Update(func(s *balancer.State, now sd.Instant) { told = s.LocalTokens(now) })
	if len(told.Unread)+len(told.InFlight) != 0 || b.queue.UnreadTokens() != 0 {
		t.Errorf("tokens are counted after the answer: %v", told)
	}
	var page bytes.Buffer
	b.metrics.Set.WritePrometheus(&page)
	for _, name := range []string{`first_event_seconds_count{prompt="long"} 1`, "unread_tokens_inflight 0"} {
		if !strings.Contains(page.String(), name) {
			t.Errorf("no %s among the metrics", name)
		}
	}
}
