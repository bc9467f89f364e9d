package standin

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/engine"
)

const (
	// importCheckInterval is the pace at which an engine makes sure that the
	// KV cache that its attempts import still exists.
	importCheckInterval = 50 * time.Millisecond
	// importTimeout is how long an engine waits for another one that does not
	// answer before it counts the KV cache there as lost.
	importTimeout = time.Second
)

var importClient = &http.Client{Timeout: importTimeout}

var errImportGone = errors.New("imported KV cache does not exist")

// checkImports asks the engines of all imports for their handles.
func checkImports(imports []kvImport) error {
	for _, x := range imports {
		resp, err := importClient.Get("http://" + x.Address + "/kv/" + url.PathEscape(x.Handle))
		if err != nil {
			return fmt.Errorf("%w: %w", errImportGone, err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%w: %s on %s", errImportGone, x.Handle, x.Address)
		}
	}
	return nil
}

// watchImports breaks an attempt when KV cache that it imports disappears.
func (e *Engine) watchImports(a *attempt) {
	for e.holds(a) {
		time.Sleep(importCheckInterval)
		if err := checkImports(a.request.Imports); err != nil {
			e.loseAttempt(a, err.Error())
			return
		}
	}
}

func (e *Engine) holds(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attempts[a.request.RequestID] == a
}

// loseAttempt drops an attempt that cannot go on.
func (e *Engine) loseAttempt(a *attempt, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts[a.request.RequestID] != a {
		return
	}
	a.lost = true
	a.notify()
	delete(e.attempts, a.request.RequestID)
	e.record.add(Entry{Event: "import-lost", ID: a.request.RequestID, Reason: reason, StartNumber: e.startNumber})
}

func (e *Engine) number() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startNumber
}

// serveHandle says whether an export exists.
func (e *Engine) serveHandle(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	x := e.exports[r.PathValue("handle")]
	e.mu.Unlock()
	if x == nil {
		http.Error(w, "no such handle", http.StatusNotFound)
		return
	}
	writeJSON(w, engine.Export{Handle: x.handle, Attempt: x.attempt, KVTokens: x.tokens, Age: time.Since(x.madeAt)})
}

// serveExport prefills the prompt and keeps the result under a handle.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	req, err := decodeCompletion(r.Body, strings.Contains(r.URL.RawQuery, "chat"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req.MaxTokens = 1
	a, err := e.start(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(engine.HeaderStartNumber, strconv.FormatUint(e.number(), 10))
	for {
		e.mu.Lock()
		lost, done := a.lost, a.finished()
		if done && !lost {
			x := &kvExport{handle: "kv-" + req.RequestID, attempt: req.RequestID, tokens: req.promptTokens(), madeAt: time.Now()}
			e.exports[x.handle] = x
			delete(e.attempts, req.RequestID)
			e.mu.Unlock()
			e.record.add(Entry{Event: "export", ID: req.RequestID})
			writeJSON(w, engine.Export{Handle: x.handle, Attempt: x.attempt, KVTokens: x.tokens})
			return
		}
		e.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-a.wake:
		case <-time.After(10 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) serveDeleteExport(w http.ResponseWriter, r *http.Request) {
	handle := r.PathValue("handle")
	e.mu.Lock()
	x := e.exports[handle]
	delete(e.exports, handle)
	e.mu.Unlock()
	if x == nil {
		http.Error(w, "no such handle", http.StatusNotFound)
		return
	}
	e.record.add(Entry{Event: "delete-export", ID: x.attempt})
}
