package engine

import "hash/fnv"

// PrefixBlockTokens is the number of tokens in a block of the prefix cache.
const PrefixBlockTokens = 256

// MaxPrefixBlocks limits the number of blocks that are hashed per prompt.
const MaxPrefixBlocks = 64

// AppendPrefixHashes appends the hash of each complete block of the prompt to
// dst. The hash of a block covers all preceding blocks, so equal hashes mean
// equal prefixes.
func AppendPrefixHashes(dst []uint64, promptJSON []byte, bytesPerToken int) []uint64 {
	block := PrefixBlockTokens * bytesPerToken
	h := fnv.New64a()
	for i := 0; i < MaxPrefixBlocks && len(promptJSON) >= block; i++ {
		h.Write(promptJSON[:block])
		dst = append(dst, h.Sum64())
		promptJSON = promptJSON[block:]
	}
	return dst
}
