// Package httpstore is the HTTP client for the platform's table service, its
// object store and its list of VMs.
//
// It limits the load that this VM puts on the services: by rate limits on reads and
// writes, retry budgets and circuit breakers.
package httpstore

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/budget"
	"github.com/oriolefront/oriolefront/internal/httpclient"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// Rate limits of the whole fleet on the platform's store.
const (
	FleetReadsPerSecond  = 2000
	FleetWritesPerSecond = 300
	// rateMargin keeps the fleet below the limits, because the network may
	// deliver evenly spaced calls closer together.
	rateMargin = 0.95
)

const (
	defaultSeats       = 9
	defaultCallTimeout = time.Second
	// defaultTotalTimeout bounds calls whose context has no deadline, including
	// queueing and retries.
	defaultTotalTimeout = 4 * time.Second
	defaultQueueLength  = 64
	dialTimeout         = 500 * time.Millisecond
	maxResponseHeader   = 64 << 10 // bytes
	maxAttempts         = 3
	backoffBase         = 20 * time.Millisecond
	backoffMax          = 500 * time.Millisecond
	maxErrorBodyBytes   = 1 << 10
	// maxIdleConns suffices for the concurrent calls of one VM.
	maxIdleConns = 16
)

// retryOptions limits retries to a tenth of the requests, plus one per second, so
// that retries add little load to a failing store.
var retryOptions = budget.RetryOptions{Ratio: 0.1, RefillPerSecond: 1, Burst: 10}

// Options configure a Client. Zero values select the defaults.
type Options struct {
	// TableURL, ObjectsURL and VMsURL are base URLs such as "http://IP:port".
	TableURL, ObjectsURL, VMsURL string
	// Seats is the number of equal shares of the fleet's rate limits, of which
	// this VM uses one. Default 9.
	Seats int
	// CallTimeout bounds one attempt. Default 1s.
	CallTimeout time.Duration
	// TotalTimeout bounds a call, including retries, if its context has no
	// deadline. Default 4s.
	TotalTimeout time.Duration
	// QueueLength bounds the calls in each rate limiter queue, of which reads and
	// writes have one each. Default 64.
	QueueLength int
	// OnContact is called after each response which shows that the table service
	// works, if it was read within CallTimeout of the request. A response that a
	// paused process reads later is no evidence of recent contact.
	OnContact func()
	// Transport overrides the default HTTP transport.
	Transport http.RoundTripper
}

func (o *Options) applyDefaults() {
	if o.Seats <= 0 {
		o.Seats = defaultSeats
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.TotalTimeout <= 0 {
		o.TotalTimeout = defaultTotalTimeout
	}
	if o.QueueLength <= 0 {
		o.QueueLength = defaultQueueLength
	}
	if o.OnContact == nil {
		o.OnContact = func() {}
	}
	if o.Transport == nil {
		o.Transport = httpclient.New(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
			// A broken service may send a head without end.
			MaxResponseHeaderBytes: maxResponseHeader,
		})
	}
}

// Client is a client of the platform's services. All services share the rate
// limits; each has its own circuit breaker and retry budget.
type Client struct {
	options Options
	reads   *rateLimiter
	writes  *rateLimiter
	table   *service
	objects *service
	vms     *service
}

// service is the client state of one of the platform's services.
type service struct {
	name      string
	base      string
	http      *http.Client
	timeout   time.Duration
	onContact func()
	breaker   breaker
	budget    *budget.Retry
	counters  counters
}

type counters struct {
	reads, writes, retries, conflicts, unavailable, unknown, refusedLocally, contacts atomic.Uint64
}

// New returns a Client.
func New(o Options) *Client {
	o.applyDefaults()
	share := rateMargin / float64(o.Seats)
	c := &Client{
		options: o,
		reads:   newRateLimiter(FleetReadsPerSecond*share, o.QueueLength),
		writes:  newRateLimiter(FleetWritesPerSecond*share, o.QueueLength),
	}
	none := func() {}
	c.table = c.newService("table", o.TableURL, o.OnContact)
	c.objects = c.newService("objects", o.ObjectsURL, none)
	c.vms = c.newService("vms", o.VMsURL, none)
	return c
}

// SetSeats changes the number of shares of the fleet's rate limits. It is called
// when the configuration changes the number of seats.
func (c *Client) SetSeats(seats int) {
	share := rateMargin / float64(max(1, seats))
	c.reads.setRate(FleetReadsPerSecond * share)
	c.writes.setRate(FleetWritesPerSecond * share)
}

func (c *Client) newService(name, base string, onContact func()) *service {
	return &service{
		name:      name,
		base:      base,
		http:      &http.Client{Transport: c.options.Transport},
		timeout:   c.options.CallTimeout,
		onContact: onContact,
		budget:    budget.NewRetry(retryOptions),
	}
}

// call is one call to a service. It may take several attempts.
type call struct {
	service *service
	method  string
	path    string
	body    []byte
	write   bool
	// repeatable allows retries after an attempt that may have taken effect.
	repeatable       bool
	maxResponseBytes int64
}

// do makes a call with retries and returns the response body.
func (c *Client) do(ctx context.Context, k call) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.TotalTimeout)
		defer cancel()
	}
	k.service.budget.RecordRequest()
	// outcomeUnknown is set if an earlier attempt may have taken effect.
	outcomeUnknown := false
	for attempt := 1; ; attempt++ {
		data, sent, err := c.attempt(ctx, k)
		outcomeUnknown = outcomeUnknown || errors.Is(err, store.ErrUnknown)
		if !sent || !k.retryable(err) || attempt == maxAttempts || !k.service.budget.Allow() || !backOff(ctx, attempt) {
			return data, k.service.countError(keepUnknown(err, outcomeUnknown))
		}
		k.service.counters.retries.Add(1)
	}
}

