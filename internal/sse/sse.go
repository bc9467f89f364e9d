// Package sse reads and writes server-sent events.
package sse

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// MaxEventBytes bounds the size of an event; RawReader rejects longer ones.
const MaxEventBytes = 1 << 20

// initialBuffer is the buffer size of each open stream; longer events grow it.
const initialBuffer = 1 << 10

// ErrEventTooLong is returned for an event longer than MaxEventBytes.
var ErrEventTooLong = errors.New("server-sent event exceeds 1 MiB")

// Append appends the encoding of an event with a numeric id to dst. A negative id is
// omitted. Each line of the data becomes a data field of its own.
func Append(dst []byte, id int, data []byte) []byte {
	if id >= 0 {
		dst = append(dst, "id: "...)
		dst = strconv.AppendInt(dst, int64(id), 10)
		dst = append(dst, '\n')
	}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
	}
	return append(dst, '\n')
}

// ParseID decodes the id of an event, a decimal number of 0 or more without leading zeros.
func ParseID(id string) (int, error) {
	n, err := strconv.ParseUint(id, 10, strconv.IntSize-1)
	if err != nil || strconv.FormatUint(n, 10) != id {
		return 0, fmt.Errorf("event id %q is not a number of 0 or more", Sample([]byte(id)))
	}
	return int(n), nil
}
