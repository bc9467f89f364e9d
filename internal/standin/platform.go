package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxControlBytes limits the body of a control call.
const maxControlBytes = 1 << 20

// PlatformFaults configures the faults of a platform service. A control call
// replaces all of them.
type PlatformFaults struct {
	// Down responds 503 to every call; the call has no effect.
	Down bool `json:"down"`
	// Drop closes the connection of every call; the call has no effect.
	Drop bool `json:"drop"`
	// DelayMS is added to every call.
	DelayMS int `json:"delay_ms"`
	// LoseResponseEvery closes the connection after every nth write has taken
	// effect; 1 loses the responses to all writes, 0 none.
	LoseResponseEvery int `json:"lose_every"`
	// ReadsPerSecond and WritesPerSecond limit the rate of calls; calls above it get
	// 429. 0 means unlimited.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
}

// SecondCounts counts the calls received within one second.
type SecondCounts struct {
	Second   int64 `json:"second"` // Unix time
	Reads    int   `json:"reads"`
	Writes   int   `json:"writes"`
	Rejected int   `json:"rejected"`
	Lost     int   `json:"lost"`
}

// PlatformRecord is the response body of GET /record of a platform service.
type PlatformRecord struct {
	Reads   int            `json:"reads"`
	Writes  int            `json:"writes"`
	Seconds []SecondCounts `json:"seconds"`
}

// maxRecordedSeconds limits the record of a long-running service. When it is
// reached, the older half is dropped.
const maxRecordedSeconds = 24 * 3600

// faultInjector applies the faults of a platform service and counts its calls.
type faultInjector struct {
	mu     sync.Mutex
	faults PlatformFaults
	record PlatformRecord
	writes int // writes since the last control call that took effect
}

// SetFaults replaces all faults and restarts the count of writes.
func (f *faultInjector) SetFaults(faults PlatformFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.writes = 0
}

// Record returns a copy of the counts.
func (f *faultInjector) Record() PlatformRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.record
	r.Seconds = append([]SecondCounts(nil), r.Seconds...)
	return r
}

// currentSecond returns the counts of the current second. f.mu must be held.
func (f *faultInjector) currentSecond() *SecondCounts {
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

// admit counts a call and returns the current faults, and whether the call exceeds
// the rate limit.
func (f *faultInjector) admit(write bool) (faults PlatformFaults, rejected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.currentSecond()
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

// losesResponse counts a write that took effect and reports whether its response
// must be lost.
func (f *faultInjector) losesResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	lost := f.faults.LoseResponseEvery > 0 && f.writes%f.faults.LoseResponseEvery == 0
	if lost {
		f.currentSecond().Lost++
	}
	return lost
}

// withFaults applies the faults to the handler of read or write calls.
func (f *faultInjector) withFaults(write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, rejected := f.admit(write)
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

// register adds the control and record endpoints to mux.
func (f *faultInjector) register(mux *http.ServeMux) {
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

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
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
