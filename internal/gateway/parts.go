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
	// maxLastPartAttempts is how often the last part is sent while the parts before
	// it live. Prefilling them again would cost many times as much.
	maxLastPartAttempts = 3
	// lastPartTimeout bounds the wait for another target of the last part, during
	// which the exports hold the memory of their engines.
	lastPartTimeout = 5 * time.Second
)

// errPartLost reports that an engine that holds an exported part was given
// up or has restarted.
var errPartLost = errors.New("an engine that holds a part of the prompt was lost")

// exportedParts are the exported parts of a prompt that is larger than one engine.
// They are deleted when nothing holds them any more.
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
		p.g.cleanup.Go(func() { p.g.releaseExport(run) })
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

// tokenCount is the engines' count of the exported tokens.
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
		inventory, err := run.grant.Client.ApplyInventory(ctx)
		held := func(x engine.Export) bool { return x.Handle == run.export.Handle }
		if err != nil || !slices.ContainsFunc(inventory.Exports, held) {
			return false
		}
	}
	return true
}

// runSplit exports the parts one after the other and lets the last one answer.
func (d *dispatch) runSplit(ctx context.Context, last *admission.Grant) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := &exportedParts{g: d.g, from: last.From}
	p.retain()
	defer p.release()
	for i, grant := range last.EarlierParts {
		if err := d.export(ctx, p, grant); err != nil {
			for _, unused := range last.EarlierParts[i+1:] {
				unused.Done(admission.Report{})
			}
			last.Done(admission.Report{})
			return abortError(ctx, err)
		}
		go cancelOnPartLoss(ctx, cancel, grant.TargetLost)
	}
	return abortError(ctx, d.runLastPart(ctx, p, last))
}

// cancelOnPartLoss ends a split request as soon as a part of it is lost.
func cancelOnPartLoss(ctx context.Context, cancel context.CancelCauseFunc, broken <-chan struct{}) {
	select {
	case <-broken: // nil, and never ready, when nobody watches the target
		cancel(errPartLost)
	case <-ctx.Done():
	}
}

// export prefills one part and keeps its KV cache on its engine.
func (d *dispatch) export(ctx context.Context, p *exportedParts, grant *admission.Grant) error {
	run, err := d.prepare(grant)
	if err != nil {
		grant.Done(admission.Report{})
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
	run.report.ReceivedEvent, run.report.Events = true, 1
	run.report.TimeToFirstEvent = time.Since(run.sentAt)
	grant.FirstEvent()
	d.g.Log.Info("part exported", "request", d.c.id, "attempt", run.id, "target", grant.Target,
		"tokens", run.export.KVTokens, "took", run.report.TimeToFirstEvent)
	return nil
}

// exportFailed blames the target unless an import of it was lost.
func (d *dispatch) exportFailed(ctx context.Context, p *exportedParts, run *attemptRun, err error) error {
	if ctx.Err() == nil && !errors.Is(err, engine.ErrRejected) && p.stillHeld(ctx) {
		run.report.Failed = true
		d.work.Exclude = append(d.work.Exclude, run.grant.Target)
	}
	if errors.Is(err, engine.ErrRejected) {
		return apierror.New(apierror.KindInvalidRequest, d.outcome(),
			"the engine rejected a part of the prompt", "correct the request").WithCause(err)
	}
	return abortError(run.ctx, err)
}

// runLastPart sends the last part. When only its engine fails, it is sent to another
// one and continues the answer.
func (d *dispatch) runLastPart(ctx context.Context, p *exportedParts, grant *admission.Grant) error {
	for tries := 1; ; tries++ {
		err := d.runAttempt(ctx, grant, p)
		if err == nil || ctx.Err() != nil || !retryable(err) || tries >= maxLastPartAttempts || !p.stillHeld(ctx) {
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
			"next_event", d.next, "error", err)
	}
}

// admitLastPart finds another target for the last part alone.
func (d *dispatch) admitLastPart(ctx context.Context, p *exportedParts) (*admission.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, lastPartTimeout)
	defer cancel()
	work := d.work
	work.PromptTokens = max(1, d.c.promptTokens-p.from)
	work.Prefix = nil
	work.NoSplit = true
	return d.g.Admitter.Admit(ctx, &work)
}

// releaseExport frees what an engine holds of an exported part, and returns its
// reservation once the engine has confirmed it.
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

// confirmDelete deletes an export until the engine has confirmed it. An export
// that was never answered may still be under way, or done under a handle that
// only the engine's inventory tells.
func (g *Gateway) confirmDelete(ctx context.Context, run *attemptRun) {
	if run.export.Handle == "" {
		g.confirmCancel(ctx, run)
	}
	g.retryUntilConfirmed(ctx, run, "deletion of an export", func(ctx context.Context) error {
		if run.export.Handle != "" {
			return run.grant.Client.DeleteExport(ctx, run.export.Handle)
		}
		inventory, err := run.grant.Client.ApplyInventory(ctx)
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
