package link

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes is the largest body of a frame. A larger frame is not sent, and
// receiving its header closes the connection.
const MaxFrameBytes = 8 << 20

// headerBytes is the size of the big-endian length before each body.
const headerBytes = 4

// ErrTooLarge reports a frame above MaxFrameBytes.
var ErrTooLarge = fmt.Errorf("message exceeds the frame limit of %d bytes; split it", MaxFrameBytes)

// ErrMalformed reports a frame that cannot be decoded.
var ErrMalformed = errors.New("malformed frame; the peer speaks another protocol or another version")

// frameType tells requests, replies and one-way messages apart.
type frameType uint8

const (
	requestFrame frameType = iota + 1
	replyFrame
	oneWayFrame
)

// frame is the body of one message on the wire, an array of its fields in
// order.
type frame struct {
	Type frameType
	ID   uint64
	Kind string
	// TimeoutMs is the time the caller still waits; 0 means DefaultHandlerTimeout.
	TimeoutMs uint32
	Payload   []byte
	// Code and Message describe the failure that a reply reports.
	Code    RemoteCode
	Message string
}

// timeout returns how long a handler may work on f.
func (f *frame) timeout() time.Duration {
	wanted := time.Duration(f.TimeoutMs) * time.Millisecond
	if wanted <= 0 || wanted > DefaultHandlerTimeout {
		return DefaultHandlerTimeout
	}
	return wanted
}

// encodeFrame returns the header and the body of f.
func encodeFrame(f *frame) ([]byte, error) {
	var b bytes.Buffer
	b.Write(make([]byte, headerBytes))
	encoder := msgpack.NewEncoder(&b)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(f); err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	size := b.Len() - headerBytes
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("%w: found %d bytes", ErrTooLarge, size)
	}
	binary.BigEndian.PutUint32(b.Bytes(), uint32(size))
	return b.Bytes(), nil
}

// readFrame reads one frame. Memory grows with the bytes that have arrived, not
// with the length that the header announces.
func readFrame(r io.Reader) (*frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("%w: header announces %d bytes", ErrTooLarge, size)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return nil, fmt.Errorf("%w: truncated: %v", ErrMalformed, err)
	}
	return decodeFrame(body.Bytes())
}

// frameFields is the number of elements of the array that a frame is.
const frameFields = 7

// decodeFrame decodes the body of a frame. It reads field by field, because
// the library skips unknown values recursively and a deeply nested one would
// overflow the stack.
func decodeFrame(body []byte) (*frame, error) {
	r := bytes.NewReader(body)
	f, err := decodeFields(msgpack.NewDecoder(r))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if r.Len() > 0 {
		return nil, fmt.Errorf("%w: %d bytes after the body", ErrMalformed, r.Len())
	}
	if f.Type < requestFrame || f.Type > oneWayFrame {
		return nil, fmt.Errorf("%w: unknown type %d", ErrMalformed, f.Type)
	}
	if err := checkPayload(f.Payload); err != nil {
		return nil, fmt.Errorf("%w: payload: %v", ErrMalformed, err)
	}
	return f, nil
}

func decodeFields(d *msgpack.Decoder) (*frame, error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if n != frameFields {
		return nil, fmt.Errorf("found %d fields, want %d", n, frameFields)
	}
	var f frame
	kind, errType := d.DecodeUint8()
	f.Type = frameType(kind)
	var errs [frameFields - 1]error
	f.ID, errs[0] = d.DecodeUint64()
	f.Kind, errs[1] = d.DecodeString()
	f.TimeoutMs, errs[2] = d.DecodeUint32()
	f.Payload, errs[3] = d.DecodeBytes()
	var code string
	code, errs[4] = d.DecodeString()
	f.Code = RemoteCode(code)
	f.Message, errs[5] = d.DecodeString()
	return &f, errors.Join(append(errs[:], errType)...)
}
