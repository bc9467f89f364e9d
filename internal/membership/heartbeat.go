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

// SendHeartbeats sends one heartbeat to each peer and waits for the responses.
func (v *View) SendHeartbeats(ctx context.Context) {
	v.Refresh()
	var running sync.WaitGroup
	v.startHeartbeats(ctx, &running)
	running.Wait()
	v.Refresh()
}

// startHeartbeats sends a heartbeat to each peer that has none in flight.
func (v *View) startHeartbeats(ctx context.Context, running *sync.WaitGroup) {
	v.mu.Lock()
	var addresses []string
	for _, address := range slices.Sorted(maps.Keys(v.peers)) {
		if p := v.peers[address]; !p.heartbeatInFlight {
			p.heartbeatInFlight = true
			addresses = append(addresses, address)
		}
	}
	v.mu.Unlock()
	if len(addresses) == 0 {
		return
	}
	h := v.newHeartbeat()
	for _, address := range addresses {
		v.start(running, func() {
			v.exchangeHeartbeat(ctx, address, h)
			v.heartbeatDone(address)
		})
	}
}

// start runs f in a goroutine, or synchronously if the View is sequential.
func (v *View) start(running *sync.WaitGroup, f func()) {
	if v.options.Sequential {
		f()
		return
	}
	running.Go(f)
}

func (v *View) heartbeatDone(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p, ok := v.peers[address]; ok {
		p.heartbeatInFlight = false
	}
}

// newHeartbeat returns this VM's current heartbeat.
func (v *View) newHeartbeat() *Heartbeat {
	h := &Heartbeat{
		From:          v.options.Self,
		Zone:          v.options.Zone,
		Seats:         v.seats.LeasedSeats(),
		ConfigVersion: v.configVersion(),
		Leaving:       v.leaving.Load(),
		Attachments:   v.cachedAttachments(),
	}
	contact, ownContact := v.syncedStoreContact(), time.Duration(v.ownStoreContact.Load())
	now := v.Now()
	h.StoreContactAgeMs = ageRoundedUp(now, contact)
	h.OwnStoreContactAgeMs = ageRoundedUp(now, ownContact)
	return h
}

// attachmentCache holds the attachments as last produced.
type attachmentCache struct {
	mu   sync.Mutex
	at   time.Duration
	data map[string][]byte // not modified once it is set
}

// cachedAttachments returns the attachments, which may be up to
// MaxAttachmentAge old.
func (v *View) cachedAttachments() map[string][]byte {
	cache := &v.attachmentCache
	cache.mu.Lock()
	defer cache.mu.Unlock()
	now := v.Now()
	if cache.data != nil && now-cache.at < MaxAttachmentAge {
		return cache.data
	}
	cache.at, cache.data = now, map[string][]byte{}
	for _, a := range v.attachments {
		if data := a.Produce(); data != nil {
			cache.data[a.Name] = data
		}
	}
	return cache.data
}

// exchangeHeartbeat exchanges heartbeats with one peer.
func (v *View) exchangeHeartbeat(ctx context.Context, address string, h *Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, v.options.CallTimeout)
	defer cancel()
	sent := v.Now()
	var response Heartbeat
	if err := v.options.Caller.Call(ctx, address, KindHeartbeat, h, &response); err != nil {
		v.options.Log.Debug("heartbeat failed", "peer", address, "error", err)
		return
	}
	if response.From.Address != address {
		v.options.Log.Warn("heartbeat was answered by another VM", "peer", address, "answered", response.From.Address)
		return
	}
	counts, changed := v.recordResponse(&response, sent)
	if !counts {
		return
	}
	v.consumeAttachments(&response)
	if changed {
		v.Refresh()
	} else {
		v.scheduleRefresh()
	}
}

// scheduleRefresh refreshes within MinRefreshInterval, and immediately if the
// last refresh is older than that. An older snapshot is safe: it shows less
// contact than there was.
func (v *View) scheduleRefresh() {
	wait := MinRefreshInterval - (v.Now() - v.snapshot.Load().at)
	if wait <= 0 || v.options.Sequential {
		v.Refresh()
		return
	}
	if v.refreshScheduled.Swap(true) {
		return
	}
	time.AfterFunc(wait, func() {
		v.refreshScheduled.Store(false)
		v.Refresh()
	})
}

