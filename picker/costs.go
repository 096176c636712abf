package picker

import "sapphiredrum.example/sapphiredrum"

// Costs are the prices by which choices are compared. The zero value knows no
// costs; start from DefaultCosts.
type Costs struct {
	// Prefill is the time to compute a thousand prompt tokens.
	Prefill sapphiredrum.Millis
	// Hold is the mean time that a call holds a permit.
	Hold sapphiredrum.Millis
	// Move and Setup are the times to move a thousand tokens of a prefix to
	// another target and to begin such a move.
	Move  sapphiredrum.Millis
	Setup sapphiredrum.Millis
	// Stay is how much longer the wait in the home zone may be before a call
	// goes to another zone.
	Stay sapphiredrum.Millis
	// Stale is the age at which a belief about a prefix has lost half its value.
	Stale sapphiredrum.Millis
	// Rent is the time that keeping a thousand tokens for one second costs other
	// programs when the memory is full.
	Rent sapphiredrum.Millis
}

// DefaultCosts returns costs for mid-sized models.
func DefaultCosts() Costs {
	return Costs{
		Prefill: 125 * sapphiredrum.Millisecond,
		Hold:    5 * sapphiredrum.Second,
		Move:    40 * sapphiredrum.Millisecond,
		Setup:   100 * sapphiredrum.Millisecond,
		Stay:    2 * sapphiredrum.Second,
		Stale:   60 * sapphiredrum.Second,
		Rent:    3 * sapphiredrum.Millisecond,
	}
}

// Recompute returns the time to compute the tokens again.
func (c Costs) Recompute(tokens sapphiredrum.Tokens) sapphiredrum.Millis {
	return c.Prefill * sapphiredrum.Millis(max(tokens, 0)) / 1000
}

// Transfer returns the time to move the tokens of a prefix to another target.
func (c Costs) Transfer(tokens sapphiredrum.Tokens) sapphiredrum.Millis {
	return c.Setup + c.Move*sapphiredrum.Millis(max(tokens, 0))/1000
}

// Moves reports whether moving a prefix is cheaper than recomputing it.
func (c Costs) Moves(tokens sapphiredrum.Tokens) bool {
	return c.Transfer(tokens) < c.Recompute(tokens)
}

// Keeps reports whether a prefix should stay over a pause that is expected to
// last for the given time, where full is the part of the target's memory in use
// and longest bounds any pause (Policy.Keep; zero means no bound).
func (c Costs) Keeps(pause, longest sapphiredrum.Millis, full sapphiredrum.Share) bool {
	if longest > 0 && pause > longest {
		return false
	}
	rent := float64(c.Rent) * float64(pause) / float64(sapphiredrum.Second)
	return rent*float64(full) <= float64(c.Prefill)
}

// Wait returns the expected wait at a candidate.
func (c Costs) Wait(x sapphiredrum.Candidate) sapphiredrum.Millis {
	ahead := max(0, x.Queued+x.Running+1-x.Limit)
	return c.Hold * sapphiredrum.Millis(ahead) / sapphiredrum.Millis(max(x.Limit, 1))
}

// Believed returns the part of the candidate's prefix that is likely still
// held: it halves with every Stale of its age.
func (c Costs) Believed(x sapphiredrum.Candidate) sapphiredrum.Tokens {
	if c.Stale <= 0 {
		return x.Cached
	}
	return sapphiredrum.Tokens(float64(x.Cached) * halved(x.CachedAge, c.Stale))
}