// keepUnknown turns ErrUnavailable into ErrUnknown if an earlier attempt may have
// taken effect: that a later attempt failed does not disprove it.
func keepUnknown(err error, outcomeUnknown bool) error {
	if outcomeUnknown && errors.Is(err, store.ErrUnavailable) {
		return merry.Prepend(store.ErrUnknown, err.Error())
	}
	return err
}

func (k call) retryable(err error) bool {
	if errors.Is(err, errRejected) {
		return false
	}
	return errors.Is(err, store.ErrUnavailable) || k.repeatable && errors.Is(err, store.ErrUnknown)
}

// backOff waits for an exponential back-off with full jitter. It returns false if
// the deadline leaves no time for another attempt.
func backOff(ctx context.Context, attempt int) bool {
	pause := rand.N(min(backoffBase<<attempt, backoffMax))
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	return wait.For(ctx, pause)
}

// attempt waits for the rate limiter and sends the call once. sent is false if the
// circuit breaker or the rate limiter rejected the call, which is then not
// retried.
func (c *Client) attempt(ctx context.Context, k call) (data []byte, sent bool, err error) {
	s := k.service
	if !s.breaker.ready() {
		return nil, false, s.rejectLocally(errBreakerOpen)
	}
	limiter := c.reads
	if k.write {
		limiter = c.writes
	}
	if err := limiter.wait(ctx); err != nil {
		return nil, false, s.rejectLocally(err)
	}
	ok, probe := s.breaker.allow()
	if !ok {
		return nil, false, s.rejectLocally(errBreakerOpen)
	}
	data, result, err := s.send(ctx, k)
	s.breaker.record(result, probe)
	return data, true, err
}

var errBreakerOpen = merry.Prepend(store.ErrUnavailable, "circuit breaker is open")

func (s *service) rejectLocally(err error) error {
	s.counters.refusedLocally.Add(1)
	return merry.Prepend(err, s.name)
}

// send makes one HTTP request and classifies its result.
func (s *service) send(ctx context.Context, k call) ([]byte, callResult, error) {
	s.countSent(k)
	started := time.Now()
	attemptCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var sent atomic.Bool
	// Once a connection was obtained, bytes of the request may have been sent
	// even if the write fails later. Only earlier failures prove that nothing
	// was written.
	attemptCtx = httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	status, data, err := s.roundTrip(attemptCtx, k)
	result := failing
	if errors.Is(ctx.Err(), context.Canceled) {
		result = noResult
	}
	if err != nil {
		return nil, result, noResponseError(k, err, sent.Load())
	}
	err = statusError(k, status, data)
	if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrObjectNotFound) || errors.Is(err, errRejected) {
		result = healthy
		s.recordContact(started)
	}
	return data, result, err
}

func (s *service) recordContact(started time.Time) {
	if time.Since(started) > s.timeout {
		return
	}
	s.counters.contacts.Add(1)
	s.onContact()
}

func (s *service) roundTrip(ctx context.Context, k call) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, k.method, s.base+k.path, bytes.NewReader(k.body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	limit := k.maxResponseBytes
	if resp.StatusCode >= 300 {
		limit = maxErrorBodyBytes
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(data)) > limit && resp.StatusCode < 300 {
		err = merry.Errorf("answer is larger than %d bytes", limit)
	}
	if resp.StatusCode >= 300 {
		err = nil // the status suffices
	}
	return resp.StatusCode, data, err
}

// noResponseError classifies an attempt without a complete response.
func noResponseError(k call, err error, sent bool) error {
	if k.write && sent {
		return merry.Prepend(store.ErrUnknown, err.Error())
	}
	return merry.Prepend(store.ErrUnavailable, err.Error())
}

// statusError classifies a response by its status.
func statusError(k call, status int, data []byte) error {
	detail := string(bytes.TrimSpace(data[:min(len(data), maxErrorBodyBytes)]))
	switch {
	case status < 300:
		return nil
	case status == http.StatusConflict:
		return merry.Wrap(store.ErrConflict)
	case status == http.StatusNotFound && k.method == http.MethodGet:
		return merry.Wrap(store.ErrObjectNotFound)
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return merry.Prepend(store.ErrUnavailable, detail)
	case status >= 400 && status < 500:
		// The service rejected the request as invalid, so a retry would fail too.
		return merry.Prepend(errRejected, detail)
	default:
		return noResponseError(k, merry.Errorf("status %d: %s", status, detail), true)
	}
}

// errRejected reports a request that the service rejects as invalid. Nothing was
// written, and a retry would fail too.
var errRejected = merry.Prepend(store.ErrUnavailable, "store rejected the request as wrong")

func (s *service) countSent(k call) {
	if k.write {
		s.counters.writes.Add(1)
	} else {
		s.counters.reads.Add(1)
	}
}

func (s *service) countError(err error) error {
	switch {
	case errors.Is(err, store.ErrConflict):
		s.counters.conflicts.Add(1)
	case errors.Is(err, store.ErrUnavailable):
		s.counters.unavailable.Add(1)
	case errors.Is(err, store.ErrUnknown):
		s.counters.unknown.Add(1)
	}
	return err
}
