// Package httphead checks the heads of HTTP/1 responses while they are received. net/http accepts
// some that are malformed by RFC 9112: statuses below 100, spaces in the names of fields, folded lines,
// and transfer encodings in HTTP/1.0. A client that takes them may find a body that the server did not send.
package httphead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed is wrapped by the errors of a Scanner.
var ErrMalformed = errors.New("malformed head of a response")

// phase is the part of a head that the next byte belongs to.
type phase uint8

const (
	statusLine phase = iota // up to the status
	reason                  // the rest of the status line
	fieldStart              // the first byte of a line
	fieldName
	fieldValue
	lastLine // the LF after the CR of the empty line
	complete // the body
)

// Names of fields that tell where the body ends, in lower case.
const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
)

// maxFramingName is the length of the longest name that tells where the body ends.
const maxFramingName = len(transferEncoding)

// statusPattern is the begin of a status line. A 0 stands for any digit.
const statusPattern = "HTTP/1.0 000"

// Positions in statusPattern.
const (
	minorPosition  = len("HTTP/1.")
	statusPosition = len("HTTP/1.0 ")
)

// Scanner checks the head of one response, with the interim responses before it. The zero value is
// ready for use. It reads only what it needs to find the end of the head, and leaves to net/http what
// that rejects by itself.
type Scanner struct {
	phase    phase
	position int // in statusPattern, or in the name of a field
	minor    byte
	status   int
	name     [maxFramingName]byte // in lower case; the begin of a longer one
	framed   bool
	err      error // of the first malformed byte
}

// Begin prepares the Scanner for the head of another response, of which some bytes are in a buffer
// already. It returns an error if they are malformed.
func (s *Scanner) Begin(buffered []byte) error {
	if s.err != nil {
		return s.err
	}
	*s = Scanner{}
	_, err := s.Scan(buffered)
	return err
}

// CheckRead returns what a call of Read that has read p is to return, whose error was err.
func (s *Scanner) CheckRead(p []byte, err error) (int, error) {
	valid, malformed := s.Scan(p)
	switch {
	case malformed == nil:
		return len(p), err
	case valid > 0:
		return valid, nil
	}
	return 0, malformed
}

// Scan checks the next bytes of a response. It returns how many of them precede the first one that
// makes the head malformed, and an error, or else their number. Bytes after the head are not checked.
// An error is final.
func (s *Scanner) Scan(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	for i := 0; i < len(p) && s.phase != complete; i++ {
		if s.phase == reason || s.phase == fieldValue {
			end := bytes.IndexByte(p[i:], '\n')
			if end < 0 {
				return len(p), nil
			}
			i += end
			s.phase = fieldStart
			continue
		}
		if s.err = s.next(p[i]); s.err != nil {
			return i, s.err
		}
	}
	return len(p), nil
}

// Err returns the error of the first malformed byte, or nil.
func (s *Scanner) Err() error { return s.err }

// Complete reports whether the whole head was scanned.
func (s *Scanner) Complete() bool { return s.phase == complete }

// Framed reports whether a field of the head tells where the body ends. Else it ends with the
// connection, unless the response has none.
func (s *Scanner) Framed() bool { return s.framed }

// next checks a byte outside of reason and fieldValue.
func (s *Scanner) next(b byte) error {
	switch s.phase {
	case statusLine:
		return s.nextOfStatus(b)
	case fieldName:
		return s.nextOfName(b)
	case lastLine:
		if b != '\n' {
			return fmt.Errorf("%w: a line begins with CR", ErrMalformed)
		}
		s.end()
		return nil
	}
	return s.startField(b)
}

func (s *Scanner) nextOfStatus(b byte) error {
	if s.position == len(statusPattern) {
		return s.endStatus(b)
	}
	want := statusPattern[s.position]
	switch {
	case b == ' ' && s.position == statusPosition:
		return nil // net/http allows more than one
	case want == '0' && (b < '0' || b > '9'), want != '0' && b != want:
		return fmt.Errorf("%w: the status line continues with %q after %q", ErrMalformed, b, statusPattern[:s.position])
	case s.position == minorPosition:
		s.minor = b
	case s.position >= statusPosition:
		s.status = 10*s.status + int(b-'0')
	}
	s.position++
	return nil
}

// endStatus checks the status and the byte after it.
func (s *Scanner) endStatus(b byte) error {
	if s.status < http.StatusContinue || s.status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformed, s.status)
	}
	switch b {
	case '\n':
		s.phase = fieldStart
	case ' ', '\r':
		s.phase = reason
	default:
		return fmt.Errorf("%w: status %03d is followed by %q", ErrMalformed, s.status, b)
	}
	return nil
}

// maxStatus is the highest status of a response.
const maxStatus = 599

func (s *Scanner) startField(b byte) error {
	s.position = 0
	switch b {
	case '\r':
		s.phase = lastLine
	case '\n':
		s.end()
	case ' ', '\t':
		return fmt.Errorf("%w: folded line", ErrMalformed)
	case ':':
		return fmt.Errorf("%w: field without a name", ErrMalformed)
	default:
		s.phase = fieldName
		return s.nextOfName(b)
	}
	return nil
}

func (s *Scanner) nextOfName(b byte) error {
	if b == ':' {
		s.phase = fieldValue
		return s.checkName()
	}
	if !isTokenByte(b) {
		return fmt.Errorf("%w: %q in the name of a field", ErrMalformed, b)
	}
	if s.position < len(s.name) {
		s.name[s.position] = toLower(b)
	}
	s.position++
	return nil
}

// checkName evaluates the name of a field that tells where the body ends.
func (s *Scanner) checkName() error {
	if s.position > len(s.name) {
		return nil
	}
	switch string(s.name[:s.position]) {
	case transferEncoding:
		if s.minor == '0' {
			// RFC 9112, section 6.1: the framing is faulty. net/http would return the chunks as the body.
			return fmt.Errorf("%w: transfer encoding in HTTP/1.0", ErrMalformed)
		}
		s.framed = true
	case contentLength:
		s.framed = true
	}
	return nil
}

// end ends a head. Another one follows if it was that of an interim response.
func (s *Scanner) end() {
	interim := s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols
	*s = Scanner{phase: complete, framed: s.framed}
	if interim {
		*s = Scanner{}
	}
}

// tokenSymbols are the bytes other than letters and digits that a name may hold, RFC 9110, section 5.6.2.
const tokenSymbols = "!#$%&'*+-.^_`|~"

func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte(tokenSymbols, b) >= 0
}

func toLower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
