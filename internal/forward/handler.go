package forward

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/budget"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/upstream"
	"github.com/oriolefront/oriolefront/internal/wait"
)

const (
	// defaultTimeout bounds a request that names no deadline on a route
	// without a timeout.
	defaultTimeout = 30 * time.Second
	// writeGrace is how long after the deadline a caller may still read.
	writeGrace = 400 * time.Millisecond
	// maxBufferedBytes bounds the request bodies that the process holds.
	maxBufferedBytes = 96 << 20
)

// Handler serves callers.
type Handler struct {
	Views       *topology.Holder
	Protocol    Protocol
	Pool        *upstream.Pool
	Registry    *inflight.Registry
	Health      *Health
	RetryBudget *RetryBudget
	Log         *slog.Logger
	Metrics     *Metrics
	// Zone is that of this VM; Instance tells its starts apart.
	Zone     string
	Instance string
	// VMCount returns the number of VMs that share limits, this one included.
	VMCount func() int
	// Isolated reports whether the VM knows too little to start new work.
	Isolated func() bool

	bodyBudget *budget.Bytes
	watchdogs  watchdogSet
	stopping   atomic.Bool
	active     atomic.Int64
}

// Init prepares the handler for use.
func (h *Handler) Init() { h.bodyBudget = budget.NewBytes(maxBufferedBytes) }

// StartDrain makes the handler ask callers to use other connections.
func (h *Handler) StartDrain() { h.stopping.Store(true) }

// Active returns the number of requests that are being served.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	c := &call{request: r, arrived: time.Now(), tried: map[string]bool{}, caller: newCallerWriter(w)}
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if f := h.resolve(c); f != nil {
		h.refuse(c, f)
		return
	}
	if f := h.readBody(c); f != nil {
		h.refuse(c, f)
		return
	}
	defer h.bodyBudget.Release(int64(len(c.body)))
	h.setWriteDeadline(c)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	h.RetryBudget.RecordRequest(c.service)
	h.serve(ctx, c)
}

func (h *Handler) setWriteDeadline(c *call) {
	err := c.caller.control.SetWriteDeadline(c.deadline.Add(writeGrace))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.Log.Warn("no bound on writing to the caller", "request", c.meta.ID, "error", err)
	}
}

// setReadDeadline bounds the reading of a body; the zero time means no bound.
func (h *Handler) setReadDeadline(c *call, at time.Time) {
	if c.request.ContentLength == 0 {
		return
	}
	err := c.caller.control.SetReadDeadline(at)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.Log.Warn("no bound on reading from the caller", "request", c.meta.ID, "error", err)
	}
}

// resolve finds the route, the account and the deadline.
func (h *Handler) resolve(c *call) *refusal {
	meta, err := h.Protocol.ParseRequest(c.request.Header)
	c.meta = meta
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: err.Error()}
	}
	view := h.waitForView(c.request.Context())
	if view.Config == nil {
		return refuseNoConfig
	}
	if h.Isolated() {
		return refuseIsolated
	}
	host := strings.ToLower(c.request.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(c.request.URL.EscapedPath(), "?")
	c.route = view.Route(host, path)
	if c.route == nil {
		return refuseNoRoute
	}
	c.account = view.Account(meta.Key)
	if c.account == nil && !c.route.Public && len(view.Config.Accounts) > 0 {
		return refuseUnauthorized
	}
	c.service = pickService(c.route.Shares, meta.ID)
	patience := meta.Timeout
	if patience <= 0 {
		patience = defaultTimeout
	}
	if c.route.Timeout > 0 {
		patience = min(patience, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(patience)
	return nil
}

// Times of the wait for the first view. A VM that starts while all others are down
// gets requests before it says that it is ready, and takes some 20 ms to read the
// configuration and the targets.
const (
	firstViewTimeout  = 300 * time.Millisecond
	firstViewInterval = 5 * time.Millisecond
)

// waitForView returns the present view, and waits a moment for one with a
// configuration and targets.
func (h *Handler) waitForView(ctx context.Context) *topology.View {
	end := time.Now().Add(firstViewTimeout)
	for {
		view := h.Views.Get()
		if view.Config != nil && len(view.Targets()) > 0 || time.Now().After(end) || !wait.For(ctx, firstViewInterval) {
			return view
		}
	}
}

// pickService picks a service by weight. The same request id gets the same one.
func pickService(shares []topology.Share, id string) string {
	total := 0
	for _, s := range shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return shares[0].Service
	}
	hash := fnv.New32a()
	io.WriteString(hash, id)
	at := int(hash.Sum32() % uint32(total))
	for _, s := range shares {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

// readBody reads the request's body whole, so that it can be sent again.
func (h *Handler) readBody(c *call) *refusal {
	limit := h.Views.Get().Config.Limits.BodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	if c.request.ContentLength > limit {
		h.drainBody(c)
		return refuseTooLarge
	}
	if !h.bodyBudget.TryAcquire(max(c.request.ContentLength, 0)) {
		return refuseBuffersFull
	}
	h.setReadDeadline(c, c.deadline)
	body, err := io.ReadAll(io.LimitReader(c.request.Body, limit+1))
	h.setReadDeadline(c, time.Time{})
	h.bodyBudget.Release(max(c.request.ContentLength, 0))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuseSlowBody
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "the body could not be read: " + err.Error()}
	}
	if int64(len(body)) > limit {
		h.drainBody(c)
		return refuseTooLarge
	}
	if !h.bodyBudget.TryAcquire(int64(len(body))) {
		return refuseBuffersFull
	}
	c.body = body
	return nil
}

// maxDrainBytes bounds what is read of a body that is too large.
const maxDrainBytes = 16 << 20

// drainBody reads the rest of a body: closing a connection with unread bytes would
// reset it, and the caller would lose the answer.
func (h *Handler) drainBody(c *call) {
	if _, err := io.Copy(io.Discard, io.LimitReader(c.request.Body, maxDrainBytes)); err != nil {
		h.Log.Debug("body not read to its end", "request", c.meta.ID, "error", err)
	}
}

// refuse answers a call with a final answer of this system.
func (h *Handler) refuse(c *call, f *refusal) {
	h.Metrics.CountRefusal(f.status)
	h.Log.Info("request refused", "request", c.meta.ID, "status", f.status, "reason", f.reason,
		"after", time.Since(c.arrived).Round(time.Millisecond), "prompt", c.meta.PromptTokens)
	f.write(c.caller, h.Protocol, c.meta.ID)
}
