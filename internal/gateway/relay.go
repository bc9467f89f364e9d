package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/sse"
)

// streamSink relays a response as server-sent events. It buffers one event at a time: while
// the caller does not read, the engine's stream is not read either, and TCP back-pressure
// pauses the engine.
type streamSink struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	c          *call
	token      string
	headerSent bool
	buffer     []byte
}

func newStreamSink(w http.ResponseWriter, c *call) *streamSink {
	s := &streamSink{w: w, control: http.NewResponseController(w), c: c}
	s.control.SetWriteDeadline(c.deadline.Add(lastWriteGrace))
	return s
}

// lastWriteGrace is the time to report to the caller that the deadline has passed.
const lastWriteGrace = 500 * time.Millisecond

// lastWriteDeadline returns the write deadline of a final response that is ready now. A VM that
// was paused or short of processor time may come to it long after the call's deadline.
func (c *call) lastWriteDeadline() time.Time {
	now := time.Now()
	if now.After(c.deadline) {
		return now.Add(lastWriteGrace)
	}
	return c.deadline.Add(lastWriteGrace)
}

func (s *streamSink) setResumeToken(token string) {
	s.token = token
	if s.headerSent {
		// The header was already sent; clients can read the new token from a comment line.
		s.buffer = append(s.buffer, ": resume-token "+token+"\n\n"...)
	}
}

func (s *streamSink) startResponse() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(HeaderRequestID, s.c.id)
	h.Set(HeaderResumeToken, s.token)
	s.w.WriteHeader(http.StatusOK)
	s.headerSent = true
}

func (s *streamSink) writeEvent(e engine.Event) error {
	if !s.headerSent {
		s.startResponse()
	}
	s.buffer = sse.Append(s.buffer, e.Index, replaceChunkID(e, s.c.id))
	return s.flush()
}

func (s *streamSink) complete(u usage) error {
	if !s.headerSent {
		s.startResponse()
	}
	if s.c.includeUsage {
		chunk, err := json.Marshal(usageChunk{ID: s.c.id, Object: s.c.chunkObject(), Model: s.c.model, Choices: []struct{}{}, Usage: u})
		if err != nil {
			return merry.Wrap(err)
		}
		s.buffer = sse.Append(s.buffer, -1, chunk)
	}
	s.buffer = sse.Append(s.buffer, -1, []byte("[DONE]"))
	return s.flush()
}

func (s *streamSink) flush() error {
	_, err := s.w.Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err == nil {
		err = s.control.Flush()
	}
	if err != nil {
		return merry.Prepend(errCallerDisconnected, err.Error())
	}
	return nil
}

// end ends a response that failed with err. It aborts the connection unless an error response
// was sent: net/http completes the response of a handler that returns, and a client that ignores
// the missing end marker, or that closed only its sending side, would take it for a complete one.
func (s *streamSink) end(err error) {
	e := toAPIError(err)
	if e != nil {
		s.fail(e)
	}
	if e == nil || s.headerSent {
		panic(http.ErrAbortHandler)
	}
}

// fail reports to the caller that the response is incomplete. The end marker is omitted, so
// that no client takes the response for a complete one.
func (s *streamSink) fail(e *apierror.Error) {
	s.control.SetWriteDeadline(s.c.lastWriteDeadline())
	if !s.headerSent {
		e.Write(s.w)
		return
	}
	s.buffer = sse.Append(s.buffer, -1, e.JSON())
	s.flush() // an error means that the caller disconnected and cannot be informed
}

type usageChunk struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []struct{} `json:"choices"`
	Usage   usage      `json:"usage"`
}

func (c *call) chunkObject() string {
	if c.isChat() {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// replaceChunkID replaces the attempt id at the start of a chunk by the request id, which
// stays the same when another engine continues the output.
func replaceChunkID(e engine.Event, requestID string) []byte {
	opening := []byte(`{"id":"` + e.Attempt + `"`)
	rest, ok := bytes.CutPrefix(e.Data, opening)
	if !ok {
		return e.Data
	}
	return append([]byte(`{"id":"`+requestID+`"`), rest...)
}

// collectSink collects the response to a request that is not streamed.
type collectSink struct {
	c            *call
	token        string
	text         strings.Builder
	finishReason string
	usage        usage
}

func (s *collectSink) setResumeToken(token string) { s.token = token }

func (s *collectSink) writeEvent(e engine.Event) error {
	s.text.WriteString(e.Text)
	if e.FinishReason != "" {
		s.finishReason = e.FinishReason
	}
	return nil
}

func (s *collectSink) complete(u usage) error {
	s.usage = u
	return nil
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

func (s *collectSink) write(w http.ResponseWriter) {
	text := s.text.String()
	response := completion{ID: s.c.id, Object: "text_completion", Created: s.c.arrived.Unix(), Model: s.c.model, Usage: s.usage}
	only := choice{FinishReason: s.finishReason}
	if s.c.isChat() {
		response.Object = "chat.completion"
		only.Message = &message{Role: "assistant", Content: text}
	} else {
		only.Text = &text
	}
	response.Choices = []choice{only}
	w.Header().Set(HeaderRequestID, s.c.id)
	w.Header().Set("Content-Type", "application/json")
	http.NewResponseController(w).SetWriteDeadline(s.c.lastWriteDeadline())
	json.NewEncoder(w).Encode(response)
}

// toAPIError returns the error to send to the caller, nil if the caller disconnected.
func toAPIError(err error) *apierror.Error {
	if errors.Is(err, errCallerDisconnected) {
		return nil
	}
	return apierror.From(err)
}
