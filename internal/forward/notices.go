package forward

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// noticeRetention is how long the notice of a target is kept while the target is not listed:
// its row may vanish and return around an outage of the store.
const noticeRetention = time.Hour

// maxPause bounds a plausible pause of a target.
const maxPause = time.Hour

// errNotAdmitted is the cause of an attempt that ended before a byte was sent because its
// target, or an engine that it needs, is leaving or has asked for a pause.
var errNotAdmitted = errors.New("target is leaving or has asked for a pause")

// notice is what one incarnation of a target said in its responses about further requests.
type notice struct {
	// born is the start of the incarnation, as in topology.Target.
	born     int64
	leaving  bool
	listedAt time.Time // when the target was last listed
	// pausedUntil is the time until which the target wants no requests.
	pausedUntil time.Time
	// replacedAt is the address at which another target responded; "" if none did.
	replacedAt string
}

// noticeOf returns the notice of a target. It returns nil if there is none, or if the target
// has started again since. h.mu must be held.
func (h *Health) noticeOf(t *topology.Target) *notice {
	n := h.notices[t.ID]
	if n == nil || n.born < t.Born {
		return nil
	}
	return n
}

// MarkLeaving records that a target is leaving. It returns true if that was not known.
func (h *Health) MarkLeaving(t *topology.Target) bool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.newNotice(t, now)
	if n == nil || n.leaving {
		return false
	}
	n.leaving = true
	return true
}

// MarkPaused records that a target wants no requests for a while. It returns true if that
// lasts longer than was known.
func (h *Health) MarkPaused(t *topology.Target, pause time.Duration) bool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.newNotice(t, now)
	if n == nil || !now.Add(pause).After(n.pausedUntil) {
		return false
	}
	n.pausedUntil = now.Add(pause)
	return true
}

// MarkReplaced records that the address of a target belongs to another one now.
func (h *Health) MarkReplaced(t *topology.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := h.newNotice(t, time.Now()); n != nil {
		n.replacedAt = t.Address
	}
}

// Replaced reports whether the address of this incarnation of a target belongs to another
// one now.
func (h *Health) Replaced(t *topology.Target) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.noticeOf(t)
	return n != nil && n.replacedAt != "" && n.replacedAt == t.Address
}

// newNotice returns the notice of a target, which it creates if needed. It returns nil if the
// target has given one since it started again: the response of the earlier incarnation came
// late. h.mu must be held.
func (h *Health) newNotice(t *topology.Target, now time.Time) *notice {
	if n := h.noticeOf(t); n != nil {
		if t.Born != 0 && t.Born < n.born {
			return nil
		}
		return n
	}
	n := &notice{born: t.Born, listedAt: now}
	h.notices[t.ID] = n
	return n
}

// Leaving reports whether this incarnation of a target has said that it is leaving.
func (h *Health) Leaving(t *topology.Target) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.noticeOf(t)
	return n != nil && n.leaving
}

// PausedFor returns for how long this incarnation of a target still wants no requests.
func (h *Health) PausedFor(t *topology.Target) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.noticeOf(t)
	if n == nil {
		return 0
	}
	return max(time.Until(n.pausedUntil), 0)
}

// retainNotices drops the notices of targets that have not been listed for a long time. That
// the address of a target belongs to another one is forgotten when its row vanishes.
// h.mu must be held.
func (h *Health) retainNotices(listed func(target string) bool, now time.Time) {
	for id, n := range h.notices {
		switch {
		case listed(id):
			n.listedAt = now
		case now.Sub(n.listedAt) > noticeRetention:
			delete(h.notices, id)
		default:
			n.replacedAt = ""
		}
	}
}

// admits reports whether a target accepts new requests, as far as it has said.
func (h *Handler) admits(t *topology.Target) bool {
	return !h.Health.Leaving(t) && h.Health.PausedFor(t) == 0
}

// admitAll returns an error unless all targets accept new requests.
func (h *Handler) admitAll(targets ...*topology.Target) error {
	for _, t := range targets {
		if !h.admits(t) {
			return errNotAdmitted
		}
	}
	return nil
}

// recordNotices records what a target said in the head of a response. request is the id of
// the request, or the path of a command.
func (h *Handler) recordNotices(request string, t *topology.Target, info ResponseInfo) {
	if info.Leaving && h.Health.MarkLeaving(t) {
		h.Pool.CloseIdle(t.ID)
		h.Log.Info("target leaving", "request", request, "target", t.ID, "service", t.Service, "born", t.Born, "status", info.Status)
	}
	h.recordPause(request, t, info)
}

// recordPause records for how long a target wants no requests.
func (h *Handler) recordPause(request string, t *topology.Target, info ResponseInfo) {
	switch {
	case info.PauseError != nil:
		h.Log.Warn("pause of a target ignored", "request", request, "target", t.ID, "error", info.PauseError)
	case info.PauseFor > maxPause:
		h.Log.Warn("pause of a target ignored: not plausible", "request", request, "target", t.ID, "pause", info.PauseFor, "max", maxPause)
	case info.PauseFor > 0 && h.Health.MarkPaused(t, info.PauseFor):
		h.Log.Info("target paused", "request", request, "target", t.ID, "service", t.Service, "born", t.Born, "pause", info.PauseFor)
	}
}

// refuseAllLeaving is the refusal while all targets of a service are leaving. When another
// one will be listed is not known.
var refuseAllLeaving = &refusal{http.StatusServiceUnavailable, "all targets of the service are leaving; try again", time.Second}

// pausedReason is the reason of a refusal while targets want no requests.
const pausedReason = "all targets that could take the request have asked for a pause; try again"

// refuseUntilAdmitted returns the refusal of a call that needs more targets than accept
// requests: other, unless the targets themselves are the cause. It sets c.untilAdmitted.
func (h *Handler) refuseUntilAdmitted(c *call, need int, other *refusal) *refusal {
	leaving := 0
	var all, untried []time.Duration
	for _, t := range h.Views.Get().Usable(c.service) {
		switch {
		case h.Health.Replaced(t):
			continue
		case h.Health.Leaving(t):
			leaving++
			continue
		}
		pause := h.Health.PausedFor(t)
		all = append(all, pause)
		if !c.tried[t.ID] {
			untried = append(untried, pause)
		}
	}
	c.untilAdmitted = admittedAfter(untried, need)
	if need == 1 && len(untried) > 0 {
		c.untilAdmitted = max(c.untilAdmitted, 1) // a pause has ended since the candidates were chosen
	}
	if len(all) == 0 && leaving > 0 {
		return refuseAllLeaving
	}
	if after := admittedAfter(all, need); after > 0 {
		return &refusal{http.StatusServiceUnavailable, pausedReason, after}
	}
	return other
}

// admittedAfter returns the time after which the given number of targets accepts requests,
// by the rest of each one's pause; 0 if they do, or if there are not so many.
func admittedAfter(pauses []time.Duration, need int) time.Duration {
	if need < 1 || need > len(pauses) {
		return 0
	}
	return slices.Sorted(slices.Values(pauses))[need-1]
}
