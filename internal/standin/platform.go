package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxControlBytes bounds the body of a control call.
const maxControlBytes = 1 << 20

// PlatformFaults are the fault switches of a platform service. A control call
// replaces all of them.
type PlatformFaults struct {
	// Down answers 503 to every call without effect.
	Down bool `json:"down"`
	// Drop closes the connection of every call without effect.
	Drop bool `json:"drop"`
	// DelayMS is added to every call.
	DelayMS int `json:"delay_ms"`
	// LoseResponseEvery closes the connection after each nth write has taken effect;
	// 1 loses all answers to writes, 0 none.
	LoseResponseEvery int `json:"lose_every"`
	// ReadsPerSecond and WritesPerSecond answer 429 to calls above a rate; 0
	// accepts all.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
}

// SecondCounts counts the calls that arrived within one second.
type SecondCounts struct {
	Second   int64 `json:"second"` // Unix time
	Reads    int   `json:"reads"`
	Writes   int   `json:"writes"`
	Rejected int   `json:"rejected"`
	Lost     int   `json:"lost"`
}

// PlatformRecord is the answer to GET /record of a platform service.
type PlatformRecord struct {
	Reads   int            `json:"reads"`
	Writes  int            `json:"writes"`
	Seconds []SecondCounts `json:"seconds"`
}

// maxRecordedSeconds bounds the record of a service that runs for long.
const maxRecordedSeconds = 24 * 3600

// front applies the faults of a platform service and counts its calls.
type front struct {
	mu     sync.Mutex
	faults PlatformFaults
	record PlatformRecord
	writes int // writes since the last control call that took effect
}

// SetFaults replaces the fault switches.
func (f *front) SetFaults(faults PlatformFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.writes = 0
}

// Record returns a copy of the counts.
func (f *front) Record() PlatformRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.record
	r.Seconds = append([]SecondCounts(nil), r.Seconds...)
	return r
}

// second returns the count of the current second. f.mu is held.
func (f *front) second() *SecondCounts {
	now := time.Now().Unix()
	n := len(f.record.Seconds)
	if n > 0 && f.record.Seconds[n-1].Second == now {
		return &f.record.Seconds[n-1]
	}
	if n == maxRecordedSeconds {
		f.record.Seconds = append(f.record.Seconds[:0], f.record.Seconds[n/2:]...)
	}
	f.record.Seconds = append(f.record.Seconds, SecondCounts{Second: now})
	return &f.record.Seconds[len(f.record.Seconds)-1]
}

// arrive counts a call and reports the faults that apply to it.
func (f *front) arrive(write bool) (faults PlatformFaults, rejected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.second()
	if write {
		s.Writes++
		f.record.Writes++
		rejected = f.faults.WritesPerSecond > 0 && s.Writes > f.faults.WritesPerSecond
	} else {
		s.Reads++
		f.record.Reads++
		rejected = f.faults.ReadsPerSecond > 0 && s.Reads > f.faults.ReadsPerSecond
	}
	if rejected {
		s.Rejected++
	}
	return f.faults, rejected
}

// losesAnswer says whether the answer to a write that took effect is lost.
func (f *front) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	lost := f.faults.LoseResponseEvery > 0 && f.writes%f.faults.LoseResponseEvery == 0
	if lost {
		f.second().Lost++
	}
	return lost
}

// guard wraps the handler of one kind of call with the faults.
func (f *front) guard(write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, rejected := f.arrive(write)
		if faults.Drop {
			panic(http.ErrAbortHandler)
		}
		if faults.Down {
			http.Error(w, "service is down", http.StatusServiceUnavailable)
			return
		}
		if rejected {
			http.Error(w, "more calls a second than the service accepts", http.StatusTooManyRequests)
			return
		}
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
		next(w, r)
	}
}

// register adds the control and record calls to mux.
func (f *front) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var faults PlatformFaults
		if err := decodeStrict(r.Body, &faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.SetFaults(faults)
	})
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Record()) })
}

// decodeStrict decodes one JSON value and refuses unknown fields.
func decodeStrict(body io.Reader, into any) error {
	decoder := json.NewDecoder(io.LimitReader(body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("the body holds more than one JSON value")
	}
	return nil
}
