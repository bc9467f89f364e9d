package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/httpclient"
	"github.com/oriolefront/oriolefront/internal/logging"
	"github.com/oriolefront/oriolefront/internal/sse"
	"github.com/oriolefront/oriolefront/internal/tcp"
)

// Header names of the engine protocol.
const (
	HeaderStartNumber = "X-Start-Number"
	HeaderAttempt     = "X-Request-Id"
	// HeaderPromptTokens carries the number of prompt tokens as counted by the
	// engine.
	HeaderPromptTokens = "X-Prompt-Tokens"
)

const (
	maxErrorBodyBytes = 4 << 10
	maxResponseHeader = 64 << 10 // bytes
	endMark           = "[DONE]"
	// streamBuffer is allocated twice for each open stream. Events are much
	// smaller, and large bodies are written without this buffer.
	streamBuffer = 2 << 10
	// maxTrailerBytes limits what is read after the end marker so that the
	// connection can be reused.
	maxTrailerBytes = 1 << 10
	chatPath        = "/v1/chat/completions"
)

// NewTransport returns the HTTP transport shared by all engine clients.
func NewTransport() *httpclient.Transport {
	return httpclient.New(&http.Transport{
		DialContext:         tcp.Dialer().DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
		ReadBufferSize:      streamBuffer,
		WriteBufferSize:     streamBuffer,
		// A broken engine may send a head without end.
		MaxResponseHeaderBytes: maxResponseHeader,
	})
}

// HTTPClient is the Client for engines that serve the completion API over HTTP
// with server-sent events.
type HTTPClient struct {
	base string
	http *http.Client
}

// NewHTTPClient returns a client for the engine at address, an IP address and
// port.
func NewHTTPClient(address string, transport http.RoundTripper) *HTTPClient {
	return &HTTPClient{base: "http://" + address, http: &http.Client{Transport: transport, CheckRedirect: keepRedirection}}
}

// keepRedirection makes a client return redirections. The protocol of engines has none.
func keepRedirection(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// do sends a request. Its error is short, whatever the engine sent.
func (c *HTTPClient) do(req *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, logging.BoundError(err)
	}
	return resp, nil
}

// Start implements Client.
func (c *HTTPClient) Start(ctx context.Context, r StartRequest) (Stream, error) {
	resp, err := c.post(ctx, r.Path, r)
	if err != nil {
		return nil, err
	}
	return openStream(resp)
}

// post sends the body of an attempt. Its error is ErrNotRun if the engine cannot
// have run the request.
func (c *HTTPClient) post(ctx context.Context, path string, r StartRequest) (*http.Response, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		// Once a connection has been obtained, it may carry bytes of the request
		// even if the write fails later. Only earlier failures are "not run".
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, merry.Prepend(ErrNotRun, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderAttempt, r.Attempt)
	resp, err := c.do(req)
	switch {
	case err == nil:
		return resp, nil
	case !wrote.Load():
		return nil, merry.Prepend(ErrNotRun, err.Error())
	}
	return nil, merry.Prepend(ErrInterrupted, err.Error())
}

// Resume implements Client.
func (c *HTTPClient) Resume(ctx context.Context, attempt string, from int) (Stream, error) {
	path := fmt.Sprintf("%s/v1/attempts/%s?from=%d", c.base, url.PathEscape(attempt), from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	resp, err := c.do(req)
	if err != nil {
		return nil, merry.Prepend(ErrInterrupted, err.Error())
	}
	return openStream(resp)
}

func openStream(resp *http.Response) (Stream, error) {
	if err := statusError(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	number, err := strconv.ParseUint(resp.Header.Get(HeaderStartNumber), 10, 64)
	if err != nil {
		resp.Body.Close()
		return nil, merry.Prepend(ErrInterrupted, "engine response has no start number")
	}
	promptTokens, _ := strconv.Atoi(resp.Header.Get(HeaderPromptTokens)) // 0 if absent
	return &httpStream{
		body:         resp.Body,
		reader:       sse.NewRawReader(resp.Body),
		startNumber:  number,
		promptTokens: promptTokens,
	}, nil
}

// statusError maps an engine's status code to an error of this package.
func statusError(resp *http.Response) error {
	switch {
	case resp.StatusCode < 300:
		return nil
	case resp.StatusCode == http.StatusNotFound:
		return merry.Wrap(ErrUnknownAttempt)
	case resp.StatusCode == http.StatusPreconditionFailed:
		return merry.Wrap(ErrStaleFencing)
	}
	notRun := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	text := fmt.Sprintf("engine responded with status %d", resp.StatusCode)
	if !notRun || !httpclient.EndsWithConnection(resp) { // the end might come after a long upload only
		text += ": " + errorDetail(resp)
	}
	switch {
	case notRun:
		return merry.Prepend(ErrNotRun, text)
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return merry.Prepend(ErrRejected, text)
	}
	return merry.Prepend(ErrInterrupted, text)
}

// errorDetail returns the begin of the body of a response, as far as it can be read.
func errorDetail(resp *http.Response) string {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return string(bytes.TrimSpace(detail))
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, attempt string) error {
	err := c.call(ctx, http.MethodDelete, "/v1/attempts/"+url.PathEscape(attempt), nil, nil)
	if errors.Is(err, ErrUnknownAttempt) {
		return nil
	}
	return err
}

// Inventory implements Client.
func (c *HTTPClient) Inventory(ctx context.Context) (Inventory, error) {
	var inventory Inventory
	err := c.call(ctx, http.MethodGet, "/v1/attempts", nil, &inventory)
	return inventory, err
}

// Load implements Client.
func (c *HTTPClient) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, "/load", nil, &load)
	return load, err
}

