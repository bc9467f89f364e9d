package link

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// maxPayloadDepth limits the nesting of a payload. The msgpack library decodes
// recursively, so without a limit a hostile payload could overflow the stack.
const maxPayloadDepth = 32

var errPayloadTruncated = errors.New("truncated value")

// CheckPayload verifies that a payload is empty or a single msgpack value, with
// limited nesting and without lengths that exceed the payload. The msgpack library
// allocates memory for the entries that an array announces.
func CheckPayload(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	remaining := []uint64{1} // number of remaining values at each level
	for len(remaining) > 0 {
		if remaining[len(remaining)-1] == 0 {
			remaining = remaining[:len(remaining)-1]
			continue
		}
		remaining[len(remaining)-1]--
		skip, children, err := valueSize(p)
		if err != nil {
			return err
		}
		if skip+children > uint64(len(p)) {
			return errPayloadTruncated
		}
		p = p[skip:]
		if children > 0 {
			remaining = append(remaining, children)
		}
		if len(remaining) > maxPayloadDepth {
			return fmt.Errorf("nested deeper than %d levels", maxPayloadDepth)
		}
	}
	if len(p) > 0 {
		return fmt.Errorf("%d bytes after the value", len(p))
	}
	return nil
}

// layout describes the msgpack values with a given first byte: the number of fixed
// bytes after it, the size of the length field, and what the length counts.
type layout struct {
	fixed    uint64
	length   int
	perCount uint64 // number of child values per unit of length; 0 if it counts bytes
}

// layouts holds the layouts for the first bytes 0xc0 to 0xdf.
var layouts = [32]layout{
	0x04: {length: 1}, 0x05: {length: 2}, 0x06: {length: 4}, // bin
	0x07: {length: 1, fixed: 1}, 0x08: {length: 2, fixed: 1}, 0x09: {length: 4, fixed: 1}, // ext
	0x0a: {fixed: 4}, 0x0b: {fixed: 8}, // float
	0x0c: {fixed: 1}, 0x0d: {fixed: 2}, 0x0e: {fixed: 4}, 0x0f: {fixed: 8}, // uint
	0x10: {fixed: 1}, 0x11: {fixed: 2}, 0x12: {fixed: 4}, 0x13: {fixed: 8}, // int
	0x14: {fixed: 2}, 0x15: {fixed: 3}, 0x16: {fixed: 5}, 0x17: {fixed: 9}, 0x18: {fixed: 17}, // fixext
	0x19: {length: 1}, 0x1a: {length: 2}, 0x1b: {length: 4}, // str
	0x1c: {length: 2, perCount: 1}, 0x1d: {length: 4, perCount: 1}, // array
	0x1e: {length: 2, perCount: 2}, 0x1f: {length: 4, perCount: 2}, // map
}

// valueSize returns the size in bytes of the first value in p without its children,
// and the number of its children.
func valueSize(p []byte) (skip, children uint64, err error) {
	if len(p) == 0 {
		return 0, 0, errPayloadTruncated
	}
	b := p[0]
	switch {
	case b < 0x80 || b >= 0xe0: // small integers
		return 1, 0, nil
	case b < 0x90: // small map
		return 1, 2 * uint64(b&0x0f), nil
	case b < 0xa0: // small array
		return 1, uint64(b & 0x0f), nil
	case b < 0xc0: // small string
		return 1 + uint64(b&0x1f), 0, nil
	}
	l := layouts[b-0xc0]
	if len(p) < 1+l.length {
		return 0, 0, errPayloadTruncated
	}
	var number [8]byte
	copy(number[8-l.length:], p[1:1+l.length])
	count := binary.BigEndian.Uint64(number[:])
	skip = 1 + uint64(l.length) + l.fixed
	if l.perCount == 0 {
		return skip + count, 0, nil
	}
	return skip, count * l.perCount, nil
}
