package standin

import (
	"sync"
	"time"
)

// Entry is one recorded event.
type Entry struct {
	At          time.Time `json:"at"`
	Event       string    `json:"event"`
	ID          string    `json:"id,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	StartNumber uint64    `json:"start_number,omitempty"`
	Prompt      uint64    `json:"prompt,omitempty"` // hash of the prompt, for a start
}

// reasonKilled is the reason of a crash that a test requested.
const reasonKilled = "killed"

// ReasonColdRequestLimit is the reason of a crash by more running requests than a
// cold engine can handle.
const ReasonColdRequestLimit = "too many requests while cold"

// Summary holds counts of events and the maximum load.
type Summary struct {
	Starts          int `json:"starts"`
	Crashes         int `json:"crashes"`
	Overloads       int `json:"overloads"` // crashes by excess load
	MaxRunning      int `json:"max_running"`
	MaxRunningCold  int `json:"max_running_cold"`
	MaxKVTokens     int `json:"max_held"`
	MaxKVTokensCold int `json:"max_held_cold"`
}

// Record is the event record of a fake. Tests check it instead of oriolefront's own
// counters.
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

func (r *Record) recordUsage(running, kvTokens int, cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.MaxRunning = max(r.summary.MaxRunning, running)
	r.summary.MaxKVTokens = max(r.summary.MaxKVTokens, kvTokens)
	if cold {
		r.summary.MaxRunningCold = max(r.summary.MaxRunningCold, running)
		r.summary.MaxKVTokensCold = max(r.summary.MaxKVTokensCold, kvTokens)
	}
}

// Entries returns a copy of the recorded events.
func (r *Record) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Entry(nil), r.entries...)
}

// Summary returns the current summary.
func (r *Record) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary
}
