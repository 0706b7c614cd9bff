package trace

import "container/list"

// cache is a prefix cache with least-recently-used eviction.
type cache struct {
	maxBlocks int
	blocks    *list.List
	elements  map[uint64]*list.Element
}

func newCache(maxBlocks int) *cache {
	return &cache{maxBlocks: maxBlocks, blocks: list.New(), elements: make(map[uint64]*list.Element)}
}

// lookUpAndAdd returns the number of leading blocks that are in the cache. It marks all
// blocks as used and adds those that are missing.
func (c *cache) lookUpAndAdd(prefixes []uint64) int {
	hits := 0
	for hits < len(prefixes) && c.elements[prefixes[hits]] != nil {
		hits++
	}
	for _, prefix := range prefixes {
		if e, ok := c.elements[prefix]; ok {
			c.blocks.MoveToFront(e)
			continue
		}
		c.elements[prefix] = c.blocks.PushFront(prefix)
	}
	for c.blocks.Len() > c.maxBlocks {
		oldest := c.blocks.Back()
		delete(c.elements, oldest.Value.(uint64))
		c.blocks.Remove(oldest)
	}
	return hits
}

// mostRecent returns the n blocks that were used last, or all if there are fewer.
func (c *cache) mostRecent(n int) []uint64 {
	var recent []uint64
	for e := c.blocks.Front(); e != nil && len(recent) < n; e = e.Next() {
		recent = append(recent, e.Value.(uint64))
	}
	return recent
}
