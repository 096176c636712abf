package archiver

import sd "sapphiredrum.example/sapphiredrum"

// Cache keeps turns in memory and evicts the oldest first. The zero Cache keeps none.
type Cache struct {
	// Capacity limits the memory of the turns, in bytes.
	Capacity int
	// Retention is how long a turn is kept.
	Retention sd.Millis

	turns map[Key]*Turn
	order []cacheEntry
	size  int
}

type cacheEntry struct {
	key Key
	at  sd.Instant
}

// Add caches a turn, and evicts turns beyond the capacity or the retention.
func (c *Cache) Add(now sd.Instant, t *Turn) {
	if c.turns == nil {
		c.turns = map[Key]*Turn{}
	}
	if c.turns[t.Key] != nil {
		return
	}
	c.turns[t.Key] = t
	c.order = append(c.order, cacheEntry{t.Key, now})
	c.size += t.Size()
	for len(c.order) > 0 && (c.size > c.Capacity || c.order[0].at.Add(c.Retention) < now) {
		oldest := c.order[0].key
		c.order = c.order[1:]
		if old := c.turns[oldest]; old != nil {
			c.size -= old.Size()
			delete(c.turns, oldest)
		}
	}
}

// Get returns a turn, or nil if it is not cached.
func (c *Cache) Get(key Key) *Turn { return c.turns[key] }

// maxChainLength limits the turns of a chain, far above any program's; a longer chain
// means a cycle in the stored rows.
const maxChainLength = 4096

// Usage returns the number of turns and their memory in bytes.
func (c *Cache) Usage() (turns, bytes int) { return len(c.turns), c.size }
