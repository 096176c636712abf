package limiter

import (
	"math"

	"sapphiredrum.example/sapphiredrum"
)

// Bucket is a token bucket. The zero Bucket is empty, has no capacity and
// admits nothing until Set gives it a rate and a burst.
type Bucket struct {
	rate      sapphiredrum.Rate
	burst     sapphiredrum.Burst
	tokens    float64
	updatedAt sapphiredrum.Instant
}

// Set changes the rate and burst from now on. Tokens accrued so far are kept up to
// the new burst; none are added. A raised rate counts from the next millisecond,
// because the current millisecond may be almost over.
func (b *Bucket) Set(now sapphiredrum.Instant, rate sapphiredrum.Rate, burst sapphiredrum.Burst) {
	if rate == b.rate && burst == b.burst {
		return
	}
	b.advance(now)
	if rate > b.rate && b.updatedAt <= now {
		b.updatedAt = now.Add(sapphiredrum.Millisecond)
	}
	b.rate, b.burst = rate, burst
	b.limitToBurst(now)
}

// Take spends one token and reports whether there was one. If not, it returns
// the time until the next token, or Never.
func (b *Bucket) Take(now sapphiredrum.Instant) (bool, sapphiredrum.Millis) {
	b.advance(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.rate <= 0 || b.burst < 1 {
		return false, Never
	}
	wait := math.Ceil((1 - b.tokens) / float64(b.rate) * float64(sapphiredrum.Second))
	return false, max(sapphiredrum.Millisecond, sapphiredrum.Millis(wait)+b.updatedAt.Since(now))
}

// Tokens returns the number of tokens in the bucket now.
func (b *Bucket) Tokens(now sapphiredrum.Instant) float64 {
	b.advance(now)
	return b.tokens
}

// add puts tokens into the bucket, up to its burst.
func (b *Bucket) add(now sapphiredrum.Instant, tokens float64) {
	b.advance(now)
	b.tokens += tokens
	b.limitToBurst(now)
}

// advance adds the tokens accrued since the last call. An earlier now changes nothing.
func (b *Bucket) advance(now sapphiredrum.Instant) {
	if b.updatedAt < now {
		b.tokens += float64(b.rate) * float64(now.Since(b.updatedAt)) / float64(sapphiredrum.Second)
		b.updatedAt = now
	}
	b.limitToBurst(now)
}

// limitToBurst discards tokens above the burst. A bucket that may be full accrues
// from the next millisecond: the current one may be almost over, and a full bucket
// accrues nothing in it.
func (b *Bucket) limitToBurst(now sapphiredrum.Instant) {
	b.tokens = math.Min(b.tokens, float64(b.burst))
	next := now.Add(sapphiredrum.Millisecond)
	if b.tokens+float64(b.rate)/float64(sapphiredrum.Second) >= float64(b.burst) && b.updatedAt < next {
		b.updatedAt = next
	}
}
