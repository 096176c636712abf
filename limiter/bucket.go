package limiter

import (
	"math"

	"sapphiredrum.example/sapphiredrum"
)

// Bucket is a token bucket. The zero Bucket is empty, has no capacity and
// admits nothing until Set gives it a rate and a burst.
type Bucket struct {
	rate   sapphiredrum.Rate
	burst  sapphiredrum.Burst
	tokens float64
	at     sapphiredrum.Instant
}

// Set changes the bucket's rate and burst from now on. Tokens gained so far are
// kept up to the new burst; none are added. A raised rate counts from the next
// millisecond, because now may already be almost one old.
func (b *Bucket) Set(now sapphiredrum.Instant, rate sapphiredrum.Rate, burst sapphiredrum.Burst) {
	if rate == b.rate && burst == b.burst {
		return
	}
	b.advance(now)
	if rate > b.rate && b.at <= now {
		b.at = now.Add(sapphiredrum.Millisecond)
	}
	b.rate, b.burst = rate, burst
	b.clip(now)
}

// Take spends one token and reports whether there was one. If not, it returns
// the time until there is one, or Never.
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
	return false, max(sapphiredrum.Millisecond, sapphiredrum.Millis(wait)+b.at.Since(now))
}

// Tokens returns the number of tokens held now.
func (b *Bucket) Tokens(now sapphiredrum.Instant) float64 {
	b.advance(now)
	return b.tokens
}

// add puts tokens into the bucket, up to its burst.
func (b *Bucket) add(now sapphiredrum.Instant, tokens float64) {
	b.advance(now)
	b.tokens += tokens
	b.clip(now)
}

// advance adds the tokens gained since the last call. A now that lies before
// the last call changes nothing.
func (b *Bucket) advance(now sapphiredrum.Instant) {
	if b.at < now {
		b.tokens += float64(b.rate) * float64(now.Since(b.at)) / float64(sapphiredrum.Second)
		b.at = now
	}
	b.clip(now)
}

// clip drops tokens above the burst. A bucket that may be full counts from the
// next millisecond: now may be almost one old, and a full bucket gains nothing
// in it.
func (b *Bucket) clip(now sapphiredrum.Instant) {
	b.tokens = math.Min(b.tokens, float64(b.burst))
	next := now.Add(sapphiredrum.Millisecond)
	if b.tokens+float64(b.rate)/float64(sapphiredrum.Second) >= float64(b.burst) && b.at < next {
		b.at = next
	}
}
