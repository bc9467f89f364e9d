package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// PlainFaults configures the faults of a plain service. A control call replaces
// all of them. A field ending in Every with value n applies to every nth call; 0
// means never.
type PlainFaults struct {
	// DelayMS is added before a call runs.
	DelayMS int `json:"delay_ms"`
	// DropBeforeEvery closes the connection without running the call.
	DropBeforeEvery int `json:"drop_before_every"`
	// DropAfterEvery runs the call and closes the connection without a response.
	DropAfterEvery int `json:"drop_after_every"`
	// NotRunEvery responds 503 with X-Outcome: not_run without running the call.
	NotRunEvery int `json:"not_run_every"`
	// ResponseBytes is the number of padding bytes added to a response.
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

// PlainRecord is the response body of GET /record of a plain service.
type PlainRecord struct {
	Runs          []PlainRun     `json:"runs"`
	DuplicateKeys []string       `json:"doubles"` // keys that ran more than once
	Dropped       int            `json:"dropped"`
	NotRun        int            `json:"not_run"`
	Seconds       []SecondCounts `json:"seconds"`
}

// Plain is a fake plain service. It accepts and records any call.
type Plain struct {
	name    string
	counter faultInjector
	mu      sync.Mutex
	faults  PlainFaults
	calls   int
	runs    []PlainRun
	byKey   map[string]int
	dropped int
	notRun  int
}

// NewPlain returns a plain service whose responses contain name.
func NewPlain(name string) *Plain { return &Plain{name: name, byKey: map[string]int{}} }

// SetFaults replaces all faults and restarts the count of calls.
func (p *Plain) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.calls = 0
}

// Record returns the calls that ran and the counts of faults.
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

// admit counts a call and returns its number since the last SetFaults.
func (p *Plain) admit(write bool) (int, PlainFaults) {
	p.counter.admit(write)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.calls, p.faults
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	n, faults := p.admit(r.Method != http.MethodGet && r.Method != http.MethodHead)
	nth := func(every int) bool { return every > 0 && n%every == 0 }
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if nth(faults.DropBeforeEvery) {
		p.increment(&p.dropped)
		panic(http.ErrAbortHandler)
	}
	if nth(faults.NotRunEvery) {
		p.increment(&p.notRun)
		w.Header().Set("X-Outcome", "not_run")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // incomplete requests don't run
	}
	runs := p.run(r, size)
	if nth(faults.DropAfterEvery) {
		p.increment(&p.dropped)
		panic(http.ErrAbortHandler)
	}
	p.respond(w, runs, faults.ResponseBytes)
}

func (p *Plain) increment(n *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*n++
}

// run records a call and returns how many calls with its key have run.
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

func (p *Plain) respond(w http.ResponseWriter, runs, padding int) {
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
