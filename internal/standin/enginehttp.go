package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/sse"
)

const defaultMaxTokens = 16

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serveStart(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serveStart(w, r, true) })
	mux.HandleFunc("GET /v1/attempts", e.serveInventory)
	mux.HandleFunc("GET /v1/attempts/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/attempts/{id}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache_events", e.serveCacheEvents)
	mux.HandleFunc("POST /kv/export", e.serveExport)
	mux.HandleFunc("GET /kv/{handle}", e.serveHandle)
	mux.HandleFunc("DELETE /kv/{handle}", e.serveDeleteExport)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /control", e.serveControl)
	mux.HandleFunc("GET /record", e.serveRecord)
	return e.refuseWhileDown(mux)
}

// refuseWhileDown drops connections while the engine is down, and delays requests
// while it is frozen.
func (e *Engine) refuseWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/control" || r.URL.Path == "/record" {
			next.ServeHTTP(w, r)
			return
		}
		for {
			e.mu.Lock()
			now := time.Now()
			down := now.Before(e.downUntil)
			frozen := e.frozenUntil.Sub(now)
			e.mu.Unlock()
			if down {
				panic(http.ErrAbortHandler)
			}
			if frozen <= 0 {
				next.ServeHTTP(w, r)
				return
			}
			time.Sleep(frozen)
		}
	})
}

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request, chat bool) {
	req, err := decodeCompletion(r.Body, chat)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a, err := e.admit(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	e.stream(w, r, a, req.ContinueFrom)
}

func decodeCompletion(body io.Reader, chat bool) (completionRequest, error) {
	req := completionRequest{chat: chat}
	if err := json.NewDecoder(body).Decode(&req); err != nil {
		return req, fmt.Errorf("request body is not valid JSON: %w", err)
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	if req.RequestID == "" {
		req.RequestID = fmt.Sprintf("direct-%d-%x", time.Now().UnixNano(), rand.Uint64())
	}
	return req, nil
}

// admit creates an attempt for a request.
func (e *Engine) admit(req completionRequest) (*attempt, error) {
	hash := PromptHash(req.promptJSON())
	if err := checkImports(req.Imports); err != nil {
		return nil, err // no attempt exists yet
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, exists := e.attempts[req.RequestID]; exists {
		return nil, fmt.Errorf("attempt %s is already held", req.RequestID)
	}
	e.arrivals++
	tokens := req.promptTokens()
	cached := 0
	if req.PromptFrom == 0 { // the cache holds prompt prefixes
		cached = min(e.cache.match(req.promptJSON()), tokens-1)
	}
	a := &attempt{
		request:     req,
		hash:        hash,
		arrival:     e.arrivals,
		prefillLeft: float64(tokens - cached + req.ContinueFrom),
		kvTokens:    tokens + req.ContinueFrom,
		produced:    req.ContinueFrom,
		readUpTo:    req.ContinueFrom,
		end:         max(req.MaxTokens, req.ContinueFrom),
		wake:        make(chan struct{}, 1),
		detachedAt:  time.Now(),
	}
	e.attempts[req.RequestID] = a
	e.record.add(Entry{Event: "start", ID: req.RequestID, StartNumber: e.startNumber, Prompt: hash})
	e.checkLimits(time.Now())
	if a.aborted {
		panic(http.ErrAbortHandler) // the request crashed the engine
	}
	if len(req.Imports) > 0 {
		go e.watchImports(a)
	}
	select {
	case e.workAvailable <- struct{}{}:
	default:
	}
	return a, nil
}

// stream sends the attempt's events from index from up to the [DONE] event.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	e.mu.Lock()
	e.readers++
	reader := e.readers
	a.reader = reader
	a.readUpTo = from
	number := e.startNumber
	e.mu.Unlock()
	defer e.detach(a, reader)

	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(engine.HeaderStartNumber, strconv.FormatUint(number, 10))
	h.Set(engine.HeaderPromptTokens, strconv.Itoa(a.request.promptTokens()))
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	flusher.Flush()
	var buffer []byte
	for next := from; ; {
		upTo, ended, ok := e.availableEvents(a, reader, next)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		buffer = buffer[:0]
		for ; next < upTo; next++ {
			finish := ""
			if next == a.end-1 {
				finish = "length"
			}
			buffer = sse.Append(buffer, next, encodeChunk(&a.request, a.hash, next, finish))
		}
		if ended {
			buffer = sse.Append(buffer, -1, []byte("[DONE]"))
		}
		if len(buffer) > 0 {
			if _, err := w.Write(buffer); err != nil {
				return
			}
			if err := flusher.Flush(); err != nil {
				return
			}
		}
		if ended {
			e.finishAttempt(a)
			return
		}
		select {
		case <-a.wake:
		case <-r.Context().Done():
			return
		}
	}
}

// availableEvents returns the index after the last event that can be sent. ok is
// false when the attempt was aborted or another reader has taken over.
func (e *Engine) availableEvents(a *attempt, reader uint64, next int) (upTo int, ended, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.aborted || a.reader != reader {
		return 0, false, false
	}
	a.readUpTo = max(a.readUpTo, next)
	return a.produced, a.finished(), true
}

func (e *Engine) detach(a *attempt, reader uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.reader == reader {
		a.reader = 0
		a.detachedAt = time.Now()
	}
}

func (e *Engine) finishAttempt(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.aborted {
		return
	}
	e.record.add(Entry{Event: "finish", ID: a.request.RequestID, StartNumber: e.startNumber})
	delete(e.attempts, a.request.RequestID)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := sse.ParseID(r.URL.Query().Get("from"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	a := e.attempts[r.PathValue("id")]
	beyondOutput := a != nil && from > a.produced
	if a != nil && a.reader != 0 {
		a.reader = 0 // disconnects the previous reader
		a.notify()
	}
	e.mu.Unlock()
	if a == nil || beyondOutput {
		http.Error(w, "no such attempt, or it has not come so far", http.StatusNotFound)
		return
	}
	e.record.add(Entry{Event: "resume", ID: a.request.RequestID})
	e.stream(w, r, a, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	a := e.attempts[id]
	if a != nil {
		a.aborted = true
		a.notify()
		delete(e.attempts, id)
	}
	e.mu.Unlock()
	if a == nil {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	e.record.add(Entry{Event: "cancel", ID: id})
}

func (e *Engine) serveInventory(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Inventory())
}

// Inventory lists the attempts and exports that occupy KV cache.
func (e *Engine) Inventory() engine.Inventory {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	inventory := engine.Inventory{StartNumber: e.startNumber}
	for id, a := range e.attempts {
		entry := engine.Attempt{ID: id, KVTokens: a.kvTokens, Attached: a.reader != 0}
		if a.reader == 0 {
			entry.Idle = now.Sub(a.detachedAt)
		}
		inventory.Attempts = append(inventory.Attempts, entry)
	}
	for _, x := range e.exports {
		inventory.Exports = append(inventory.Exports, engine.Export{
			Handle: x.handle, Attempt: x.attempt, KVTokens: x.tokens, Age: now.Sub(x.madeAt),
		})
	}
	return inventory
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.delayedLoad()) }

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := engine.CacheEvents{
		StartNumber: e.startNumber,
		Events:      e.cache.eventsAfter(after, e.options.CacheEventLag, e.options.DropCacheEventEvery),
	}
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	stale := e.options.ChecksFencing && o.Fencing < e.fencing
	if !stale {
		e.fencing = max(e.fencing, o.Fencing)
		e.apply(o)
	}
	e.mu.Unlock()
	if stale {
		e.record.add(Entry{Event: "order-refused", ID: fmt.Sprint(o.Fencing)})
		http.Error(w, "fencing number is old", http.StatusPreconditionFailed)
		return
	}
	e.record.add(Entry{Event: "order", ID: fmt.Sprint(o.Fencing), Reason: o.Kind + " " + o.Model.Name})
}

func (e *Engine) apply(o engine.Order) {
	switch o.Kind {
	case "load-model":
		if !slices.Contains(e.models, o.Model) {
			// Copied because load reports share the old slice.
			e.models = append(slices.Clone(e.models), o.Model)
		}
	case "unload-model":
		kept := e.models[:0:0]
		for _, m := range e.models {
			if m != o.Model {
				kept = append(kept, m)
			}
		}
		e.models = kept
	case "set-role":
		e.role = o.Role
	}
}

// control is the body of POST /control.
type control struct {
	Crash    bool  `json:"crash"`
	Cold     bool  `json:"cold"`
	FreezeMS int   `json:"freeze_ms"`
	Drain    *bool `json:"drain"`
}

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	var c control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.Crash {
		e.Crash()
	}
	if c.Cold {
		e.ColdReset()
	}
	if c.FreezeMS > 0 {
		e.Freeze(time.Duration(c.FreezeMS) * time.Millisecond)
	}
	if c.Drain != nil {
		e.SetDraining(*c.Drain)
	}
}

// recordResponse is the body of GET /record.
type recordResponse struct {
	Summary Summary `json:"summary"`
	Entries []Entry `json:"entries"`
}

func (e *Engine) serveRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, recordResponse{Summary: e.record.Summary(), Entries: e.record.Entries()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
