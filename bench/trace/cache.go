package trace

import "container/list"

// cache is a prefix cache that forgets the least recently used blocks.
type cache struct {
	size  int
	order *list.List
	where map[uint64]*list.Element
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), where: make(map[uint64]*list.Element)}
}

// use returns the number of leading blocks found, and adds all of them.
func (c *cache) use(prefixes []uint64) int {
	hit := 0
	for hit < len(prefixes) && c.where[prefixes[hit]] != nil {
		hit++
	}
	for _, prefix := range prefixes {
		if e, ok := c.where[prefix]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.where[prefix] = c.order.PushFront(prefix)
	}
	for c.order.Len() > c.size {
		oldest := c.order.Back()
		delete(c.where, oldest.Value.(uint64))
		c.order.Remove(oldest)
	}
	return hit
}

// newest returns up to n of the blocks used last.
func (c *cache) newest(n int) []uint64 {
	var blocks []uint64
	for e := c.order.Front(); e != nil && len(blocks) < n; e = e.Next() {
		blocks = append(blocks, e.Value.(uint64))
	}
	return blocks
}
