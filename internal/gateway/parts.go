package gateway

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/admission"
	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/engine"
)

const (
	// maxLastPartAttempts is how often the last part is sent while the exports of the parts
	// before it exist. Prefilling those again would cost many times as much.
	maxLastPartAttempts = 3
	// lastPartTimeout bounds the wait for another target of the last part, during which the
	// exports occupy the memory of their engines.
	lastPartTimeout = 5 * time.Second
)

// errPartLost reports that an engine that holds an exported part has failed or restarted.
var errPartLost = errors.New("engine that holds a part of the prompt failed")

// exportedParts are the exported parts of a prompt that is larger than one engine. They are
// deleted when the last reference is released.
type exportedParts struct {
	g          *Gateway
	from       int // first prompt token of the last part
	exports    []*attemptRun
	references atomic.Int32
}

func (p *exportedParts) retain() { p.references.Add(1) }

func (p *exportedParts) release() {
	if p.references.Add(-1) > 0 {
		return
	}
	for _, run := range p.exports {
		p.g.cleanups.Go(func() { p.g.releaseExport(run) })
	}
}

func (p *exportedParts) imports() []engine.ImportedKV {
	var all []engine.ImportedKV
	for _, run := range p.exports {
		if run.export.Handle != "" {
			all = append(all, engine.ImportedKV{Address: run.grant.Declared.Address, Handle: run.export.Handle})
		}
	}
	return all
}

// tokenCount returns the number of exported tokens as counted by the engines.
func (p *exportedParts) tokenCount() int {
	sum := 0
	for _, run := range p.exports {
		sum += run.export.KVTokens
	}
	return sum
}

// stillHeld asks the engines whether they still hold every exported part.
func (p *exportedParts) stillHeld(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for _, run := range p.exports {
		if run.export.Handle == "" {
			continue // the part that failed
		}
		inventory, err := run.grant.Client.Inventory(ctx)
		held := func(x engine.Export) bool { return x.Handle == run.export.Handle }
		if err != nil || !slices.ContainsFunc(inventory.Exports, held) {
			return false
		}
	}
	return true
}

// runSplit exports the parts one after the other; the last one produces the response.
func (d *dispatch) runSplit(ctx context.Context, last *admission.Grant) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := &exportedParts{g: d.g, from: last.From}
	p.retain()
	defer p.release()
	for i, grant := range last.EarlierParts {
		if err := d.export(ctx, p, grant); err != nil {
			for _, unused := range last.EarlierParts[i+1:] {
				unused.Done(admission.AttemptResult{})
			}
			last.Done(admission.AttemptResult{})
			return abortError(ctx, err)
		}
		go cancelOnPartLoss(ctx, cancel, grant.TargetFailed)
	}
	return abortError(ctx, d.runLastPart(ctx, p, last))
}

// cancelOnPartLoss cancels a split request as soon as the engine of an exported part fails.
func cancelOnPartLoss(ctx context.Context, cancel context.CancelCauseFunc, targetLost <-chan struct{}) {
	select {
	case <-targetLost: // nil, and never ready, if the target is not monitored
		cancel(errPartLost)
	case <-ctx.Done():
	}
}

// export prefills one part and keeps its KV cache on its engine.
func (d *dispatch) export(ctx context.Context, p *exportedParts, grant *admission.Grant) error {
	run, err := d.prepare(grant)
	if err != nil {
		grant.Done(admission.AttemptResult{})
		return err
	}
	run.tokens = grant.To - grant.From
	body, err := engine.EncodeBody(d.c.fields, engine.BodyOptions{
		Attempt:    run.id,
		Priority:   grant.Priority,
		MaxTokens:  1,
		Imports:    p.imports(),
		PromptFrom: grant.From,
		PromptTo:   grant.To,
	})
	p.exports = append(p.exports, run)
	if err != nil {
		return invalid("the body could not be forwarded: %v", err)
	}
	run.openContext(ctx, run.firstEventTimeout())
	defer run.cancelContext()
	run.sentAt = time.Now()
	run.export, err = grant.Client.Export(run.ctx, engine.StartRequest{Attempt: run.id, Path: d.c.path, Body: body})
	d.noteMayHaveRun(err)
	if err != nil {
		return d.exportFailed(ctx, p, run, err)
	}
	run.result.ReceivedEvent, run.result.Events = true, 1
	run.result.TimeToFirstEvent = time.Since(run.sentAt)
	grant.FirstEvent()
	d.g.Log.Info("part exported", "request", d.c.id, "attempt", run.id, "target", grant.Target,
		"tokens", run.export.KVTokens, "took", run.result.TimeToFirstEvent)
	return nil
}

