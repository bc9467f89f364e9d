package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// RawEvent is one event with its original bytes.
type RawEvent struct {
	// ID is the value of the id field, "" without one.
	ID string
	// HasFields is false for blank and comment lines, which a target may send to keep a
	// connection open. They are no progress of the stream.
	HasFields bool
	// Bytes is the complete event, including the empty line that ends it. It is valid until
	// the next call to Next.
	Bytes []byte
}

// RawReader splits a stream into events without changing their bytes.
type RawReader struct {
	reader *bufio.Reader
	event  []byte
}

// NewRawReader returns a RawReader on r.
func NewRawReader(r io.Reader) *RawReader {
	return &RawReader{reader: bufio.NewReaderSize(r, initialBuffer)}
}

// Next returns the next complete event. It returns io.EOF if the stream ends between events,
// and io.ErrUnexpectedEOF if it ends inside one.
func (r *RawReader) Next() (RawEvent, error) {
	r.event = r.event[:0]
	event := RawEvent{}
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, line...)
		if len(r.event) > MaxEventBytes {
			return RawEvent{}, ErrEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(r.event) > 0 {
			return RawEvent{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return RawEvent{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			event.Bytes = r.event
			return event, nil
		}
		event.HasFields = event.HasFields || text[0] != ':'
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			event.ID = string(bytes.TrimSpace(id))
		}
	}
}
