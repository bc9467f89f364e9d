// Package admission decides whether a request is admitted, and when and on which
// target it may start. It rejects early a request that cannot finish in time, and
// keeps the others in a bounded queue until a target has available capacity.
package admission

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/load"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

// Request describes a request that needs a target.
type Request struct {
	RequestID    string
	Account      string
	Service      string
	Model        string
	Class        config.Class
	PromptTokens int
	OutputTokens int
	// Bytes is the memory that the request holds while it waits; if 0, the
	// controller estimates it from PromptTokens.
	Bytes int64
	// Deadline is when the request must be finished.
	Deadline time.Time
	// Prefix holds the hashes of the prompt's leading blocks.
	Prefix []uint64
	// Exclude names targets on which an earlier attempt failed. A request that
	// names any is a retry and is not charged to the account again.
	Exclude []string
	// Retry marks a retry that excludes no target.
	Retry bool
	// NoSplit forbids splitting the request over several targets.
	NoSplit bool

	// releaseSplit releases the slot that a split prompt holds in the
	// splitLimiter.
	releaseSplit func()
}

func (req *Request) isRetry() bool { return req.Retry || len(req.Exclude) > 0 }

func (req *Request) tokens() int { return req.PromptTokens + req.OutputTokens }

func (req *Request) bytes() int64 {
	const bytesPerToken = 5
	if req.Bytes > 0 {
		return req.Bytes
	}
	return int64(req.PromptTokens) * bytesPerToken
}

// AttemptResult describes how an attempt on a target ended.
type AttemptResult = load.AttemptResult

// Grant is the permission to send one attempt to a target.
type Grant struct {
	Target   string
	Declared config.Target
	Client   engine.Client
	Reason   string
	// EarlierParts holds the grants of the preceding parts when the prompt is
	// larger than one target. BindAttempt and Done must be called on each of
	// them. From and To are then the range of the prompt, in tokens, that this
	// grant covers.
	EarlierParts []*Grant
	From, To     int
	// Priority orders the attempt within the engine; lower values are served
	// first.
	Priority int
	// TargetFailed is closed when the target was declared failed after failed
	// polls, or has restarted. The target then no longer holds the attempt, or is
	// frozen.
	TargetFailed <-chan struct{}
	// BindAttempt must be called with the attempt's id before the attempt is
	// sent.
	BindAttempt func(attemptID string)
	// FirstEvent may be called when the first event has arrived.
	FirstEvent func()
	// Done must be called when the target no longer holds any state of the
	// attempt. Only the first call has an effect.
	Done func(AttemptResult)
}

// Limits bounds the queue.
type Limits struct {
	// QueueRequests limits the number of waiting requests. Default 4096.
	QueueRequests int
	// QueueBytes limits the memory of the waiting requests. Default 256 MiB.
	QueueBytes int64
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits { return Limits{QueueRequests: 4096, QueueBytes: 256 << 20} }

// Options holds the dependencies and settings of a Controller.
type Options struct {
	Config   *config.Holder
	Clients  func(address string) engine.Client
	Capacity capacity.Allocator
	// GroupReserver reserves capacity for prompts larger than one target; if nil,
	// they are refused.
	GroupReserver GroupReserver
	Collector     *load.Collector
	// Connectivity returns the connectivity of this VM to the store and the other
	// VMs.
	Connectivity func() membership.Connectivity
	// Seats returns the number of seats that this VM holds and the number that
	// all VMs hold; if nil, this VM is the only one.
	Seats  func() (own, held int)
	Policy scheduler.Policy
	Log    *slog.Logger
	Limits Limits
	// Metrics is the set in which metrics are registered. Default: a new set.
	Metrics *metrics.Set
}

// Controller admits requests. Run must be called to serve the queue.
type Controller struct {
	options  Options
	accounts *accountLimits
	wake     chan struct{}
	loans    *loans
	metrics  *metrics.Set
	waits    *metrics.Histogram
	splits   *splitLimiter

	mu     sync.Mutex
	queues map[string]*queue // by service
	size   int
	bytes  int64
}

// NewController returns a controller.
func NewController(o Options) *Controller {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits()
	}
	if o.Seats == nil {
		o.Seats = func() (int, int) { return 1, 1 }
	}
	c := &Controller{
		options:  o,
		accounts: newAccountLimits(o.Seats),
		wake:     make(chan struct{}, 1),
		queues:   map[string]*queue{},
		splits:   newSplitLimiter(),
	}
	c.loans = newLoans(o.Capacity, c.wakeUp)
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	c.registerMetrics(o.Metrics)
	return c
}

