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
	// importCheckInterval is how often an engine checks that the KV cache that its
	// attempts import still exists.
	importCheckInterval = 50 * time.Millisecond
	// importTimeout is how long an engine waits for another engine's response
	// before it treats the KV cache there as lost.
	importTimeout = time.Second
)

var importClient = &http.Client{Timeout: importTimeout}

var errImportMissing = errors.New("imported KV cache does not exist")

// checkImports asks the exporting engines whether the handles of all imports exist.
func checkImports(imports []kvImport) error {
	for _, x := range imports {
		resp, err := importClient.Get("http://" + x.Address + "/kv/" + url.PathEscape(x.Handle))
		if err != nil {
			return fmt.Errorf("%w: %w", errImportMissing, err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%w: %s on %s", errImportMissing, x.Handle, x.Address)
		}
	}
	return nil
}

// watchImports aborts an attempt when KV cache that it imports disappears.
func (e *Engine) watchImports(a *attempt) {
	for e.hasAttempt(a) {
		time.Sleep(importCheckInterval)
		if err := checkImports(a.request.Imports); err != nil {
			e.abortAttempt(a, err.Error())
			return
		}
	}
}

func (e *Engine) hasAttempt(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attempts[a.request.RequestID] == a
}

// abortAttempt drops an attempt whose import is lost.
func (e *Engine) abortAttempt(a *attempt, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts[a.request.RequestID] != a {
		return
	}
	a.aborted = true
	a.notify()
	delete(e.attempts, a.request.RequestID)
	e.record.add(Entry{Event: "import-lost", ID: a.request.RequestID, Reason: reason, StartNumber: e.startNumber})
}

func (e *Engine) currentStartNumber() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startNumber
}

// serveHandle describes an export, or responds 404 if it doesn't exist.
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

// serveExport prefills the prompt and keeps its KV cache under a handle.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	req, err := decodeCompletion(r.Body, strings.Contains(r.URL.RawQuery, "chat"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req.MaxTokens = 1
	a, err := e.admit(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(engine.HeaderStartNumber, strconv.FormatUint(e.currentStartNumber(), 10))
	for {
		e.mu.Lock()
		aborted, finished := a.aborted, a.finished()
		if finished && !aborted {
			x := &kvExport{handle: "kv-" + req.RequestID, attempt: req.RequestID, tokens: req.promptTokens(), madeAt: time.Now()}
			e.exports[x.handle] = x
			delete(e.attempts, req.RequestID)
			e.mu.Unlock()
			e.record.add(Entry{Event: "export", ID: req.RequestID})
			writeJSON(w, engine.Export{Handle: x.handle, Attempt: x.attempt, KVTokens: x.tokens})
			return
		}
		e.mu.Unlock()
		if aborted {
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
