package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/oriolefront/oriolefront/internal/budget"
)

// setReadDeadline bounds the time to read a body; the zero time removes the bound.
func (h *Handler) setReadDeadline(c *call, at time.Time) {
	if c.request.ContentLength == 0 {
		return
	}
	err := c.caller.control.SetReadDeadline(at)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.Log.Warn("read deadline of the caller not set", "request", c.meta.ID, "error", err)
	}
}

// readBody buffers the complete request body, so that it can be sent again.
func (h *Handler) readBody(c *call) *refusal {
	limit := h.Views.Get().Config.Limits.BodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	h.setReadDeadline(c, c.deadline)
	body, err := h.bodyBudget.ReadBody(c.request.Body, c.request.ContentLength, limit, nil)
	h.setReadDeadline(c, time.Time{})
	switch {
	case err == nil:
		c.body = body
		return nil
	case errors.Is(err, budget.ErrBodyTooLarge):
		h.setReadDeadline(c, c.deadline) // the caller may send no more
		h.drainBody(c)
		return refuseTooLarge
	case errors.Is(err, budget.ErrExhausted):
		h.refuseDuringUpload(c)
		return refuseBuffersFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		// Without the deadline net/http would wait for the rest of the body, without a limit.
		c.caller.w.Header().Set("Connection", "close")
		h.setReadDeadline(c, c.deadline)
		return refuseSlowBody
	}
	return &refusal{status: http.StatusBadRequest, reason: "the body could not be read: " + err.Error()}
}

// refuseDuringUpload prepares a refusal that is sent at once, while the caller is still sending
// the body. Without it net/http reads on before it sends the response.
func (h *Handler) refuseDuringUpload(c *call) {
	c.caller.w.Header().Set("Connection", "close")
	h.setReadDeadline(c, c.deadline)
	if err := c.caller.control.EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.Log.Warn("refusal not sent during the upload", "request", c.meta.ID, "error", err)
	}
}

// bodyDiscarder is a connection that is told when its body isn't kept, see package connlimit.
type bodyDiscarder interface{ DiscardBody() }

// maxDrainBytes bounds what is read of a body that is too large.
const maxDrainBytes = 16 << 20

// drainBody reads and discards the rest of a body: closing a connection with unread bytes
// would reset it, and the caller would lose the response.
func (h *Handler) drainBody(c *call) {
	if conn, ok := c.request.Context().Value(callerConnKey{}).(bodyDiscarder); ok {
		conn.DiscardBody()
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(c.request.Body, maxDrainBytes)); err != nil {
		h.Log.Debug("request body not drained", "request", c.meta.ID, "error", err)
	}
}
