package admitter_test

import (
	"context"
	"sync"
	"testing"
	"time"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/limiter"
)

// every calls step at even times, count times over the given length.
func every(count int, length sd.Millis, step func(i int)) {
	ticker := time.NewTicker(length.Duration() / time.Duration(count))
	defer ticker.Stop()
	for i := range count {
		<-ticker.C
		step(i)
	}
}

// warm waits until the first host has collected all shares and its account no
// longer counts as fresh.
func (w *world) warm(t *testing.T) {
	t.Helper()
	l := newLoad()
	every(30, 6*sd.Second, func(i int) {
		if refusal := l.ask(context.Background(), w.hosts[i%3]); refusal != nil {
			t.Fatalf("request %d, far below the rate: %v", i, refusal)
		}
	})
}

// In calm weather three hosts admit together what one bucket would: everything
// within the rate, and in a flood no more and no less than rate and burst.
func TestCalmWeatherIsOneBucket(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.warm(t)
	ctx := context.Background()
	l := newLoad()
	every(60, 2*sd.Second, func(i int) {
		if refusal := l.ask(ctx, w.hosts[i%3]); refusal != nil {
			t.Fatalf("request %d at half the rate: %v", i, refusal)
		}
	})
	var naive limiter.Bucket
	naive.Set(w.clock.Now(), rate, burst)
	every(600, 2*sd.Second, func(i int) {
		l.ask(ctx, w.hosts[i%3])
		naive.Take(w.clock.Now())
	})
	l.capped(t)
	if l.refused[sd.RateExceeded] == 0 || len(l.refused) != 1 {
		t.Fatalf("a flood was refused as %v", l.refused)
	}
	if got, least := len(l.admitted[w.hosts[0]])+len(l.admitted[w.hosts[1]])+len(l.admitted[w.hosts[2]]), 60+int(rate); got < least {
		t.Fatalf("%d admitted, one bucket gives at least %d", got, least)
	}
}

// A home that is cut off goes on with what it has, the other zones fall back on
// the next account, and the cap holds all the time. Requests do not queue for
// the absent host: it is asked once in a while only.
func TestHomeCutOff(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.warm(t)
	l := newLoad()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	end := w.clock.Now().Add(6 * sd.Second)
	var floods sync.WaitGroup
	for _, h := range w.hosts {
		floods.Add(1)
		go func() {
			defer floods.Done()
			for w.clock.Now() < end && ctx.Err() == nil {
				l.ask(ctx, h)
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	time.Sleep(sd.Second.Duration())
	w.hosts[0].cut.Store(true)
	cutAt, asked := w.clock.Now(), w.hosts[0].asked.Load()
	floods.Wait()
	l.capped(t)
	lone, other := 0, 0
	for h, spans := range l.admitted {
		for _, s := range spans {
			switch {
			case s.from <= cutAt:
			case h == w.hosts[0]:
				lone++
			default:
				other++
			}
		}
	}
	if lone == 0 || other == 0 {
		t.Fatalf("after the cut %d admitted at home, %d elsewhere: %v", lone, other, l.refused)
	}
	// Each of the two others has one question open when the cut comes, and then
	// asks once for each second in which the home is left out.
	tries := w.hosts[0].asked.Load() - asked
	if most := 2 * (2 + int64(w.clock.Now().Since(cutAt)/sd.Second)); tries > most {
		t.Fatalf("the absent home was asked %d times, at most %d are due", tries, most)
	}
	w.heal(t)
}

// heal ends the cut; every host is served again.
func (w *world) heal(t *testing.T) {
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
			t.Fatalf("zone %s is not served after the cut", h.zone)
		}
	}
}

// A host admits nothing for a shard that it does not hold, although its account
// still has tokens and others still take it for the holder.
func TestNothingWithoutTheShard(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.warm(t)
	for _, h := range w.hosts {
		h.bare.Store(true)
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
		h.bare.Store(false)
	}
	// The home has handed its shard over and nobody has taken it yet: the next
	// account serves everybody.
	w.hosts[0].Lose(context.Background(), limiter.Accounts(workspace, w.config.Sheet.Zones)[0])
	w.heal(t)
}
