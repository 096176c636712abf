package tunneler

import (
	"context"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
)

// state reports whether a target was missed lately, and whether the host is detached.
func (t *Tunneler) state(target sd.Address) (missed, detached bool) {
	now := t.Clock.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	at, known := t.missed[target]
	return known && now.Since(at) < missedTTL, t.detached
}

// reach records that a direct connection to a target was opened.
func (t *Tunneler) reach(target sd.Address) {
	now := t.Clock.Now()
	t.lock.Lock()
	delete(t.missed, target)
	t.reachedAt = now
	was := t.detached
	t.detached = false
	t.lock.Unlock()
	if was {
		t.change(false)
	}
}

// miss records that a target was reached only through a tunnel.
func (t *Tunneler) miss(target sd.Address) {
	now := t.Clock.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	t.missed[target] = now
	for other, at := range t.missed {
		if now.Since(at) >= missedTTL {
			delete(t.missed, other)
		}
	}
}

func (t *Tunneler) change(detached bool) {
	t.Log.Warn("host reaches no targets, or does again", zap.Int("event", eventDetached), zap.Bool("detached", detached))
	if t.Changed != nil {
		t.Changed()
	}
}

// survey tries some targets directly that were not missed, in the background. If none is
// reached, the host is detached. Requests on idle connections to them would otherwise
// be lost before that is known.
func (t *Tunneler) survey() {
	var others []sd.Address
	for _, target := range t.Targets() {
		if missed, _ := t.state(target); !missed {
			others = append(others, target)
		}
	}
	now := t.Clock.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.closed || t.detached || t.surveying || len(others) == 0 || (t.surveyedAt != 0 && now.Since(t.surveyedAt) < surveyInterval) {
		return
	}
	t.surveying, t.surveyedAt = true, now
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), surveySize)]
	t.running.Go(func() {
		results := make(chan bool, len(others))
		for _, target := range others {
			go func() { results <- t.probe(t.closing, target) }()
		}
		reached := false
		for range others {
			reached = <-results || reached
		}
		t.lock.Lock()
		t.surveying = false
		becomes := !reached && t.reachedAt <= now && !t.detached && t.closing.Err() == nil
		t.detached = t.detached || becomes
		t.lock.Unlock()
		if becomes {
			t.change(true)
		}
	})
}

// probe reports whether a direct connection to a target can be opened.
func (t *Tunneler) probe(ctx context.Context, target sd.Address) bool {
	conn, err := t.Direct.Dial(ctx, target, probeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	t.reach(target)
	return true
}

// judge tells what a refused connection says of the target: errorRefused if this host
// certainly reaches other targets, errorAlone if there is no other target to tell by, or
// empty, as this host may be partitioned.
func (t *Tunneler) judge(ctx context.Context, refused sd.Address) string {
	now := t.Clock.Now()
	t.lock.Lock()
	evident := !t.detached && t.reachedAt != 0 && now.Since(t.reachedAt) < evidenceTTL
	t.lock.Unlock()
	if evident {
		return errorRefused
	}
	others := slices.DeleteFunc(t.Targets(), func(target sd.Address) bool { return target == refused })
	if len(others) == 0 {
		return errorAlone
	}
	if t.probe(ctx, others[rand.IntN(len(others))]) {
		return errorRefused
	}
	return ""
}
