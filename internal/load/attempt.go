package load

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

// AttemptResult says how an attempt on a target ended.
type AttemptResult struct {
	// ReceivedEvent is true when the target sent at least one event.
	ReceivedEvent bool
	// Failed is true when the target did not finish what it was given.
	Failed bool
	// StartNumber is the target's start number, 0 if it gave none.
	StartNumber uint64
	// TimeToFirstEvent is the time from the send to the first event.
	TimeToFirstEvent time.Duration
	// Events is the number of events received, and Took the time for them.
	Events   int
	Duration time.Duration
	// PromptBytes is the size of the prompt, and PromptTokens the target's
	// count of its tokens; 0 when not known.
	PromptBytes  int
	PromptTokens int
}

// Attempt is one attempt of this VM on a target.
type Attempt struct {
	collector *Collector
	target    *followed
	model     string
	level     int
	tokens    int     // uncached prompt tokens
	backlog   float64 // estimate of the prefill tokens ahead at the send
	long      bool
	alone     bool // no other work was seen on the target so far
	sentAt    time.Duration
	answered  bool
	ended     bool
}

// BeginAttempt counts an attempt that the decision d placed. It returns nil when the
// target is not followed any more.
func (c *Collector) BeginAttempt(d *scheduler.Decision, model string, promptTokens int) *Attempt {
	f := c.byID(d.ID)
	if f == nil || f.name != d.Target.Name {
		return nil
	}
	a := &Attempt{
		collector: c, target: f, model: model, level: d.Level,
		tokens: max(1, promptTokens-d.Cached), backlog: d.Backlog,
		long: promptTokens >= scheduler.LongPromptTokens, sentAt: scheduler.Now(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	a.alone = f.report.Running == 0 && len(f.attempts) == 0
	for other := range f.attempts {
		other.alone = false
	}
	f.attempts[a] = struct{}{}
	l := f.live
	l.Unanswered[a.level].Add(int64(a.tokens))
	l.Sent[a.level].Add(int64(a.tokens))
	if a.long {
		l.LongUnanswered.Add(int64(a.tokens))
	}
	l.Running.Add(1)
	l.Started.Add(1)
	return a
}

// TargetFailed is closed when the target, or its life in which the attempt runs, is
// given up.
func (a *Attempt) TargetFailed() <-chan struct{} {
	a.target.mu.Lock()
	defer a.target.mu.Unlock()
	return a.target.health.broken
}

// FirstEvent notes that the prefill of the attempt is done.
func (a *Attempt) FirstEvent() {
	a.target.mu.Lock()
	defer a.target.mu.Unlock()
	a.answerLocked()
}

func (a *Attempt) answerLocked() {
	if a.answered {
		return
	}
	a.answered = true
	l := a.target.live
	l.Unanswered[a.level].Add(-int64(a.tokens))
	if a.long {
		l.LongUnanswered.Add(-int64(a.tokens))
	}
}

// Done counts the attempt as ended and learns from how it ended.
func (a *Attempt) Done(r AttemptResult) {
	f := a.target
	f.mu.Lock()
	if a.ended {
		f.mu.Unlock()
		return
	}
	a.ended = true
	a.answerLocked()
	delete(f.attempts, a)
	f.live.Running.Add(-1)
	f.live.Ended.Add(1)
	before := f.health.state
	observation := a.learnLocked(r)
	changed := f.health.state != before
	f.mu.Unlock()
	a.collector.learnBytes(a.model, r.PromptBytes, r.PromptTokens)
	if observation != nil {
		a.collector.options.Capacity.Observe(f.name, *observation)
	}
	if changed {
		a.collector.options.Log.Info("target health changed by an attempt", "target", f.name, "failed", r.Failed)
	}
	a.collector.touch()
}

// learnLocked returns evidence about the target, or nil if there is none.
func (a *Attempt) learnLocked(r AttemptResult) *capacity.Observation {
	f := a.target
	if r.Failed {
		f.health.attemptFailed(scheduler.Now())
	} else if r.ReceivedEvent {
		f.health.attemptSucceeded()
	}
	if !r.ReceivedEvent {
		return nil
	}
	// The evidence is as old as the answer's header, which the first event
	// followed. The end of the attempt is evidence of the speed only.
	at := time.Now().Add(-max(0, r.Duration-r.TimeToFirstEvent))
	return &capacity.Observation{
		At: at, StartNumber: r.StartNumber, Finished: !r.Failed, SpeedRatio: a.speedLocked(r),
	}
}

// speedLocked returns the measured speed divided by the declared one, 0 when
// it is not shown. A slow decode can be due to a slow reader, and a slow
// prefill to work of other VMs, so that a low ratio counts only when the
// attempt was alone on the target and the delay is long.
func (a *Attempt) speedLocked(r AttemptResult) float64 {
	prefill := a.target.learnPrefill(a, r.TimeToFirstEvent)
	decode := a.target.learnDecode(r.Events, r.Duration-r.TimeToFirstEvent)
	best := max(prefill, decode)
	const normal = 0.5 // half of the declared speed; see section 5 of docs/design.md
	if best >= normal {
		return best
	}
	late := r.TimeToFirstEvent.Seconds() - float64(a.tokens)/max(1, a.target.declared.PrefillTokensPerSecond)
	if a.alone && late >= minSlowTime.Seconds() {
		return prefill
	}
	return 0
}

// bytesStep is the weight of one observation in the learned ratio.
const bytesStep = 0.05

// defaultBytesPerToken applies until a count of the model was seen.
const defaultBytesPerToken = 5

func (c *Collector) learnBytes(model string, bytes, tokens int) {
	if bytes <= 0 || tokens <= 0 {
		return
	}
	c.bytesMu.Lock()
	defer c.bytesMu.Unlock()
	old, ok := c.bytes[model]
	if !ok {
		old = defaultBytesPerToken
	}
	c.bytes[model] = old + bytesStep*(float64(bytes)/float64(tokens)-old)
}

// BytesPerToken returns the learned size of a token of a model.
func (c *Collector) BytesPerToken(model string) float64 {
	c.bytesMu.Lock()
	defer c.bytesMu.Unlock()
	if b, ok := c.bytes[model]; ok {
		return b
	}
	return defaultBytesPerToken
}
