package engine

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/oriolefront/oriolefront/internal/sse"
)

// The faults of events of engines beyond those that sse.RawEvent.Check finds.
const (
	// FaultIndex is an id that is missing or no number.
	FaultIndex    sse.Fault = "the index is no number"
	FaultNoChunk  sse.Fault = "the data is no chunk with one choice"
	FaultAttempt  sse.Fault = "it is an event of another attempt"
	FaultOrder    sse.Fault = "the index is not the next one"
	FaultAfterEnd sse.Fault = "it comes after the event with the finish reason"
	FaultEarlyEnd sse.Fault = "the end mark comes before an event with a finish reason"
)

// EventError reports an event that cannot belong to the stream in which it was read. It is an
// ErrInterrupted.
type EventError struct{ sse.EventError }

// NewEventError returns an EventError for an event, of which it shows the begin.
func NewEventError(fault sse.Fault, event []byte) *EventError {
	return &EventError{sse.NewEventError(fault, event)}
}

// Error implements error.
func (e *EventError) Error() string {
	return "engine sent an event that does not belong to the stream: " + e.EventError.Error()
}

// Unwrap returns ErrInterrupted.
func (e *EventError) Unwrap() error { return ErrInterrupted }

// decodeEvent decodes an event other than the end mark.
func decodeEvent(raw sse.RawEvent) (Event, error) {
	index, fault := raw.Check()
	if fault == sse.FaultNoID || fault == sse.FaultIDNoNumber {
		fault = FaultIndex
	}
	if fault != "" {
		return Event{}, NewEventError(fault, raw.Bytes)
	}
	e := Event{Index: index}
	if !e.decodeChunk(raw.Data) {
		return Event{}, NewEventError(FaultNoChunk, raw.Bytes)
	}
	return e, nil
}

// chunk holds the fields of a chunk that oriolefront uses. A chat has deltas, other completions
// have texts.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// decodeChunk adds the fields of a chunk to an event. It reports whether the data is a chunk.
func (e *Event) decodeChunk(data []byte) bool {
	var c chunk
	if !utf8.Valid(data) || json.Unmarshal(data, &c) != nil || c.ID == "" || len(c.Choices) != 1 {
		return false
	}
	choice := c.Choices[0]
	e.Attempt, e.Data = c.ID, data
	e.Text = choice.Text + choice.Delta.Content
	e.FinishReason = choice.FinishReason
	return true
}
