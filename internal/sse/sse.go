// Package sse reads and writes server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxEventBytes bounds the size of an event; the readers reject longer ones.
const MaxEventBytes = 1 << 20

// initialBuffer is the buffer size of each open stream; longer events grow it.
const initialBuffer = 1 << 10

// ErrEventTooLong is returned for an event longer than MaxEventBytes.
var ErrEventTooLong = errors.New("server-sent event exceeds 1 MiB")

// Event is one server-sent event.
type Event struct {
	ID   string
	Data []byte
}

// Reader decodes events from a byte stream.
type Reader struct {
	scanner *bufio.Scanner
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, initialBuffer), MaxEventBytes)
	return &Reader{scanner: s}
}

// Next returns the next event that has data. It returns io.EOF if the stream ends between
// events, and io.ErrUnexpectedEOF if it ends inside one.
func (r *Reader) Next() (Event, error) {
	var event Event
	var data []byte
	hasData := false
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if hasData {
				event.Data = data
				return event, nil
			}
			event = Event{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			event.ID = string(value)
		case "data":
			if len(data)+len(value) > MaxEventBytes {
				return Event{}, ErrEventTooLong
			}
			if hasData {
				data = append(data, '\n')
			}
			data = append(data, value...)
			hasData = true
		}
	}
	if err := r.scanner.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return Event{}, ErrEventTooLong
		}
		return Event{}, err
	}
	if hasData {
		return Event{}, io.ErrUnexpectedEOF
	}
	return Event{}, io.EOF
}

// Append appends the encoding of an event with a numeric id to dst. A negative id is
// omitted. The data must not contain a line break.
func Append(dst []byte, id int, data []byte) []byte {
	if id >= 0 {
		dst = append(dst, "id: "...)
		dst = strconv.AppendInt(dst, int64(id), 10)
		dst = append(dst, '\n')
	}
	dst = append(dst, "data: "...)
	dst = append(dst, data...)
	return append(dst, "\n\n"...)
}

// ParseID decodes a numeric event id.
func ParseID(id string) (int, error) {
	n, err := strconv.Atoi(id)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("event id %q is not a number of 0 or more", id)
	}
	return n, nil
}
