package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// PlainFaults are the fault switches of a plain service. A control call
// replaces all of them. A rule "every n" applies to each nth call; 0 is never.
type PlainFaults struct {
	// DelayMS is added before a call runs.
	DelayMS int `json:"delay_ms"`
	// DropBeforeEvery closes the connection without running the call.
	DropBeforeEvery int `json:"drop_before_every"`
	// DropAfterEvery runs the call and closes the connection unanswered.
	DropAfterEvery int `json:"drop_after_every"`
	// NotRunEvery answers 503 with X-Outcome: not_run.
	NotRunEvery int `json:"not_run_every"`
	// ResponseBytes is the size of the padding of an answer.
	ResponseBytes int `json:"answer_bytes"`
}

// PlainRun is one call that a plain service ran.
type PlainRun struct {
	At        time.Time `json:"at"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Key       string    `json:"key"` // Idempotency-Key, or else X-Request-Id
	RequestID string    `json:"request_id"`
	BodyBytes int64     `json:"body_bytes"`
}

// PlainRecord is the answer to GET /record of a plain service.
type PlainRecord struct {
	Runs          []PlainRun     `json:"runs"`
	DuplicateKeys []string       `json:"doubles"` // keys that ran more than once
	Dropped       int            `json:"dropped"`
	NotRun        int            `json:"not_run"`
	Seconds       []SecondCounts `json:"seconds"`
}

// Plain is a stand-in for a plain service. It runs any call and records it.
type Plain struct {
	name    string
	counter front
	mu      sync.Mutex
	faults  PlainFaults
	calls   int
	runs    []PlainRun
	byKey   map[string]int
	dropped int
	notRun  int
}

// NewPlain returns a plain service with a name that its answers carry.
func NewPlain(name string) *Plain { return &Plain{name: name, byKey: map[string]int{}} }

// SetFaults replaces the fault switches.
func (p *Plain) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.calls = 0
}

// Record returns a copy of what the service ran.
func (p *Plain) Record() PlainRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := PlainRecord{Runs: append([]PlainRun(nil), p.runs...), Dropped: p.dropped, NotRun: p.notRun}
	for key, n := range p.byKey {
		if n > 1 {
			r.DuplicateKeys = append(r.DuplicateKeys, key)
		}
	}
	r.Seconds = p.counter.Record().Seconds
	return r
}

// Handler returns the HTTP interface of the plain service.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var f PlainFaults
		if err := decodeStrict(r.Body, &f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(f)
	})
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Record()) })
	mux.HandleFunc("/", p.serve)
	return mux
}

// arrive counts a call and returns its number since the last control call.
func (p *Plain) arrive(write bool) (int, PlainFaults) {
	p.counter.arrive(write)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.calls, p.faults
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	n, faults := p.arrive(r.Method != http.MethodGet && r.Method != http.MethodHead)
	nth := func(every int) bool { return every > 0 && n%every == 0 }
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if nth(faults.DropBeforeEvery) {
		p.count(&p.dropped)
		panic(http.ErrAbortHandler)
	}
	if nth(faults.NotRunEvery) {
		p.count(&p.notRun)
		w.Header().Set("X-Outcome", "not_run")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // an incomplete request is not run
	}
	runs := p.run(r, size)
	if nth(faults.DropAfterEvery) {
		p.count(&p.dropped)
		panic(http.ErrAbortHandler)
	}
	p.answer(w, runs, faults.ResponseBytes)
}

func (p *Plain) count(n *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*n++
}

// run records a call and returns how often its key has run.
func (p *Plain) run(r *http.Request, size int64) int {
	run := PlainRun{
		At: time.Now(), Method: r.Method, Path: r.URL.Path, BodyBytes: size,
		Key: r.Header.Get("Idempotency-Key"), RequestID: r.Header.Get("X-Request-Id"),
	}
	if run.Key == "" {
		run.Key = run.RequestID
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, run)
	p.byKey[run.Key]++
	return p.byKey[run.Key]
}

func (p *Plain) answer(w http.ResponseWriter, runs, padding int) {
	text := fmt.Sprintf("{\"service\":%q,\"runs\":%d}\n", p.name, runs)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+padding))
	io.WriteString(w, text)
	block := make([]byte, 32<<10)
	for padding > 0 {
		n, err := w.Write(block[:min(padding, len(block))])
		if err != nil {
			return
		}
		padding -= n
	}
}
