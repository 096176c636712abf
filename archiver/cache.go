package archiver

import sd "sapphiredrum.example/sapphiredrum"

// Cache keeps turns in memory, the oldest give way. The zero Cache keeps none.
type Cache struct {
	// Bytes bounds the memory of the turns.
	Bytes int
	// Retention is how long a turn is kept.
	Retention sd.Millis

	turns map[Key]*Turn
	order []cached
	size  int
}

type cached struct {
	key Key
	at  sd.Instant
}

// Add keeps a turn.
func (c *Cache) Add(now sd.Instant, t *Turn) {
	if c.turns == nil {
		c.turns = map[Key]*Turn{}
	}
	if c.turns[t.Key] != nil {
		return
	}
	c.turns[t.Key] = t
	c.order = append(c.order, cached{t.Key, now})
	c.size += t.Size()
	for len(c.order) > 0 && (c.size > c.Bytes || c.order[0].at.Add(c.Retention) < now) {
		oldest := c.order[0].key
		c.order = c.order[1:]
		if old := c.turns[oldest]; old != nil {
			c.size -= old.Size()
			delete(c.turns, oldest)
		}
	}
}

// Get returns a turn or nil.
func (c *Cache) Get(key Key) *Turn { return c.turns[key] }

// chainLimit bounds the turns of a chain, far above any program's; a longer one
// would be a loop in the stored rows.
const chainLimit = 4096

// Len returns the number of turns and their memory.
func (c *Cache) Len() (turns, bytes int) { return len(c.turns), c.size }