// exportFailed counts the failure against the target unless an import of it was lost.
func (d *dispatch) exportFailed(ctx context.Context, p *exportedParts, run *attemptRun, err error) error {
	if ctx.Err() == nil && !errors.Is(err, engine.ErrRejected) && p.stillHeld(ctx) {
		run.result.Failed = true
		d.request.Exclude = append(d.request.Exclude, run.grant.Target)
	}
	if errors.Is(err, engine.ErrRejected) {
		return apierror.New(apierror.KindInvalidRequest, d.outcome(),
			"the engine rejected a part of the prompt", "correct the request").WithCause(err)
	}
	return abortError(run.ctx, err)
}

// runLastPart sends the last part. If only its engine fails, it is sent to another one, which
// continues the output.
func (d *dispatch) runLastPart(ctx context.Context, p *exportedParts, grant *admission.Grant) error {
	for attempts := 1; ; attempts++ {
		err := d.runAttempt(ctx, grant, p)
		if err == nil || ctx.Err() != nil || !retryable(err) || attempts >= maxLastPartAttempts || !p.stillHeld(ctx) {
			return err
		}
		if !d.g.retryBudget.Allow() {
			return err
		}
		var admitErr error
		if grant, admitErr = d.admitLastPart(ctx, p); admitErr != nil {
			return merry.Prepend(err, "no other target for the last part: "+admitErr.Error())
		}
		d.g.Metrics.retries.Inc()
		d.g.Log.Info("last part moved to another target", "request", d.c.id, "target", grant.Target,
			"next_event", d.nextEvent, "error", err)
	}
}

// admitLastPart finds another target for the last part alone.
func (d *dispatch) admitLastPart(ctx context.Context, p *exportedParts) (*admission.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, lastPartTimeout)
	defer cancel()
	request := d.request
	request.PromptTokens = max(1, d.c.promptTokens-p.from)
	request.Prefix = nil
	request.NoSplit = true
	return d.g.Admitter.Admit(ctx, &request)
}

// releaseExport deletes an exported part at its engine, and releases the reservation once the
// engine has confirmed it.
func (g *Gateway) releaseExport(run *attemptRun) {
	defer run.finish()
	if run.sentAt.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxCancelTime)
	defer cancel()
	g.confirmDelete(ctx, run)
	if run.export.Handle == "" {
		time.Sleep(lateStartDelay)
		g.confirmDelete(ctx, run)
	}
}

// confirmDelete retries the deletion of an export until the engine confirms it. An export
// that got no response may still be in progress, or complete under a handle that only the
// engine's inventory shows.
func (g *Gateway) confirmDelete(ctx context.Context, run *attemptRun) {
	if run.export.Handle == "" {
		g.confirmCancel(ctx, run)
	}
	g.retryUntilConfirmed(ctx, run, "deletion of an export", func(ctx context.Context) error {
		if run.export.Handle != "" {
			return run.grant.Client.DeleteExport(ctx, run.export.Handle)
		}
		inventory, err := run.grant.Client.Inventory(ctx)
		if err != nil {
			return err
		}
		for _, x := range inventory.Exports {
			if x.Attempt != run.id {
				continue
			}
			if err := run.grant.Client.DeleteExport(ctx, x.Handle); err != nil {
				return err
			}
		}
		return nil
	})
}
