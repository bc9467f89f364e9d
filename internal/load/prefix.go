package load

import (
	"sync"

	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

const (
	prefixShards = 16
	// holdersPerPrefix limits the targets stored per prefix. More would not help,
	// because a decision needs only one that is not busy.
	holdersPerPrefix = 6
	// DefaultPrefixEntries limits the index to about 12 MB.
	DefaultPrefixEntries = 1 << 17
)

// prefixIndex maps the hash of a prompt prefix to the targets that have it in their
// KV cache. Its memory is bounded: a full shard evicts an arbitrary entry, because
// a missing entry only costs a prefill that could have been avoided.
type prefixIndex struct {
	perShard int
	shards   [prefixShards]prefixShard

	// generations counts how often the entries of each target were invalidated.
	// Entries of an older generation are ignored, so that no scan is needed.
	mu          sync.RWMutex
	generations []uint32
}

type prefixShard struct {
	mu      sync.RWMutex
	entries map[uint64]prefixEntry
}

type prefixEntry struct {
	holders [holdersPerPrefix]indexedHolder
	count   int
}

type indexedHolder struct {
	id         uint32
	generation uint32
}

func newPrefixIndex(entries int) *prefixIndex {
	x := &prefixIndex{perShard: max(1, entries/prefixShards)}
	for i := range x.shards {
		x.shards[i].entries = map[uint64]prefixEntry{}
	}
	return x
}

func (x *prefixIndex) shard(prefix uint64) *prefixShard {
	return &x.shards[(prefix^prefix>>32)%prefixShards]
}

// invalidate removes all prefixes of a target.
func (x *prefixIndex) invalidate(id uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for int(id) >= len(x.generations) {
		x.generations = append(x.generations, 0)
	}
	x.generations[id]++
}

func (x *prefixIndex) generation(id uint32) uint32 {
	x.mu.RLock()
	defer x.mu.RUnlock()
	if int(id) >= len(x.generations) {
		return 0
	}
	return x.generations[id]
}

// add records that a target has cached a prefix.
func (x *prefixIndex) add(prefix uint64, id uint32) {
	holder := indexedHolder{id: id, generation: x.generation(id)}
	s := x.shard(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[prefix]
	if !known && len(s.entries) >= x.perShard {
		s.evictLocked()
	}
	e.remove(id)
	if e.count == holdersPerPrefix {
		copy(e.holders[:], e.holders[1:])
		e.count--
	}
	e.holders[e.count] = holder
	e.count++
	s.entries[prefix] = e
}

func (s *prefixShard) evictLocked() {
	for prefix := range s.entries {
		delete(s.entries, prefix)
		return
	}
}

// remove records that a target has evicted a prefix.
func (x *prefixIndex) remove(prefix uint64, id uint32) {
	s := x.shard(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[prefix]
	if !ok {
		return
	}
	e.remove(id)
	if e.count == 0 {
		delete(s.entries, prefix)
		return
	}
	s.entries[prefix] = e
}

func (e *prefixEntry) remove(id uint32) {
	kept := 0
	for i := range e.count {
		if e.holders[i].id != id {
			e.holders[kept] = e.holders[i]
			kept++
		}
	}
	e.count = kept
}

// Holders implements scheduler.Prefixes. It finds the longest known prefix by binary
// search, because a target that has cached a block normally has the preceding
// blocks too. It returns the holders of each block visited by the search.
func (x *prefixIndex) Holders(prefix []uint64) (h scheduler.Holders) {
	low, high := 0, len(prefix) // blocks before low are cached by some target
	for low < high {
		middle := (low + high) / 2
		if x.appendHolders(prefix[middle], (middle+1)*engine.PrefixBlockTokens, &h) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return h
}

// appendHolders adds the holders of one block to h and reports whether there are
// any.
func (x *prefixIndex) appendHolders(prefix uint64, tokens int, h *scheduler.Holders) bool {
	s := x.shard(prefix)
	s.mu.RLock()
	e, ok := s.entries[prefix]
	s.mu.RUnlock()
	if !ok {
		return false
	}
	found := false
	for i := range e.count {
		if e.holders[i].generation == x.generation(e.holders[i].id) {
			found = true
			addHolder(h, e.holders[i].id, tokens)
		}
	}
	return found
}

func addHolder(h *scheduler.Holders, id uint32, tokens int) {
	for i := range h.Count {
		if h.List[i].ID == id {
			h.List[i].Tokens = max(h.List[i].Tokens, tokens)
			return
		}
	}
	if h.Count < len(h.List) {
		h.List[h.Count] = scheduler.Holder{ID: id, Tokens: tokens}
		h.Count++
	}
}

// cacheReader applies the cache events of one target to the index.
type cacheReader struct {
	index        *prefixIndex
	id           uint32
	startNumber  uint64
	lastSequence uint64 // sequence number of the last event applied
}

// setStartNumber resets the reader if the target has restarted since.
func (r *cacheReader) setStartNumber(startNumber uint64) {
	if startNumber == r.startNumber {
		return
	}
	r.reset()
	r.startNumber = startNumber
}

// reset removes all prefixes of the target and starts again from its first event.
func (r *cacheReader) reset() {
	r.index.invalidate(r.id)
	r.lastSequence = 0
}

// apply applies a batch of events that was requested from r.lastSequence on. It
// reports whether events were lost. A lost event may have been a removal, so all
// entries from earlier events are invalidated; the events after it are reliable.
func (r *cacheReader) apply(batch engine.CacheEvents) (gap bool) {
	if batch.StartNumber != r.startNumber {
		// The events were requested with a sequence number from before the restart.
		r.setStartNumber(batch.StartNumber)
		return false
	}
	for _, e := range batch.Events {
		if e.Sequence <= r.lastSequence {
			continue
		}
		if e.Sequence != r.lastSequence+1 && r.lastSequence > 0 {
			r.index.invalidate(r.id)
			gap = true
		}
		r.lastSequence = e.Sequence
		if e.Removed {
			r.index.remove(e.Prefix, r.id)
		} else {
			r.index.add(e.Prefix, r.id)
		}
	}
	return gap
}
