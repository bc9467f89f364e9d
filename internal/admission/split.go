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
	// maxSplits bounds the split prompts in progress on one VM. Each holds most
	// of the memory of several engines for tens of seconds. With two on each of
	// six VMs, prompts of a million tokens would ask for twice the memory of 15
	// engines of 400,000. What all VMs together take is bounded by the planner,
	// which prefers one half of the targets.
	maxSplits = 1
	// maxSplitsWaiting bounds those that wait for their turn; each holds a body
	// of megabytes.
	maxSplitsWaiting = 16
	// splitUnavailableWait bounds the wait while too few targets are usable. It
	// covers the restart of a crashed engine and the longest exclusion.
	splitUnavailableWait = 10 * time.Second
	// splitTry bounds one try to reserve on the targets of one plan. A new plan
	// then takes other targets.
	splitTry = 300 * time.Millisecond
	// splitPause is the mean pause between two plans; it is random, so that VMs
	// that compete for the same targets do not stay in step.
	splitPause = 100 * time.Millisecond
	// triesPerExtraPart is after how many failed tries one more part is
	// planned. Smaller parts find room on busier targets.
	triesPerExtraPart = 4
	maxExtraParts     = 2
)

// GroupReserver reserves on several targets, all or none.
type GroupReserver interface {
	ReserveAll(ctx context.Context, needs []capacity.ReserveRequest, until time.Time) ([]*capacity.Reservation, error)
}

// splits bounds the split prompts of this VM.
type splits struct {
	running chan struct{}
	waiting chan struct{}
}

func newSplits() *splits {
	return &splits{running: make(chan struct{}, maxSplits), waiting: make(chan struct{}, maxSplitsWaiting)}
}

