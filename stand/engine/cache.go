package engine

import (
	"container/list"
	"sync"
)

// prefixCache is a prefix cache of limited size that evicts the least recently
// used block.
type prefixCache struct {
	capacity int

	mu     sync.Mutex
	recent *list.List // of block hashes (uint64), most recently used first
	blocks map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recent: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookupAndInsert returns the number of leading blocks that were cached, and then
// caches all blocks.
func (c *prefixCache) lookupAndInsert(hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(hashes) && c.blocks[hashes[hits]] != nil {
		hits++
	}
	// Blocks are marked as used from the last to the first, so that the block at the
	// end of the longest prefix is evicted first.
	for i := len(hashes) - 1; i >= 0; i-- {
		c.markUsed(hashes[i])
	}
	for c.recent.Len() > c.capacity {
		oldest := c.recent.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.recent.Remove(oldest)
	}
	return hits
}

// markUsed moves a block to the front of the list and caches it if it wasn't cached.
func (c *prefixCache) markUsed(hash uint64) {
	if e, ok := c.blocks[hash]; ok {
		c.recent.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.recent.PushFront(hash)
}

// mostRecent returns the hashes of up to limit blocks, most recently used first.
func (c *prefixCache) mostRecent(limit int) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hashes []uint64
	for e := c.recent.Front(); e != nil && len(hashes) < limit; e = e.Next() {
		hashes = append(hashes, e.Value.(uint64))
	}
	return hashes
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.Init()
	clear(c.blocks)
}
