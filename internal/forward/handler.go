package forward

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/budget"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/pace"
	"github.com/oriolefront/oriolefront/internal/quarantine"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/upstream"
)

const (
	// defaultTimeout applies to a request without a timeout on a route without one.
	defaultTimeout = 30 * time.Second
	// writeGrace is how long after the deadline the response may still be written.
	writeGrace = 400 * time.Millisecond
	// defaultBufferedBytes is the default of Handler.BufferedBytes.
	defaultBufferedBytes = 96 << 20
)

// Handler proxies the requests of callers to targets.
type Handler struct {
	Views       *topology.Holder
	Protocol    Protocol
	Pool        *upstream.Pool
	Registry    *inflight.Registry
	Health      *Health
	RetryBudget *RetryBudget
	Log         *slog.Logger
	Metrics     *Metrics
	// Zone is the zone of this VM; Instance identifies this run of its process.
	Zone     string
	Instance string
	// Zones decides which calls leave the zone; nil where zones do not matter.
	Zones *ZonePolicy
	// Overload decides whether calls are served in one order over all VMs; nil if never.
	Overload *OverloadPolicy
	// VMCount returns the number of VMs that share limits, including this one.
	VMCount func() int
	// Isolated reports whether the VM lacks the information to accept new requests.
	Isolated func() bool
	// KeysUnconfirmed reports whether this VM cannot tell if API keys were revoked.
	KeysUnconfirmed func() bool
	// Quarantine knows the parts of prompts that crash targets.
	Quarantine *quarantine.Detector
	// Pace learns which targets are slow; nil if it is not to be learned.
	Pace *pace.Tracker
	// CountUsage counts a request of an account that a target has begun to run. Nil means
	// that requests are not counted.
	CountUsage func(account string)

	// BufferedBytes bounds the request bodies that the process buffers. Default 96 MiB.
	BufferedBytes int64
	// ReclaimBody ends a request whose body has stalled, see budget.Bytes. It may be nil.
	ReclaimBody func() bool

	bodyBudget  *budget.Bytes
	queue       queue
	dispatcher  dispatcher
	observed    observedSet
	crashProbes crashProbes
	// placing makes the choice of a target and its entry in the registry one step, so
	// that two calls do not choose the same slot.
	placing   sync.Mutex
	watchdogs watchdogSet
	// acceptUntil is nil until StartDrain is called.
	acceptUntil atomic.Pointer[time.Time]
	active      atomic.Int64
	// lifetime is done when calls get no more time; endCalls ends it.
	lifetime context.Context
	endCalls context.CancelFunc
}

// Init must be called before the handler is used.
func (h *Handler) Init() {
	if h.BufferedBytes == 0 {
		h.BufferedBytes = defaultBufferedBytes
	}
	h.bodyBudget = budget.NewBytes(h.BufferedBytes)
	h.bodyBudget.SetReclaim(h.ReclaimBody)
	h.lifetime, h.endCalls = context.WithCancel(context.Background())
}

// StartDrain makes the handler ask callers to close their connections. A request that is not
// complete after accept is refused: too little time is left for its response.
func (h *Handler) StartDrain(accept time.Duration) {
	until := time.Now().Add(accept)
	h.acceptUntil.Store(&until)
}

// draining reports whether StartDrain was called.
func (h *Handler) draining() bool { return h.acceptUntil.Load() != nil }

// drained reports whether requests that are complete only now must be refused.
func (h *Handler) drained() bool {
	until := h.acceptUntil.Load()
	return until != nil && time.Now().After(*until)
}

// EndCalls ends all calls in progress, because the process is about to exit. A call whose
// response has not begun is answered: a closed connection would not tell its caller whether the
// request may have run.
func (h *Handler) EndCalls() { h.endCalls() }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	c := &call{request: r, arrived: time.Now(), tried: map[string]bool{}, caller: newCallerWriter(w)}
	defer h.reportPanic(c)
	if h.draining() {
		w.Header().Set("Connection", "close")
	}
	if f := h.resolve(c); f != nil {
		h.refuse(c, f)
		return
	}
	if f := h.readBody(c); f != nil {
		h.refuse(c, f)
		if f == refuseBuffersFull {
			h.drainBody(c) // its caller is still sending and could not read the refusal otherwise
		}
		return
	}
	defer h.bodyBudget.Release(int64(cap(c.body)))
	if h.drained() {
		h.refuse(c, refuseStopping)
		return
	}
	h.setWriteDeadline(c)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	stop := context.AfterFunc(h.lifetime, cancel)
	defer stop()
	h.RetryBudget.RecordRequest(c.service)
	h.serve(ctx, c)
}

// reportPanic logs a panic while a request is served, and lets net/http close the connection.
func (h *Handler) reportPanic(c *call) {
	r := recover()
	if r == nil {
		return
	}
	if r != http.ErrAbortHandler {
		h.Metrics.CountPanic()
		h.Log.Error("request handler panicked", "request", c.meta.ID, "panic", r, "stack", string(debug.Stack()))
		r = http.ErrAbortHandler
	}
	panic(r)
}

func (h *Handler) setWriteDeadline(c *call) {
	err := c.caller.control.SetWriteDeadline(c.deadline.Add(writeGrace))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.Log.Warn("write deadline of the caller not set", "request", c.meta.ID, "error", err)
	}
}

// extendWriteDeadline gives a final response that is ready after the deadline the usual
// time to be written. A VM that was paused or short of processor time comes to it late.
func (h *Handler) extendWriteDeadline(c *call) {
	now := time.Now()
	if now.Before(c.deadline) {
		return
	}
	err := c.caller.control.SetWriteDeadline(now.Add(writeGrace))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.Log.Warn("write deadline of the caller not extended", "request", c.meta.ID, "error", err)
	}
}

// refuse sends a refusal as the final response of a call.
func (h *Handler) refuse(c *call, f *refusal) {
	h.Metrics.CountRefusal(f.status)
	line := []any{"request", c.meta.ID, "status", f.status, "reason", f.reason,
		"after", time.Since(c.arrived).Round(time.Millisecond), "prompt", c.meta.PromptTokens}
	if c.forecast != nil {
		line = append(line, "ahead", c.forecast.Ahead, "spare_per_second", math.Round(c.forecast.SparePerSecond), "retry_after", f.retryAfter.Round(time.Millisecond))
	}
	h.Log.Info("request refused", line...)
	h.extendWriteDeadline(c)
	f.write(c.caller, h.Protocol, c.meta.ID)
}
