package membership

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// SendHeartbeats sends one heartbeat to each peer and waits for the answers.
func (v *View) SendHeartbeats(ctx context.Context) {
	v.Refresh()
	var running sync.WaitGroup
	v.startBeats(ctx, &running)
	running.Wait()
	v.Refresh()
}

// startBeats sends a heartbeat to each peer to which none is under way.
func (v *View) startBeats(ctx context.Context, running *sync.WaitGroup) {
	v.mu.Lock()
	var targets []string
	for _, address := range slices.Sorted(maps.Keys(v.peers)) {
		if p := v.peers[address]; !p.beating {
			p.beating = true
			targets = append(targets, address)
		}
	}
	v.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	h := v.heartbeat()
	for _, address := range targets {
		v.start(running, func() {
			v.beat(ctx, address, h)
			v.endBeat(address)
		})
	}
}

// start runs f in a goroutine, or at once if the View is sequential.
func (v *View) start(running *sync.WaitGroup, f func()) {
	if v.o.Sequential {
		f()
		return
	}
	running.Go(f)
}

func (v *View) endBeat(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p, ok := v.peers[address]; ok {
		p.beating = false
	}
}

// heartbeat returns what this VM tells of itself now.
func (v *View) heartbeat() *Heartbeat {
	h := &Heartbeat{
		From:          v.o.Self,
		Zone:          v.o.Zone,
		Seats:         v.seats.Leased(),
		ConfigVersion: v.version(),
		Leaving:       v.leaving.Load(),
		Attachments:   v.produce(),
	}
	contact, direct := v.contact(), time.Duration(v.ownContact.Load())
	now := v.Now()
	h.StoreContactAgeMs = ageUp(now, contact)
	h.OwnStoreContactAgeMs = ageUp(now, direct)
	return h
}

// producedAttachments are the attachments as they were last made.
type producedAttachments struct {
	mu   sync.Mutex
	at   time.Duration
	data map[string][]byte // not modified once it is set
}

// produce returns the attachments, which may be AttachmentAge old.
func (v *View) produce() map[string][]byte {
	p := &v.produced
	p.mu.Lock()
	defer p.mu.Unlock()
	now := v.Now()
	if p.data != nil && now-p.at < MaxAttachmentAge {
		return p.data
	}
	p.at, p.data = now, map[string][]byte{}
	for _, a := range v.attachments {
		if data := a.Produce(); data != nil {
			p.data[a.Name] = data
		}
	}
	return p.data
}

// beat exchanges heartbeats with one peer.
func (v *View) beat(ctx context.Context, address string, h *Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, v.o.CallTimeout)
	defer cancel()
	sent := v.Now()
	var answer Heartbeat
	if err := v.o.Caller.Call(ctx, address, KindHeartbeat, h, &answer); err != nil {
		v.o.Log.Debug("heartbeat failed", "peer", address, "error", err)
		return
	}
	if answer.From.Address != address {
		v.o.Log.Warn("heartbeat was answered by another VM", "peer", address, "answered", answer.From.Address)
		return
	}
	counts, changed := v.confirm(&answer, sent)
	if !counts {
		return
	}
	v.consume(&answer)
	if changed {
		v.Refresh()
	} else {
		v.refreshSoon()
	}
}

// refreshSoon refreshes within RefreshSpacing, and at once if the last refresh
// is older than that. An older snapshot errs on the safe side: it shows less
// contact than there was.
func (v *View) refreshSoon() {
	wait := MinRefreshInterval - (v.Now() - v.snapshot.Load().at)
	if wait <= 0 || v.o.Sequential {
		v.Refresh()
		return
	}
	if v.refreshDue.Swap(true) {
		return
	}
	time.AfterFunc(wait, func() {
		v.refreshDue.Store(false)
		v.Refresh()
	})
}

