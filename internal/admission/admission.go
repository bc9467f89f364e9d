// Package admission decides whether a request is taken, and when and where it
// may start. It refuses early what cannot end in time, and holds the rest in a
// bounded queue until a target has room.
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
	// Bytes is the memory held for the request while it waits; 0 lets the
	// controller estimate it from PromptTokens.
	Bytes int64
	// Deadline is when the request has to be finished.
	Deadline time.Time
	// Prefix holds the hashes of the prompt's leading blocks.
	Prefix []uint64
	// Exclude names targets that failed this request before. A request with
	// such names is a retry and is not charged to the account again.
	Exclude []string
	// Retry marks a retry for which no target is to be left out.
	Retry bool
	// NoSplit forbids to split the work over several targets.
	NoSplit bool

	// endSplit gives back the turn of a request that is split.
	endSplit func()
}

func (w *Request) isRetry() bool { return w.Retry || len(w.Exclude) > 0 }

func (w *Request) tokens() int { return w.PromptTokens + w.OutputTokens }

func (w *Request) bytes() int64 {
	const bytesPerToken = 5
	if w.Bytes > 0 {
		return w.Bytes
	}
	return int64(w.PromptTokens) * bytesPerToken
}

// Report says how an attempt on a target ended.
type Report = load.AttemptResult

// Grant is the right to send one attempt to a target.
type Grant struct {
	Target   string
	Declared config.Target
	Client   engine.Client
	Reason   string
	// EarlierParts holds the grants of the parts before this one when the prompt is
	// larger than one target; each needs its own Named and Done. From and To
	// are then the range of the prompt, in tokens, that this grant is for.
	EarlierParts []*Grant
	From, To     int
	// Priority orders the attempt within the engine; a lower one goes first.
	Priority int
	// TargetLost is closed when the target was given up after failed polls, or
	// when it restarted: it does not hold the attempt any more, or is frozen.
	TargetLost <-chan struct{}
	// BindAttempt must be called with the attempt's id before it is sent.
	BindAttempt func(attemptID string)
	// FirstEvent may be called when the first event has arrived.
	FirstEvent func()
	// Done must be called, when the target holds nothing of the attempt any
	// more. Calls after the first have no effect.
	Done func(Report)
}

// Limits bound the queue.
type Limits struct {
	// QueueRequests bounds the waiting requests. Default 4096.
	QueueRequests int
	// QueueBytes bounds the memory of the waiting requests. Default 256 MiB.
	QueueBytes int64
}

// DefaultLimits returns the defaults.
func DefaultLimits() Limits { return Limits{QueueRequests: 4096, QueueBytes: 256 << 20} }

// Options are what a Controller is wired to.
type Options struct {
	Config   *config.Holder
	Clients  func(address string) engine.Client
	Capacity capacity.Allocator
	// GroupReserver reserves for prompts larger than one target; nil refuses them.
	GroupReserver GroupReserver
	Collector     *load.Collector
	// Connectivity is the isolation verdict of this VM.
	Connectivity func() membership.Connectivity
	// Seats returns the number of seats of this VM and of all VMs; nil means
	// that this VM is the only one.
	Seats  func() (own, held int)
	Policy scheduler.Policy
	Log    *slog.Logger
	Limits Limits
	// Metrics is the set to register metrics in. Default: a set of its own.
	Metrics *metrics.Set
}

// Controller admits work. Run must be called to serve the queue.
type Controller struct {
	options  Options
	accounts *accountLimits
	wake     chan struct{}
	loans    *loans
	metrics  *metrics.Set
	waits    *metrics.Histogram
	splits   *splits

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
		splits:   newSplits(),
	}
	c.loans = newLoans(o.Capacity, c.kick)
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	c.registerMetrics(o.Metrics)
	return c
}

// Attachment carries the demand of accounts between VMs.
func (c *Controller) Attachment() membership.Attachment { return c.accounts.attachment() }

// Run serves the queue until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	// A safety net: expiry and backoffs change what can be served without an
	// event.
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		room, snapshot := c.options.Capacity.Changed(), c.options.Collector.Changed()
		c.serve()
		select {
		case <-ctx.Done():
			return
		case <-room:
		case <-snapshot:
		case <-c.wake:
		case <-ticker.C:
		}
	}
}

// kick asks for the queue to be served.
func (c *Controller) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Admit waits until w may start on a target, and refuses it when it cannot
// start in time.
func (c *Controller) Admit(ctx context.Context, w *Request) (*Grant, error) {
	arrived := time.Now()
	grant, err := c.admit(ctx, w, arrived)
	if err == nil {
		c.note(nil, time.Since(arrived))
	} else {
		refusal := asRetry(w, apierror.From(err))
		c.note(refusal, 0)
		err = refusal
		c.options.Log.Info("admission refused", "request", w.RequestID, "account", w.Account, "service", w.Service,
			"kind", refusal.Kind, "reason", refusal.Message, "cost_tokens", w.tokens(),
			"retry_after", refusal.RetryAfter, "waited", time.Since(arrived))
	}
	return grant, err
}

// asRetry corrects the outcome of a refused retry: an earlier attempt may have
// run, so that "not run" would be untrue.
func asRetry(w *Request, refusal *apierror.Error) *apierror.Error {
	if !w.isRetry() {
		return refusal
	}
	corrected := *refusal
	corrected.Outcome = apierror.Failed
	return &corrected
}

