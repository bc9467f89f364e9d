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
	tickInterval = 2 * time.Millisecond
	// maxUnreadEvents is how many events the engine produces ahead of the reader
	// before it pauses the attempt.
	maxUnreadEvents = 64
	// decodeSpeedDuringPrefill is the fraction of its decode speed that an engine
	// reaches while it also prefills.
	decodeSpeedDuringPrefill = 0.7
)

// EngineOptions configures a fake engine.
type EngineOptions struct {
	Name                   string
	KVTokens               int
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64 // per stream
	MaxRunning             int     // further requests wait in the engine's queue
	MaxRunningCold         int     // requests in progress above which it crashes while cold
	MaxTokensCold          int     // KV tokens above which it crashes while cold; 0 means KVTokens
	ColdDuration           time.Duration
	ColdSpeedFactor        float64 // fraction of the normal speed while cold; 0 means 0.25
	StartCold              bool
	RestartDelay           time.Duration // downtime after a crash; 0 means 500 ms
	LoadLag                time.Duration
	CacheEventLag          time.Duration
	DropCacheEventEvery    int // drops every nth cache event; 0 drops none
	CacheTokens            int
	ChecksFencing          bool
	Models                 []engine.Model
}

// attempt is one request in the engine.
type attempt struct {
	request     completionRequest
	hash        uint64
	arrival     uint64
	prefillLeft float64
	kvTokens    int // prompt and output tokens in the KV cache
	produced    int // index of the next event to produce
	end         int // index after the last event
	readUpTo    int // index after the last event sent to a reader
	credit      float64
	reader      uint64 // id of the attached reader, 0 for none
	detachedAt  time.Time
	aborted     bool // by a crash, a cancellation or a missing import
	wake        chan struct{}
}

func (a *attempt) finished() bool { return a.produced >= a.end }

func (a *attempt) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Engine is a fake model engine with continuous batching.
type Engine struct {
	options EngineOptions
	record  *Record

	mu            sync.Mutex
	startNumber   uint64
	startedAt     time.Time
	cold          bool
	downUntil     time.Time
	frozenUntil   time.Time
	draining      bool
	attempts      map[string]*attempt
	exports       map[string]*kvExport
	arrivals      uint64
	readers       uint64
	cache         *prefixCache
	loadReports   []timedLoad
	role          string
	models        []engine.Model
	fencing       uint64
	workAvailable chan struct{}
}

type timedLoad struct {
	at   time.Time
	load engine.Load
}

// NewEngine returns an engine. It processes requests only while Run runs.
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
		options:       o,
		record:        NewRecord(),
		startNumber:   1,
		startedAt:     time.Now(),
		cold:          o.StartCold,
		attempts:      map[string]*attempt{},
		exports:       map[string]*kvExport{},
		cache:         newPrefixCache(o.CacheTokens),
		models:        slices.Clone(o.Models),
		workAvailable: make(chan struct{}, 1),
	}
	return e
}

// Record returns the engine's event record, for checks that are independent of
// oriolefront.
func (e *Engine) Record() *Record { return e.record }

// Run processes requests until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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
		case <-e.workAvailable:
			last = time.Now()
		case <-time.After(100 * time.Millisecond):
			last = time.Now()
		}
	}
}

// step advances all attempts by dt and reports whether the engine is idle.
func (e *Engine) step(now time.Time, dt time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad(now)
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
		speed *= decodeSpeedDuringPrefill
	}
	e.decode(batch, e.options.DecodeTokensPerSecond*speed*dt.Seconds())
	e.checkLimits(now)
	return len(e.attempts) == 0
}

// batch returns the attempts that run in this step: the first MaxRunning by
// priority and arrival. Attempts in decode stay in the batch.
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
	prefilled := false
	for _, a := range batch {
		if a.prefillLeft <= 0 {
			continue
		}
		if budget <= 0 {
			break
		}
		prefilled = true
		used := min(budget, a.prefillLeft)
		a.prefillLeft -= used
		budget -= used
		if a.prefillLeft <= 0 {
			if a.request.PromptFrom == 0 {
				e.cache.insert(a.request.promptJSON())
			}
			a.credit = 1 // the first token is produced right after the prefill
		}
	}
	return prefilled
}

func (e *Engine) decode(batch []*attempt, tokens float64) {
	for _, a := range batch {
		if a.prefillLeft > 0 || a.finished() {
			continue
		}
		a.credit += tokens
		for a.credit >= 1 && !a.finished() && a.produced < a.readUpTo+maxUnreadEvents {
			a.credit--
			a.produced++
			a.kvTokens++
			a.notify()
		}
		a.credit = min(a.credit, 1)
	}
}

// checkLimits crashes the engine when its load exceeds a limit.
func (e *Engine) checkLimits(now time.Time) {
	tokens, running := e.usageLocked()
	e.record.recordUsage(running, tokens, e.cold)
	switch {
	case tokens > e.options.KVTokens:
		e.crashLocked(now, "out of memory")
	case e.cold && running > e.options.MaxRunningCold:
		e.crashLocked(now, ReasonColdRequestLimit)
	case e.cold && tokens > e.options.MaxTokensCold:
		e.crashLocked(now, "too many tokens while cold")
	}
}

func (e *Engine) usageLocked() (tokens, running int) {
	for _, a := range e.attempts {
		tokens += a.kvTokens
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
		a.aborted = true
		a.notify()
		delete(e.attempts, id)
	}
	clear(e.exports)
	e.cache = newPrefixCache(e.options.CacheTokens)
	e.startNumber++
	e.downUntil = now.Add(e.options.RestartDelay)
	e.startedAt = e.downUntil
	e.cold = e.options.ColdDuration > 0
	e.loadReports = nil
	e.fencing = 0
}

// Crash crashes the engine. It restarts cold after RestartDelay.
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

// Freeze stops all processing for d. Connections stay open.
func (e *Engine) Freeze(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozenUntil = time.Now().Add(d)
}

// SetDraining sets whether load reports say that the engine is draining.
func (e *Engine) SetDraining(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = on
}

// recordLoad adds a load report and drops reports that are no longer needed for
// LoadLag.
func (e *Engine) recordLoad(now time.Time) {
	if n := len(e.loadReports); n > 0 && now.Sub(e.loadReports[n-1].at) < 10*time.Millisecond {
		return
	}
	tokens, running := e.usageLocked()
	backlog := 0.0
	for _, a := range e.attempts {
		backlog += max(0, a.prefillLeft)
	}
	e.loadReports = append(e.loadReports, timedLoad{at: now, load: engine.Load{
		StartNumber:    e.startNumber,
		Cold:           e.cold,
		Draining:       e.draining,
		Running:        running,
		PrefillBacklog: int(backlog),
		KVUsed:         tokens,
		KVTokens:       e.options.KVTokens,
		Role:           e.role,
		Models:         e.models,
	}})
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].at) >= e.options.LoadLag {
		e.loadReports = e.loadReports[1:]
	}
}

func (e *Engine) delayedLoad() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad(time.Now())
	return e.loadReports[0].load
}
