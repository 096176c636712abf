package archiver

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/reserver"
)

// RecallRequest asks a host for a turn and its predecessors, as far as they are cached.
type RecallRequest struct{ Turn Key }

// RecallResponse is the response to RecallRequest, newest turn first.
type RecallResponse struct {
	Turns []*Turn
	// Storing is set if the host has yet to store the turn, or has no memory to send it.
	Storing bool
}

// handleRecall returns a turn and its predecessors, as far as they are cached here and this host has
// memory to encode them. ctx ends once the answer was sent.
func (a *Archive) handleRecall(ctx context.Context, request RecallRequest) (RecallResponse, error) {
	answer := RecallResponse{Storing: a.isStoring(request.Turn)}
	holder, _ := a.settings.Budget.Open(reserver.Group{Kind: reserver.Histories})
	context.AfterFunc(ctx, holder.Close)
	for key := request.Turn; key != (Key{}) && len(answer.Turns) < maxChainLength; {
		t := a.cachedTurn(key)
		if t == nil {
			break
		}
		if !holder.Reserve(reserver.MessageFactor * t.Size()) {
			answer.Storing = answer.Storing || len(answer.Turns) == 0
			break
		}
		answer.Turns = append(answer.Turns, t)
		key = t.Previous
	}
	return answer, nil
}

// recallFromAll asks all reachable hosts for a turn and adds the turns received to
// s. It returns the number of hosts that responded.
func (a *Archive) recallFromAll(ctx context.Context, turn Key, s *search) int {
	peers := a.alive()
	type reply struct {
		answer RecallResponse
		err    error
	}
	replies := make(chan reply, len(peers))
	for _, p := range peers {
		go func() {
			answer, err := a.requestTurns(ctx, p.Address, turn)
			replies <- reply{answer, err}
		}()
	}
	answered := 0
	s.asked, s.answered = len(peers), 0
	for range peers {
		r := <-replies
		if r.err == nil {
			answered++
		}
		s.answered = answered
		s.storing = s.storing || r.answer.Storing
		a.addTurns(r.answer.Turns, s)
		if s.read[turn] != nil {
			break
		}
	}
	return answered
}

// cacher returns the host that caches a program's turns for this zone, or an empty
// address if it is this host. Callers use any host of their zone, and traffic between
// zones is expensive.
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

// sendToCacher sends a turn to the zone's cacher of its program. If that fails, the
// turn is read from elsewhere.
func (a *Archive) sendToCacher(ctx context.Context, t *Turn) {
	at := a.cacher(t.Program)
	if at == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	if _, err := messenger.Ask[*Turn, EmptyResponse](ctx, a.peers.Client, at, messageCache, t); err != nil {
		a.log.Info("cacher did not accept the turn", zap.Int("event", eventCacher), zap.Stringer("program", t.Program),
			zap.String("cacher", string(at)), zap.Error(err))
	}
}

// handleCache caches a turn for the other hosts of the zone.
func (a *Archive) handleCache(_ context.Context, t *Turn) (EmptyResponse, error) {
	a.cacheTurn(t)
	return EmptyResponse{}, nil
}

// recallFrom asks one host for a turn and adds the turns received to s.
func (a *Archive) recallFrom(ctx context.Context, at sd.Address, turn Key, s *search) {
	answer, err := a.requestTurns(ctx, at, turn)
	if err != nil {
		a.suspects.add(a.clock.Now(), at)
		return
	}
	a.addTurns(answer.Turns, s)
}

func (a *Archive) requestTurns(ctx context.Context, at sd.Address, turn Key) (RecallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	return messenger.Ask[RecallRequest, RecallResponse](ctx, a.peers.Client, at, messageRecall, RecallRequest{turn})
}

func (a *Archive) addTurns(turns []*Turn, s *search) {
	for _, t := range turns {
		s.add(t)
		a.cacheTurn(t)
	}
}