// Attachment exchanges the demand of accounts between VMs with the heartbeats.
func (c *Controller) Attachment() membership.Attachment { return c.accounts.attachment() }

// Run serves the queue until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	// Deadlines and back-offs expire without an event, so the queue is also
	// served at regular intervals.
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		capacityChanged, snapshotChanged := c.options.Capacity.Changed(), c.options.Collector.Changed()
		c.serve()
		select {
		case <-ctx.Done():
			return
		case <-capacityChanged:
		case <-snapshotChanged:
		case <-c.wake:
		case <-ticker.C:
		}
	}
}

// wakeUp makes Run serve the queue.
func (c *Controller) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Admit waits until req may start on a target, and returns an error when it cannot
// start in time.
func (c *Controller) Admit(ctx context.Context, req *Request) (*Grant, error) {
	arrived := time.Now()
	grant, err := c.admit(ctx, req, arrived)
	if err == nil {
		c.recordResult(nil, time.Since(arrived))
	} else {
		refusal := refuseRetry(req, apierror.From(err))
		c.recordResult(refusal, 0)
		err = refusal
		c.options.Log.Info("admission refused", "request", req.RequestID, "account", req.Account, "service", req.Service,
			"kind", refusal.Kind, "reason", refusal.Message, "cost_tokens", req.tokens(),
			"retry_after", refusal.RetryAfter, "waited", time.Since(arrived))
	}
	return grant, err
}

// refuseRetry corrects the outcome of a refused retry: an earlier attempt may
// have run, so "not run" would be wrong.
func refuseRetry(req *Request, refusal *apierror.Error) *apierror.Error {
	if !req.isRetry() {
		return refusal
	}
	corrected := *refusal
	corrected.Outcome = apierror.Failed
	return &corrected
}

func (c *Controller) admit(ctx context.Context, req *Request, arrived time.Time) (*Grant, error) {
	cfg := c.options.Config.Current()
	if cfg == nil {
		return nil, apierror.New(apierror.KindUnavailable, apierror.NotRun,
			"this VM has no configuration yet", "try again later, or another VM").WithRetryAfter(time.Second)
	}
	if c.options.Connectivity() == membership.Isolated {
		return nil, errIsolated
	}
	contract := cfg.Contracts[cfg.Accounts[req.Account].Contract]
	charged, err := c.accounts.charge(req, contract, arrived)
	if err != nil {
		return nil, err
	}
	var grant *Grant
	if c.needsSplit(req) {
		grant, err = c.admitSplit(ctx, req, arrived)
	} else {
		grant, err = c.placeOrQueue(ctx, req, cfg, contract, arrived)
	}
	if err != nil {
		c.accounts.refund(req, charged)
		return nil, err
	}
	done, once := grant.Done, sync.Once{}
	grant.Done = func(r AttemptResult) {
		once.Do(func() {
			done(r)
			c.accounts.release(req.Account)
			c.wakeUp()
		})
	}
	return grant, nil
}

var errIsolated = apierror.New(apierror.KindUnavailable, apierror.NotRun,
	"this VM is cut off from the others and takes no new work", "send the request to another VM").WithRetryAfter(time.Second)

// placeOrQueue places req at once if no queued request goes first, and queues it
// otherwise.
func (c *Controller) placeOrQueue(ctx context.Context, req *Request, cfg *config.Config, contract config.Contract, arrived time.Time) (*Grant, error) {
	e, err := c.assess(req, cfg, contract, arrived)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	q := c.queueLocked(req.Service)
	if q.size == 0 || q.mayBypass(e) {
		grant, err := c.place(e, q.reservedTargets(e))
		if grant != nil || err != nil {
			c.mu.Unlock()
			return grant, err
		}
	}
	err = c.enqueueLocked(q, e)
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	c.wakeUp()
	return c.wait(ctx, q, e)
}

func (c *Controller) queueLocked(service string) *queue {
	q := c.queues[service]
	if q == nil {
		q = newQueue()
		c.queues[service] = q
	}
	return q
}

