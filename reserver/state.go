package reserver

import (
	sd "sapphiredrum.example/sapphiredrum"
)

const (
	// smallShare is the part of the capacity that is reserved for the first bytes of holders.
	smallShare = 0.25
	// SmallBytes is the number of bytes of each holder that are taken from the small part,
	// several times the size of usual bodies and answers.
	SmallBytes = 32 << 10
	// groupShare is the part of the capacity that one group may take, so that two crowds at
	// once are needed to take all of it. headShare is that of heads, which are small unless they
	// are made to take memory.
	groupShare, headShare = 0.5, 0.25
	// connectionShare is the part of the large capacity that one holder may take. Messages of
	// other hosts, of which some are pages of the store, may take that of their group.
	connectionShare = 0.25
	// bodySlack is what a holder of the longest body and answer may take beside them: the last
	// pieces of both, of 256 KB at most.
	bodySlack = 512 << 10
	// stallTime is how long a holder must have moved no bytes before it may be evicted: longer
	// than a round trip and than the pauses of a sender on a busy link, and a fraction of the
	// shortest time limit of callers (1.2 s), so that one that comes back finds room.
	stallTime = 300 * sd.Millisecond
	// progressBytes and progressDivisor are what counts as progress: so many bytes, and at least
	// that fraction of what is held. A sender of single bytes makes none.
	progressBytes, progressDivisor = 4 << 10, 16
)

// Kind is the kind of bytes that a group holds.
type Kind int

// The kinds of bytes.
const (
	// Requests are the bodies and answers of callers' requests.
	Requests Kind = iota
	// Heads are request heads.
	Heads
	// Targets are heads of answers.
	Targets
	// Peers are messages of other hosts, and tunnels.
	Peers
	// Histories are pages of the store with earlier turns.
	Histories
)

// Group is a group of holders that share a part of the budget. Requests without a key have no
// workspace.
type Group struct {
	Kind      Kind
	Workspace sd.WorkspaceID
}

// Settings of a State.
type Settings struct {
	// Capacity is the number of bytes that all holders may take.
	Capacity int64
	// Answer is the size of the longest answer that is held whole.
	Answer int64
	// Requests is the number of holders of all groups of requests; zero means any number.
	Requests int
}

// usage is what the holders of a group, or all, have taken.
type usage struct {
	small, large int64
	holders      int
}

// Counts are the figures of a State.
type Counts struct {
	Small, Large      int64
	Holders           int
	Refused, Evicted  uint64
	SmallMost, Most   int64
	RefusedByRequests uint64
}

// State is the bookkeeping of a Budget.
type State struct {
	settings   Settings
	smallMost  int64
	largeMost  int64
	largest    int64
	all        usage
	groups     map[Group]*usage
	evictables map[*holding]struct{}
	counts     Counts
}

// holding is what one holder has taken.
type holding struct {
	group        Group
	small, large int64
	// markedAt is when the holder last made progress, moved the number of bytes since.
	markedAt sd.Instant
	moved    int64
	// evict, if set, has the owner give way.
	evict           func()
	evicted, closed bool
}

// NewState returns a State of which nothing is taken.
func NewState(settings Settings) *State {
	s := &State{settings: settings, groups: map[Group]*usage{}, evictables: map[*holding]struct{}{}}
	s.smallMost = int64(float64(settings.Capacity) * smallShare)
	s.largeMost = settings.Capacity - s.smallMost
	return s
}

// open adds a holder. It returns nil if the group has its share of the requests.
func (s *State) open(group Group) *holding {
	g := s.groups[group]
	if g == nil {
		g = &usage{}
		s.groups[group] = g
	}
	if group.Kind == Requests && s.settings.Requests > 0 && float64(g.holders+1) > max(float64(s.settings.Requests)*groupShare, 1) {
		s.counts.RefusedByRequests++
		return nil
	}
	g.holders++
	s.all.holders++
	return &holding{group: group}
}

// close returns all that a holder has taken.
func (s *State) close(h *holding) {
	if h.closed {
		return
	}
	h.closed = true
	s.give(h, h.small+h.large)
	h.evict = nil
	delete(s.evictables, h)
	g := s.groups[h.group]
	g.holders--
	s.all.holders--
	if g.holders == 0 {
		delete(s.groups, h.group)
	}
}

