package balancer

import sd "sapphiredrum.example/sapphiredrum"

// instance is one start of a target. A later start may have the same ID or address.
type instance struct {
	id          sd.TargetID
	incarnation sd.Incarnation
	address     sd.Address
}

// leavingTTL is how long an instance counts as leaving after its registration is gone. The
// registration may come back, as registrations lapse while the store is away.
const leavingTTL = 10 * sd.Minute

// instance returns the instance that is registered.
func (t *target) instance() instance { return instance{t.ID, t.Incarnation, t.Address} }

// sentTo returns the instance to which a request was sent.
func sentTo(req *Request) instance { return instance{req.Target, req.Incarnation, req.Address} }

// MarkLeaving records that the instance to which a request was sent has announced that it
// leaves. It gets no requests from then on, whatever its registration says. MarkLeaving reports
// whether this was not known.
func (s *State) MarkLeaving(now sd.Instant, req *Request) bool {
	sender := sentTo(req)
	_, known := s.announced[sender]
	s.announced[sender] = now
	if t := s.targets[req.Target]; t != nil && t.instance() == sender {
		t.announced = true
	}
	return !known
}

// Leaves reports whether the instance to which a request was sent is known to leave.
func (s *State) Leaves(req *Request) bool {
	if _, announced := s.announced[sentTo(req)]; announced {
		return true
	}
	t := s.targets[req.Target]
	return t != nil && t.instance() == sentTo(req) && t.Leaving
}

// Replaced reports whether another instance is registered under the ID or the address of the one
// to which a request was sent.
func (s *State) Replaced(req *Request) bool {
	if t := s.targets[req.Target]; t != nil {
		return t.instance() != sentTo(req)
	}
	for _, t := range s.targets {
		if t.Address == req.Address {
			return true
		}
	}
	return false
}

// accepts reports whether a target may get requests at all.
func (s *State) accepts(t *target) bool { return !t.Leaving && !t.announced && !s.evacuated[t.Zone] }

// forgetAnnounced drops the instances whose registration has been gone for leavingTTL.
func (s *State) forgetAnnounced(now sd.Instant) {
	for i, at := range s.announced {
		switch t := s.targets[i.id]; {
		case t != nil && t.instance() == i:
			s.announced[i] = now
		case now.Since(at) > leavingTTL:
			delete(s.announced, i)
		}
	}
}
