package connlimit

import (
	"bytes"
	"strconv"
)

// phase is the part of a request that a framer expects next.
type phase int

const (
	phaseHead phase = iota
	phaseBody
	phaseChunkSize
	phaseChunkExtension
	phaseChunkData
	phaseChunkEnd
	phaseTrailer
	// phaseUnknown means that the end of the request cannot be told. All bytes are passed on.
	phaseUnknown
)

const (
	// maxLeadingBytes of empty lines may precede a request line, as in net/http.
	maxLeadingBytes = 4
	// maxPrefix is the number of bytes of a line that are kept when the line arrives in parts. It
	// is enough for the headers that state the length of a body.
	maxPrefix = 64
	// maxLengthDigits keeps a Content-Length within an int64.
	maxLengthDigits = 18
	// maxChunkDigits keeps the size of a chunk within an int64.
	maxChunkDigits = 15
)

// framer follows the bytes of a connection and tells where heads and bodies of requests end. It
// doesn't check requests: net/http parses the same bytes afterwards. Where the two could disagree,
// the framer ends in phaseUnknown and the connection isn't used for another request.
type framer struct {
	phase phase
	// bytes and fields are the size of the current head so far.
	bytes, fields int
	// headBytes and headFields are the size of the last whole head.
	headBytes, headFields int
	// remaining are the bytes of the body or the chunk that are still to come.
	remaining int64

	lines   int
	lineLen int
	prefix  []byte
	// length is the declared length of the body, or -1; odd means that it is stated in a way that
	// net/http may read differently.
	length        int64
	chunked, odd  bool
	afterLength   bool
	chunkDigits   int
	prefixStorage [maxPrefix]byte
}

// reset prepares for the next head.
func (f *framer) reset() {
	*f = framer{length: -1, headBytes: f.headBytes, headFields: f.headFields}
}

// head consumes bytes of a head. It returns the number of bytes that belong to the head, and
// whether the head is complete.
func (f *framer) head(b []byte) (used int, complete bool) {
	for used < len(b) {
		rest := b[used:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			f.keep(rest)
			f.bytes += len(rest)
			return len(b), false
		}
		line, length := rest[:end], f.lineLen+end
		if f.lineLen > 0 {
			f.keep(line)
			line = f.prefix
		}
		used += end + 1
		f.bytes += end + 1
		empty := length == 0 || length == 1 && line[0] == '\r'
		if f.line(line, length, empty) {
			return used, true
		}
		f.lineLen, f.prefix = 0, f.prefixStorage[:0]
	}
	return used, false
}

// keep adds bytes to a line that arrives in parts.
func (f *framer) keep(part []byte) {
	if f.prefix == nil {
		f.prefix = f.prefixStorage[:0]
	}
	f.lineLen += len(part)
	f.prefix = append(f.prefix, part[:min(len(part), maxPrefix-len(f.prefix))]...)
}

// line evaluates a complete line, of which a prefix is given, and reports whether it ends the head.
func (f *framer) line(line []byte, length int, empty bool) bool {
	switch {
	case empty && f.lines == 0:
		if f.bytes > maxLeadingBytes {
			f.headBytes = f.bytes
			f.phase = phaseUnknown
			return true
		}
		return false
	case empty:
		f.endHead()
		return true
	}
	f.lines++
	if f.lines == 1 {
		return false
	}
	f.fields++
	f.field(line, length)
	return false
}

// field looks for the headers that state the length of the body.
func (f *framer) field(line []byte, length int) {
	folded := line[0] == ' ' || line[0] == '\t'
	if f.afterLength && folded {
		f.odd = true
	}
	if folded {
		return
	}
	f.afterLength = false
	value, ok := cutHeader(line, "content-length:")
	encoding, encoded := cutHeader(line, "transfer-encoding:")
	if !ok && !encoded {
		return
	}
	f.afterLength = true
	switch {
	case length != len(line):
		f.odd = true
	case encoded:
		f.odd = f.odd || f.chunked || !bytes.EqualFold(encoding, []byte("chunked"))
		f.chunked = true
	default:
		n, err := strconv.ParseUint(string(value), 10, 63)
		f.odd = f.odd || err != nil || len(value) > maxLengthDigits || f.length >= 0 && f.length != int64(n)
		f.length = int64(n)
	}
}

// cutHeader returns the value of a header line with the given name in lower case and a colon.
func cutHeader(line []byte, name string) ([]byte, bool) {
	if len(line) < len(name) || line[0]|0x20 != name[0] || !bytes.EqualFold(line[:len(name)], []byte(name)) {
		return nil, false
	}
	return bytes.Trim(line[len(name):], " \t\r"), true
}

func (f *framer) endHead() {
	f.headBytes, f.headFields = f.bytes, f.fields
	switch {
	case f.odd, f.chunked && f.length >= 0:
		f.phase = phaseUnknown
	case f.chunked:
		f.phase, f.remaining, f.chunkDigits = phaseChunkSize, 0, 0
	case f.length > 0:
		f.phase, f.remaining = phaseBody, f.length
	default:
		f.reset()
	}
}

// body consumes bytes after a head and returns how many of them belong to its request.
func (f *framer) body(b []byte) int {
	used := 0
	for used < len(b) && f.phase != phaseHead {
		switch f.phase {
		case phaseUnknown:
			return len(b)
		case phaseBody, phaseChunkData:
			used += f.skip(len(b) - used)
		default:
			f.chunkByte(b[used])
			used++
		}
	}
	return used
}

// skip consumes up to n bytes of the data of a body or a chunk.
func (f *framer) skip(n int) int {
	taken := min(int64(n), f.remaining)
	f.remaining -= taken
	if f.remaining == 0 {
		if f.phase == phaseBody {
			f.reset()
		} else {
			f.phase = phaseChunkEnd
		}
	}
	return int(taken)
}

// chunkByte consumes a byte of the framing of a chunked body.
func (f *framer) chunkByte(c byte) {
	switch f.phase {
	case phaseChunkSize:
		f.sizeByte(c)
	case phaseChunkExtension:
		if c == '\n' {
			f.endChunkSize()
		}
	case phaseChunkEnd:
		if c == '\n' {
			f.phase, f.remaining, f.chunkDigits = phaseChunkSize, 0, 0
		}
	case phaseTrailer:
		switch {
		case c == '\n' && f.lineLen == 0:
			f.reset()
		case c == '\n':
			f.lineLen = 0
		case c != '\r':
			f.lineLen++
		}
	}
}

func (f *framer) sizeByte(c byte) {
	digit := int64(0)
	switch {
	case c >= '0' && c <= '9':
		digit = int64(c - '0')
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		digit = int64(c|0x20-'a') + 10
	case c == '\n':
		f.endChunkSize()
		return
	case c == '\r':
		return
	default:
		f.phase = phaseChunkExtension
		return
	}
	if f.chunkDigits++; f.chunkDigits > maxChunkDigits {
		f.phase = phaseUnknown
		return
	}
	f.remaining = f.remaining<<4 | digit
}

func (f *framer) endChunkSize() {
	if f.remaining > 0 {
		f.phase = phaseChunkData
		return
	}
	f.phase, f.lineLen = phaseTrailer, 0
}
