package engine

import (
	"container/list"
	"sync"
)

// cache is a prefix cache of limited size, which evicts the block that was not
// used for the longest time.
type cache struct {
	capacity int

	mu     sync.Mutex
	order  *list.List // of uint64, most recently used first
	blocks map[uint64]*list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// use returns the number of leading blocks that were cached, and caches all.
func (c *cache) use(hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(hashes) && c.blocks[hashes[hits]] != nil {
		hits++
	}
	// The longest prefix is touched first, so that it is evicted first.
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(hashes[i])
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.order.Remove(oldest)
	}
	return hits
}

func (c *cache) touch(hash uint64) {
	if e, ok := c.blocks[hash]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.order.PushFront(hash)
}

// recent returns up to limit hashes, the most recently used first.
func (c *cache) recent(limit int) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hashes []uint64
	for e := c.order.Front(); e != nil && len(hashes) < limit; e = e.Next() {
		hashes = append(hashes, e.Value.(uint64))
	}
	return hashes
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.Init()
	clear(c.blocks)
}
