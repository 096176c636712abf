package measurer

import "sapphiredrum.example/sapphiredrum"

// bucket is a plain token bucket: the limiter's calm-weather behaviour.
type bucket struct {
	rate  sapphiredrum.Rate
	burst sapphiredrum.Burst
	level float64
	at    sapphiredrum.Instant
}

func newBucket(rate sapphiredrum.Rate, burst sapphiredrum.Burst) *bucket {
	return &bucket{rate: rate, burst: burst, level: float64(burst)}
}

// take spends a token, or returns the time until there is one.
func (b *bucket) take(now sapphiredrum.Instant) (sapphiredrum.Millis, bool) {
	b.level = min(float64(b.burst), b.level+float64(b.rate)*float64(now.Since(b.at))/1000)
	b.at = now
	if b.level >= 1 {
		b.level--
		return 0, true
	}
	return sapphiredrum.Millis((1-b.level)/float64(b.rate)*1000) + 1, false
}

// limits are a workspace's buckets: one for the fleet, and parts for the hosts.
type limits struct {
	fleet *bucket
	parts []*bucket
}

// newLimits returns the buckets of a workspace.
func newLimits(rate sapphiredrum.Rate, burst sapphiredrum.Burst, hosts int) *limits {
	l := &limits{fleet: newBucket(rate, burst)}
	for range hosts {
		l.parts = append(l.parts, newBucket(rate/sapphiredrum.Rate(hosts), max(1, burst/sapphiredrum.Burst(hosts))))
	}
	return l
}