// share returns the largest part of most that a group may take.
func (s *State) share(kind Kind, most int64) int64 {
	if kind == Heads {
		return int64(float64(most) * headShare)
	}
	return int64(float64(most) * groupShare)
}

// reserve takes n bytes for a holder, evicting others if necessary. It returns false if there
// is no room for them.
func (s *State) reserve(now sd.Instant, h *holding, n int64) bool {
	for !h.evicted && !h.closed {
		small := min(n, max(SmallBytes-h.small, 0))
		own := s.fits(h, small, n-small)
		if own == fits {
			s.take(h, small, n-small)
			return true
		}
		if spilt := s.fits(h, 0, n); spilt == fits {
			s.take(h, 0, n)
			return true
		}
		if own == tooMuch {
			break
		}
		victim := s.victim(now, 0, func(v *holding) bool { return own != groupFull || v.group == h.group })
		if victim == nil || victim == h {
			break
		}
		s.evict(victim)
	}
	if !h.closed {
		s.counts.Refused++
	}
	return false
}

// fit is whether a reservation fits, and what prevents it.
type fit int

const (
	fits fit = iota
	// tooMuch is more than the holder may ever take.
	tooMuch
	groupFull
	full
)

// fits reports whether a holder may take bytes from the two parts.
func (s *State) fits(h *holding, small, large int64) fit {
	g := s.groups[h.group]
	most, longest := s.largeMost, int64(0)
	if h.group.Kind == Requests {
		// A single request with the longest body of the plan must fit, and with the longest
		// answer if there is room for both at all.
		most = max(most, s.largest+bodySlack)
		longest = min(most, s.largest+s.settings.Answer+bodySlack)
	}
	switch {
	case large > 0 && h.group.Kind != Peers && h.large+large > max(int64(float64(s.largeMost)*connectionShare), longest):
		return tooMuch
	case s.all.small+small > s.smallMost, large > 0 && s.all.large+large > most:
		return full
	case g.small+small > s.share(h.group.Kind, s.smallMost), large > 0 && g.large+large > max(s.share(h.group.Kind, s.largeMost), longest):
		return groupFull
	}
	return fits
}

func (s *State) take(h *holding, small, large int64) {
	g := s.groups[h.group]
	for _, u := range []*usage{&s.all, g} {
		u.small += small
		u.large += large
	}
	h.small += small
	h.large += large
}

// give returns n bytes of a holder, those of the large part first.
func (s *State) give(h *holding, n int64) {
	if h.evicted {
		return
	}
	large := min(n, h.large)
	s.take(h, -min(n-large, h.small), -large)
}

// progress records that a holder has moved n bytes.
func (s *State) progress(now sd.Instant, h *holding, n int64) {
	if h.moved += n; h.moved >= max(progressBytes, (h.small+h.large)/progressDivisor) {
		h.markedAt, h.moved = now, 0
	}
}

// setEvict sets what has the owner give way; nil means that the holder stays. It returns false
// if the holder was evicted already.
func (s *State) setEvict(now sd.Instant, h *holding, evict func()) bool {
	if h.evicted || h.closed {
		return false
	}
	h.evict, h.markedAt, h.moved = evict, now, 0
	if evict == nil {
		delete(s.evictables, h)
	} else {
		s.evictables[h] = struct{}{}
	}
	return true
}

// victim returns the holder that has held the most for the longest without progress, or nil if
// all have made some lately. Each counts as if it held least bytes more.
func (s *State) victim(now sd.Instant, least int64, eligible func(h *holding) bool) *holding {
	var worst *holding
	most := int64(0)
	for h := range s.evictables {
		stalled := now.Since(h.markedAt)
		if score := (h.small + h.large + least) * int64(stalled); stalled >= stallTime && score > most && eligible(h) {
			worst, most = h, score
		}
	}
	return worst
}

// evict has a holder give way. What it holds is free at once, as its owner lets go of it as soon
// as it runs.
func (s *State) evict(h *holding) {
	s.give(h, h.small+h.large)
	h.evicted = true
	delete(s.evictables, h)
	s.counts.Evicted++
	h.evict()
	h.evict = nil
}

// evictStalled evicts the request that has held the most for the longest without progress, also
// one that holds nothing but its connection.
func (s *State) evictStalled(now sd.Instant) bool {
	h := s.victim(now, 1, func(h *holding) bool { return h.group.Kind == Requests })
	if h == nil {
		return false
	}
	s.evict(h)
	return true
}
