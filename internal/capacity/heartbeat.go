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
	// stageBytes bounds the stages in one heartbeat. With 8 heartbeats each
	// 500 ms this is 6 KB/s, of 11 KB/s that a VM may use for control.
	stageBytes = 384
	// repeatBytes bounds the part that repeats warm stages for VMs that have
	// just started.
	repeatBytes = 96
	// changeRepeat is how long heartbeats carry a change first. It spans
	// several heartbeats to each peer, so that the loss of one does not matter.
	changeRepeat = 3 * time.Second
)

// gossip chooses the stages that heartbeats carry.
type gossip struct {
	mu     sync.Mutex
	recent []change
	cursor [2]string // last target sent in turn, of those not warm and warm
}

type change struct {
	target string
	until  time.Time
}

// add queues a target whose stage changed here.
func (g *gossip) add(target string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recent = slices.DeleteFunc(g.recent, func(c change) bool { return c.target == target })
	g.recent = slices.Insert(g.recent, 0, change{target, now.Add(changeRepeat)})
}

// Attachment carries the stages of targets in heartbeats.
func (l *Ledger) Attachment() membership.Attachment {
	return membership.Attachment{Name: "stages", Produce: l.produce, Consume: l.consume}
}

// produce encodes recent changes first, then targets that are not warm, then
// some of the others in turn.
func (l *Ledger) produce() []byte {
	l.gossip.mu.Lock()
	defer l.gossip.mu.Unlock()
	buf := l.encodeRecent(nil)
	v := l.view.Load()
	buf = l.encodeTurn(buf, v, false, stageBytes)
	return l.encodeTurn(buf, v, true, min(stageBytes, len(buf)+repeatBytes))
}

// encodeRecent appends the changes that still have to be repeated. What was
// sent goes to the end of the queue.
func (l *Ledger) encodeRecent(buf []byte) []byte {
	now := l.Now()
	g := &l.gossip
	g.recent = slices.DeleteFunc(g.recent, func(c change) bool { return now.After(c.until) })
	sent := 0
	for _, c := range g.recent {
		entry := l.encode(c.target)
		if len(buf)+len(entry) > stageBytes {
			break
		}
		buf = append(buf, entry...)
		sent++
	}
	g.recent = slices.Concat(g.recent[sent:], g.recent[:sent])
	return buf
}

// encodeTurn appends the stages of warm, or of other targets, up to a size. It
// begins after the last target that was sent in turn.
func (l *Ledger) encodeTurn(buf []byte, v *view, warm bool, limit int) []byte {
	cursor, wanted := &l.gossip.cursor[0], stageCold
	if warm {
		cursor, wanted = &l.gossip.cursor[1], stageWarm
	}
	first, found := slices.BinarySearchFunc(v.sorted, *cursor, func(b *book, id string) int { return strings.Compare(b.id, id) })
	if found {
		first++
	}
	for i := range v.sorted {
		b := v.sorted[(first+i)%len(v.sorted)]
		if b.stageKind.Load() != wanted {
			continue
		}
		entry := l.encode(b.id)
		if len(buf)+len(entry) > limit {
			return buf
		}
		buf = append(buf, entry...)
		*cursor = b.id
	}
	return buf
}

func (l *Ledger) encode(target string) []byte {
	s := l.WarmupStage(target)
	buf := binary.AppendUvarint(nil, uint64(len(target)))
	buf = append(buf, target...)
	buf = binary.AppendUvarint(buf, s.Start)
	buf = binary.AppendUvarint(buf, s.Relapses)
	return binary.AppendUvarint(buf, uint64(s.Doublings))
}

// consume merges the stages that a peer sent. It stops at malformed data.
func (l *Ledger) consume(_ membership.Instance, data []byte) {
	for len(data) > 0 {
		target, s, rest, ok := decode(data)
		if !ok {
			return
		}
		data = rest
		l.merge(target, s)
	}
}

func decode(data []byte) (target string, s WarmupStage, rest []byte, ok bool) {
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

func (l *Ledger) merge(target string, s WarmupStage) {
	b := l.view.Load().books[target]
	if b == nil {
		return
	}
	b.mu.Lock()
	now := l.Now()
	raised := b.warmth.raise(s, now)
	b.publish(now)
	b.mu.Unlock()
	if raised {
		l.gossip.add(target, now)
		l.notify()
	}
}
