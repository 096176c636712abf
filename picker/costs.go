package picker

import "sapphiredrum.example/sapphiredrum"

// Costs are the times by which choices are compared. In the zero value everything
// is free; start from DefaultCosts.
type Costs struct {
	// Prefill is the time to compute a thousand prompt tokens.
	Prefill sapphiredrum.Millis
	// MeanHoldTime is the mean time that a call holds a permit.
	MeanHoldTime sapphiredrum.Millis
	// TransferCost is the time to transfer a thousand tokens of a prefix to another
	// target, TransferSetup the time to start such a transfer.
	TransferCost  sapphiredrum.Millis
	TransferSetup sapphiredrum.Millis
	// CrossZonePenalty is how much longer the expected time in the home zone may be
	// before a call goes to another zone.
	CrossZonePenalty sapphiredrum.Millis
	// HintHalfLife is the age at which a prefix hint has lost half its value.
	HintHalfLife sapphiredrum.Millis
	// RetentionCost is the time that keeping a thousand tokens for one second costs
	// other programs when the cache is full.
	RetentionCost sapphiredrum.Millis
}

// DefaultCosts returns costs for mid-sized models.
func DefaultCosts() Costs {
	return Costs{
		Prefill:          125 * sapphiredrum.Millisecond,
		MeanHoldTime:     5 * sapphiredrum.Second,
		TransferCost:     40 * sapphiredrum.Millisecond,
		TransferSetup:    100 * sapphiredrum.Millisecond,
		CrossZonePenalty: 2 * sapphiredrum.Second,
		HintHalfLife:     60 * sapphiredrum.Second,
		RetentionCost:    3 * sapphiredrum.Millisecond,
	}
}

// Recompute returns the time to compute the tokens again.
func (c Costs) Recompute(tokens sapphiredrum.Tokens) sapphiredrum.Millis {
	return c.Prefill * sapphiredrum.Millis(max(tokens, 0)) / 1000
}

// Transfer returns the time to transfer a prefix to another target.
func (c Costs) Transfer(tokens sapphiredrum.Tokens) sapphiredrum.Millis {
	return c.TransferSetup + c.TransferCost*sapphiredrum.Millis(max(tokens, 0))/1000
}

// ShouldTransfer reports whether transferring a prefix is cheaper than recomputing
// it.
func (c Costs) ShouldTransfer(tokens sapphiredrum.Tokens) bool {
	return c.Transfer(tokens) < c.Recompute(tokens)
}

// ShouldRetain reports whether to keep a prefix in the cache over a pause of the
// given expected length. full is the share of the target's cache in use, and
// longest bounds any pause (Policy.PrefixHold; zero means no bound).
func (c Costs) ShouldRetain(pause, longest sapphiredrum.Millis, full sapphiredrum.Share) bool {
	if longest > 0 && pause > longest {
		return false
	}
	rent := float64(c.RetentionCost) * float64(pause) / float64(sapphiredrum.Second)
	return rent*float64(full) <= float64(c.Prefill)
}

// Wait returns the expected wait in a candidate's queue.
func (c Costs) Wait(x sapphiredrum.Candidate) sapphiredrum.Millis {
	ahead := max(0, x.Queued+x.Running+1-x.Limit)
	return c.MeanHoldTime * sapphiredrum.Millis(ahead) / sapphiredrum.Millis(max(x.Limit, 1))
}

// ExpectedCached returns the part of the candidate's prefix that is likely still
// cached. It halves with every HintHalfLife of the hint's age.
func (c Costs) ExpectedCached(x sapphiredrum.Candidate) sapphiredrum.Tokens {
	if c.HintHalfLife <= 0 {
		return x.Cached
	}
	return sapphiredrum.Tokens(float64(x.Cached) * decayFactor(x.CachedAge, c.HintHalfLife))
}
