package capacity

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/membership"
)

const (
	// maxStageBytes bounds the warm-up stages in one heartbeat. With 8
	// heartbeats each 500 ms this is 6 KB/s, of 11 KB/s that a VM may use for
	// control traffic.
	maxStageBytes = 384
	// maxWarmStageBytes bounds the part that repeats warm stages for VMs that
	// have just started.
	maxWarmStageBytes = 96
	// changeRepeatDuration is how long heartbeats carry a change with priority.
	// It spans several heartbeats to each peer, so that the loss of one does
	// not matter.
	changeRepeatDuration = 3 * time.Second
)

// stageGossip selects the warm-up stages that heartbeats carry.
type stageGossip struct {
	mu            sync.Mutex
	recentChanges []stageChange
	cursor        [2]string // last target sent round-robin: [0] not warm, [1] warm
}

type stageChange struct {
	target string
	until  time.Time
}

// add queues a target whose stage changed on this VM.
func (g *stageGossip) add(target string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recentChanges = slices.DeleteFunc(g.recentChanges, func(c stageChange) bool { return c.target == target })
	g.recentChanges = slices.Insert(g.recentChanges, 0, stageChange{target, now.Add(changeRepeatDuration)})
}

// Attachment carries the warm-up stages of targets in heartbeats.
func (l *Ledger) Attachment() membership.Attachment {
	return membership.Attachment{Name: "stages", Produce: l.encodeStages, Consume: l.mergeStages}
}

// encodeStages encodes recent changes first, then targets that are not warm,
// then some of the warm ones in round-robin order.
func (l *Ledger) encodeStages() []byte {
	l.gossip.mu.Lock()
	defer l.gossip.mu.Unlock()
	buf := l.encodeRecent(nil)
	snap := l.snapshot.Load()
	buf = l.encodeRoundRobin(buf, snap, false, maxStageBytes)
	return l.encodeRoundRobin(buf, snap, true, min(maxStageBytes, len(buf)+maxWarmStageBytes))
}

// encodeRecent appends the changes that still have to be repeated. Those that
// were sent move to the end of the queue.
func (l *Ledger) encodeRecent(buf []byte) []byte {
	now := l.Now()
	g := &l.gossip
	g.recentChanges = slices.DeleteFunc(g.recentChanges, func(c stageChange) bool { return now.After(c.until) })
	sent := 0
	for _, c := range g.recentChanges {
		entry := l.encodeStage(c.target)
		if len(buf)+len(entry) > maxStageBytes {
			break
		}
		buf = append(buf, entry...)
		sent++
	}
	g.recentChanges = slices.Concat(g.recentChanges[sent:], g.recentChanges[:sent])
	return buf
}

// encodeRoundRobin appends the stages of either warm or not yet warm targets
// up to a size limit. It starts after the target that it sent last.
func (l *Ledger) encodeRoundRobin(buf []byte, snap *snapshot, warm bool, limit int) []byte {
	cursor, wanted := &l.gossip.cursor[0], warmupCold
	if warm {
		cursor, wanted = &l.gossip.cursor[1], warmupWarm
	}
	first, found := slices.BinarySearchFunc(snap.sorted, *cursor, func(b *targetBudget, id string) int { return strings.Compare(b.id, id) })
	if found {
		first++
	}
	for i := range snap.sorted {
		b := snap.sorted[(first+i)%len(snap.sorted)]
		if b.warmupKind.Load() != wanted {
			continue
		}
		entry := l.encodeStage(b.id)
		if len(buf)+len(entry) > limit {
			return buf
		}
		buf = append(buf, entry...)
		*cursor = b.id
	}
	return buf
}

func (l *Ledger) encodeStage(target string) []byte {
	s := l.WarmupStage(target)
	buf := binary.AppendUvarint(nil, uint64(len(target)))
	buf = append(buf, target...)
	buf = binary.AppendUvarint(buf, s.StartNumber)
	buf = binary.AppendUvarint(buf, s.ColdResets)
	return binary.AppendUvarint(buf, uint64(s.Doublings))
}

// mergeStages merges the stages that a peer sent. It stops at malformed data.
func (l *Ledger) mergeStages(_ membership.Instance, data []byte) {
	for len(data) > 0 {
		target, s, rest, ok := decodeStage(data)
		if !ok {
			return
		}
		data = rest
		l.mergeStage(target, s)
	}
}

func decodeStage(data []byte) (target string, s WarmupStage, rest []byte, ok bool) {
	size, n := binary.Uvarint(data)
	if n <= 0 || size > uint64(len(data)-n) {
		return "", WarmupStage{}, nil, false
	}
	target = string(data[n : n+int(size)])
	data = data[n+int(size):]
	var v [3]uint64
	for i := range v {
		v[i], n = binary.Uvarint(data)
		if n <= 0 {
			return "", WarmupStage{}, nil, false
		}
		data = data[n:]
	}
	if v[2] > maxDoublings {
		return "", WarmupStage{}, nil, false
	}
	return target, WarmupStage{v[0], v[1], int(v[2])}, data, true
}

func (l *Ledger) mergeStage(target string, s WarmupStage) {
	b := l.snapshot.Load().budgets[target]
	if b == nil {
		return
	}
	b.mu.Lock()
	now := l.Now()
	raised := b.warmup.advance(s, now)
	b.publish(now)
	b.mu.Unlock()
	if raised {
		l.gossip.add(target, now)
		l.notify()
	}
}
