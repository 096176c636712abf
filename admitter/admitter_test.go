package admitter_test

import (
	"context"
	"sync"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/limiter"
)

// runEvenly calls step count times, evenly spaced over the given length.
func runEvenly(count int, length sd.Millis, step func(i int)) {
	ticker := time.NewTicker(length.Duration() / time.Duration(count))
	defer ticker.Stop()
	for i := range count {
		<-ticker.C
		step(i)
	}
}

// warmUp waits until the home has collected the loans of all zones and its account no longer
// counts as fresh.
func (w *cluster) warmUp(t *testing.T) {
	t.Helper()
	l := newLoad()
	runEvenly(30, 6*sd.Second, func(i int) {
		if refusal := l.ask(context.Background(), w.hosts[i%3]); refusal != nil {
			t.Fatalf("request %d, far below the rate: %v", i, refusal)
		}
	})
}

// Without failures three hosts admit what a single token bucket would: every request within the
// rate, and under overload neither more nor less than rate and burst.
func TestCalmWeatherIsOneBucket(t *testing.T) {
	t.Parallel()
	w := newCluster(t)
	w.warmUp(t)
	ctx := context.Background()
	l := newLoad()
	runEvenly(60, 2*sd.Second, func(i int) {
		if refusal := l.ask(ctx, w.hosts[i%3]); refusal != nil {
			t.Fatalf("request %d at half the rate: %v", i, refusal)
		}
	})
	var naive limiter.Bucket
	naive.Set(w.clock.Now(), rate, burst)
	runEvenly(600, 2*sd.Second, func(i int) {
		l.ask(ctx, w.hosts[i%3])
		naive.Take(w.clock.Now())
	})
	l.checkLimit(t)
	if l.refused[sd.RateExceeded] == 0 || len(l.refused) != 1 {
		t.Fatalf("overload was refused with the reasons %v", l.refused)
	}
	if got, least := len(l.admitted[w.hosts[0]])+len(l.admitted[w.hosts[1]])+len(l.admitted[w.hosts[2]]), 60+int(rate); got < least {
		t.Fatalf("%d admitted, a single bucket admits at least %d", got, least)
	}
}

// A partitioned home continues with the tokens it has, the elsewhere zones fall back to the next
// account, and the limit holds throughout. Requests do not queue for the unreachable host, which
// is only probed now and then.
func TestHomeCutOff(t *testing.T) {
	t.Parallel()
	w := newCluster(t)
	w.warmUp(t)
	l := newLoad()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	end := w.clock.Now().Add(6 * sd.Second)
	var senders sync.WaitGroup
	for _, h := range w.hosts {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for w.clock.Now() < end && ctx.Err() == nil {
				l.ask(ctx, h)
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	time.Sleep(sd.Second.Duration())
	w.hosts[0].cut.Store(true)
	cutAt, asked := w.clock.Now(), w.hosts[0].asked.Load()
	senders.Wait()
	l.checkLimit(t)
	atHome, elsewhere := 0, 0
	for h, spans := range l.admitted {
		for _, s := range spans {
			switch {
			case s.from <= cutAt:
			case h == w.hosts[0]:
				atHome++
			default:
				elsewhere++
			}
		}
	}
	if atHome == 0 || elsewhere == 0 {
		t.Fatalf("after the partition %d admitted at home, %d elsewhere: %v", atHome, elsewhere, l.refused)
	}
	// Each of the elsewhere two has one call in flight when the partition begins, and then makes
	// one for each second in which the home is skipped.
	calls := w.hosts[0].asked.Load() - asked
	if most := 2 * (2 + int64(w.clock.Now().Since(cutAt)/sd.Second)); calls > most {
		t.Fatalf("the unreachable home was called %d times, want at most %d", calls, most)
	}
	w.heal(t)
}

// heal ends the partition and checks that every host is served again.
func (w *cluster) heal(t *testing.T) {
	t.Helper()
	w.hosts[0].cut.Store(false)
	for _, h := range w.hosts {
		served := false
		for range 12 {
			if served = h.Admit(context.Background(), workspace) == nil; served {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !served {
			t.Fatalf("zone %s is not served after the partition", h.zone)
		}
	}
}

// A host must not admit requests for a shard that it does not own, although its account still has
// tokens and elsewhere hosts still regard it as the owner.
func TestNothingWithoutTheShard(t *testing.T) {
	t.Parallel()
	w := newCluster(t)
	w.warmUp(t)
	for _, h := range w.hosts {
		h.shardless.Store(true)
	}
	for _, h := range w.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		refusal := h.Admit(ctx, workspace)
		cancel()
		if refusal == nil || refusal.Reason != sd.KeeperUnavailable || refusal.Outcome != sd.NotRun {
			t.Fatalf("zone %s: %v", h.zone, refusal)
		}
	}
	for _, h := range w.hosts[1:] {
		h.shardless.Store(false)
	}
	// The home has released its shard and nobody has acquired it yet: the next account serves
	// all hosts.
	w.hosts[0].ReleaseShard(context.Background(), limiter.Accounts(workspace, w.config.Sheet.Zones)[0])
	w.heal(t)
}
