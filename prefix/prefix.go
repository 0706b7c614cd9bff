// Package prefix hashes the blocks of a prompt. Routers and prompt caches use the hashes
// to identify prefixes that prompts have in common.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockSize is the size of a block of prompt text in bytes.
const BlockSize = 256

// Message is one message of a chat conversation.
type Message struct {
	Role    string
	Content string
}

// PromptText returns the prompt text of a conversation. The text of a conversation that
// continues another one starts with the text of that other one.
func PromptText(messages []Message) []byte {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	text := make([]byte, 0, size)
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = append(text, m.Content...)
		text = append(text, '\n')
	}
	return text
}

// BlockHashes returns one hash for each of the first blocks of the text, up to limit blocks. A
// hash covers its block and all blocks before it, and thus identifies a prefix of the
// text. An incomplete last block is left out.
func BlockHashes(text []byte, limit int) []uint64 {
	n := min(len(text)/BlockSize, limit)
	hashes := make([]uint64, 0, n)
	var previous [8]byte
	digest := xxhash.New()
	for i := range n {
		digest.Reset()
		_, _ = digest.Write(previous[:])
		_, _ = digest.Write(text[i*BlockSize : (i+1)*BlockSize])
		hash := digest.Sum64()
		hashes = append(hashes, hash)
		binary.LittleEndian.PutUint64(previous[:], hash)
	}
	return hashes
}