// recordResponse processes the response to a heartbeat that was sent at the
// given time. It reports whether the response counts, and whether the instance
// or its leaving flag is new.
func (v *View) recordResponse(response *Heartbeat, sent time.Duration) (counts, changed bool) {
	synced := response.ConfigVersion <= v.configVersion() // before v.mu is locked: configVersion may lock
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peerAt(response.From.Address)
	instance, leaving := p.instance, p.leaving
	if v.updatePeer(response, v.Now()) == nil {
		return false, false
	}
	if sent >= p.confirmedAt {
		p.confirmedAt = sent
		p.leasedSeats = response.Seats
	}
	// The age is relative to the response, which was sent after the request, so
	// this is not later than the contact itself.
	if synced {
		p.confirmedSyncedAt = max(p.confirmedSyncedAt, sent)
		p.storeContact = max(p.storeContact, storeContactTime(sent, response.StoreContactAgeMs))
	}
	p.ownStoreContact = max(p.ownStoreContact, storeContactTime(sent, response.OwnStoreContactAgeMs))
	return true, p.instance != instance || p.leaving != leaving
}

// maxAgeMs bounds ages from the wire, so that they cannot overflow.
const maxAgeMs = int64(365 * 24 * time.Hour / time.Millisecond)

func storeContactTime(sent time.Duration, ageMs int64) time.Duration {
	if ageMs < 0 || ageMs > maxAgeMs {
		return never
	}
	return sent - time.Duration(ageMs)*time.Millisecond
}

// handleHeartbeat responds to a peer's heartbeat with this VM's own. It
// ignores the store contact age in the request, because it is not known how
// long the request was in flight.
func (v *View) handleHeartbeat(_ context.Context, payload []byte) (any, error) {
	var h Heartbeat
	if err := msgpack.Unmarshal(payload, &h); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	if h.From.Address == v.options.Self.Address {
		return nil, fmt.Errorf("heartbeat from the own address %s; give each VM its own address", h.From.Address)
	}
	known, changed := v.recordRequest(&h)
	if !known {
		return nil, fmt.Errorf("instance %s start %d was replaced", h.From.Address, h.From.StartNumber)
	}
	if changed {
		v.Refresh()
	}
	v.consumeAttachments(&h)
	return v.newHeartbeat(), nil
}

// recordRequest processes a heartbeat request of a peer. It reports whether
// the heartbeat comes from the current instance, and whether the instance or
// its leaving flag is new.
func (v *View) recordRequest(h *Heartbeat) (known, changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peerAt(h.From.Address)
	instance, leaving := p.instance, p.leaving
	if v.updatePeer(h, v.Now()) == nil {
		return false, false
	}
	return true, p.instance != instance || p.leaving != leaving
}

func (v *View) consumeAttachments(h *Heartbeat) {
	for _, a := range v.attachments {
		if data, ok := h.Attachments[a.Name]; ok {
			a.Consume(h.From, data)
		}
	}
}

// handleLastHeard reports when this VM last heard from an instance.
func (v *View) handleLastHeard(_ context.Context, payload []byte) (any, error) {
	var q lastHeardRequest
	if err := msgpack.Unmarshal(payload, &q); err != nil {
		return nil, fmt.Errorf("decode question: %w", err)
	}
	reply := &lastHeardReply{From: v.options.Self, AgeMs: unknownAge, Seats: v.seats.LeasedSeats()}
	if q.Instance == v.options.Self {
		reply.AgeMs = 0
		return reply, nil
	}
	if age, ok := v.LastHeard(q.Instance); ok {
		reply.AgeMs = ageRoundedDown(age, 0)
	}
	return reply, nil
}

// QueryLastHeard asks all peers when they last heard from an instance and
// returns the reports that arrived within the call timeout.
func (v *View) QueryLastHeard(ctx context.Context, i Instance) []LastHeardReport {
	ctx, cancel := context.WithTimeout(ctx, v.options.CallTimeout)
	defer cancel()
	v.mu.Lock()
	addresses := slices.Sorted(maps.Keys(v.peers))
	v.mu.Unlock()
	var (
		mu      sync.Mutex
		reports []LastHeardReport
		running sync.WaitGroup
	)
	for _, address := range addresses {
		v.start(&running, func() {
			var r lastHeardReply
			if err := v.options.Caller.Call(ctx, address, KindLastHeard, &lastHeardRequest{i}, &r); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, r.report())
		})
	}
	running.Wait()
	return reports
}

func (r *lastHeardReply) report() LastHeardReport {
	return LastHeardReport{
		From:  r.From,
		Heard: r.AgeMs >= 0,
		Age:   time.Duration(min(max(r.AgeMs, 0), maxAgeMs)) * time.Millisecond,
		Seats: r.Seats,
	}
}
