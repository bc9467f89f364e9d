package standin

import (
	"sync"
	"time"
)

// Entry is one thing that a stand-in saw.
type Entry struct {
	At          time.Time `json:"at"`
	Event       string    `json:"event"`
	ID          string    `json:"id,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	StartNumber uint64    `json:"start_number,omitempty"`
	Prompt      uint64    `json:"prompt,omitempty"` // hash of the prompt of a start
}

// reasonKilled marks a crash that was asked for.
const reasonKilled = "killed"

// ReasonColdRequestLimit marks a crash by more requests than a cold engine bears.
const ReasonColdRequestLimit = "too many requests while cold"

// Summary holds the extremes that a stand-in saw.
type Summary struct {
	Starts          int `json:"starts"`
	Crashes         int `json:"crashes"`
	Overloads       int `json:"overloads"` // crashes by too much work
	MaxRunning      int `json:"max_running"`
	MaxRunningCold  int `json:"max_running_cold"`
	MaxKVTokens     int `json:"max_held"`
	MaxKVTokensCold int `json:"max_held_cold"`
}

// Record is the log of a stand-in. Checks read it instead of oriolefront's
// own counters.
type Record struct {
	mu      sync.Mutex
	entries []Entry
	summary Summary
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{} }

func (r *Record) add(e Entry) {
	e.At = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
	switch e.Event {
	case "start":
		r.summary.Starts++
	case "crash":
		r.summary.Crashes++
		if e.Reason != reasonKilled {
			r.summary.Overloads++
		}
	}
}

func (r *Record) noteHeld(running, held int, cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.MaxRunning = max(r.summary.MaxRunning, running)
	r.summary.MaxKVTokens = max(r.summary.MaxKVTokens, held)
	if cold {
		r.summary.MaxRunningCold = max(r.summary.MaxRunningCold, running)
		r.summary.MaxKVTokensCold = max(r.summary.MaxKVTokensCold, held)
	}
}

// Entries returns a copy of the log.
func (r *Record) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Entry(nil), r.entries...)
}

// Summary returns the extremes so far.
func (r *Record) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary
}