func (c *Controller) admit(ctx context.Context, w *Request, arrived time.Time) (*Grant, error) {
	cfg := c.options.Config.Current()
	if cfg == nil {
		return nil, apierror.New(apierror.KindUnavailable, apierror.NotRun,
			"this VM has no configuration yet", "try again later, or another VM").WithRetryAfter(time.Second)
	}
	if c.options.Connectivity() == membership.Isolated {
		return nil, errIsolated
	}
	contract := cfg.Contracts[cfg.Accounts[w.Account].Contract]
	charged, err := c.accounts.charge(w, contract, arrived)
	if err != nil {
		return nil, err
	}
	var grant *Grant
	if c.needsSplit(w) {
		grant, err = c.admitSplit(ctx, w, arrived)
	} else {
		grant, err = c.placeOrWait(ctx, w, cfg, contract, arrived)
	}
	if err != nil {
		c.accounts.refund(w, charged)
		return nil, err
	}
	done, once := grant.Done, sync.Once{}
	grant.Done = func(r Report) {
		once.Do(func() {
			done(r)
			c.accounts.ended(w.Account)
			c.kick()
		})
	}
	return grant, nil
}

var errIsolated = apierror.New(apierror.KindUnavailable, apierror.NotRun,
	"this VM is cut off from the others and takes no new work", "send the request to another VM").WithRetryAfter(time.Second)

// placeOrWait starts w at once when nothing waits before it, and queues it
// otherwise.
func (c *Controller) placeOrWait(ctx context.Context, w *Request, cfg *config.Config, contract config.Contract, arrived time.Time) (*Grant, error) {
	e, err := c.assess(w, cfg, contract, arrived)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	q := c.queueLocked(w.Service)
	if q.size == 0 || q.passes(e) {
		grant, err := c.place(e, q.earmarked(e))
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
	c.kick()
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

// wait returns the grant of a queued entry, or refuses it when its time is up.
func (c *Controller) wait(ctx context.Context, q *queue, e *entry) (*Grant, error) {
	timer := time.NewTimer(time.Until(e.waitUntil()))
	defer timer.Stop()
	var refusal error
	for refusal == nil {
		select {
		case out := <-e.done:
			return out.grant, out.err
		case <-timer.C:
			if c.availableAgain(e) {
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
	out := <-e.done // it was decided in the meantime
	if out.grant != nil && ctx.Err() != nil {
		out.grant.Done(Report{})
		return nil, refusal
	}
	return out.grant, out.err
}

// place tries to start an entry now. It returns nothing when there is no room,
// and an error when the entry cannot end in time any more.
func (c *Controller) place(e *entry, earmarked []uint32) (*Grant, error) {
	if c.options.Connectivity() == membership.Isolated {
		return nil, errIsolated
	}
	snapshot := c.options.Collector.Snapshot()
	r := c.request(snapshot, e.work)
	r.Exclude = append(r.Exclude, earmarked...)
	const tries = 3 // another request may take the room between choice and reservation
	for range tries {
		d := scheduler.Pick(snapshot, &c.options.Policy, &r, c.options.Capacity, c.options.Collector.Prefixes())
		if !d.OK {
			c.borrow(snapshot, &r, e, &d)
			return nil, nil
		}
		if finish := d.Finish(e.work.OutputTokens); time.Now().Add(finish).After(e.work.Deadline) {
			return nil, errTooLate(finish, d.TimeToFirstToken())
		}
		if grant := c.reserve(e, &d); grant != nil {
			return grant, nil
		}
		r.Exclude = append(r.Exclude, d.ID)
	}
	return nil, nil
}

func (c *Controller) request(s *scheduler.Snapshot, w *Request) scheduler.Request {
	r := scheduler.Request{
		Service: w.Service, Model: w.Model, Class: w.Class,
		PromptTokens: w.PromptTokens, OutputTokens: w.OutputTokens, Prefix: w.Prefix,
		Now: scheduler.Now(), Seed: rand.Uint64(),
	}
	for _, name := range w.Exclude {
		if id, ok := s.ID(name); ok {
			r.Exclude = append(r.Exclude, id)
		}
	}
	return r
}

// reserve takes the room for a decision, or returns nil.
func (c *Controller) reserve(e *entry, d *scheduler.Decision) *Grant {
	w := e.work
	reservation, ok := c.options.Capacity.Reserve(d.Target.Name, w.tokens())
	if !ok {
		return nil
	}
	attempt := c.options.Collector.BeginAttempt(d, w.Model, w.PromptTokens)
	if attempt == nil {
		reservation.Release()
		return nil
	}
	reason := d.Reason()
	c.options.Log.Info("admission granted", "request", w.RequestID, "account", w.Account, "service", w.Service,
		"target", d.Target.Name, "reason", reason, "cost_tokens", w.tokens(),
		"estimate_first", d.TimeToFirstToken(), "estimate_end", d.Finish(w.OutputTokens), "waited", time.Since(e.arrived))
	return &Grant{
		Target:      d.Target.Name,
		Declared:    d.Target.Declared,
		Client:      c.options.Clients(d.Target.Declared.Address),
		Reason:      reason,
		Priority:    d.Level,
		TargetLost:  attempt.TargetFailed(),
		BindAttempt: reservation.AddAttempt,
		FirstEvent:  attempt.FirstEvent,
		Done: func(r Report) {
			attempt.Done(r)
			reservation.Release()
		},
	}
}

// borrow asks other VMs for room on the target that would be best if this VM's
// share of it were large enough.
func (c *Controller) borrow(s *scheduler.Snapshot, r *scheduler.Request, e *entry, d *scheduler.Decision) {
	if d.Rejected[scheduler.FilterCapacity] == 0 {
		return
	}
	ask := *r
	ask.IgnoreCapacity = true
	wanted := scheduler.Pick(s, &c.options.Policy, &ask, c.options.Capacity, c.options.Collector.Prefixes())
	if wanted.OK {
		c.loans.ask(wanted.Target.Name, capacity.Resources{Tokens: e.work.tokens(), Slots: 1}, e.work.Deadline)
	}
}
