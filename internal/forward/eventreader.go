package forward

import (
	"bytes"
	"errors"
	"io"

	"github.com/oriolefront/oriolefront/internal/sse"
)

// eventReader reads one run of a stream, from one target. It returns events that can belong to the
// run and that the caller does not have yet, and ends with an eventError at any other.
//
// Ids increase, but the protocol does not say by how much. An event that is further ahead than the
// stream has shown before may be spoiled, and the caller would miss all events up to its id. It is
// returned only when the run goes on after it.
type eventReader struct {
	raw  *sse.RawReader
	gaps gapPolicy
	// had is the latest event that the caller had before the run; noEvent without one.
	had int64
	// last is the latest event that was read, returned the latest that was returned. Before
	// the first one they are noEvent, and the event before it.
	last, returned int64
	// onWithheld is called for each event that is read and not returned at once.
	onWithheld func()
	// following is the event after one that was returned late.
	following *runEvent
}

// runEvent is an event of a run with its decoded id.
type runEvent struct {
	sse.RawEvent
	id int64
}

// newEventReader returns a reader of a run that was asked to continue after the event with an id,
// which is "" if it starts with the first one.
func newEventReader(body io.Reader, after string, gaps gapPolicy, onWithheld func()) (*eventReader, error) {
	r := &eventReader{raw: sse.NewRawReader(body), gaps: gaps, had: noEvent, last: noEvent, onWithheld: onWithheld}
	if after == "" {
		return r, nil
	}
	id, err := parseEventID(after)
	r.had, r.returned = id, id
	return r, err
}

// next returns the next event that the caller does not have. Blank and comment lines are passed to
// relayComment. The event is valid until the next call. It returns io.EOF at the end of the run.
func (r *eventReader) next(relayComment func([]byte) error) (sse.RawEvent, error) {
	event, err := r.take(relayComment)
	if err != nil {
		return sse.RawEvent{}, err
	}
	if step := event.id - r.returned; !r.gaps.isConfirmed(step) {
		if event, err = r.confirm(event, relayComment); err != nil {
			return sse.RawEvent{}, err
		}
		r.gaps.confirm(step)
	}
	r.returned = event.id
	return event.RawEvent, nil
}

func (r *eventReader) take(relayComment func([]byte) error) (runEvent, error) {
	if r.following == nil {
		return r.read(relayComment)
	}
	event := *r.following
	r.following = nil
	return event, nil
}

// read reads the next event of the run that the caller does not have.
func (r *eventReader) read(relayComment func([]byte) error) (runEvent, error) {
	for {
		raw, err := r.raw.Next()
		if errors.Is(err, io.EOF) && r.endsShort() {
			err = newEventError(faultShort, raw, r.last)
		}
		if err != nil {
			return runEvent{}, err
		}
		if r.had != noEvent {
			raw.Bytes = sse.TrimByteOrderMark(raw.Bytes) // it is not at the begin of the caller's stream
		}
		if !raw.HasFields && raw.Fault == "" {
			if err := relayComment(raw.Bytes); err != nil {
				return runEvent{}, err
			}
			continue
		}
		id, err := checkEvent(raw, r.last)
		if err != nil {
			return runEvent{}, err
		}
		r.last = id
		if id > r.had {
			return runEvent{raw, id}, nil
		}
		r.onWithheld()
	}
}

// endsShort reports whether a run that ends here cannot be a whole one. A resumed run without any
// event can: the caller may have had the last one.
func (r *eventReader) endsShort() bool {
	if r.last == noEvent {
		return r.had == noEvent
	}
	return r.last < r.had
}

// confirm returns an event that leaves a gap once the run has gone on after it.
func (r *eventReader) confirm(event runEvent, relayComment func([]byte) error) (runEvent, error) {
	r.onWithheld()
	event.Bytes = bytes.Clone(event.Bytes)
	following, err := r.read(relayComment)
	switch {
	case err == nil:
		r.following = &following
	case !errors.Is(err, io.EOF):
		return runEvent{}, err
	case !r.gaps.acceptsAtEnd(event.ID):
		return runEvent{}, newEventError(faultGap, event.RawEvent, r.returned)
	}
	return event, nil
}
