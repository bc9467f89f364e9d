package sse

import "fmt"

// Fault is why an event cannot belong to the stream in which it was read; empty if it can. Readers
// of streams add the faults that only they can see, such as those of the order of events.
type Fault string

// The faults of the lines of an event. RawReader finds them.
const (
	// FaultNoField is a line that is neither a comment nor a field.
	FaultNoField Fault = "a line is no field"
	// FaultCarriageReturn is a carriage return inside a line, or a comment. Readers of event
	// streams end a line there.
	FaultCarriageReturn Fault = "a carriage return inside a line"
	// FaultTwoIDs is a second id, as two events have of which one lost its end.
	FaultTwoIDs Fault = "more than one id"
)

// The faults of an event whose lines are sound. Check finds them.
const (
	FaultNoID       Fault = "no id"
	FaultIDNoNumber Fault = "the id is no number"
	FaultNoData     Fault = "no data"
)

// Check returns the id of an event with fields, or why the event can belong to no stream.
func (e *RawEvent) Check() (int, Fault) {
	if e.Fault != "" {
		return 0, e.Fault
	}
	if e.ID == "" {
		return 0, FaultNoID
	}
	id, err := ParseID(e.ID)
	if err != nil {
		return 0, FaultIDNoNumber
	}
	if !e.HasData {
		return 0, FaultNoData
	}
	return id, ""
}

// EventError reports an event that cannot belong to the stream in which it was read.
type EventError struct {
	Fault Fault
	// Sample is the begin of the event.
	Sample string
}

// NewEventError returns an EventError for an event, of which it keeps the begin only.
func NewEventError(fault Fault, event []byte) EventError {
	return EventError{Fault: fault, Sample: Sample(event)}
}

// Error implements error.
func (e *EventError) Error() string { return fmt.Sprintf("%s (begins %q)", e.Fault, e.Sample) }

// sampleBytes bounds the bytes of an event that are shown in logs.
const sampleBytes = 80

// Sample returns the begin of an event, or of its data, to be shown in a log.
func Sample(event []byte) string { return string(event[:min(len(event), sampleBytes)]) }
