package upstream

import (
	"io"

	"github.com/oriolefront/oriolefront/internal/httphead"
)

// headReader checks the heads of responses while they are read.
type headReader struct {
	reader  io.Reader
	scanner httphead.Scanner
}

// begin prepares for the head of another response, of which some bytes were read already. It returns
// an error if they are malformed.
func (h *headReader) begin(buffered []byte) error { return h.scanner.Begin(buffered) }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if err := h.scanner.Err(); err != nil {
		return 0, err
	}
	n, err := h.reader.Read(p)
	return h.scanner.CheckRead(p[:n], err)
}
