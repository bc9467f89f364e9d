package forward

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// Limits of a target's report of its load.
const (
	// loadReportTTL is how long a report is used: after that, the requests that it was
	// about have been reported by the VMs that sent them, or have ended.
	loadReportTTL = 400 * time.Millisecond
	// maxRunningPerSlot, maxReportedSlots and maxReportedWaiting bound a plausible report.
	maxRunningPerSlot  = 2
	maxReportedSlots   = 100_000
	maxReportedWaiting = 10_000
)

// plausible reports whether a target can have this load.
func (l TargetLoad) plausible() bool {
	return l.Slots > 0 && l.Slots <= maxReportedSlots && l.Running <= maxRunningPerSlot*l.Slots && l.Waiting <= maxReportedWaiting
}

// unknownRequests returns how many requests a target has beyond those that are known here,
// for example of VMs whose heartbeats are lost.
func (l TargetLoad) unknownRequests(known int) int { return max(l.Running+l.Waiting-known, 0) }

// recordLoad records the load that a target reported with its response to a call.
func (h *Handler) recordLoad(c *call, target *topology.Target, info ResponseInfo) {
	switch {
	case info.LoadError != nil:
		h.Log.Warn("load report ignored", "request", c.meta.ID, "target", target.ID, "error", info.LoadError)
	case info.Load == nil:
	case !info.Load.plausible():
		h.Log.Warn("load report ignored: not plausible", "request", c.meta.ID, "target", target.ID,
			"running", info.Load.Running, "waiting", info.Load.Waiting, "slots", info.Load.Slots)
	default:
		unknown := info.Load.unknownRequests(h.Registry.Count(target.ID))
		h.Health.RecordUnknownRequests(target.ID, unknown, time.Now())
		if unknown > 0 {
			h.Log.Debug("target has requests that are not known here", "target", target.ID, "unknown", unknown,
				"running", info.Load.Running, "waiting", info.Load.Waiting)
		}
	}
}
