package standin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/engine"
)

const (
	engineTick = 2 * time.Millisecond
	// outputLead is how many events the engine produces ahead of its reader
	// before it pauses the attempt.
	outputLead = 64
	// prefillDecodeSpeed is the share of its decode speed that an engine keeps
	// while it also prefills.
	prefillDecodeSpeed = 0.7
)

// EngineOptions describes an engine stand-in.
type EngineOptions struct {
	Name                   string
	KVTokens               int
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64 // of one stream
	MaxRunning             int     // more wait in the engine's own queue
	MaxRunningCold         int     // requests that it bears while cold
	MaxTokensCold          int     // tokens that it bears while cold; 0 means KVTokens
	ColdDuration           time.Duration
	ColdSpeedFactor        float64 // share of the normal speed while cold
	StartCold              bool
	RestartDelay           time.Duration // time that it is down after a crash
	LoadLag                time.Duration
	CacheEventLag          time.Duration
	DropCacheEventEvery    int // loses each n-th cache event; 0 loses none
	CacheTokens            int
	ChecksFencing          bool
	Models                 []engine.Model
}

// attempt is one request that the engine holds.
type attempt struct {
	request     completionRequest
	hash        uint64
	arrival     uint64
	prefillLeft float64
	held        int // tokens of prompt and output in memory
	produced    int // index of the next event to produce
	end         int // index after the last event
	readTo      int // index after the last event handed to a reader
	credit      float64
	reader      uint64 // id of the attached reader, 0 for none
	detachedAt  time.Time
	lost        bool // the engine crashed or the attempt was cancelled
	wake        chan struct{}
}

func (a *attempt) finished() bool { return a.produced >= a.end }

func (a *attempt) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	options EngineOptions
	record  *Record

	mu          sync.Mutex
	startNumber uint64
	startedAt   time.Time
	cold        bool
	downUntil   time.Time
	frozenUntil time.Time
	draining    bool
	attempts    map[string]*attempt
	exports     map[string]*kvExport
	arrivals    uint64
	readers     uint64
	cache       *prefixCache
	loads       []timedLoad
	role        string
	models      []engine.Model
	fencing     uint64
	work        chan struct{}
}

type timedLoad struct {
	at   time.Time
	load engine.Load
}

// NewEngine returns an engine; Run must be called to make it work.
func NewEngine(o EngineOptions) *Engine {
	if o.ColdSpeedFactor == 0 {
		o.ColdSpeedFactor = 0.25
	}
	if o.MaxTokensCold == 0 {
		o.MaxTokensCold = o.KVTokens
	}
	if o.CacheTokens == 0 {
		o.CacheTokens = o.KVTokens / 4
	}
	if o.RestartDelay == 0 {
		o.RestartDelay = 500 * time.Millisecond
	}
	e := &Engine{
		options:     o,
		record:      NewRecord(),
		startNumber: 1,
		startedAt:   time.Now(),
		cold:        o.StartCold,
		attempts:    map[string]*attempt{},
		exports:     map[string]*kvExport{},
		cache:       newPrefixCache(o.CacheTokens),
		models:      slices.Clone(o.Models),
		work:        make(chan struct{}, 1),
	}
	return e
}

// Record returns what the engine saw, for checks from outside.
func (e *Engine) Record() *Record { return e.record }

// Run advances the engine's work until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(engineTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		idle := e.step(now, now.Sub(last))
		last = now
		if !idle {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-e.work:
			last = time.Now()
		case <-time.After(100 * time.Millisecond):
			last = time.Now()
		}
	}
}

// step advances all attempts by dt and reports whether there was nothing to do.
func (e *Engine) step(now time.Time, dt time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteLoad(now)
	if e.cold && e.options.ColdDuration > 0 && now.Sub(e.startedAt) >= e.options.ColdDuration {
		e.cold = false
		e.record.add(Entry{Event: "warm", StartNumber: e.startNumber})
	}
	if now.Before(e.downUntil) || now.Before(e.frozenUntil) {
		return false
	}
	batch := e.batch()
	speed := 1.0
	if e.cold {
		speed = e.options.ColdSpeedFactor
	}
	prefilled := e.prefill(batch, e.options.PrefillTokensPerSecond*speed*dt.Seconds())
	if prefilled {
		speed *= prefillDecodeSpeed
	}
	e.decode(batch, e.options.DecodeTokensPerSecond*speed*dt.Seconds())
	e.checkMemory(now)
	return len(e.attempts) == 0
}

