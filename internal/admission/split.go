package admission

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/load"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

const (
	// maxSplits limits the split prompts in progress on one VM. Each one holds
	// most of the KV cache of several engines for tens of seconds. With a limit
	// of two, six VMs with prompts of a million tokens would need twice the KV
	// cache of 15 engines of 400,000 tokens. The planner, which prefers one half
	// of the targets, limits what all VMs use together.
	maxSplits = 1
	// maxSplitsWaiting limits the split prompts that wait for one in progress;
	// each holds a body of several megabytes.
	maxSplitsWaiting = 16
	// splitUnavailableWait limits the wait while too few targets are usable. It
	// covers the restart of a crashed engine and the longest exclusion of a
	// target.
	splitUnavailableWait = 10 * time.Second
	// reserveTimeout limits one attempt to reserve the targets of a plan. The
	// next plan then uses other targets.
	reserveTimeout = 300 * time.Millisecond
	// replanDelay is the mean delay between two plans. The delay has jitter, so
	// that VMs that compete for the same targets do not stay synchronized.
	replanDelay = 100 * time.Millisecond
	// attemptsPerExtraPart is the number of failed attempts after which the plan
	// gets one more part. Smaller parts fit on busier targets.
	attemptsPerExtraPart = 4
	maxExtraParts        = 2
)

// GroupReserver reserves capacity on several targets, either on all or on none.
type GroupReserver interface {
	ReserveAll(ctx context.Context, needs []capacity.ReserveRequest, until time.Time) ([]*capacity.Reservation, error)
}

// splitLimiter limits the split prompts of this VM.
type splitLimiter struct {
	running chan struct{}
	waiting chan struct{}
}

func newSplitLimiter() *splitLimiter {
	return &splitLimiter{running: make(chan struct{}, maxSplits), waiting: make(chan struct{}, maxSplitsWaiting)}
}

// acquire waits until latest for a slot. A retry keeps its slot.
func (s *splitLimiter) acquire(ctx context.Context, req *Request, latest time.Time) error {
	if req.releaseSplit != nil {
		return nil
	}
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		return errSplitsBusy
	}
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	select {
	case s.running <- struct{}{}:
		req.releaseSplit = sync.OnceFunc(func() { <-s.running })
		return nil
	case <-timer.C:
		return errSplitsBusy
	case <-ctx.Done():
		return errSplitEnded(ctx)
	}
}

var errSplitsBusy = apierror.New(apierror.KindOverloaded, apierror.NotRun,
	"other prompts that are larger than one target are in progress",
	"try again later, or allow more time").WithRetryAfter(10 * time.Second)

func errSplitEnded(ctx context.Context) error {
	return apierror.New(apierror.KindDeadlineExceeded, apierror.NotRun,
		"the request ended while it waited for targets", "allow more time").WithCause(context.Cause(ctx))
}

// End must be called when the request needs no further grant.
func (req *Request) End() {
	if req.releaseSplit != nil {
		req.releaseSplit()
	}
}

// needsSplit reports whether a request is too large for one target.
func (c *Controller) needsSplit(req *Request) bool {
	if c.options.GroupReserver == nil || req.NoSplit {
		return false
	}
	largest := c.options.Collector.Snapshot().LargestKV(req.Service, req.Model)
	if largest == 0 || req.tokens() <= scheduler.PartLimit(largest) {
		return false
	}
	if req.tokens() > capacity.AllocatableTokens(largest) {
		return true
	}
	// A request that fits one target only without the headroom is not split if
	// the fleet is too small for that.
	plan := c.planSplit(req, scheduler.SplitOptions{})
	return plan.checkCapacity(req) == nil
}

// splitPlan adds the admission checks to a plan.
type splitPlan struct{ scheduler.SplitPlan }

func (c *Controller) planSplit(req *Request, o scheduler.SplitOptions) splitPlan {
	snapshot := c.options.Collector.Snapshot()
	r := c.schedulerRequest(snapshot, req)
	return splitPlan{scheduler.Split(snapshot, &c.options.Policy, &r, o)}
}

// checkCapacity returns an error if the request is larger than all targets
// together can hold.
func (p *splitPlan) checkCapacity(req *Request) error {
	if req.tokens() <= p.KVCapacity && req.OutputTokens <= p.OutputCapacity {
		return nil
	}
	return apierror.New(apierror.KindTooLarge, apierror.NotRun,
		fmt.Sprintf("prompt and output need %d tokens, of these %d for the output; all targets together hold %d, and %d of the output",
			req.tokens(), req.OutputTokens, p.KVCapacity, p.OutputCapacity),
		"send a shorter prompt or a smaller max_tokens")
}

// checkDeadline returns an error if the response would end after the deadline.
func (p *splitPlan) checkDeadline(req *Request) error {
	if p.OK && time.Now().Add(p.Finish).After(req.Deadline) {
		return errTooLate(p.Finish, p.TimeToFirstToken)
	}
	return nil
}