// wait returns the grant of a queued entry, or an error when its time is up.
func (c *Controller) wait(ctx context.Context, q *queue, e *entry) (*Grant, error) {
	timer := time.NewTimer(time.Until(e.waitUntil()))
	defer timer.Stop()
	var refusal error
	for refusal == nil {
		select {
		case out := <-e.done:
			return out.grant, out.err
		case <-timer.C:
			if c.usableAgain(e) {
				timer.Reset(time.Until(e.waitUntil()))
				continue
			}
			refusal = c.expired(q, e)
		case <-ctx.Done():
			refusal = apierror.New(apierror.KindDeadlineExceeded, apierror.NotRun,
				"the request ended while it waited for a target", "allow more time").WithCause(context.Cause(ctx))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.removeLocked(q, e) {
		return nil, refusal
	}
	out := <-e.done // decided in the meantime
	if out.grant != nil && ctx.Err() != nil {
		out.grant.Done(AttemptResult{})
		return nil, refusal
	}
	return out.grant, out.err
}

// place tries to start an entry now. It returns nil and no error when there is no
// available capacity, and an error when the entry can no longer finish in time.
func (c *Controller) place(e *entry, reserved []uint32) (*Grant, error) {
	if c.options.Connectivity() == membership.Isolated {
		return nil, errIsolated
	}
	snapshot := c.options.Collector.Snapshot()
	r := c.schedulerRequest(snapshot, e.request)
	r.Exclude = append(r.Exclude, reserved...)
	const attempts = 3 // another request may take the capacity between the choice and the reservation
	for range attempts {
		d := scheduler.Pick(snapshot, &c.options.Policy, &r, c.options.Capacity, c.options.Collector.Prefixes())
		if !d.OK {
			c.borrow(snapshot, &r, e, &d)
			return nil, nil
		}
		if finish := d.Finish(e.request.OutputTokens); time.Now().Add(finish).After(e.request.Deadline) {
			return nil, errTooLate(finish, d.TimeToFirstToken())
		}
		if grant := c.reserve(e, &d); grant != nil {
			return grant, nil
		}
		r.Exclude = append(r.Exclude, d.ID)
	}
	return nil, nil
}

func (c *Controller) schedulerRequest(s *scheduler.Snapshot, req *Request) scheduler.Request {
	r := scheduler.Request{
		Service: req.Service, Model: req.Model, Class: req.Class,
		PromptTokens: req.PromptTokens, OutputTokens: req.OutputTokens, Prefix: req.Prefix,
		Now: scheduler.Now(), Seed: rand.Uint64(),
	}
	for _, name := range req.Exclude {
		if id, ok := s.ID(name); ok {
			r.Exclude = append(r.Exclude, id)
		}
	}
	return r
}

// reserve reserves the capacity for a decision, or returns nil.
func (c *Controller) reserve(e *entry, d *scheduler.Decision) *Grant {
	req := e.request
	reservation, ok := c.options.Capacity.Reserve(d.Target.Name, req.tokens())
	if !ok {
		return nil
	}
	attempt := c.options.Collector.BeginAttempt(d, req.Model, req.PromptTokens)
	if attempt == nil {
		reservation.Release()
		return nil
	}
	reason := d.Reason()
	c.options.Log.Info("admission granted", "request", req.RequestID, "account", req.Account, "service", req.Service,
		"target", d.Target.Name, "reason", reason, "cost_tokens", req.tokens(),
		"estimate_first", d.TimeToFirstToken(), "estimate_end", d.Finish(req.OutputTokens), "waited", time.Since(e.arrived))
	return &Grant{
		Target:       d.Target.Name,
		Declared:     d.Target.Declared,
		Client:       c.options.Clients(d.Target.Declared.Address),
		Reason:       reason,
		Priority:     d.Level,
		TargetFailed: attempt.TargetFailed(),
		BindAttempt:  reservation.AddAttempt,
		FirstEvent:   attempt.FirstEvent,
		Done: func(r AttemptResult) {
			attempt.Done(r)
			reservation.Release()
		},
	}
}

// borrow requests a loan of capacity from other VMs on the target that would be
// best if this VM's share of it were large enough.
func (c *Controller) borrow(s *scheduler.Snapshot, r *scheduler.Request, e *entry, d *scheduler.Decision) {
	if d.Rejected[scheduler.FilterCapacity] == 0 {
		return
	}
	ask := *r
	ask.IgnoreCapacity = true
	wanted := scheduler.Pick(s, &c.options.Policy, &ask, c.options.Capacity, c.options.Collector.Prefixes())
	if wanted.OK {
		c.loans.ask(wanted.Target.Name, capacity.Resources{Tokens: e.request.tokens(), Slots: 1}, e.request.Deadline)
	}
}
