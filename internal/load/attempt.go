package load

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

// AttemptResult describes how an attempt on a target ended.
type AttemptResult struct {
	// ReceivedEvent is true when the target sent at least one event.
	ReceivedEvent bool
	// Failed is true when the target did not complete the attempt.
	Failed bool
	// StartNumber is the start number that the target sent, 0 if none. It
	// identifies the target's instance.
	StartNumber uint64
	// TimeToFirstEvent is the time from the send to the first event.
	TimeToFirstEvent time.Duration
	// Events is the number of events received, and Duration the time from the send
	// to the end.
	Events   int
	Duration time.Duration
	// PromptBytes is the size of the prompt, and PromptTokens the number of its
	// tokens as counted by the target; 0 if unknown.
	PromptBytes  int
	PromptTokens int
}

// Attempt is an attempt of this VM to run a request on a target.
type Attempt struct {
	collector          *Collector
	target             *monitoredTarget
	model              string
	level              int
	uncachedTokens     int     // prompt tokens that are not in the target's KV cache
	backlogAtSend      float64 // estimated prefill tokens queued ahead at the send
	longPrompt         bool
	alone              bool // no other work was observed on the target so far
	sentAt             time.Duration
	firstEventReceived bool
	ended              bool
}

// BeginAttempt records an attempt on the target that decision d selected. It
// returns nil when the target is no longer monitored.
func (c *Collector) BeginAttempt(d *scheduler.Decision, model string, promptTokens int) *Attempt {
	f := c.targetByID(d.ID)
	if f == nil || f.name != d.Target.Name {
		return nil
	}
	a := &Attempt{
		collector: c, target: f, model: model, level: d.Level,
		uncachedTokens: max(1, promptTokens-d.Cached), backlogAtSend: d.Backlog,
		longPrompt: promptTokens >= scheduler.LongPromptTokens, sentAt: scheduler.Now(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	a.alone = f.report.Running == 0 && len(f.attempts) == 0
	for other := range f.attempts {
		other.alone = false
	}
	f.attempts[a] = struct{}{}
	l := f.local
	l.Unanswered[a.level].Add(int64(a.uncachedTokens))
	l.Sent[a.level].Add(int64(a.uncachedTokens))
	if a.longPrompt {
		l.LongUnanswered.Add(int64(a.uncachedTokens))
	}
	l.Running.Add(1)
	l.Started.Add(1)
	return a
}

// TargetFailed returns a channel that is closed when the target has failed or has
// restarted, which ends the attempt.
func (a *Attempt) TargetFailed() <-chan struct{} {
	a.target.mu.Lock()
	defer a.target.mu.Unlock()
	return a.target.health.abort
}

// FirstEvent records the first event, which ends the attempt's prefill.
func (a *Attempt) FirstEvent() {
	a.target.mu.Lock()
	defer a.target.mu.Unlock()
	a.recordFirstEventLocked()
}

func (a *Attempt) recordFirstEventLocked() {
	if a.firstEventReceived {
		return
	}
	a.firstEventReceived = true
	l := a.target.local
	l.Unanswered[a.level].Add(-int64(a.uncachedTokens))
	if a.longPrompt {
		l.LongUnanswered.Add(-int64(a.uncachedTokens))
	}
}

// Done records the end of the attempt and updates the target's health and rate
// estimates from the result.
func (a *Attempt) Done(r AttemptResult) {
	f := a.target
	f.mu.Lock()
	if a.ended {
		f.mu.Unlock()
		return
	}
	a.ended = true
	a.recordFirstEventLocked()
	delete(f.attempts, a)
	f.local.Running.Add(-1)
	f.local.Ended.Add(1)
	previousState := f.health.state
	observation := a.updateEstimatesLocked(r)
	changed := f.health.state != previousState
	f.mu.Unlock()
	a.collector.updateBytesPerToken(a.model, r.PromptBytes, r.PromptTokens)
	if observation != nil {
		a.collector.options.Capacity.Observe(f.name, *observation)
	}
	if changed {
		a.collector.options.Log.Info("target health changed by an attempt", "target", f.name, "failed", r.Failed)
	}
	a.collector.requestSnapshot()
}

// updateEstimatesLocked updates health and rates from the result. It returns an
// observation for the capacity ledger, or nil if the target sent no event.
func (a *Attempt) updateEstimatesLocked(r AttemptResult) *capacity.Observation {
	f := a.target
	if r.Failed {
		f.health.attemptFailed(scheduler.Now())
	} else if r.ReceivedEvent {
		f.health.attemptSucceeded()
	}
	if !r.ReceivedEvent {
		return nil
	}
	// The start number came with the response header, shortly before the first
	// event, so the observation is dated back to that event. The end of the attempt
	// shows only the speed.
	at := time.Now().Add(-max(0, r.Duration-r.TimeToFirstEvent))
	return &capacity.Observation{
		At: at, StartNumber: r.StartNumber, Finished: !r.Failed, SpeedRatio: a.speedRatioLocked(r),
	}
}

// speedRatioLocked returns the measured speed divided by the declared one, or 0 if
// the result does not show it. A slow reader can slow down decoding, and requests
// of other VMs can slow down prefill. A low ratio is therefore returned only if
// the attempt was alone on the target and the delay is long.
func (a *Attempt) speedRatioLocked(r AttemptResult) float64 {
	prefill := a.target.updatePrefillRate(a, r.TimeToFirstEvent)
	decode := a.target.updateDecodeRate(r.Events, r.Duration-r.TimeToFirstEvent)
	best := max(prefill, decode)
	const normalSpeedRatio = 0.5 // half of the declared speed; see section 5 of docs/design.md
	if best >= normalSpeedRatio {
		return best
	}
	delay := r.TimeToFirstEvent.Seconds() - float64(a.uncachedTokens)/max(1, a.target.declared.PrefillTokensPerSecond)
	if a.alone && delay >= minSlowDelay.Seconds() {
		return prefill
	}
	return 0
}

// bytesPerTokenWeight is the weight of a new sample in the moving average of the
// bytes per token.
const bytesPerTokenWeight = 0.05

// defaultBytesPerToken is used until a target has reported a token count for the
// model.
const defaultBytesPerToken = 5

func (c *Collector) updateBytesPerToken(model string, bytes, tokens int) {
	if bytes <= 0 || tokens <= 0 {
		return
	}
	c.bytesPerTokenMu.Lock()
	defer c.bytesPerTokenMu.Unlock()
	old, ok := c.bytesPerToken[model]
	if !ok {
		old = defaultBytesPerToken
	}
	c.bytesPerToken[model] = old + bytesPerTokenWeight*(float64(bytes)/float64(tokens)-old)
}

// BytesPerToken returns the estimated number of bytes per token of a model.
func (c *Collector) BytesPerToken(model string) float64 {
	c.bytesPerTokenMu.Lock()
	defer c.bytesPerTokenMu.Unlock()
	if b, ok := c.bytesPerToken[model]; ok {
		return b
	}
	return defaultBytesPerToken
}
