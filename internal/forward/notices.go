package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// noticeRetention is how long the notice of a target is kept while the target is not listed:
// its row may vanish and return around an outage of the store.
const noticeRetention = time.Hour

// errNotAdmitted is the cause of an attempt that ended before a byte was sent because its
// target, or an engine that it needs, is leaving.
var errNotAdmitted = errors.New("target is leaving")

// notice is what one incarnation of a target said in its responses about further requests.
type notice struct {
	// born is the start of the incarnation, as in topology.Target.
	born     int64
	leaving  bool
	listedAt time.Time // when the target was last listed
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

// retainNotices drops the notices of targets that have not been listed for a long time.
// h.mu must be held.
func (h *Health) retainNotices(listed func(target string) bool, now time.Time) {
	for id, n := range h.notices {
		switch {
		case listed(id):
			n.listedAt = now
		case now.Sub(n.listedAt) > noticeRetention:
			delete(h.notices, id)
		}
	}
}

// admits reports whether a target accepts new requests, as far as it has said.
func (h *Handler) admits(t *topology.Target) bool { return !h.Health.Leaving(t) }

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
}

// refuseAllLeaving is the refusal while all targets of a service are leaving. When another
// one will be listed is not known.
var refuseAllLeaving = &refusal{http.StatusServiceUnavailable, "all targets of the service are leaving; try again", time.Second}

// refuseNoCandidate returns the refusal of a call for which no target is left: other is the
// one to use if targets have not asked for it.
func (h *Handler) refuseNoCandidate(c *call, other *refusal) *refusal {
	usable := h.Views.Get().Usable(c.service)
	for _, t := range usable {
		if !h.Health.Leaving(t) {
			return other
		}
	}
	if len(usable) == 0 {
		return other
	}
	return refuseAllLeaving
}