func (p *splitPlan) needs() []capacity.ReserveRequest {
	needs := make([]capacity.ReserveRequest, len(p.Parts))
	for i := range p.Parts {
		// An export also holds the token that ends its prefill.
		needs[i] = capacity.ReserveRequest{Target: p.Parts[i].Decision.Target.Name, Tokens: p.Parts[i].Tokens + 1}
	}
	return needs
}

// admitSplit reserves several targets for a prompt that is too large for each of
// them.
func (c *Controller) admitSplit(ctx context.Context, req *Request, arrived time.Time) (*Grant, error) {
	plan := c.planSplit(req, scheduler.SplitOptions{})
	if err := plan.checkCapacity(req); err != nil {
		return nil, err
	}
	if err := plan.checkDeadline(req); err != nil {
		return nil, err
	}
	if err := c.splits.acquire(ctx, req, req.Deadline.Add(-plan.UnloadedFinish)); err != nil {
		return nil, err
	}
	grant, err := c.reserveSplit(ctx, req, arrived)
	if err != nil {
		return nil, err
	}
	return grant, nil
}

// reserveSplit plans and reserves repeatedly until a reservation succeeds or the
// deadline can no longer be met.
func (c *Controller) reserveSplit(ctx context.Context, req *Request, arrived time.Time) (*Grant, error) {
	o := scheduler.SplitOptions{FailedReservations: map[string]int{}}
	usableAt := time.Now()
	for attempts := 0; ; attempts++ {
		if c.options.Connectivity() == membership.Isolated {
			return nil, errIsolated
		}
		o.ExtraParts = min(attempts/attemptsPerExtraPart, maxExtraParts)
		plan := c.planSplit(req, o)
		if plan.OK {
			usableAt = time.Now()
		} else if time.Since(usableAt) > splitUnavailableWait {
			return nil, errSplitUnavailable
		}
		if err := plan.checkDeadline(req); err != nil {
			return nil, err
		}
		if grant := c.trySplit(ctx, req, &plan, &o, arrived); grant != nil {
			return grant, nil
		}
		select {
		case <-ctx.Done():
			return nil, errSplitEnded(ctx)
		case <-time.After(replanDelay/2 + rand.N(replanDelay)):
		}
	}
}

var errSplitUnavailable = apierror.New(apierror.KindUnavailable, apierror.NotRun,
	"too few targets are usable for a prompt of this length", "try again later, or send a shorter prompt").
	WithRetryAfter(splitUnavailableWait)

// trySplit reserves the targets of one plan. It returns nil if that fails, and
// records the target without available capacity.
func (c *Controller) trySplit(ctx context.Context, req *Request, plan *splitPlan, o *scheduler.SplitOptions, arrived time.Time) *Grant {
	if !plan.OK {
		return nil
	}
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservations, err := c.options.GroupReserver.ReserveAll(reserveCtx, plan.needs(), req.Deadline)
	var refused *capacity.ReserveError
	if errors.As(err, &refused) {
		o.FailedReservations[refused.Target]++
	}
	if err != nil {
		c.options.Log.Debug("failed to reserve the parts of a split prompt", "request", req.RequestID, "error", err)
		return nil
	}
	return c.grantSplit(req, plan, reservations, arrived)
}

// grantSplit returns the grant of the last part, which holds those of the earlier
// parts.
func (c *Controller) grantSplit(req *Request, plan *splitPlan, reservations []*capacity.Reservation, arrived time.Time) *Grant {
	grants := make([]*Grant, len(plan.Parts))
	targets := make([]string, len(plan.Parts))
	for i := range plan.Parts {
		grants[i] = c.grantPart(req, &plan.Parts[i], reservations[i])
		targets[i] = grants[i].Target
	}
	last := grants[len(grants)-1]
	last.EarlierParts = slices.Clone(grants[:len(grants)-1])
	c.options.Log.Info("admission granted", "request", req.RequestID, "account", req.Account, "service", req.Service,
		"targets", slog.AnyValue(targets), "cost_tokens", req.tokens(), "estimate_first", plan.TimeToFirstToken,
		"estimate_end", plan.Finish, "waited", time.Since(arrived))
	return last
}

// grantPart returns the grant of one part. The part counts as load of its target
// only after BindAttempt, because it is sent after the preceding parts.
func (c *Controller) grantPart(req *Request, part *scheduler.SplitPart, reservation *capacity.Reservation) *Grant {
	d := part.Decision
	g := &Grant{
		Target:   d.Target.Name,
		Declared: d.Target.Declared,
		Client:   c.options.Clients(d.Target.Declared.Address),
		Reason:   d.Reason(),
		Priority: d.Level,
		From:     part.From,
		To:       part.To,
	}
	var attempt *load.Attempt
	g.BindAttempt = func(id string) {
		reservation.AddAttempt(id)
		if attempt = c.options.Collector.BeginAttempt(&d, req.Model, part.To-part.From); attempt != nil {
			g.TargetFailed = attempt.TargetFailed()
		}
	}
	g.FirstEvent = func() {
		if attempt != nil {
			attempt.FirstEvent()
		}
	}
	var once sync.Once
	g.Done = func(r AttemptResult) {
		once.Do(func() {
			if attempt != nil {
				attempt.Done(r)
			}
			reservation.Release()
		})
	}
	return g
}