// CacheEvents implements Client.
func (c *HTTPClient) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var events CacheEvents
	err := c.call(ctx, http.MethodGet, "/cache_events?after="+strconv.FormatUint(after, 10), nil, &events)
	return events, err
}

// Export implements Client.
func (c *HTTPClient) Export(ctx context.Context, r StartRequest) (Export, error) {
	path := "/kv/export"
	if r.Path == chatPath {
		path += "?chat=1"
	}
	resp, err := c.post(ctx, path, r)
	if err != nil {
		return Export{}, err
	}
	defer resp.Body.Close()
	if err := statusError(resp); err != nil {
		return Export{}, err
	}
	var export Export
	if err := decodeAnswer(resp.Body, &export); err != nil {
		return Export{}, merry.Prepend(ErrInterrupted, "engine response to "+path+": "+err.Error())
	}
	if export.Attempt != r.Attempt {
		return Export{}, merry.Prepend(ErrInterrupted, fmt.Sprintf("engine response to %s is of another attempt, %.40q", path, export.Attempt))
	}
	return export, nil
}

// DeleteExport implements Client.
func (c *HTTPClient) DeleteExport(ctx context.Context, handle string) error {
	err := c.call(ctx, http.MethodDelete, "/kv/"+url.PathEscape(handle), nil, nil)
	if errors.Is(err, ErrUnknownAttempt) {
		return nil
	}
	return err
}

// Order implements Client.
func (c *HTTPClient) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return merry.Wrap(err)
	}
	return c.call(ctx, http.MethodPost, "/orders", body, nil)
}

// call sends one request and decodes a JSON response into out unless out is nil. Its error is an
// AnswerError if the engine has answered.
func (c *HTTPClient) call(ctx context.Context, method, path string, body []byte, out answer) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(err)
	}
	resp, err := c.do(req)
	if err != nil {
		return merry.Prepend(err, "engine call "+method+" "+path)
	}
	defer resp.Body.Close()
	if err := statusError(resp); err != nil {
		return &AnswerError{err}
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return merry.Wrap(err)
	}
	return merry.Prepend(decodeAnswer(resp.Body, out), "engine response to "+path)
}

type httpStream struct {
	body         io.ReadCloser
	reader       *sse.RawReader
	startNumber  uint64
	promptTokens int
	ended        bool // the end marker was read
}

func (s *httpStream) PromptTokens() int { return s.promptTokens }

func (s *httpStream) StartNumber() uint64 { return s.startNumber }

func (s *httpStream) Close() error {
	if s.ended {
		// The connection can only be reused if the body is read to its end.
		io.CopyN(io.Discard, s.body, maxTrailerBytes)
	}
	return s.body.Close()
}

func (s *httpStream) Next() (Event, error) {
	raw, err := s.nextWithFields()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return Event{}, merry.Wrap(ErrInterrupted)
	}
	if err != nil {
		return Event{}, merry.Prepend(ErrInterrupted, err.Error())
	}
	if raw.Fault == "" && string(raw.Data) == endMark {
		s.ended = true
		return Event{}, io.EOF
	}
	return decodeEvent(raw)
}

// nextWithFields returns the next event. Blank and comment lines are skipped.
func (s *httpStream) nextWithFields() (sse.RawEvent, error) {
	for {
		raw, err := s.reader.Next()
		if err != nil || raw.HasFields {
			return raw, err
		}
	}
}
