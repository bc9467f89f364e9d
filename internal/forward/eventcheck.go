package forward

import (
	"fmt"

	"github.com/oriolefront/oriolefront/internal/sse"
)

// The faults of events in a run beyond those that sse.RawEvent.Check finds.
const (
	faultOrder sse.Fault = "the id does not come after that of the event before it"
	faultGap   sse.Fault = "the stream ends after an event that is further ahead than any before it"
	faultShort sse.Fault = "the stream ends without an event, or before one that the caller has"
)

// noEvent stands for the id of the event before the first one.
const noEvent = -1

// eventError reports an event that cannot belong to the run of a stream in which it was read.
type eventError struct {
	sse.EventError
	// id is that of the event, cut if it is long.
	id string
	// after is the id of the event before it in the run, noEvent without one.
	after int64
}

func newEventError(fault sse.Fault, event sse.RawEvent, after int64) *eventError {
	return &eventError{EventError: sse.NewEventError(fault, event.Bytes), id: sse.Sample([]byte(event.ID)), after: after}
}

// Error implements error.
func (e *eventError) Error() string {
	return fmt.Sprintf("event does not belong to the stream: %s (id %q after %d, begins %q)", e.Fault, e.id, e.after, e.Sample)
}

// endsRun reports whether the fault is where the run ends, and no event that was read.
func (e *eventError) endsRun() bool { return e.Fault == faultShort || e.Fault == faultGap }

// checkEvent returns the id of an event that can follow the one with id after in a run.
func checkEvent(event sse.RawEvent, after int64) (int64, error) {
	number, fault := event.Check()
	id := int64(number)
	if fault == "" && id <= after {
		fault = faultOrder
	}
	if fault != "" {
		return 0, newEventError(fault, event, after)
	}
	return id, nil
}

// parseEventID decodes the id of an event, a decimal number of 0 or more without leading zeros.
func parseEventID(text string) (int64, error) {
	id, err := sse.ParseID(text)
	return int64(id), err
}
