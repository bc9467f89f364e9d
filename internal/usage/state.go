package usage

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
)

// state is what the holders keep of the windows in the row of the lease. A window is decided
// by the write that adds it, so that there is one report of it, whoever sends it.
type state struct {
	// Last is the last window that was decided or skipped.
	Last uint64 `json:"last"`
	// Epoch is the epoch of the store in which the holder that wrote the state held the
	// lease. In a later one it may lack windows that were decided.
	Epoch uint64 `json:"epoch"`
	// Reports are the last decided windows, in order.
	Reports []finalReport `json:"reports,omitempty"`
}

// finalReport is a decided window.
type finalReport struct {
	Window uint64           `json:"window"`
	Counts map[string]int64 `json:"counts"`
	// Epoch is the epoch of the store in which the holder took itself to decide. A write
	// that was performed in a later one was not acted on, and may stand in the place of
	// another report that was sent before the store was restored.
	Epoch uint64 `json:"epoch"`
}

// keptReports is the number of decided windows that are kept for a holder that takes over. A
// report is due within fewer windows.
const keptReports = 4

// maxStateBytes bounds the state. The store takes rows of 64 KiB.
const maxStateBytes = 48 << 10

var errStateTooLarge = errors.New("the counts of the windows exceed the size of a row")

// parseState decodes a state; without one it returns an empty one.
func parseState(data json.RawMessage) (state, error) {
	var s state
	if len(data) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return state{}, fmt.Errorf("decode the decided windows: %w", err)
	}
	return s, nil
}

// with returns the state with further windows, decided in an epoch. Those that it has already are
// left out.
func (s state) with(epoch uint64, choices []choice, sum func(uint64) map[string]int64) state {
	next := state{Last: s.Last, Epoch: epoch, Reports: append([]finalReport(nil), s.Reports...)}
	for _, c := range choices {
		if c.window <= next.Last {
			continue
		}
		next.Last = c.window
		if c.skipped != "" {
			continue
		}
		counts := c.known
		if counts == nil {
			counts = sum(c.window)
		}
		next.Reports = append(next.Reports, finalReport{Window: c.window, Counts: counts, Epoch: epoch})
	}
	if extra := len(next.Reports) - keptReports; extra > 0 {
		next.Reports = next.Reports[extra:]
	}
	return next
}

// encode encodes the state. It leaves out the oldest windows if it would be too large.
func (s state) encode() (json.RawMessage, error) {
	for {
		data, err := json.Marshal(s)
		if err != nil || len(data) <= maxStateBytes {
			return data, err
		}
		if len(s.Reports) <= 1 {
			return nil, errStateTooLarge
		}
		s.Reports = s.Reports[1:]
	}
}

// report returns the counts decided for a window.
func (s state) report(window uint64) (map[string]int64, bool) {
	for _, r := range s.Reports {
		if r.Window == window {
			return r.Counts, true
		}
	}
	return nil, false
}

// equalCounts reports whether two reports of a window are the same.
func equalCounts(a, b map[string]int64) bool { return maps.Equal(a, b) }
