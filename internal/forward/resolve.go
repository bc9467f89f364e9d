package forward

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// resolve determines the route, the account, the service and the deadline.
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
	c.gaps = newGapPolicy(c.route.Retryable())
	if f := h.checkKey(c); f != nil {
		return f
	}
	if f := c.setResumePoint(); f != nil {
		return f
	}
	c.service = pickService(c.route.Shares, meta.ID)
	timeout := meta.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(timeout)
	return nil
}

// setResumePoint sets the event after which the caller asks for the rest of a stream, if it does.
// A stream that may not be resumed begins with its first event, whatever the caller asks for.
func (c *call) setResumePoint() *refusal {
	resumable := c.route.Kind == topology.Stream && c.route.Resumable
	if !resumable || c.meta.LastEventID == "" {
		return nil
	}
	if _, err := parseEventID(c.meta.LastEventID); err != nil {
		reason := fmt.Sprintf("the id of the last event is %q, allowed: a number of 0 or more", c.meta.LastEventID)
		return &refusal{status: http.StatusBadRequest, reason: reason}
	}
	c.caller.lastEventID = c.meta.LastEventID
	return nil
}

// checkKey sets the client account. It returns a refusal if the call needs an API key and
// its key is unknown, was revoked, or may have been revoked without this VM's knowledge.
func (h *Handler) checkKey(c *call) *refusal {
	// Whether keys are confirmed is asked first: the view that is read then includes the
	// revocations up to the confirmed time.
	unconfirmed := h.KeysUnconfirmed()
	view := h.Views.Get()
	c.account = view.Account(c.meta.Key)
	if c.route.Public || len(view.Config.Accounts) == 0 {
		return nil
	}
	if unconfirmed {
		return refuseKeysUnconfirmed
	}
	if c.account == nil {
		return refuseUnauthorized
	}
	return nil
}

// Limits of the wait for the first topology view. A VM that starts while all others are
// down receives requests before it reports that it is ready, and takes some 20 ms to read
// the configuration and the targets.
const (
	firstViewTimeout  = 300 * time.Millisecond
	firstViewInterval = 5 * time.Millisecond
)

// waitForView returns the current view. It waits briefly for one that has a configuration
// and targets.
func (h *Handler) waitForView(ctx context.Context) *topology.View {
	end := time.Now().Add(firstViewTimeout)
	for {
		view := h.Views.Get()
		if view.Config != nil && len(view.Targets()) > 0 || time.Now().After(end) || !wait.For(ctx, firstViewInterval) {
			return view
		}
	}
}

// pickService picks a service by weight. The same request id always gets the same one.
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