// enter waits for the turn of a request until latest. A retry keeps its turn.
func (s *splits) enter(ctx context.Context, w *Request, latest time.Time) error {
	if w.endSplit != nil {
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
		w.endSplit = sync.OnceFunc(func() { <-s.running })
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
func (w *Request) End() {
	if w.endSplit != nil {
		w.endSplit()
	}
}

// needsSplit reports whether a request is larger than one target takes.
func (c *Controller) needsSplit(w *Request) bool {
	if c.options.GroupReserver == nil || w.NoSplit {
		return false
	}
	largest := c.options.Collector.Snapshot().LargestKV(w.Service, w.Model)
	if largest == 0 || w.tokens() <= scheduler.PartLimit(largest) {
		return false
	}
	if w.tokens() > capacity.AllocatableTokens(largest) {
		return true
	}
	// A request that fits without the headroom runs whole where the fleet is
	// too small to split it.
	plan := c.planSplit(w, scheduler.SplitOptions{})
	return plan.holds(w) == nil
}

// splitPlan is a plan with the checks of admission.
type splitPlan struct{ scheduler.SplitPlan }

func (c *Controller) planSplit(w *Request, o scheduler.SplitOptions) splitPlan {
	snapshot := c.options.Collector.Snapshot()
	r := c.request(snapshot, w)
	return splitPlan{scheduler.Split(snapshot, &c.options.Policy, &r, o)}
}

// holds refuses a request that is larger than all targets together.
func (p *splitPlan) holds(w *Request) error {
	if w.tokens() <= p.KVCapacity && w.OutputTokens <= p.OutputCapacity {
		return nil
	}
	return apierror.New(apierror.KindTooLarge, apierror.NotRun,
		fmt.Sprintf("prompt and output need %d tokens, of these %d for the output; all targets together hold %d, and %d of the output",
			w.tokens(), w.OutputTokens, p.KVCapacity, p.OutputCapacity),
		"send a shorter prompt or a smaller max_tokens")
}

// inTime refuses a request whose answer would end after its deadline.
func (p *splitPlan) inTime(w *Request) error {
	if p.OK && time.Now().Add(p.Finish).After(w.Deadline) {
		return errTooLate(p.Finish, p.TimeToFirstToken)
	}
	return nil
}

func (p *splitPlan) needs() []capacity.ReserveRequest {
	needs := make([]capacity.ReserveRequest, len(p.Parts))
	for i := range p.Parts {
		// An export also holds the one token that ends its prefill.
		needs[i] = capacity.ReserveRequest{Target: p.Parts[i].Decision.Target.Name, Tokens: p.Parts[i].Tokens + 1}
	}
	return needs
}

// admitSplit reserves on several targets for a prompt that none holds alone.
func (c *Controller) admitSplit(ctx context.Context, w *Request, arrived time.Time) (*Grant, error) {
	plan := c.planSplit(w, scheduler.SplitOptions{})
	if err := plan.holds(w); err != nil {
		return nil, err
	}
	if err := plan.inTime(w); err != nil {
		return nil, err
	}
	if err := c.splits.enter(ctx, w, w.Deadline.Add(-plan.UnloadedFinish)); err != nil {
		return nil, err
	}
	grant, err := c.reserveSplit(ctx, w, arrived)
	if err != nil {
		return nil, err
	}
	return grant, nil
}

// reserveSplit plans and reserves until it succeeds or the deadline cannot be
// met any more.
func (c *Controller) reserveSplit(ctx context.Context, w *Request, arrived time.Time) (*Grant, error) {
	o := scheduler.SplitOptions{FailedReservations: map[string]int{}}
	usableAt := time.Now()
	for tries := 0; ; tries++ {
		if c.options.Connectivity() == membership.Isolated {
			return nil, errIsolated
		}
		o.ExtraParts = min(tries/triesPerExtraPart, maxExtraParts)
		plan := c.planSplit(w, o)
		if plan.OK {
			usableAt = time.Now()
		} else if time.Since(usableAt) > splitUnavailableWait {
			return nil, errSplitUnavailable
		}
		if err := plan.inTime(w); err != nil {
			return nil, err
		}
		if grant := c.trySplit(ctx, w, &plan, &o, arrived); grant != nil {
			return grant, nil
		}
		select {
		case <-ctx.Done():
			return nil, errSplitEnded(ctx)
		case <-time.After(splitPause/2 + rand.N(splitPause)):
		}
	}
}

var errSplitUnavailable = apierror.New(apierror.KindUnavailable, apierror.NotRun,
	"too few targets are usable for a prompt of this length", "try again later, or send a shorter prompt").
	WithRetryAfter(splitUnavailableWait)

// trySplit reserves for one plan, or returns nil and notes the target that had
// no room.
func (c *Controller) trySplit(ctx context.Context, w *Request, plan *splitPlan, o *scheduler.SplitOptions, arrived time.Time) *Grant {
	if !plan.OK {
		return nil
	}
	tryCtx, cancel := context.WithTimeout(ctx, splitTry)
	defer cancel()
	reservations, err := c.options.GroupReserver.ReserveAll(tryCtx, plan.needs(), w.Deadline)
	var refused *capacity.ReserveError
	if errors.As(err, &refused) {
		o.FailedReservations[refused.Target]++
	}
	if err != nil {
		c.options.Log.Debug("parts not reserved", "request", w.RequestID, "error", err)
		return nil
	}
	return c.grantSplit(w, plan, reservations, arrived)
}

// grantSplit returns the grant of the last part with those of the earlier ones.
func (c *Controller) grantSplit(w *Request, plan *splitPlan, reservations []*capacity.Reservation, arrived time.Time) *Grant {
	grants := make([]*Grant, len(plan.Parts))
	targets := make([]string, len(plan.Parts))
	for i := range plan.Parts {
		grants[i] = c.grantPart(w, &plan.Parts[i], reservations[i])
		targets[i] = grants[i].Target
	}
	last := grants[len(grants)-1]
	last.EarlierParts = slices.Clone(grants[:len(grants)-1])
	c.options.Log.Info("admission granted", "request", w.RequestID, "account", w.Account, "service", w.Service,
		"targets", slog.AnyValue(targets), "cost_tokens", w.tokens(), "estimate_first", plan.TimeToFirstToken,
		"estimate_end", plan.Finish, "waited", time.Since(arrived))
	return last
}

// grantPart returns the grant of one part. The part counts as work of its
// target only from when it is named, because it is sent after the parts before.
func (c *Controller) grantPart(w *Request, part *scheduler.SplitPart, reservation *capacity.Reservation) *Grant {
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
		if attempt = c.options.Collector.BeginAttempt(&d, w.Model, part.To-part.From); attempt != nil {
			g.TargetLost = attempt.TargetFailed()
		}
	}
	g.FirstEvent = func() {
		if attempt != nil {
			attempt.FirstEvent()
		}
	}
	var once sync.Once
	g.Done = func(r Report) {
		once.Do(func() {
			if attempt != nil {
				attempt.Done(r)
			}
			reservation.Release()
		})
	}
	return g
}