// confirm takes the answer to a heartbeat that was sent at the given time. It
// reports whether the answer counts, and whether the instance or its leaving
// flag is new.
func (v *View) confirm(answer *Heartbeat, sent time.Duration) (counts, changed bool) {
	reached := answer.ConfigVersion <= v.version() // before v.mu is taken: version may lock
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peer(answer.From.Address)
	instance, leaving := p.instance, p.leaving
	if v.learn(answer, v.Now()) == nil {
		return false, false
	}
	if sent >= p.confirmed {
		p.confirmed = sent
		p.leased = answer.Seats
	}
	// The contact was this long before an answer that came after sent.
	if reached {
		p.current = max(p.current, sent)
		p.contact = max(p.contact, contactAt(sent, answer.StoreContactAgeMs))
	}
	p.direct = max(p.direct, contactAt(sent, answer.OwnStoreContactAgeMs))
	return true, p.instance != instance || p.leaving != leaving
}

// maxAgeMs bounds ages from the wire, so that they cannot overflow.
const maxAgeMs = int64(365 * 24 * time.Hour / time.Millisecond)

func contactAt(sent time.Duration, ageMs int64) time.Duration {
	if ageMs < 0 || ageMs > maxAgeMs {
		return never
	}
	return sent - time.Duration(ageMs)*time.Millisecond
}

// handleHeartbeat answers a peer's heartbeat with the own one. The store age in
// the request is not used: nothing tells how long the request was under way.
func (v *View) handleHeartbeat(_ context.Context, payload []byte) (any, error) {
	var h Heartbeat
	if err := msgpack.Unmarshal(payload, &h); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	if h.From.Address == v.o.Self.Address {
		return nil, fmt.Errorf("heartbeat from the own address %s; give each VM its own address", h.From.Address)
	}
	known, changed := v.learnRequest(&h)
	if !known {
		return nil, fmt.Errorf("instance %s start %d was replaced", h.From.Address, h.From.StartNumber)
	}
	if changed {
		v.Refresh()
	}
	v.consume(&h)
	return v.heartbeat(), nil
}

// learnRequest takes a heartbeat of a peer and reports whether it comes from the
// present instance, and whether the instance or its leaving flag is new.
func (v *View) learnRequest(h *Heartbeat) (known, changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peer(h.From.Address)
	instance, leaving := p.instance, p.leaving
	if v.learn(h, v.Now()) == nil {
		return false, false
	}
	return true, p.instance != instance || p.leaving != leaving
}

func (v *View) consume(h *Heartbeat) {
	for _, a := range v.attachments {
		if data, ok := h.Attachments[a.Name]; ok {
			a.Consume(h.From, data)
		}
	}
}

// handleLastHeard answers when this VM last heard an instance.
func (v *View) handleLastHeard(_ context.Context, payload []byte) (any, error) {
	var q lastHeardRequest
	if err := msgpack.Unmarshal(payload, &q); err != nil {
		return nil, fmt.Errorf("decode question: %w", err)
	}
	reply := &lastHeardReply{From: v.o.Self, AgeMs: unknownAge, Seats: v.seats.Leased()}
	if q.Instance == v.o.Self {
		reply.AgeMs = 0
		return reply, nil
	}
	if age, ok := v.LastHeard(q.Instance); ok {
		reply.AgeMs = ageDown(age, 0)
	}
	return reply, nil
}

// QueryLastHeard asks all peers when they last heard an instance and returns the
// answers that came within the call timeout.
func (v *View) QueryLastHeard(ctx context.Context, i Instance) []LastHeardReport {
	ctx, cancel := context.WithTimeout(ctx, v.o.CallTimeout)
	defer cancel()
	v.mu.Lock()
	targets := slices.Sorted(maps.Keys(v.peers))
	v.mu.Unlock()
	var (
		mu      sync.Mutex
		answers []LastHeardReport
		running sync.WaitGroup
	)
	for _, address := range targets {
		v.start(&running, func() {
			var r lastHeardReply
			if err := v.o.Caller.Call(ctx, address, KindLastHeard, &lastHeardRequest{i}, &r); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, r.answer())
		})
	}
	running.Wait()
	return answers
}

func (r *lastHeardReply) answer() LastHeardReport {
	return LastHeardReport{
		From:  r.From,
		Heard: r.AgeMs >= 0,
		Age:   time.Duration(min(max(r.AgeMs, 0), maxAgeMs)) * time.Millisecond,
		Seats: r.Seats,
	}
}