// batch returns the attempts that run now: the first MaxRunning by priority
// and arrival. Attempts that already produced output stay in the batch.
func (e *Engine) batch() []*attempt {
	batch := make([]*attempt, 0, len(e.attempts))
	for _, a := range e.attempts {
		if !a.finished() {
			batch = append(batch, a)
		}
	}
	slices.SortFunc(batch, func(a, b *attempt) int {
		if aRuns, bRuns := a.prefillLeft <= 0, b.prefillLeft <= 0; aRuns != bRuns {
			if aRuns {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	return batch[:min(len(batch), e.options.MaxRunning)]
}

func (e *Engine) prefill(batch []*attempt, budget float64) bool {
	worked := false
	for _, a := range batch {
		if a.prefillLeft <= 0 {
			continue
		}
		if budget <= 0 {
			break
		}
		worked = true
		used := min(budget, a.prefillLeft)
		a.prefillLeft -= used
		budget -= used
		if a.prefillLeft <= 0 {
			if a.request.PromptFrom == 0 {
				e.cache.insert(a.request.promptJSON())
			}
			a.credit = 1 // the first token follows the prefill at once
		}
	}
	return worked
}

func (e *Engine) decode(batch []*attempt, tokens float64) {
	for _, a := range batch {
		if a.prefillLeft > 0 || a.finished() {
			continue
		}
		a.credit += tokens
		for a.credit >= 1 && !a.finished() && a.produced < a.readTo+outputLead {
			a.credit--
			a.produced++
			a.held++
			a.notify()
		}
		a.credit = min(a.credit, 1)
	}
}

// checkMemory makes the engine fall over when it holds more than it can bear.
func (e *Engine) checkMemory(now time.Time) {
	held, running := e.heldLocked()
	e.record.noteHeld(running, held, e.cold)
	switch {
	case held > e.options.KVTokens:
		e.crashLocked(now, "out of memory")
	case e.cold && running > e.options.MaxRunningCold:
		e.crashLocked(now, ReasonColdRequestLimit)
	case e.cold && held > e.options.MaxTokensCold:
		e.crashLocked(now, "too many tokens while cold")
	}
}

func (e *Engine) heldLocked() (tokens, running int) {
	for _, a := range e.attempts {
		tokens += a.held
		if !a.finished() {
			running++
		}
	}
	for _, x := range e.exports {
		tokens += x.tokens
	}
	return tokens, running
}

func (e *Engine) crashLocked(now time.Time, reason string) {
	e.record.add(Entry{Event: "crash", Reason: reason, StartNumber: e.startNumber})
	for id, a := range e.attempts {
		a.lost = true
		a.notify()
		delete(e.attempts, id)
	}
	clear(e.exports)
	e.cache = newPrefixCache(e.options.CacheTokens)
	e.startNumber++
	e.downUntil = now.Add(e.options.RestartDelay)
	e.startedAt = e.downUntil
	e.cold = e.options.ColdDuration > 0
	e.loads = nil
	e.fencing = 0
}

// Crash kills the engine; it starts again, cold, after RestartAfter.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked(time.Now(), reasonKilled)
}

// ColdReset makes a warm engine cold without a restart.
func (e *Engine) ColdReset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.startedAt = time.Now()
	e.cache = newPrefixCache(e.options.CacheTokens)
	e.record.add(Entry{Event: "cold", StartNumber: e.startNumber})
}

// Freeze stops all work for d; connections stay open.
func (e *Engine) Freeze(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozenUntil = time.Now().Add(d)
}

// SetDraining makes the load report say that the engine is leaving.
func (e *Engine) SetDraining(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = on
}

// noteLoad keeps the load reports of the last LoadLag.
func (e *Engine) noteLoad(now time.Time) {
	if n := len(e.loads); n > 0 && now.Sub(e.loads[n-1].at) < 10*time.Millisecond {
		return
	}
	held, running := e.heldLocked()
	backlog := 0.0
	for _, a := range e.attempts {
		backlog += max(0, a.prefillLeft)
	}
	e.loads = append(e.loads, timedLoad{at: now, load: engine.Load{
		StartNumber:    e.startNumber,
		Cold:           e.cold,
		Draining:       e.draining,
		Running:        running,
		PrefillBacklog: int(backlog),
		KVUsed:         held,
		KVTokens:       e.options.KVTokens,
		Role:           e.role,
		Models:         e.models,
	}})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= e.options.LoadLag {
		e.loads = e.loads[1:]
	}
}

func (e *Engine) laggedLoad() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteLoad(time.Now())
	return e.loads[0].load
}
