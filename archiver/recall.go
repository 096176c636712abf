package archiver

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// Recall asks a host for a turn and those before it, as far as it has them.
type Recall struct{ Turn Key }

// Recalled is the answer to Recall, the turn first.
type Recalled struct{ Turns []*Turn }

// answerRecall returns a turn and those before it, as far as this host has them.
func (a *Archive) answerRecall(_ context.Context, request Recall) (Recalled, error) {
	var answer Recalled
	for key := request.Turn; key != (Key{}) && len(answer.Turns) < chainLimit; {
		t := a.cached(key)
		if t == nil {
			break
		}
		answer.Turns = append(answer.Turns, t)
		key = t.Previous
	}
	return answer, nil
}

// recall asks all hosts in reach for a turn and adds what they have to read. It
// returns how many answered.
func (a *Archive) recall(ctx context.Context, turn Key, read map[Key]*Turn) int {
	peers := a.alive()
	type reply struct {
		turns []*Turn
		err   error
	}
	replies := make(chan reply, len(peers))
	for _, p := range peers {
		go func() {
			turns, err := a.askTurns(ctx, p.Address, turn)
			replies <- reply{turns, err}
		}()
	}
	answered := 0
	for range peers {
		r := <-replies
		if r.err == nil {
			answered++
		}
		a.take(r.turns, read)
		if read[turn] != nil {
			break
		}
	}
	return answered
}

// cacher returns the host of the own zone that caches a program's turns for the
// others there, or nothing if that is this one. Callers come to any host of their
// zone, and bytes between zones are dear.
func (a *Archive) cacher(program Key) sd.Address {
	best, most := a.peers.Self, cacherRank(program, a.peers.Self.Host)
	for _, p := range a.alive() {
		if rank := cacherRank(program, p.Host); p.Zone == a.peers.Self.Zone && !p.Leaving && rank > most {
			best, most = p, rank
		}
	}
	if best.Host == a.peers.Self.Host {
		return ""
	}
	return best.Address
}

func cacherRank(program Key, host sd.HostID) uint64 {
	return xxhash.Sum64String(string(program[:]) + "|" + string(host))
}

// shareTurn has the zone's cacher of a program take a turn. If it does not, the turn
// is read from elsewhere.
func (a *Archive) shareTurn(ctx context.Context, t *Turn) {
	at := a.cacher(t.Program)
	if at == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	if _, err := messenger.Ask[*Turn, Done](ctx, a.peers.Client, at, messageCache, t); err != nil {
		a.log.Info("turn is not cached for the zone", zap.Int("event", eventCacher), zap.Stringer("program", t.Program),
			zap.String("cacher", string(at)), zap.Error(err))
	}
}

// answerCache takes a turn for the hosts of the zone.
func (a *Archive) answerCache(_ context.Context, t *Turn) (Done, error) {
	a.remember(t)
	return Done{}, nil
}

// recallFrom asks one host for a turn and adds what it has to read.
func (a *Archive) recallFrom(ctx context.Context, at sd.Address, turn Key, read map[Key]*Turn) {
	turns, err := a.askTurns(ctx, at, turn)
	if err != nil {
		a.suspects.add(a.clock.Now(), at)
		return
	}
	a.take(turns, read)
}

func (a *Archive) askTurns(ctx context.Context, at sd.Address, turn Key) ([]*Turn, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	answer, err := messenger.Ask[Recall, Recalled](ctx, a.peers.Client, at, messageRecall, Recall{turn})
	return answer.Turns, err
}

func (a *Archive) take(turns []*Turn, read map[Key]*Turn) {
	for _, t := range turns {
		read[t.Key] = t
		a.remember(t)
	}
}
