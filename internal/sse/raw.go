package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// RawEvent is one event with its original bytes.
type RawEvent struct {
	// ID is the value of the id field, "" without one.
	ID string
	// HasFields is false for blank and comment lines, which a target may send to keep a
	// connection open. They are no progress of the stream.
	HasFields bool
	// HasData is true if the event has a data field, which may be empty. Data is its value;
	// the values of several data fields are joined by line feeds. It is valid until the next
	// call to Next.
	HasData bool
	Data    []byte
	// Fault is why the last line that was read cannot be one of an event. It is returned
	// without the rest.
	Fault Fault
	// Bytes is the complete event, including the empty line that ends it. It is valid until
	// the next call to Next.
	Bytes []byte

	hasID bool
	// ownsData is true if Data is no part of Bytes.
	ownsData bool
}

// RawReader splits a stream into events without changing their bytes.
type RawReader struct {
	reader *bufio.Reader
	event  []byte
	// begun is true once a line was read.
	begun bool
}

// NewRawReader returns a RawReader on r.
func NewRawReader(r io.Reader) *RawReader {
	return &RawReader{reader: bufio.NewReaderSize(r, initialBuffer)}
}

// Next returns the next complete event, or the begin of one as soon as a fault shows. It returns
// io.EOF if the stream ends between events, and io.ErrUnexpectedEOF if it ends inside one.
func (r *RawReader) Next() (RawEvent, error) {
	r.event = r.event[:0]
	event := RawEvent{}
	for event.Fault == "" {
		line, err := r.readLine()
		if errors.Is(err, errNoField) {
			event.HasFields, event.Fault = true, FaultNoField
			break
		}
		if err != nil {
			return RawEvent{}, err
		}
		if len(line) == 0 {
			break
		}
		event.addLine(line)
	}
	event.Bytes = r.event
	return event, nil
}

// readLine appends the next line to the bytes of the event. It returns the line without its line
// break and without the byte order mark of a stream. If the first bytes of the line show that it is
// no field, it returns errNoField.
func (r *RawReader) readLine() ([]byte, error) {
	start := len(r.event)
	for {
		complete, err := r.readPart()
		line := r.event[start:]
		switch {
		case err != nil:
			return nil, err
		case complete:
			line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
			if !r.begun {
				line = TrimByteOrderMark(line)
			}
			r.begun = true
			return line, nil
		case !r.beginsLine(line):
			return nil, errNoField
		}
	}
}

// errNoField is returned for a line that is no field, before its end: it may have none.
var errNoField = errors.New(string(FaultNoField))

// readPart appends the bytes that have arrived to those of the event, up to the end of a line. It
// waits for the first one.
func (r *RawReader) readPart() (complete bool, err error) {
	if _, err := r.reader.Peek(1); err != nil {
		if errors.Is(err, io.EOF) && len(r.event) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return false, err
	}
	part, _ := r.reader.Peek(r.reader.Buffered())
	end := bytes.IndexByte(part, '\n')
	if end >= 0 {
		part = part[:end+1]
	}
	r.event = append(r.event, part...)
	r.reader.Discard(len(part))
	if len(r.event) > MaxEventBytes {
		return false, ErrEventTooLong
	}
	return end >= 0, nil
}

// maxFieldNameBytes bounds the name of a field whose end has not arrived.
const maxFieldNameBytes = 256

// beginsLine reports whether the first bytes of a line can be those of a comment or a field, or of
// the end of an event.
func (r *RawReader) beginsLine(part []byte) bool {
	if !r.begun {
		if bytes.HasPrefix(byteOrderMark, part) {
			return true
		}
		part = TrimByteOrderMark(part)
	}
	name, _, found := bytes.Cut(bytes.TrimSuffix(part, []byte("\r")), []byte(":"))
	return len(name) == 0 || isFieldName(name) && (found || len(name) <= maxFieldNameBytes)
}

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// TrimByteOrderMark returns the begin of a stream without a byte order mark.
func TrimByteOrderMark(begin []byte) []byte { return bytes.TrimPrefix(begin, byteOrderMark) }

// addLine adds a line that is not empty.
func (e *RawEvent) addLine(line []byte) {
	if bytes.IndexByte(line, '\r') >= 0 {
		e.Fault = FaultCarriageReturn
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 {
		return // a comment
	}
	e.HasFields = true
	value = bytes.TrimPrefix(value, []byte(" "))
	switch {
	case !isFieldName(name):
		e.Fault = FaultNoField
	case string(name) == "id" && e.hasID:
		e.Fault = FaultTwoIDs
	case string(name) == "id":
		e.hasID, e.ID = true, string(value)
	case string(name) == "data":
		e.addData(value)
	}
}

// addData adds the value of a data field.
func (e *RawEvent) addData(value []byte) {
	if !e.HasData {
		e.HasData, e.Data = true, value
		return
	}
	if !e.ownsData {
		e.ownsData, e.Data = true, bytes.Clone(e.Data)
	}
	e.Data = append(e.Data, '\n')
	e.Data = append(e.Data, value...)
}

// isFieldName reports whether name can be that of a field, known or not: like the name of a
// header, it consists of letters, digits and some punctuation.
func isFieldName(name []byte) bool {
	for _, b := range name {
		letter := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
		digit := '0' <= b && b <= '9'
		if !letter && !digit && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(name) > 0
}
