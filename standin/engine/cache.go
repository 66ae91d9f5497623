package engine

import (
	"container/list"
	"time"
)

// prefixCache remembers which prompt prefixes the engine holds, bounded and with
// the least recently used dropped first. Drops are published late, and every
// gap-th one never is.
type prefixCache struct {
	blocks int           // capacity
	lag    time.Duration // a drop is published this long after it
	gap    int           // every gap-th drop is lost; 0 loses none

	order   *list.List // of prefixKey, most recent first
	entries map[prefixKey]*list.Element
	drops   []drop
	dropped int
}

type prefixKey struct {
	model, adapter string
	hash           uint64
}

type drop struct {
	hash uint64
	at   time.Time
}

func newPrefixCache(blocks int, lag time.Duration, gap int) *prefixCache {
	return &prefixCache{blocks: blocks, lag: lag, gap: gap, order: list.New(), entries: make(map[prefixKey]*list.Element)}
}

// use returns how many leading blocks of the prompt are held, and holds them all
// from now on.
func (c *prefixCache) use(now time.Time, model, adapter string, prefix []uint64) int {
	hits := 0
	for i, hash := range prefix {
		key := prefixKey{model, adapter, hash}
		if e, ok := c.entries[key]; ok {
			c.order.MoveToFront(e)
			if hits == i {
				hits++
			}
			continue
		}
		c.entries[key] = c.order.PushFront(key)
	}
	for c.order.Len() > c.blocks {
		c.drop(now, c.order.Back())
	}
	return hits
}

func (c *prefixCache) drop(now time.Time, e *list.Element) {
	key := c.order.Remove(e).(prefixKey)
	delete(c.entries, key)
	c.dropped++
	if c.gap > 0 && c.dropped%c.gap == 0 {
		return
	}
	c.drops = append(c.drops, drop{key.hash, now})
}

// dropModel forgets all prefixes of a model.
func (c *prefixCache) dropModel(now time.Time, model string) {
	for e := c.order.Front(); e != nil; {
		next := e.Next()
		if e.Value.(prefixKey).model == model {
			c.drop(now, e)
		}
		e = next
	}
}

// published returns the drops whose time has come, once.
func (c *prefixCache) published(now time.Time) []uint64 {
	var hashes []uint64
	for len(c.drops) > 0 && now.Sub(c.drops[0].at) >= c.lag {
		hashes = append(hashes, c.drops[0].hash)
		c.drops = c.drops[1:]
	}
	return hashes
}
