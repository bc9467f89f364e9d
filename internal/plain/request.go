package plain

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/budget"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/gateway"
)

const (
	pathPrefix  = "/services/"
	maxIDBytes  = 128
	maxKeyBytes = 256
)

func invalid(format string, args ...any) *apierror.Error {
	return apierror.New(apierror.KindInvalidRequest, apierror.NotRun, fmt.Sprintf(format, args...), "correct the request")
}

// parse validates a request except for its body.
func (h *Handler) parse(r *http.Request) (*call, error) {
	cfg := h.Config.Current()
	if cfg == nil {
		return nil, errNoConfig
	}
	name, path, ok := splitPath(r.URL.EscapedPath())
	if !ok {
		return nil, errNoService
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	c := &call{account: h.AccountFromContext(r.Context()), cfg: cfg, method: r.Method, path: path, header: r.Header}
	var err error
	if c.service, err = resolveService(cfg, name, c.account); err != nil {
		return nil, err
	}
	if c.id, err = headerToken(r.Header, gateway.HeaderRequestID, maxIDBytes); err != nil {
		return nil, err
	}
	if c.id == "" {
		c.id = newID()
	}
	timeout, err := parseTimeout(r.Header.Get(gateway.HeaderTimeout), cfg.Contracts[cfg.Accounts[c.account].Contract])
	c.deadline = time.Now().Add(timeout)
	return c, err
}

// splitPath splits an escaped path /services/<name>/<rest> into the name and the path to
// request from the target.
func splitPath(escaped string) (name, path string, ok bool) {
	rest, ok := strings.CutPrefix(escaped, pathPrefix)
	if !ok {
		return "", "", false
	}
	name, rest, _ = strings.Cut(rest, "/")
	name, err := url.PathUnescape(name)
	return name, "/" + rest, err == nil && name != ""
}

// resolveService returns the plain service that a name in a path refers to: the service of
// the route with this name, or the service with this name if no route leads to it.
func resolveService(cfg *config.Config, name, account string) (string, error) {
	service := ""
	for _, route := range cfg.Routes {
		if route.Model == name {
			if len(route.Accounts) > 0 && !slices.Contains(route.Accounts, account) {
				return "", errNoService
			}
			service = route.Service
		}
	}
	if service == "" {
		// A route may restrict the accounts of a service, so the service's own name must
		// not bypass the route.
		for _, route := range cfg.Routes {
			if route.Service == name {
				return "", errNoService
			}
		}
		service = name
	}
	if cfg.Services[service].Kind != config.PlainService {
		return "", errNoService
	}
	return service, nil
}

// headerToken returns a header of visible ASCII, or "" if it is absent.
func headerToken(header http.Header, name string, maxBytes int) (string, error) {
	values := header.Values(name)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxBytes {
		return "", invalid("header %s must be given once, with 1 to %d bytes", name, maxBytes)
	}
	for _, b := range []byte(values[0]) {
		if b <= ' ' || b > '~' || b == '"' || b == '\\' {
			return "", invalid("header %s may hold only visible ASCII without quotes", name)
		}
	}
	return values[0], nil
}

// parseTimeout returns how long a request may take.
func parseTimeout(text string, contract config.Contract) (time.Duration, error) {
	if text == "" {
		return contract.Deadline.Std(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, invalid("header %s is %q; a number of milliseconds above 0 is allowed", gateway.HeaderTimeout, text)
	}
	longest := contract.MaxDeadline.Std()
	if ms > longest.Milliseconds() {
		return longest, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func newID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// idempotent reports whether the service allows the request to be retried.
func (c *call) idempotent() bool {
	return slices.Contains(c.cfg.Services[c.service].IdempotentMethods, c.method)
}

// readBody reads the body into c within the limits of size, buffered bytes and time. Its
// capacity must be released to the budget.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, c *call) error {
	control := http.NewResponseController(w)
	body, err := h.bodyBudget.ReadBody(r.Body, r.ContentLength, h.Limits.BodyBytes, func() {
		control.SetReadDeadline(earliest(time.Now().Add(h.Limits.BodyReadTimeout), c.deadline))
	})
	if err == nil {
		control.SetReadDeadline(time.Time{})
		c.body = body
		return nil
	}
	// The read deadline is kept, so that the server does not wait for the rest of the body
	// without a limit.
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, budget.ErrBodyTooLarge):
		return errTooLarge(h.Limits.BodyBytes)
	case errors.Is(err, budget.ErrExhausted):
		return errBuffersFull
	}
	return invalid("the body could not be read: %v", err)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func errTooLarge(limit int64) error {
	return apierror.New(apierror.KindTooLarge, apierror.NotRun,
		fmt.Sprintf("the body is larger than %d bytes", limit), "send a smaller body")
}

var errBuffersFull = apierror.New(apierror.KindOverloaded, apierror.NotRun,
	"this VM holds as many request bytes as it may", "try again, or another VM").WithRetryAfter(time.Second)
