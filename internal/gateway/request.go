package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/budget"
	"github.com/oriolefront/oriolefront/internal/config"
)

const (
	// defaultMaxTokens applies to requests that do not limit their output; it bounds the KV
	// cache memory that is reserved for the output.
	defaultMaxTokens = 256
	maxRequestID     = 128 // bytes
)

// call is one completion request of a caller.
type call struct {
	id            string
	account       string
	path          string
	model         string
	service       string
	fields        map[string]json.RawMessage
	prompt        json.RawMessage
	promptTokens  int
	maxTokens     int
	stream        bool
	includeUsage  bool
	resumable     bool
	class         config.Class
	deadline      time.Time
	arrived       time.Time
	bufferedBytes int64

	identityOnce sync.Once
	identityHash string // see identity
}

func invalid(format string, args ...any) *apierror.Error {
	return apierror.New(apierror.KindInvalidRequest, apierror.NotRun,
		fmt.Sprintf(format, args...), "correct the request")
}

// parseCall reads and validates a completion request. c.bufferedBytes must be released to
// g.bodyBudget afterwards.
func (g *Gateway) parseCall(w http.ResponseWriter, r *http.Request, account string) (*call, error) {
	cfg := g.Config.Current()
	contract := cfg.Contracts[cfg.Accounts[account].Contract]
	now := time.Now()
	c := &call{account: account, path: r.URL.Path, arrived: now, resumable: r.Header.Get(HeaderResumable) == "true"}
	deadline, err := requestDeadline(r, contract)
	if err != nil {
		return nil, err
	}
	c.deadline = now.Add(deadline)
	if c.id, err = requestID(r); err != nil {
		return nil, err
	}
	body, err := g.readBody(w, r, c.deadline)
	if err != nil {
		return nil, err
	}
	c.bufferedBytes = int64(cap(body))
	if err := g.parseBody(c, cfg, body); err != nil {
		g.bodyBudget.Release(c.bufferedBytes)
		return nil, err
	}
	return c, nil
}

func (g *Gateway) parseBody(c *call, cfg *config.Config, body []byte) error {
	if !utf8.Valid(body) {
		return invalid("the body is not valid UTF-8")
	}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return invalid("the body is not a JSON object: %v", err)
	}
	if err := c.readFields(); err != nil {
		return err
	}
	c.promptTokens = g.tokenEstimator.estimate(c.model, len(c.prompt))
	route, ok := findRoute(cfg, c.model, c.account)
	if !ok {
		return apierror.New(apierror.KindNotFound, apierror.NotRun,
			fmt.Sprintf("model %q does not exist or is not open to this account", c.model),
			"use a model that GET /v1/models lists")
	}
	c.service = route.Service
	c.class = waitClass(cfg, c)
	return nil
}

// readFields decodes the fields that oriolefront uses.
func (c *call) readFields() error {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	n := 1
	for _, f := range []struct {
		name string
		into any
	}{
		{"model", &c.model},
		{"stream", &c.stream},
		{"max_tokens", &c.maxTokens},
		{"max_completion_tokens", &c.maxTokens},
		{"n", &n},
		{"stream_options", &options},
	} {
		raw, ok := c.fields[f.name]
		if !ok || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, f.into); err != nil {
			return invalid("field %q has a wrong type: %v", f.name, err)
		}
	}
	c.includeUsage = options.IncludeUsage
	if c.model == "" {
		return invalid(`field "model" is missing`)
	}
	if n != 1 {
		return invalid(`field "n" is %d; only 1 answer for each request is served`, n)
	}
	if c.maxTokens < 0 {
		return invalid(`field "max_tokens" is negative`)
	}
	if c.maxTokens == 0 {
		c.maxTokens = defaultMaxTokens
	}
	promptField := "prompt"
	if c.isChat() {
		promptField = "messages"
	}
	c.prompt = c.fields[promptField]
	if len(c.prompt) == 0 {
		return invalid("field %q is missing", promptField)
	}
	return nil
}

func (c *call) isChat() bool { return c.path == "/v1/chat/completions" }

// requestDeadline returns how long the request may take.
func requestDeadline(r *http.Request, contract config.Contract) (time.Duration, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return contract.Deadline.Std(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > int64(time.Duration(1<<62)/time.Millisecond) {
		return 0, invalid("header %s is %q; a number of milliseconds above 0 is allowed", HeaderTimeout, text)
	}
	return min(time.Duration(ms)*time.Millisecond, contract.MaxDeadline.Std()), nil
}

// requestID returns the caller's request id, or a new one.
func requestID(r *http.Request) (string, error) {
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		return newID(), nil
	}
	if len(id) > maxRequestID {
		return "", invalid("header %s is longer than %d bytes", HeaderRequestID, maxRequestID)
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' || b == '"' || b == '\\' {
			return "", invalid("header %s may hold only visible ASCII without quotes", HeaderRequestID)
		}
	}
	return id, nil
}

func newID() string {
	var b [12]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// findRoute returns the route of a model if the account may use it.
func findRoute(cfg *config.Config, model, account string) (config.Route, bool) {
	for _, r := range cfg.Routes {
		if r.Model == model {
			return r, len(r.Accounts) == 0 || slices.Contains(r.Accounts, account)
		}
	}
	return config.Route{}, false
}

// readBody reads a request body within the size limits of the request and of the process,
// and the limit of the time without progress.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, error) {
	limit := g.Limits.BodyBytes
	control := http.NewResponseController(w)
	body, err := g.bodyBudget.ReadBody(r.Body, r.ContentLength, limit, func() {
		control.SetReadDeadline(earliest(time.Now().Add(g.Limits.BodyReadTimeout), deadline))
	})
	if err == nil {
		control.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The read deadline is kept, so that the server does not wait for the rest of the body
	// before it sends the response.
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, budget.ErrBodyTooLarge):
		return nil, errBodyTooLarge(limit)
	case errors.Is(err, budget.ErrExhausted):
		return nil, errBuffersFull
	}
	return nil, invalid("the body could not be read: %v", err)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func errBodyTooLarge(limit int64) *apierror.Error {
	return apierror.New(apierror.KindTooLarge, apierror.NotRun,
		fmt.Sprintf("the body is larger than %d bytes", limit), "send a shorter prompt")
}

var errBuffersFull = apierror.New(apierror.KindOverloaded, apierror.NotRun,
	"this VM holds as many request bytes as it may", "try again, or another VM").WithRetryAfter(time.Second)

// waitClass applies the wait rules in order of their names.
func waitClass(cfg *config.Config, c *call) config.Class {
	names := make([]string, 0, len(cfg.WaitRules))
	for name := range cfg.WaitRules {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		rule := cfg.WaitRules[name]
		if rule.Account != "" && rule.Account != c.account {
			continue
		}
		if c.promptTokens >= rule.MinPromptTokens {
			return rule.Class
		}
	}
	return config.ClassStandard
}
