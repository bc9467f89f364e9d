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

// MaxFrameBytes is the maximum size of a frame's body. A larger frame is not sent,
// and receiving the header of one closes the connection.
const MaxFrameBytes = 8 << 20

// headerBytes is the size of the big-endian length before each body.
const headerBytes = 4

// ErrTooLarge means that a frame exceeds MaxFrameBytes.
var ErrTooLarge = fmt.Errorf("message exceeds the frame limit of %d bytes; split it", MaxFrameBytes)

// ErrMalformed means that a frame cannot be decoded.
var ErrMalformed = errors.New("malformed frame; the peer speaks another protocol or another version")

// frameType distinguishes requests, replies and one-way messages.
type frameType uint8

const (
	requestFrame frameType = iota + 1
	replyFrame
	oneWayFrame
)

// frame is the body of a message on the wire, encoded as an array of its fields in
// this order.
type frame struct {
	Type frameType
	ID   uint64
	Kind string
	// TimeoutMs is how long the caller still waits; 0 means DefaultHandlerTimeout.
	TimeoutMs uint32
	Payload   []byte
	// Code and Message describe the error that a reply reports, if any.
	Code    RemoteCode
	Message string
}

// timeout returns the timeout of the handler of f.
func (f *frame) timeout() time.Duration {
	timeout := time.Duration(f.TimeoutMs) * time.Millisecond
	if timeout <= 0 || timeout > DefaultHandlerTimeout {
		return DefaultHandlerTimeout
	}
	return timeout
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

// readFrame reads one frame. It allocates memory as bytes arrive, not according to
// the length in the header, and calls acquire, which may be nil, before it allocates more.
func readFrame(r io.Reader, acquire func(n int64) bool) (*frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("%w: header announces %d bytes", ErrTooLarge, size)
	}
	body, err := readBody(r, int(size), acquire)
	if errors.Is(err, ErrNoMemory) {
		return nil, err
	}
	if err != nil {
		return nil, fmt.Errorf("%w: truncated: %v", ErrMalformed, err)
	}
	return decodeFrame(body)
}

// frameFields is the number of fields of an encoded frame.
const frameFields = 7

// decodeFrame decodes the body of a frame. It decodes field by field, because the
// msgpack library skips unknown values recursively and a deeply nested value would
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
	if err := CheckPayload(f.Payload); err != nil {
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
